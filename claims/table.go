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

// Table is the owner side of claims at one node: it grants the keys of the shards that
// the node owns. It does no I/O. Claim and Release lock one shard only and
// read no clock: the ranges that they compare with were set by Update, so a
// pause of any length between a check and its effect is harmless.
type Table struct {
	self         state.Member
	settings     Settings
	totalEntries atomic.Int64
	shards       [shardCount]shard

	// mu guards the following fields.
	mu             sync.Mutex
	started        bool
	resigned       bool
	version        uint64 // of the configuration
	domainListHash uint64 // see domainsHash
	lastSeq        uint64 // of the last roster event applied
	offset         uint64 // log offset applied
	roster         *roster
	quorum         quorum
	// highMS is the latest contact plus the margin.
	highMS int64
	// pendingNotices holds tenure ends from notices whose change has not been applied
	// yet.
	pendingNotices map[pendingNoticeKey]pendingNotice
	// pruneCursor is the next shard to prune.
	pruneCursor int
}

// pendingNoticeKey identifies the tenure whose start a pending notice lowers.
type pendingNoticeKey struct {
	change Change
	shard  uint16
}

// pendingNotice is the end of the previous tenure and the member that answers for it.
type pendingNotice struct {
	end    TenureEnd
	holder state.Member
}

// maxPendingNotices bounds the tenure ends kept for changes not yet applied.
const maxPendingNotices = 4 * shardCount

// NewTable returns the table of a node that owns nothing yet.
func NewTable(self state.Member, settings Settings) *Table {
	t := &Table{self: self, settings: settings, pendingNotices: make(map[pendingNoticeKey]pendingNotice)}
	for i := range t.shards {
		t.shards[i].totalEntries = &t.totalEntries
		t.shards[i].domain = self.Domain
	}
	return t
}

// Claim decides on a claim.
func (t *Table) Claim(req ClaimRequest) ClaimResponse {
	return t.shards[req.Key.Shard()].claim(req, t.settings.MaxEntries)
}

// Release releases an attempt that has not run and never will.
func (t *Table) Release(req ReleaseRequest) {
	t.shards[req.Key.Shard()].release(req, t.settings.MaxEntries)
}

// Update applies a newer snapshot and returns the notices to send. It must be called
// with every configuration and roster change in order; if it can't follow the changes
// one by one, it closes all tenures.
func (t *Table) Update(snap *state.Snapshot, now time.Time) []OutgoingNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned {
		return nil
	}
	homesChanged := t.homesChanged(snap)
	if homesChanged {
		clear(t.pendingNotices)
	}
	if t.started && (homesChanged || t.missedEvents(snap)) {
		t.reset(snap, now)
	}
	t.setDomains(snap)
	t.offset = snap.Offset
	if !t.started && !t.wasMember(snap) {
		return nil
	}
	if !t.started {
		snap = observedAt(snap, now)
		t.initialize(snap, now)
	}
	out := t.applyEvents(snap)
	t.observeLogContact(snap)
	return out
}

// wasMember reports whether this node is or was in the roster. Until it has joined, it
// can own nothing.
func (t *Table) wasMember(snap *state.Snapshot) bool {
	_, live := snap.Members[t.self.ID]
	return live || snap.Ended[t.self.ID]
}

// observedAt returns a copy of the snapshot in which all events were observed now: it
// is used for the first update, before which a change of the list of failure domains
// may have been applied later than the events.
func observedAt(snap *state.Snapshot, now time.Time) *state.Snapshot {
	s := *snap
	s.Events = slices.Clone(snap.Events)
	for i := range s.Events {
		s.Events[i].Observed = now
	}
	return &s
}

// missedEvents reports whether events are missing between the last snapshot and the
// events of this one.
func (t *Table) missedEvents(snap *state.Snapshot) bool {
	return len(snap.Events) > 0 && snap.Events[0].Seq > t.lastSeq+1
}

// homesChanged reports whether the home failure domains of keys may have changed. A
// jump over several versions may hide a change of the list and back.
func (t *Table) homesChanged(snap *state.Snapshot) bool {
	if t.version == 0 && snap.Version <= 1 {
		return false
	}
	return snap.Version > t.version+1 || domainsHash(snap) != t.domainListHash
}

// sameDomains reports whether a message that was sent under a list of failure
// domains, given by its hash, is valid here. Before the first configuration
// there is no list and no key has been granted, so messages sent or received then
// are valid with the list of version 1; later changes of the list reset all tenures.
func (t *Table) sameDomains(hash uint64) bool {
	return hash == t.domainListHash || t.version == 0 || (hash == 0 && t.version == 1)
}

// setDomains records the configuration version and the list of failure domains in
// force.
func (t *Table) setDomains(snap *state.Snapshot) {
	t.version = snap.Version
	hash := domainsHash(snap)
	if hash == t.domainListHash {
		return
	}
	t.domainListHash = hash
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.domains = domainList(snap)
		s.mu.Unlock()
	}
}

// applyEvents applies the new roster events of this node's failure domain.
func (t *Table) applyEvents(snap *state.Snapshot) []OutgoingNotice {
	var out []OutgoingNotice
	for _, e := range snap.Events {
		if e.Seq <= t.lastSeq {
			continue
		}
		t.lastSeq = e.Seq
		if e.Member.Domain != t.self.Domain {
			continue
		}
		out = append(out, t.applyEvent(e)...)
	}
	return out
}

// initialize reconstructs the roster before the first event of the snapshot and opens
// the tenures that it gives this node.
func (t *Table) initialize(snap *state.Snapshot, now time.Time) {
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
		t.roster.neverOwned = false
		t.resetRosterHistory(now)
	}
	t.openOwned(now)
}

// reset closes all tenures and opens new ones, for which the previous tenures are
// unknown.
func (t *Table) reset(snap *state.Snapshot, now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		if domainsHash(snap) != t.domainListHash {
			s.tenures = nil
		}
		if open := s.open(); open != nil {
			open.close(Change{}, state.Member{})
		}
		s.mu.Unlock()
	}
	clear(t.pendingNotices)
	t.resetRosterHistory(now)
	t.roster = newRoster(t.self.ID, snap.Domain(t.self.Domain), snap.Offset)
	t.roster.neverOwned = false
	if n := len(snap.Events); n > 0 {
		t.lastSeq = snap.Events[n-1].Seq
	}
	t.openOwned(now)
}

// openOwned records the owner of every shard and opens a tenure, counted from the given
// time, for each shard that this node owns.
func (t *Table) openOwned(since time.Time) {
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
	delay := max(t.settings.Margin, t.settings.Limit) + t.settings.Skew
	return &Tenure{
		LowMS:    since.Add(delay).UnixMilli() + 1,
		HighMS:   t.highMS,
		OpenedBy: o.openedBy,
		Previous: o.previous,
		Open:     true,
		Owner:    t.self.ID,

		previousOpenedBy:  o.previousOpenedBy,
		interimJoinOffset: max(o.previousInterimJoinOffset, t.roster.joined[t.self.ID]),
		openedAtOffset:    t.offset,
	}
}

// applyEvent applies a roster event and opens and closes the tenures of the shards that
// pass to another owner.
func (t *Table) applyEvent(e state.RosterEvent) []OutgoingNotice {
	neverOwned := t.roster.neverOwned
	notices := make(notices)
	t.recordPastRoster(e.Observed)
	t.roster.offset = t.offset
	for _, tr := range t.roster.applyEvent(e) {
		s := &t.shards[tr.shard]
		s.mu.Lock()
		s.owner = t.roster.members[tr.owner]
		if closed := t.closeOrContinue(s, tr); closed != nil {
			notices.add(t, tr.shard, closed)
		}
		if tr.owner == t.self.ID && s.open() == nil {
			t.addTenure(s, tr, e.Observed, neverOwned)
		}
		s.mu.Unlock()
	}
	if !e.Ended {
		t.yieldTakenOver(e.Member, notices)
	}
	return notices.list()
}

// yieldTakenOver closes the tenures that this node has taken over from a resigned
// member, which the roster still lists as the owner, where a joined member rather than
// this node is the next owner. The joined member owns them as soon as it learns of the
// resignation.
func (t *Table) yieldTakenOver(joined state.Member, notices notices) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		open := s.open()
		if open != nil && open.Owner != t.self.ID && outranks(joined.ID, t.self.ID, uint16(i)) {
			open.close(Change{Member: open.Owner, Ended: true}, joined)
			notices.add(t, uint16(i), open)
		}
		s.mu.Unlock()
	}
}

// closeOrContinue closes the open tenure of a transferred shard and returns it. A tenure
// taken over from a member that has now ended continues under this node; the result is
// then nil.
func (t *Table) closeOrContinue(s *shard, tr transfer) *Tenure {
	open := s.open()
	if open == nil {
		return nil
	}
	takenOver := open.Owner == tr.previous.ID && open.Owner != t.self.ID
	if tr.owner == t.self.ID && tr.openedBy.Ended && takenOver {
		open.Owner = t.self.ID
		open.TakenOverBy = tr.openedBy
		return nil
	}
	open.close(tr.openedBy, t.roster.members[tr.owner])
	return open
}

// addTenure opens a tenure of a shard that has passed to this node.
func (t *Table) addTenure(s *shard, tr transfer, since time.Time, neverOwned bool) {
	n := t.newTenure(tr.ownership, since)
	if neverOwned {
		n.LowMS = since.UnixMilli()
	} else if t.settings.Limit > 0 {
		n.unsettled = true
		t.quorum.rounds = 0
		t.quorum.unsettledUntil = since.Add(t.settings.Limit)
	}
	s.tenures = append(s.tenures, n)
	id := pendingNoticeKey{change: tr.openedBy, shard: tr.shard}
	if e, ok := t.pendingNotices[id]; ok {
		delete(t.pendingNotices, id)
		t.lowerStart(n, e.holder, e.end, nil)
	}
}

// observeLogContact extends the open tenures after a newer contact with the log.
func (t *Table) observeLogContact(snap *state.Snapshot) {
	if !snap.LogContact.After(t.quorum.logContact) {
		return
	}
	t.quorum.logContact = snap.LogContact
	t.quorum.contact = laterOf(t.quorum.contact, snap.LogContact)
	t.extendOpen(snap.LogContact.Add(t.settings.Margin))
}

// extendOpen extends the open tenures to a time.
func (t *Table) extendOpen(high time.Time) {
	highMS := high.UnixMilli()
	if highMS <= t.highMS {
		return
	}
	t.highMS = highMS
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		if open := s.open(); open != nil {
			open.extend(highMS)
		}
		s.mu.Unlock()
	}
}

// shardsPerPrune is the number of shards pruned by each call of Prune.
const shardsPerPrune = 16

// Prune drops keys past the retention period, of a few shards at each call.
func (t *Table) Prune(now time.Time) {
	t.mu.Lock()
	from := t.pruneCursor
	t.pruneCursor = (from + shardsPerPrune) % shardCount
	if t.pruneCursor == 0 {
		t.prunePendingNotices(now)
	}
	t.mu.Unlock()
	floorMS := now.Add(-t.settings.Retention).UnixMilli()
	for i := range shardsPerPrune {
		t.shards[(from+i)%shardCount].prune(floorMS)
	}
}

// prunePendingNotices drops notices that are too old to lower the start of a tenure.
func (t *Table) prunePendingNotices(now time.Time) {
	delay := t.settings.Margin + t.settings.Skew
	oldest := now.Add(-2 * delay).UnixMilli()
	for id, e := range t.pendingNotices {
		if e.end.EndMS < oldest {
			delete(t.pendingNotices, id)
		}
	}
}

// Len returns the number of retained keys.
func (t *Table) Len() int64 { return t.totalEntries.Load() }

func domainList(snap *state.Snapshot) []string {
	if snap.Config == nil {
		return nil
	}
	return snap.Config.FailureDomains
}

// domainsHash returns a hash of the list of failure domains; zero if it is empty.
func domainsHash(snap *state.Snapshot) uint64 {
	list := domainList(snap)
	if len(list) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(list, "\x00"))
}
