package claims

import (
	"fmt"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxClaimHops bounds the members to which one claim is sent.
const maxClaimHops = 4

// A claim on a shard that is being handed over is retried up to maxClaimRetries
// times, each after claimRetryDelay.
const (
	maxClaimRetries = 10
	claimRetryDelay = 20 * time.Millisecond
)

// refusalRetryAfter is the Retry-After of transient refusals.
const refusalRetryAfter = time.Second

// resolver is the entry side of one claim: it follows redirects from owner to owner
// until the claim is decided. It does no I/O.
type resolver struct {
	snap *state.Snapshot
	req  ClaimRequest
	home string
	// requested lists the members to which the claim was sent, latest last.
	requested []state.Member
	// holders lists the members that have or may have granted the claim.
	holders []state.Member
	retries int
}

// step is the next step of a claim: send it to a member, or end with a result. A nil
// result means that the last member granted the claim.
type step struct {
	request bool
	// wait is set if the claim is sent only after claimRetryDelay.
	wait   bool
	to     state.Member
	result *kernel.Result
}

// newResolver returns the resolver of a claim and its first step.
func newResolver(snap *state.Snapshot, req ClaimRequest) (*resolver, step) {
	r := &resolver{snap: snap, req: req}
	if snap.Config != nil {
		r.home = req.Key.Home(snap.Config.FailureDomains)
	}
	owner, ok := r.owner("")
	if !ok {
		return r, r.refuse("has no member")
	}
	return r, r.request(owner, Change{})
}

// owner returns the owner of the key's shard among all members of the home
// failure domain except one.
func (r *resolver) owner(except state.MemberID) (state.Member, bool) {
	var topRanked state.Member
	for _, m := range r.snap.Domain(r.home) {
		if m.ID != except && outranks(m.ID, topRanked.ID, r.req.Key.Shard()) {
			topRanked = m
		}
	}
	return topRanked, topRanked.ID != ""
}

func (r *resolver) request(to state.Member, closedBy Change) step {
	if len(r.requested) >= maxClaimHops {
		return r.refuse("is changing owners")
	}
	r.req.ClosedBy = closedBy
	r.requested = append(r.requested, to)
	return step{request: true, to: to}
}

// failed handles a missing response of the last member. A member that has resigned
// may be gone while its successor already acts for it.
func (r *resolver) failed() step {
	last := r.requested[len(r.requested)-1]
	r.holders = append(r.holders, last)
	successor, ok := r.owner(last.ID)
	if len(r.requested) > 1 || !ok {
		return r.refuse("can't be reached")
	}
	return r.request(successor, Change{})
}

// timedOut ends the claim after its timeout.
func (r *resolver) timedOut() step {
	r.holders = append(r.holders, r.requested[len(r.requested)-1])
	return r.refuse("can't be reached")
}

// answered handles a response of the last member.
func (r *resolver) answered(resp ClaimResponse) step {
	switch resp.Verdict {
	case VerdictGranted:
		r.holders = append(r.holders, r.requested[len(r.requested)-1])
		return step{}
	case VerdictNotOwner:
		return r.redirect(resp.Peer)
	case VerdictHandingOver:
		return r.retry()
	case VerdictEarlierTenure:
		return r.redirectToEarlier(resp)
	}
	return step{result: r.result(resp.Verdict)}
}

// redirect sends the claim to the member named as owner; the successor of a resigned
// member answers for its earlier tenures, too. If that member has already been
// sent a claim for the current tenure, the shard is being handed over to the last
// member.
func (r *resolver) redirect(to state.Member) step {
	closedBy := r.req.ClosedBy
	switch {
	case to.ID == "":
		return r.refuse("is changing owners")
	case r.hasRequested(to.ID) && !closedBy.known():
		return r.retry()
	}
	return r.request(to, closedBy)
}

// retry repeats the last request after claimRetryDelay.
func (r *resolver) retry() step {
	if r.retries >= maxClaimRetries {
		return r.refuse("is changing owners")
	}
	r.retries++
	return step{request: true, wait: true, to: r.requested[len(r.requested)-1]}
}

// redirectToEarlier sends the claim to the member that answers for the tenure before
// the one of the last member.
func (r *resolver) redirectToEarlier(resp ClaimResponse) step {
	if _, live := r.snap.Members[resp.Peer.ID]; !live {
		return step{result: kernel.Unknown(kernel.ReasonKeyExpired, "the key was minted before its owner's tenure and the previous owner is gone")}
	}
	return r.request(resp.Peer, resp.ClosedBy)
}

func (r *resolver) hasRequested(id state.MemberID) bool {
	for _, m := range r.requested {
		if m.ID == id {
			return true
		}
	}
	return false
}

// refuse refuses this attempt; it says nothing about earlier attempts with the same
// key.
func (r *resolver) refuse(why string) step {
	detail := fmt.Sprintf("the key's home failure domain %q %s", r.home, why)
	return step{result: kernel.Refuse(kernel.ReasonKeyOwnerUnreachable, detail, refusalRetryAfter)}
}

// result maps a verdict that decides the claim to the caller's result.
func (r *resolver) result(v Verdict) *kernel.Result {
	switch v {
	case VerdictDuplicate:
		return kernel.Unknown(kernel.ReasonDuplicate, "the key has been used by another attempt")
	case VerdictMismatch:
		return kernel.Unknown(kernel.ReasonBadRequest, "the key has been used with different content")
	case VerdictExpired, VerdictUnknownTenure:
		return kernel.Unknown(kernel.ReasonKeyExpired, "the key is older than its owner retains keys")
	case VerdictAttemptsExhausted:
		return kernel.Refuse(kernel.ReasonKeyExpired, "every attempt with the key was refused; send a fresh key", 0)
	case VerdictBetweenTenures:
		return kernel.Refuse(kernel.ReasonKeyExpired, "the key was minted between two owners and can't be used; send a fresh key", 0)
	case VerdictTooNew:
		return r.refuse("can't confirm its roster").result
	case VerdictTableFull:
		return kernel.Refuse(kernel.ReasonOverload, "the key's owner retains too many keys", refusalRetryAfter)
	case VerdictReleased:
		return kernel.Refuse(kernel.ReasonCancelled, "the attempt was released", 0)
	}
	return kernel.Refuse(kernel.ReasonInternal, "the key's owner sent no valid verdict", 0)
}
