package ratelimit

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Tenure decides from when and until when this node may act as the owner of a
// pool of its failure domain, so that no two nodes do at once.
//
// The owner acts for a time after a read of the log's head, and, while the log
// is away, for a time after three quarters of the domain's roster have confirmed
// that they see the same roster. A successor first has a majority of its roster
// promise not to confirm the old roster any more, then waits until the authority
// and the leases of its predecessors have ended.
type Tenure struct {
	mu      sync.Mutex
	self    state.MemberID
	domain  string
	timing  Timing
	snap    *state.Snapshot
	roster  []state.Member
	digest  uint64
	lastSeq uint64
	// advanced is set when the latest snapshot brought new events.
	advanced bool
	// owned are the customers whose pool falls to this node.
	owned map[string]bool
	// handovers are the takeovers that this node has not completed, by
	// customer.
	handovers map[string]*handover
	// inherited are the pools for which this node acts in another's place.
	inherited map[string]inheritance
	// quorumAt is when the latest successful confirmation round began.
	quorumAt time.Time
	// promises are the takeovers acknowledged to others.
	promises []promise
	poll     pollRound
	rounds   uint64
	resigned bool
}

// handover is a change that has made this node the owner of a pool which
// another node may still be acting for.
type handover struct {
	at time.Time
	// promised is when a majority had promised; zero until then.
	promised time.Time
}

// NewTenure returns a tenure that has seen no snapshot.
func NewTenure(self state.Member, t Timing) *Tenure {
	return &Tenure{
		self:      self.ID,
		domain:    self.Domain,
		timing:    t,
		handovers: map[string]*handover{},
		inherited: map[string]inheritance{},
	}
}

// Observe takes in a snapshot and returns the newest one, which it is unless
// another goroutine was faster. A pool that this node has not owned all the
// time since the snapshot before, as far as it can tell, is to be taken over.
func (t *Tenure) Observe(snap *state.Snapshot, now time.Time) *state.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if snap != t.snap && !t.stale(snap) {
		t.observe(snap, now)
	}
	return t.snap
}

// stale reports whether a snapshot is older than the one observed last.
func (t *Tenure) stale(snap *state.Snapshot) bool {
	if t.snap == nil {
		return false
	}
	return snap.Offset < t.snap.Offset || snap.LogContact.Before(t.snap.LogContact) || latestSeq(snap) < t.lastSeq
}

func latestSeq(snap *state.Snapshot) uint64 {
	if len(snap.Events) == 0 {
		return 0
	}
	return snap.Events[len(snap.Events)-1].Seq
}

func (t *Tenure) observe(snap *state.Snapshot, now time.Time) {
	missed := t.missed(snap)
	ended := t.newlyEnded(snap)
	roster := snap.Domain(t.domain)
	digest := rosterDigest(roster)
	missed = missed || digest != t.digest && !t.advanced
	changed := t.snap == nil || digest != t.digest || snap.Config != t.snap.Config
	if digest != t.digest {
		t.leave(t.digest)
	}
	t.snap, t.roster, t.digest = snap, roster, digest
	if !changed && len(ended) == 0 && !missed {
		return
	}
	before := t.owned
	t.owned = t.findOwned()
	settled := t.settle(ended, missed, now)
	t.updateHandovers(before, settled, ended, missed, now)
}

func (t *Tenure) updateHandovers(before, settled map[string]bool, ended []state.MemberID, missed bool, now time.Time) {
	for customer := range t.handovers {
		if !t.owned[customer] {
			delete(t.handovers, customer)
		}
	}
	for customer := range t.owned {
		if settled[customer] {
			continue
		}
		if missed || !before[customer] || t.outrankedByAny(ended, customer) {
			t.handovers[customer] = &handover{at: now}
		}
	}
}

func contains(roster []state.Member, id state.MemberID) bool {
	for _, m := range roster {
		if m.ID == id {
			return true
		}
	}
	return false
}

// missed reports a gap between the events seen and those of the snapshot.
func (t *Tenure) missed(snap *state.Snapshot) bool {
	if t.snap == nil || len(snap.Events) == 0 {
		return false
	}
	return snap.Events[0].Seq > t.lastSeq+1
}

// newlyEnded walks the new events in log order.
func (t *Tenure) newlyEnded(snap *state.Snapshot) []state.MemberID {
	var ended []state.MemberID
	before := t.lastSeq
	for _, ev := range snap.Events {
		if ev.Seq <= t.lastSeq {
			continue
		}
		t.lastSeq = ev.Seq
		if ev.Ended && ev.Member.ID != t.self && ev.Member.Domain == t.domain {
			ended = append(ended, ev.Member.ID)
		}
	}
	t.advanced = t.lastSeq != before
	return ended
}

func (t *Tenure) findOwned() map[string]bool {
	owned := map[string]bool{}
	if t.snap.Config == nil || !contains(t.roster, t.self) {
		return owned
	}
	for _, c := range t.snap.Config.Customers {
		if m, ok := poolOwner(t.roster, c.Name); ok && m.ID == t.self {
			owned[c.Name] = true
		}
	}
	return owned
}

// outrankedByAny reports whether one of the members may have been the owner of
// the customer's pool.
func (t *Tenure) outrankedByAny(members []state.MemberID, customer string) bool {
	own := weight(string(t.self), customer)
	for _, m := range members {
		if weight(string(m), customer) >= own {
			return true
		}
	}
	return false
}

// Pools returns the customers whose pool this node has taken over or inherited.
// It may make grants from them as long as it Acts.
func (t *Tenure) Pools(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropCompleted(now)
	taken := make(map[string]bool, len(t.owned))
	for customer := range t.owned {
		if t.handovers[customer] == nil {
			taken[customer] = true
		}
	}
	for customer, in := range t.inherited {
		if !now.Before(in.until) {
			delete(t.inherited, customer)
			continue
		}
		taken[customer] = true
	}
	return taken
}

// authority is the end of the time for which this node is known not to have
// been replaced.
func (t *Tenure) authority() time.Time {
	if t.resigned || t.snap == nil {
		return time.Time{}
	}
	contact := t.snap.LogContact.Add(t.timing.contactTime(len(t.snap.Members)))
	confirmed := t.quorumAt.Add(t.timing.Confirmed)
	if confirmed.After(contact) {
		return confirmed
	}
	return contact
}

// Resign ends the authority of this node for good and returns the next owners
// of the pools for which it was acting.
func (t *Tenure) Resign(now time.Time) *departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &departure{
		digest: t.digest,
		until:  t.authority(),
		heirs:  map[string]state.Member{},
	}
	t.resigned = true
	if !now.Before(d.until) {
		return d
	}
	d.offset = t.snap.Offset
	remaining := without(t.roster, t.self)
	for customer := range t.owned {
		if heir, ok := poolOwner(remaining, customer); ok && t.handovers[customer] == nil {
			d.heirs[customer] = heir
		}
	}
	return d
}

func (t *Tenure) snapshot() *state.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snap
}

// Tick drops completed takeovers and returns the polls to send.
func (t *Tenure) Tick(now time.Time) []OutgoingPoll {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snap == nil || t.resigned || len(t.owned) == 0 {
		return nil
	}
	t.dropCompleted(now)
	takeover := t.awaitsPromise()
	if !takeover && now.Before(t.authority().Add(-t.timing.Confirmed/2)) {
		return nil
	}
	if now.Sub(t.poll.sent) < t.pollInterval() && t.poll.takeover == takeover && t.poll.digest == t.digest {
		return nil
	}
	return t.begin(takeover, now)
}

func (t *Tenure) dropCompleted(now time.Time) {
	for customer, h := range t.handovers {
		if !h.promised.IsZero() && !now.Before(h.promised.Add(t.timing.takeoverWait(len(t.snap.Members)))) {
			delete(t.handovers, customer)
		}
	}
}

func (t *Tenure) awaitsPromise() bool {
	for _, h := range t.handovers {
		if h.promised.IsZero() {
			return true
		}
	}
	return false
}
