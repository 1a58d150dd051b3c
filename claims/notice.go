package claims

import (
	"sort"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Outgoing is a notice to be sent to a member.
type Outgoing struct {
	To     state.Member
	Notice ClosedNotice
}

// notices collects the ends of closed tenures by receiver and change.
type notices map[noticeKey]*Outgoing

type noticeKey struct {
	to     state.MemberID
	change Change
}

// add tells the owner after a closed tenure where it ends.
func (ns notices) add(t *Table, shard uint16, closed *Tenure) {
	if closed.next.ID == "" || closed.next.ID == t.self.ID || !closed.Closed.known() {
		return
	}
	key := noticeKey{to: closed.next.ID, change: closed.Closed}
	out := ns[key]
	if out == nil {
		out = &Outgoing{To: closed.next}
		out.Notice = ClosedNotice{Change: closed.Closed, Domains: t.domains, Holder: t.self}
		ns[key] = out
	}
	out.Notice.Ends = append(out.Notice.Ends, TenureEnd{Shard: shard, EndMS: closed.endMS(), Since: closed.since(), HandedAt: closed.HandedAt})
}

// list returns the notices ordered by receiver and change.
func (ns notices) list() []Outgoing {
	out := make([]Outgoing, 0, len(ns))
	for _, o := range ns {
		out = append(out, *o)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if a.To.ID != b.To.ID {
			return a.To.ID < b.To.ID
		}
		return a.Notice.Change.less(b.Notice.Change)
	})
	return out
}

// Closed takes in a notice from the owner before and returns the notices that
// follow from it: where this node has passed a shard on meanwhile, the next
// owner's tenure may start earlier too. It reports false if the notice can't
// be used yet and should be sent again.
func (t *Table) Closed(n ClosedNotice) ([]Outgoing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned || !t.sameDomains(n.Domains) || !n.Change.known() {
		return nil, false
	}
	next := make(notices)
	for _, end := range n.Ends {
		if end.Shard < shardCount {
			t.closedShard(n, end, next)
		}
	}
	return next.list(), true
}

// closedShard lowers the tenure that the noticed change has opened, or keeps
// the notice for when the change is applied.
func (t *Table) closedShard(n ClosedNotice, end TenureEnd, next notices) {
	s := &t.shards[end.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tenure := range s.tenures {
		if tenure.Opened == n.Change && tenure.Owner == t.self.ID {
			t.lower(tenure, n.Holder, end, next)
			return
		}
	}
	if len(t.ends) < maxPendingEnds {
		t.ends[pendingEnd{change: n.Change, shard: end.Shard}] = ended{end: end, holder: n.Holder}
	}
}

// lower starts a tenure at the end of the one directly before it. A closed
// tenure that thereby ends earlier is passed on to the next owner.
func (t *Table) lower(tenure *Tenure, holder state.Member, end TenureEnd, next notices) {
	if !tenure.follows(end.Since, end.HandedAt) {
		return
	}
	tenure.Previous = holder
	if tenure.lower(end.EndMS) && !tenure.Open {
		next.add(t, end.Shard, tenure)
	}
}
