package claims

import (
	"fmt"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxAsked bounds the members asked for one claim.
const maxAsked = 4

// maxWaits bounds the pauses of retryPause each for a shard that is being
// handed over.
const (
	maxWaits   = 10
	retryPause = 20 * time.Millisecond
)

// comeBack is the Retry-After of refusals that time resolves.
const comeBack = time.Second

// asker is the entry side of one claim: it follows the answers from owner to
// owner until the claim is decided. It does no I/O.
type asker struct {
	snap *state.Snapshot
	req  ClaimRequest
	home string
	// asked lists the members asked so far, latest last.
	asked []state.Member
	// holders lists the members that have granted the claim or may have.
	holders []state.Member
	waits   int
}

// step is what an asker does next: ask a member, or end with a result; a nil
// result means that the claim was granted by the member asked last.
type step struct {
	ask bool
	// wait is set if retryPause must pass before.
	wait   bool
	to     state.Member
	result *kernel.Result
}

// begin returns the asker of a claim and its first step.
func begin(snap *state.Snapshot, req ClaimRequest) (*asker, step) {
	a := &asker{snap: snap, req: req}
	if snap.Config != nil {
		a.home = req.Key.Home(snap.Config.FailureDomains)
	}
	owner, ok := a.owner("")
	if !ok {
		return a, a.unreachable("has no member")
	}
	return a, a.ask(owner, Change{})
}

// owner returns the owner of the key's shard among all members of the home
// failure domain but one.
func (a *asker) owner(without state.MemberID) (state.Member, bool) {
	var best state.Member
	for _, m := range a.snap.Domain(a.home) {
		if m.ID != without && beats(m.ID, best.ID, a.req.Key.Shard()) {
			best = m
		}
	}
	return best, best.ID != ""
}

func (a *asker) ask(to state.Member, closing Change) step {
	if len(a.asked) >= maxAsked {
		return a.unreachable("is changing owners")
	}
	a.req.Closing = closing
	a.asked = append(a.asked, to)
	return step{ask: true, to: to}
}

// failed takes in that the member asked last gave no answer. A member that
// has resigned may be gone while its heir is already acting for it.
func (a *asker) failed() step {
	last := a.asked[len(a.asked)-1]
	a.holders = append(a.holders, last)
	heir, ok := a.owner(last.ID)
	if len(a.asked) > 1 || !ok {
		return a.unreachable("can't be reached")
	}
	return a.ask(heir, Change{})
}

// timedOut takes in that the time for the claim is over.
func (a *asker) timedOut() step {
	a.holders = append(a.holders, a.asked[len(a.asked)-1])
	return a.unreachable("can't be reached")
}

// answered takes in an answer of the member asked last.
func (a *asker) answered(ans ClaimAnswer) step {
	switch ans.Verdict {
	case VerdictGranted:
		a.holders = append(a.holders, a.asked[len(a.asked)-1])
		return step{}
	case VerdictNotOwner:
		return a.redirect(ans.Peer)
	case VerdictMoving:
		return a.again()
	case VerdictBefore:
		return a.before(ans)
	}
	return step{result: a.result(ans.Verdict)}
}

// redirect asks the member named as owner; the heir of a resigned member
// answers for its earlier tenures, too. If that member has been asked the same
// before, the shard is on its way to the member asked last.
func (a *asker) redirect(to state.Member) step {
	closing := a.req.Closing
	switch {
	case to.ID == "":
		return a.unreachable("is changing owners")
	case a.hasAsked(to.ID) && !closing.known():
		return a.again()
	}
	return a.ask(to, closing)
}

// again repeats the last question after a pause.
func (a *asker) again() step {
	if a.waits >= maxWaits {
		return a.unreachable("is changing owners")
	}
	a.waits++
	return step{ask: true, wait: true, to: a.asked[len(a.asked)-1]}
}

func (a *asker) before(ans ClaimAnswer) step {
	if _, live := a.snap.Members[ans.Peer.ID]; !live {
		return step{result: kernel.Unknown(kernel.ReasonKeyExpired, "the key was minted before its owner's tenure and the owner before is gone")}
	}
	return a.ask(ans.Peer, ans.Closing)
}

func (a *asker) hasAsked(id state.MemberID) bool {
	for _, m := range a.asked {
		if m.ID == id {
			return true
		}
	}
	return false
}

// unreachable refuses this attempt; it says nothing about earlier attempts
// with the same key.
func (a *asker) unreachable(why string) step {
	detail := fmt.Sprintf("the key's home failure domain %q %s", a.home, why)
	return step{result: kernel.Refuse(kernel.ReasonKeyOwnerUnreachable, detail, comeBack)}
}

func (a *asker) result(v Verdict) *kernel.Result {
	switch v {
	case VerdictDuplicate:
		return kernel.Unknown(kernel.ReasonDuplicate, "the key has been used by another attempt")
	case VerdictMismatch:
		return kernel.Unknown(kernel.ReasonBadRequest, "the key has been used with different content")
	case VerdictExpired, VerdictForgotten:
		return kernel.Unknown(kernel.ReasonKeyExpired, "the key is older than the owner's memory")
	case VerdictSpent:
		return kernel.Refuse(kernel.ReasonKeyExpired, "every attempt with the key was refused; send a fresh key", 0)
	case VerdictNever:
		return kernel.Refuse(kernel.ReasonKeyExpired, "the key was minted between two owners and can't be used; send a fresh key", 0)
	case VerdictEarly:
		return a.unreachable("can't confirm its roster").result
	case VerdictFull:
		return kernel.Refuse(kernel.ReasonOverload, "the key's owner remembers too many keys", comeBack)
	case VerdictReleased:
		return kernel.Refuse(kernel.ReasonCancelled, "the attempt was given up", 0)
	}
	return kernel.Refuse(kernel.ReasonInternal, "the key's owner gave no valid answer", 0)
}
