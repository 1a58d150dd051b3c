package quota

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Resign gives the partitions back for good, so that other nodes can own them
// without waiting for the session to end.
func (p *Plugin) Resign(ctx context.Context) {
	p.mu.Lock()
	held := len(p.ownedPools.heldSince)
	if p.resigned {
		held = 0
	}
	p.resigned = true
	p.ownedPools.validUntil = 0
	p.mu.Unlock()
	if held == 0 {
		return
	}
	if err := p.host.Pools.GroupCoordinator.Leave(ctx, p.host.Self.ID.NodeName()); err != nil {
		p.host.Log.Warn("pools not given back", "error", err)
	}
}

// checkIsolation updates whether the node is cut off from the other owners, and
// reports whether it must leave the group. p.mu is held.
func (p *Plugin) checkIsolation(now time.Time) bool {
	cutOff := p.contacts.mostUnreachable(now)
	if cutOff && !p.isolated {
		p.isolatedSince = now
	}
	p.isolated = cutOff
	if !p.ownershipSuspended(now) || len(p.ownedPools.heldSince) == 0 || p.resigned {
		return false
	}
	p.ownedPools.heldSince, p.ownedPools.validUntil = map[int]time.Time{}, 0
	return true
}

// ownershipSuspended reports whether the node must not own pools because it is
// cut off from the other owners.
func (p *Plugin) ownershipSuspended(now time.Time) bool {
	return p.isolated && now.Sub(p.isolatedSince) < maxIsolation
}

// leaveGroup gives the partitions back; the node may join again later.
func (p *Plugin) leaveGroup() {
	ctx, stop := context.WithTimeout(context.Background(), joinTimeout)
	defer stop()
	if err := p.host.Pools.GroupCoordinator.Leave(ctx, p.host.Self.ID.NodeName()); err != nil {
		p.host.Log.Warn("pools not given back", "error", err)
	}
	p.host.AnnounceAssignment(kernel.Assignment{})
}

// isCandidate reports whether this node should join the group. That is so if it
// is among the maxCandidates nodes with the lowest hashes, or if an owner has
// been unreachable for ownerMissingTime.
func (p *Plugin) isCandidate(s *state.Snapshot, now time.Time) bool {
	if p.ownershipSuspended(now) {
		return false
	}
	for _, q := range p.localQuotas {
		if q.ownerUnreachable && now.Sub(q.unreachableSince) > ownerMissingTime {
			return true
		}
	}
	if len(s.Members) <= maxCandidates && now.Sub(p.startedAt) < settleTime {
		return false
	}
	ownHash := xxhash.Sum64String(p.host.Self.ID.NodeName())
	lowerHashes := 0
	for id := range s.Members {
		if xxhash.Sum64String(id.NodeName()) < ownHash {
			lowerHashes++
		}
	}
	return lowerHashes < maxCandidates
}

// anyCustomerLimited reports whether any customer has a rate.
func anyCustomerLimited(s *state.Snapshot) bool {
	if s.Config == nil {
		return false
	}
	for _, c := range s.Config.Customers {
		if c.Rate > 0 {
			return true
		}
	}
	return false
}

// peerReached reports whether a peer, or at least its machine, has answered.
func peerReached(ctx context.Context, err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		return true
	case ctx.Err() != nil, errors.Is(err, kernel.ErrNotSent):
		return false
	}
	return true
}

func (p *Plugin) recordContact(owner state.MemberID, reached bool) {
	now := p.host.Now()
	p.mu.Lock()
	p.contacts[owner] = contact{at: now, reached: reached}
	p.mu.Unlock()
}

// poolOwner returns the owner of a customer's pool: the owner in the members'
// topic, or the one announced by a notice if its term is later.
func (p *Plugin) poolOwner(customer string, s *state.Snapshot) (state.PoolOwner, bool) {
	partition := partitionOf(customer, p.ownedPools.partitionCount)
	owner, known := s.Pools[partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	if announced, ok := p.announcedOwners[partition]; ok && (!known || owner.Term.Before(announced.Term)) {
		return announced, true
	}
	return owner, known
}

// forgetAnnouncedOwner deletes an owner's notice for a customer's partition, so
// that the owner in the members' topic is used.
func (p *Plugin) forgetAnnouncedOwner(customer string, owner state.PoolOwner) {
	partition := partitionOf(customer, p.ownedPools.partitionCount)
	p.mu.Lock()
	defer p.mu.Unlock()
	if announced := p.announcedOwners[partition]; announced.Term == owner.Term && announced.Member.ID == owner.Member.ID {
		delete(p.announcedOwners, partition)
	}
}

// ownershipNotice announces the partitions that a node owns.
type ownershipNotice struct {
	Member     state.Member `cbor:"1,keyasint"`
	Partitions []int        `cbor:"2,keyasint"`
	Generation uint64       `cbor:"3,keyasint"`
	// Incarnation is the incarnation of the store that assigned the generation.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

func (p *Plugin) handleOwnershipNotice(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) {
	var notice ownershipNotice
	if err := cbor.Unmarshal(body, &notice); err != nil {
		return nil, err
	}
	term := state.Term{Incarnation: notice.Incarnation, Generation: notice.Generation}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, partition := range notice.Partitions {
		if old, known := p.announcedOwners[partition]; partition >= 0 && partition < p.ownedPools.partitionCount && (!known || old.Term.Before(term)) {
			p.announcedOwners[partition] = state.PoolOwner{Member: notice.Member, Term: term}
		}
	}
	return nil, nil
}

// notifyOwnership sends the owned partitions to all nodes. Nodes that miss the
// notice learn of them from the members' topic.
func (p *Plugin) notifyOwnership(assignment kernel.Assignment) {
	notifier, ok := p.host.Peers.(kernel.Notifier)
	if !ok || len(assignment.Partitions) == 0 {
		return
	}
	body, err := cbor.Marshal(ownershipNotice{
		Member: p.host.Self, Partitions: assignment.Partitions, Generation: assignment.Term.Generation, Incarnation: assignment.Term.Incarnation,
	})
	if err != nil {
		p.host.Log.Error("ownership notice not encoded", "error", err)
		return
	}
	for id, m := range p.host.Snapshot().Members {
		if id != p.host.Self.ID {
			notifier.Notify(m, kindOwner, body)
		}
	}
}

// observeIncarnation records a new incarnation of the store. Owners of an
// earlier incarnation may not have heard of it and may go on granting for one
// session timeout from now. p.mu is held.
func (p *Plugin) observeIncarnation(now time.Time) {
	if incarnation := p.host.Pools.GroupCoordinator.Incarnation(); incarnation > p.incarnation {
		p.incarnation, p.notBefore = incarnation, now.Add(p.host.Pools.SessionTimeout)
	}
}

// joinGroup joins the group or renews the membership.
func (p *Plugin) joinGroup() {
	p.mu.Lock()
	latestTerm := p.ownedPools.term
	p.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), joinTimeout)
	defer stop()
	sentAt := boottime.Now()
	assignment, err := p.host.Pools.GroupCoordinator.Join(ctx, p.host.Self.ID.NodeName(), p.host.Pools.SessionTimeout, latestTerm)
	p.mu.Lock()
	p.observeIncarnation(p.host.Now())
	p.joining = false
	action := actionNone
	if err == nil && !p.resigned && !p.closed && !p.ownershipSuspended(p.host.Now()) {
		action = p.ownedPools.renew(renewal{
			Assignment: assignment, sentAt: sentAt, now: p.host.Now(), duration: p.host.Pools.SessionTimeout, notBefore: p.notBefore,
		})
	}
	p.mu.Unlock()
	if err != nil {
		p.host.Log.Warn("group of pools not joined", "error", err)
		return
	}
	if action == actionNone {
		return
	}
	p.host.Log.Info("pools owned", "partitions", assignment.Partitions, "generation", assignment.Term.Generation,
		"incarnation", assignment.Term.Incarnation)
	if action == actionAnnounce {
		p.host.AnnounceAssignment(assignment)
	}
	p.notifyOwnership(assignment)
}
