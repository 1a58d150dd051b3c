package claims

import (
	"sort"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// OutgoingNotice is a notice to be sent to a member.
type OutgoingNotice struct {
	To     state.Member
	Notice TenureEndNotice
}

// notices collects the ends of closed tenures by recipient and change.
type notices map[noticeKey]*OutgoingNotice

type noticeKey struct {
	to     state.MemberID
	change Change
}

// add adds the end of a closed tenure to the notice for the next owner.
func (ns notices) add(t *Table, shard uint16, closed *Tenure) {
	if closed.nextOwner.ID == "" || closed.nextOwner.ID == t.self.ID || !closed.ClosedBy.known() {
		return
	}
	key := noticeKey{to: closed.nextOwner.ID, change: closed.ClosedBy}
	out := ns[key]
	if out == nil {
		out = &OutgoingNotice{To: closed.nextOwner}
		out.Notice = TenureEndNotice{Change: closed.ClosedBy, DomainsHash: t.domainListHash, Holder: t.self}
		ns[key] = out
	}
	out.Notice.Ends = append(out.Notice.Ends, TenureEnd{Shard: shard, EndMS: closed.endMS(), AcquiredBy: closed.acquiredBy(), HandoverOffset: closed.HandoverOffset})
}

// list returns the notices ordered by recipient and change.
func (ns notices) list() []OutgoingNotice {
	out := make([]OutgoingNotice, 0, len(ns))
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

// ApplyNotice applies a notice from a previous owner and returns the notices that
// follow from it: where a shard has passed from this node to another owner
// meanwhile, that owner's tenure may start earlier too. It reports false if the
// notice can't be applied yet and should be sent again.
func (t *Table) ApplyNotice(n TenureEndNotice) ([]OutgoingNotice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned || !t.sameDomains(n.DomainsHash) || !n.Change.known() {
		return nil, false
	}
	followUps := make(notices)
	for _, end := range n.Ends {
		if end.Shard < shardCount {
			t.applyTenureEnd(n, end, followUps)
		}
	}
	return followUps.list(), true
}

// applyTenureEnd lowers the start of the tenure that the notice's change has opened,
// or keeps the notice until the change is applied.
func (t *Table) applyTenureEnd(n TenureEndNotice, end TenureEnd, followUps notices) {
	s := &t.shards[end.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tenure := range s.tenures {
		if tenure.OpenedBy == n.Change && tenure.Owner == t.self.ID {
			t.lowerStart(tenure, n.Holder, end, followUps)
			return
		}
	}
	if len(t.pendingNotices) < maxPendingNotices {
		t.pendingNotices[pendingNoticeKey{change: n.Change, shard: end.Shard}] = pendingNotice{end: end, holder: n.Holder}
	}
}

// lowerStart starts a tenure at the end of the one directly before it. If a closed
// tenure thereby ends earlier, its next owner is notified.
func (t *Table) lowerStart(tenure *Tenure, holder state.Member, end TenureEnd, followUps notices) {
	if !tenure.directlyFollows(end.AcquiredBy, end.HandoverOffset) {
		return
	}
	tenure.Previous = holder
	if tenure.lowerStart(end.EndMS) && !tenure.Open {
		followUps.add(t, end.Shard, tenure)
	}
}
