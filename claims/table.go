package claims

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Table is the owner side of one node: it grants the keys of the shards that
// the node owns. It does no I/O. Claim and Release lock one shard only and
// read no clock: the ranges that they compare with were set by Update, so a
// pause of any length between a check and its effect is harmless.
type Table struct {
	self     state.Member
	settings Settings
	total    atomic.Int64
	shards   [shardCount]shard

	// mu guards what Update and Adopt keep between calls.
	mu       sync.Mutex
	started  bool
	resigned bool
	version  uint64
	domains  uint64
	lastSeq  uint64
	offset   uint64
	roster   *roster
	quorum   quorum
	// highMS is the latest contact plus the margin.
	highMS int64
	// ends holds notices whose change has not been applied yet.
	ends map[pendingEnd]ended
	// swept is the next shard to prune.
	swept int
}

type pendingEnd struct {
	change Change
	shard  uint16
}

type ended struct {
	end    TenureEnd
	holder state.Member
}

// maxPendingEnds bounds the notices kept for changes not yet applied.
const maxPendingEnds = 4 * shardCount

// NewTable returns the table of a node that owns nothing yet.
func NewTable(self state.Member, settings Settings) *Table {
	t := &Table{self: self, settings: settings, ends: make(map[pendingEnd]ended)}
	for i := range t.shards {
		t.shards[i].total = &t.total
		t.shards[i].domain = self.Domain
	}
	return t
}

// Claim decides on a claim.
func (t *Table) Claim(req ClaimRequest) ClaimAnswer {
	return t.shards[req.Key.Shard()].claim(req, t.settings.MaxEntries)
}

// Release gives an attempt back that has not run and never will.
func (t *Table) Release(req ReleaseRequest) {
	t.shards[req.Key.Shard()].release(req, t.settings.MaxEntries)
}

// Update takes in a newer snapshot and returns the notices to send. It must
// be called with every configuration and roster change in order; changes that
// it can't follow one by one close all tenures.
func (t *Table) Update(snap *state.Snapshot, now time.Time) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned {
		return nil
	}
	rehomed := t.rehomed(snap)
	if rehomed {
		clear(t.ends)
	}
	if t.started && (rehomed || t.missed(snap)) {
		t.reset(snap, now)
	}
	t.setDomains(snap)
	t.offset = snap.Offset
	if !t.started && !t.member(snap) {
		return nil
	}
	if !t.started {
		snap = observedAt(snap, now)
		t.start(snap, now)
	}
	out := t.follow(snap)
	t.confirm(snap)
	return out
}

// member reports whether this node is or was in the roster. Until then it can
// own nothing.
func (t *Table) member(snap *state.Snapshot) bool {
	_, live := snap.Members[t.self.ID]
	return live || snap.Ended[t.self.ID]
}

// observedAt returns the snapshot as if all its events had been applied now:
// before the first update, a change of the list of failure domains may have
// been applied later than the events.
func observedAt(snap *state.Snapshot, now time.Time) *state.Snapshot {
	s := *snap
	s.Events = slices.Clone(snap.Events)
	for i := range s.Events {
		s.Events[i].Observed = now
	}
	return &s
}

// missed reports whether the snapshot can't be reached from the last one by
// its events.
func (t *Table) missed(snap *state.Snapshot) bool {
	return len(snap.Events) > 0 && snap.Events[0].Seq > t.lastSeq+1
}

// rehomed reports whether keys may have moved between failure domains. A jump
// over several versions may hide a change of the list and back.
func (t *Table) rehomed(snap *state.Snapshot) bool {
	if t.version == 0 && snap.Version <= 1 {
		return false
	}
	return snap.Version > t.version+1 || domainsHash(snap) != t.domains
}

// sameDomains reports whether a message that was sent under a list of failure
// domains, given by its hash, still holds here. Before the first configuration
// there is no list and no key has been granted, so what was sent or is read
// then goes with the list of version 1; later versions reset what they touch.
func (t *Table) sameDomains(hash uint64) bool {
	return hash == t.domains || t.version == 0 || (hash == 0 && t.version == 1)
}

// setDomains records the version and the list of failure domains in force.
func (t *Table) setDomains(snap *state.Snapshot) {
	t.version = snap.Version
	hash := domainsHash(snap)
	if hash == t.domains {
		return
	}
	t.domains = hash
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.domains = domainList(snap)
		s.mu.Unlock()
	}
}

// follow applies the roster events that are new.
func (t *Table) follow(snap *state.Snapshot) []Outgoing {
	var out []Outgoing
	for _, e := range snap.Events {
		if e.Seq <= t.lastSeq {
			continue
		}
		t.lastSeq = e.Seq
		if e.Member.Domain != t.self.Domain {
			continue
		}
		out = append(out, t.apply(e)...)
	}
	return out
}

// start reconstructs the roster before the first event of the snapshot.
func (t *Table) start(snap *state.Snapshot, now time.Time) {
	t.started = true
	members := make(map[state.MemberID]state.Member)
	for _, m := range snap.Domain(t.self.Domain) {
		members[m.ID] = m
	}
	for i := len(snap.Events) - 1; i >= 0; i-- {
		e := snap.Events[i]
		if e.Member.Domain != t.self.Domain {
			continue
		}
		if e.Ended {
			members[e.Member.ID] = e.Member
		} else {
			delete(members, e.Member.ID)
		}
	}
	base := make([]state.Member, 0, len(members))
	for _, m := range members {
		base = append(base, m)
	}
	t.roster = newRoster(t.self.ID, base, snap.Offset)
	if len(snap.Events) == 0 || snap.Events[0].Seq != 1 {
		t.roster.fresh = false
		t.blind(now)
	}
	t.openAll(now)
}

// reset closes all tenures and opens new ones for which nothing is known
// about the tenures before.
func (t *Table) reset(snap *state.Snapshot, now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		if domainsHash(snap) != t.domains {
			s.tenures = nil
		}
		if open := s.open(); open != nil {
			open.close(Change{}, state.Member{})
		}
		s.mu.Unlock()
	}
	clear(t.ends)
	t.blind(now)
	t.roster = newRoster(t.self.ID, snap.Domain(t.self.Domain), snap.Offset)
	t.roster.fresh = false
	if n := len(snap.Events); n > 0 {
		t.lastSeq = snap.Events[n-1].Seq
	}
	t.openAll(now)
}

// openAll records the owner of every shard and opens a tenure for those owned
// by this node since the given time.
func (t *Table) openAll(since time.Time) {
	for i := range t.shards {
		o := t.roster.owners[i]
		s := &t.shards[i]
		s.mu.Lock()
		s.owner = t.roster.members[o.owner]
		if o.owner == t.self.ID {
			s.tenures = append(s.tenures, t.newTenure(o, since))
		}
		s.mu.Unlock()
	}
}

func (t *Table) newTenure(o ownership, since time.Time) *Tenure {
	wait := max(t.settings.Margin, t.settings.Limit) + t.settings.Skew
	return &Tenure{
		LowMS:    since.Add(wait).UnixMilli() + 1,
		HighMS:   t.highMS,
		Opened:   o.opened,
		Previous: o.previous,
		Open:     true,
		Owner:    t.self.ID,

		previousOpened: o.previousOpened,
		overtakenAt:    max(o.previousOvertakenAt, t.roster.joined[t.self.ID]),
		openedAt:       t.offset,
	}
}

// apply moves shards after a roster event.
func (t *Table) apply(e state.RosterEvent) []Outgoing {
	fresh := t.roster.fresh
	notices := make(notices)
	t.remember(e.Observed)
	t.roster.offset = t.offset
	for _, mv := range t.roster.apply(e) {
		s := &t.shards[mv.shard]
		s.mu.Lock()
		s.owner = t.roster.members[mv.owner]
		if closed := t.passOn(s, mv); closed != nil {
			notices.add(t, mv.shard, closed)
		}
		if mv.owner == t.self.ID && s.open() == nil {
			t.open(s, mv, e.Observed, fresh)
		}
		s.mu.Unlock()
	}
	if !e.Ended {
		t.yield(e.Member, notices)
	}
	return notices.list()
}

// yield closes the tenures that this node has taken over from a member that
// has resigned and that still owns them by the roster, where a new member is the next owner in its place. The new
// member owns them as soon as it learns of the resignation.
func (t *Table) yield(joined state.Member, notices notices) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		open := s.open()
		if open != nil && open.Owner != t.self.ID && beats(joined.ID, t.self.ID, uint16(i)) {
			open.close(Change{Member: open.Owner, Ended: true}, joined)
			notices.add(t, uint16(i), open)
		}
		s.mu.Unlock()
	}
}

// passOn closes the open tenure of a shard that has moved. A tenure taken
// over from a member that has now ended goes on under this node.
func (t *Table) passOn(s *shard, mv move) *Tenure {
	open := s.open()
	if open == nil {
		return nil
	}
	takenOver := open.Owner == mv.previous.ID && open.Owner != t.self.ID
	if mv.owner == t.self.ID && mv.opened.Ended && takenOver {
		open.Owner = t.self.ID
		open.Taken = mv.opened
		return nil
	}
	open.close(mv.opened, t.roster.members[mv.owner])
	return open
}

func (t *Table) open(s *shard, mv move, since time.Time, fresh bool) {
	n := t.newTenure(mv.ownership, since)
	if fresh {
		n.LowMS = since.UnixMilli()
	} else if t.settings.Limit > 0 {
		n.unsettled = true
		t.quorum.tries = 0
		t.quorum.unsettledUntil = since.Add(t.settings.Limit)
	}
	s.tenures = append(s.tenures, n)
	id := pendingEnd{change: mv.opened, shard: mv.shard}
	if e, ok := t.ends[id]; ok {
		delete(t.ends, id)
		t.lower(n, e.holder, e.end, nil)
	}
}

// confirm takes in the latest contact with the log.
func (t *Table) confirm(snap *state.Snapshot) {
	if !snap.LogContact.After(t.quorum.logContact) {
		return
	}
	t.quorum.logContact = snap.LogContact
	t.quorum.contact = later(t.quorum.contact, snap.LogContact)
	t.extend(snap.LogContact.Add(t.settings.Margin))
}

// extend moves the end of the open tenures up to a time.
func (t *Table) extend(high time.Time) {
	highMS := high.UnixMilli()
	if highMS <= t.highMS {
		return
	}
	t.highMS = highMS
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		if open := s.open(); open != nil {
			open.raise(highMS)
		}
		s.mu.Unlock()
	}
}

// sweepPerTick is the number of shards pruned at each tick.
const sweepPerTick = 16

// Prune forgets keys past the retention period, a few shards at each call.
func (t *Table) Prune(now time.Time) {
	t.mu.Lock()
	from := t.swept
	t.swept = (from + sweepPerTick) % shardCount
	if t.swept == 0 {
		t.dropEnds(now)
	}
	t.mu.Unlock()
	floorMS := now.Add(-t.settings.Retention).UnixMilli()
	for i := range sweepPerTick {
		t.shards[(from+i)%shardCount].prune(floorMS)
	}
}

// dropEnds forgets notices that no tenure has used in time to profit.
func (t *Table) dropEnds(now time.Time) {
	wait := t.settings.Margin + t.settings.Skew
	oldest := now.Add(-2 * wait).UnixMilli()
	for id, e := range t.ends {
		if e.end.EndMS < oldest {
			delete(t.ends, id)
		}
	}
}

// Len returns the number of keys remembered.
func (t *Table) Len() int64 { return t.total.Load() }

func domainList(snap *state.Snapshot) []string {
	if snap.Config == nil {
		return nil
	}
	return snap.Config.FailureDomains
}

func domainsHash(snap *state.Snapshot) uint64 {
	list := domainList(snap)
	if len(list) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(list, "\x00"))
}
