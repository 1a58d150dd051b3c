package ratelimit

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Ownership decides during which time this node may act as the owner of a pool of
// its failure domain, such that no two nodes do so at the same time.
//
// The owner acts for a time after a read of the log's head and, while the log is
// unavailable, for a time after three quarters of the domain's roster have
// confirmed that they see the same roster. A successor first has a majority of
// its roster promise not to confirm the old roster any more, then waits until
// the authority and the leases of its predecessors have ended.
type Ownership struct {
	mu      sync.Mutex
	self    state.MemberID
	domain  string
	timing  Timing
	snap    *state.Snapshot
	roster  []state.Member
	digest  uint64
	lastSeq uint64
	// sawNewEvents is set when the latest snapshot contained new events.
	sawNewEvents bool
	// owned are the customers whose pool is assigned to this node by rendezvous
	// hashing.
	owned map[string]bool
	// pendingTakeovers are the takeovers that this node has not completed, by
	// customer.
	pendingTakeovers map[string]*pendingTakeover
	// delegations are the pools for which this node acts in place of another, by
	// customer.
	delegations map[string]delegation
	// confirmedAt is when the latest successful confirmation round began.
	confirmedAt time.Time
	// promises are the takeovers of other nodes that this node has acknowledged.
	promises  []promise
	poll      pollRound
	lastRound uint64
	resigned  bool
}

// pendingTakeover is a change that made this node the owner of a pool for which
// another node may still act.
type pendingTakeover struct {
	startedAt time.Time
	// promisedAt is when a majority had promised; zero until then.
	promisedAt time.Time
}

// NewOwnership returns an Ownership that has seen no snapshot.
func NewOwnership(self state.Member, t Timing) *Ownership {
	return &Ownership{
		self:             self.ID,
		domain:           self.Domain,
		timing:           t,
		pendingTakeovers: map[string]*pendingTakeover{},
		delegations:      map[string]delegation{},
	}
}

// Observe applies a snapshot and returns the newest one observed, which may be one
// that another goroutine has applied. A pool must be taken over unless this node is
// known to have owned it without interruption since the previous snapshot.
func (o *Ownership) Observe(snap *state.Snapshot, now time.Time) *state.Snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	if snap != o.snap && !o.stale(snap) {
		o.observe(snap, now)
	}
	return o.snap
}

// stale reports whether a snapshot is older than the latest observed one.
func (o *Ownership) stale(snap *state.Snapshot) bool {
	if o.snap == nil {
		return false
	}
	return snap.Offset < o.snap.Offset || snap.LogContact.Before(o.snap.LogContact) || latestSeq(snap) < o.lastSeq
}

func latestSeq(snap *state.Snapshot) uint64 {
	if len(snap.Events) == 0 {
		return 0
	}
	return snap.Events[len(snap.Events)-1].Seq
}

func (o *Ownership) observe(snap *state.Snapshot, now time.Time) {
	missedEvents := o.missedEvents(snap)
	ended := o.newlyEnded(snap)
	roster := snap.Domain(o.domain)
	digest := rosterDigest(roster)
	missedEvents = missedEvents || digest != o.digest && !o.sawNewEvents
	changed := o.snap == nil || digest != o.digest || snap.Config != o.snap.Config
	if digest != o.digest {
		o.dropPromise(o.digest)
	}
	o.snap, o.roster, o.digest = snap, roster, digest
	if !changed && len(ended) == 0 && !missedEvents {
		return
	}
	before := o.owned
	o.owned = o.findOwned()
	continued := o.resolveDelegations(ended, missedEvents, now)
	o.updateTakeovers(before, continued, ended, missedEvents, now)
}

func (o *Ownership) updateTakeovers(before, continued map[string]bool, ended []state.MemberID, missedEvents bool, now time.Time) {
	for customer := range o.pendingTakeovers {
		if !o.owned[customer] {
			delete(o.pendingTakeovers, customer)
		}
	}
	for customer := range o.owned {
		if continued[customer] {
			continue
		}
		if missedEvents || !before[customer] || o.outrankedByAny(ended, customer) {
			o.pendingTakeovers[customer] = &pendingTakeover{startedAt: now}
		}
	}
}

func containsMember(roster []state.Member, id state.MemberID) bool {
	for _, m := range roster {
		if m.ID == id {
			return true
		}
	}
	return false
}

// missedEvents reports whether there is a gap between the events seen and those
// of the snapshot.
func (o *Ownership) missedEvents(snap *state.Snapshot) bool {
	if o.snap == nil || len(snap.Events) == 0 {
		return false
	}
	return snap.Events[0].Seq > o.lastSeq+1
}

// newlyEnded returns the members of this domain that have ended since the
// previous snapshot, in log order.
func (o *Ownership) newlyEnded(snap *state.Snapshot) []state.MemberID {
	var ended []state.MemberID
	before := o.lastSeq
	for _, ev := range snap.Events {
		if ev.Seq <= o.lastSeq {
			continue
		}
		o.lastSeq = ev.Seq
		if ev.Ended && ev.Member.ID != o.self && ev.Member.Domain == o.domain {
			ended = append(ended, ev.Member.ID)
		}
	}
	o.sawNewEvents = o.lastSeq != before
	return ended
}

func (o *Ownership) findOwned() map[string]bool {
	owned := map[string]bool{}
	if o.snap.Config == nil || !containsMember(o.roster, o.self) {
		return owned
	}
	for _, c := range o.snap.Config.Customers {
		if m, ok := PoolOwner(o.roster, c.Name); ok && m.ID == o.self {
			owned[c.Name] = true
		}
	}
	return owned
}

// outrankedByAny reports whether any of the members may have been the owner of
// the customer's pool.
func (o *Ownership) outrankedByAny(members []state.MemberID, customer string) bool {
	own := rendezvousWeight(string(o.self), customer)
	for _, m := range members {
		if rendezvousWeight(string(m), customer) >= own {
			return true
		}
	}
	return false
}

// Pools returns the customers whose pool this node has taken over or that was
// delegated to it. MayGrant tells whether it may make grants from them.
func (o *Ownership) Pools(now time.Time) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropCompletedTakeovers(now)
	active := make(map[string]bool, len(o.owned))
	for customer := range o.owned {
		if o.pendingTakeovers[customer] == nil {
			active[customer] = true
		}
	}
	for customer, d := range o.delegations {
		if !now.Before(d.until) {
			delete(o.delegations, customer)
			continue
		}
		active[customer] = true
	}
	return active
}

// authority returns the end of the time for which this node is known not to have
// been replaced.
func (o *Ownership) authority() time.Time {
	if o.resigned || o.snap == nil {
		return time.Time{}
	}
	byLog := o.snap.LogContact.Add(o.timing.logAuthority(len(o.snap.Members)))
	byQuorum := o.confirmedAt.Add(o.timing.QuorumAuthority)
	if byQuorum.After(byLog) {
		return byQuorum
	}
	return byLog
}

// Resign ends this node's authority for good and returns the successors for the
// pools for which it was acting.
func (o *Ownership) Resign(now time.Time) *resignation {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &resignation{
		digest:     o.digest,
		until:      o.authority(),
		successors: map[string]state.Member{},
	}
	o.resigned = true
	if !now.Before(r.until) {
		return r
	}
	r.offset = o.snap.Offset
	remaining := withoutMember(o.roster, o.self)
	for customer := range o.owned {
		if successor, ok := PoolOwner(remaining, customer); ok && o.pendingTakeovers[customer] == nil {
			r.successors[customer] = successor
		}
	}
	return r
}

func (o *Ownership) snapshot() *state.Snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.snap
}

// Tick drops completed takeovers and returns the polls to send.
func (o *Ownership) Tick(now time.Time) []OutgoingPoll {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil || o.resigned || len(o.owned) == 0 {
		return nil
	}
	o.dropCompletedTakeovers(now)
	takeover := o.takeoverAwaitsPromise()
	if !takeover && now.Before(o.authority().Add(-o.timing.QuorumAuthority/2)) {
		return nil
	}
	if now.Sub(o.poll.sentAt) < o.pollInterval() && o.poll.takeover == takeover && o.poll.digest == o.digest {
		return nil
	}
	return o.startPoll(takeover, now)
}

func (o *Ownership) dropCompletedTakeovers(now time.Time) {
	for customer, pending := range o.pendingTakeovers {
		if !pending.promisedAt.IsZero() && !now.Before(pending.promisedAt.Add(o.timing.takeoverWait(len(o.snap.Members)))) {
			delete(o.pendingTakeovers, customer)
		}
	}
}

func (o *Ownership) takeoverAwaitsPromise() bool {
	for _, pending := range o.pendingTakeovers {
		if pending.promisedAt.IsZero() {
			return true
		}
	}
	return false
}
