package ratelimit

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const ownershipCustomer = "c"

// rosterLog is a log of roster changes of one failure domain.
type rosterLog struct {
	members map[state.MemberID]state.Member
	events  []state.RosterEvent
	config  *config.Config
}

func newRosterLog(ids ...state.MemberID) *rosterLog {
	l := &rosterLog{
		members: map[state.MemberID]state.Member{},
		config:  &config.Config{Customers: []config.Customer{{Name: ownershipCustomer, Rate: 10, Burst: 10}}, FailureDomains: []string{"d"}},
	}
	for _, id := range ids {
		l.change(id, false)
	}
	return l
}

func (l *rosterLog) change(id state.MemberID, ended bool) {
	m := state.Member{ID: id, Domain: "d"}
	if ended {
		delete(l.members, id)
	} else {
		l.members[id] = m
	}
	l.events = append(l.events, state.RosterEvent{Seq: uint64(len(l.events) + 1), Member: m, Ended: ended})
}

// snapshot returns a node's snapshot after a log read that began at contact.
func (l *rosterLog) snapshot(contact time.Time) *state.Snapshot {
	s := &state.Snapshot{Config: l.config, Members: map[state.MemberID]state.Member{}, LogContact: contact}
	for id, m := range l.members {
		s.Members[id] = m
	}
	s.Events = append(s.Events, l.events...)
	return s.Index()
}

// rankedIDs orders members by their rendezvous weight for the customer's pool,
// the owner first.
func rankedIDs(ids ...state.MemberID) []state.MemberID {
	var roster []state.Member
	for _, id := range ids {
		roster = append(roster, state.Member{ID: id})
	}
	var order []state.MemberID
	for len(roster) > 0 {
		m, _ := PoolOwner(roster, ownershipCustomer)
		order = append(order, m.ID)
		for i := range roster {
			if roster[i].ID == m.ID {
				roster = append(roster[:i], roster[i+1:]...)
				break
			}
		}
	}
	return order
}

func newTestOwnership(id state.MemberID) *Ownership {
	return NewOwnership(state.Member{ID: id, Domain: "d"}, DefaultTiming)
}

func mayGrant(o *Ownership, now time.Time) bool {
	return o.Pools(now)[ownershipCustomer] && o.MayGrant(ownershipCustomer, now)
}

// exchangePolls delivers a node's polls to the others and their answers back.
func exchangePolls(from *Ownership, all map[state.MemberID]*Ownership, now time.Time) {
	for _, p := range from.Tick(now) {
		if to := all[p.To.ID]; to != nil {
			from.CountAnswer(p.To.ID, to.Answer(p.Poll, now), now)
		}
	}
}

func TestOwnerStopsWithoutLogContact(t *testing.T) {
	log := newRosterLog("a")
	owner := newTestOwnership("a")
	owner.Observe(log.snapshot(t0), t0)
	owner.Tick(t0)
	ended := DefaultTiming.LogAuthority + DefaultTiming.LeaseDuration
	owner.Observe(log.snapshot(t0.Add(ended)), t0.Add(ended))
	if mayGrant(owner, t0.Add(ended)) {
		t.Fatal("may grant while a predecessor's lease may be in use")
	}
	start := t0.Add(DefaultTiming.takeoverWait(1))
	owner.Observe(log.snapshot(start), start)
	if !mayGrant(owner, start) {
		t.Fatal("may not grant after the takeover wait")
	}
	if mayGrant(owner, start.Add(DefaultTiming.LogAuthority)) {
		t.Fatal("may grant without log contact")
	}
}

// An owner that can't read the log, on which it has been replaced, still reaches
// its domain. It must not be confirmed once a majority has promised the takeover.
func TestPromiseEndsConfirmation(t *testing.T) {
	ids := rankedIDs("a", "b", "c", "d", "e")
	owner, successor := ids[0], ids[1]
	log := newRosterLog(ids...)
	all := map[state.MemberID]*Ownership{}
	for _, id := range ids {
		all[id] = newTestOwnership(id)
		all[id].Observe(log.snapshot(t0), t0)
	}
	exchangePolls(all[owner], all, t0)
	now := t0.Add(DefaultTiming.takeoverWait(len(ids)))
	for range 4 {
		exchangePolls(all[owner], all, now)
		if !mayGrant(all[owner], now) {
			t.Fatalf("confirmed owner may not grant at %v", now.Sub(t0))
		}
		now = now.Add(time.Second)
	}

	log.change(owner, true)
	replaced := now
	all[successor].Observe(log.snapshot(now), now)
	exchangePolls(all[successor], all, now)
	for ; now.Before(replaced.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		all[successor].Observe(log.snapshot(now), now)
		exchangePolls(all[successor], all, now)
		exchangePolls(all[owner], all, now)
		if mayGrant(all[owner], now) && mayGrant(all[successor], now) {
			t.Fatalf("two owners %v after the replacement", now.Sub(replaced))
		}
	}
	if !mayGrant(all[successor], now) {
		t.Fatal("the successor may not grant")
	}
}

func TestSuccessorNeedsMajorityOfPromises(t *testing.T) {
	ids := rankedIDs("a", "b", "c", "d", "e")
	log := newRosterLog(ids...)
	log.change(ids[0], true)
	successor := newTestOwnership(ids[1])
	for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(time.Second) {
		successor.Observe(log.snapshot(now), now)
		exchangePolls(successor, nil, now)
		if mayGrant(successor, now) {
			t.Fatal("may grant without a majority of promises")
		}
	}
}

// An owner that joined and ended between two reads of the log must be waited for.
func TestTakeoverWaitsForOwnerEndedBetweenReads(t *testing.T) {
	ids := rankedIDs("a", "b")
	log := newRosterLog(ids[1])
	node := newTestOwnership(ids[1])
	node.Observe(log.snapshot(t0), t0)
	node.Tick(t0)
	now := t0.Add(time.Minute)
	node.Observe(log.snapshot(now), now)
	if !mayGrant(node, now) {
		t.Fatal("the only member may not grant")
	}
	log.change(ids[0], false)
	log.change(ids[0], true)
	now = now.Add(time.Second)
	node.Observe(log.snapshot(now), now)
	if mayGrant(node, now) {
		t.Fatal("may grant while another member may still grant")
	}
}

func TestMissedEventsRestartOwnership(t *testing.T) {
	log := newRosterLog("a")
	node := newTestOwnership("a")
	node.Observe(log.snapshot(t0), t0)
	node.Tick(t0)
	now := t0.Add(time.Minute)
	for _, id := range []state.MemberID{"x", "y"} {
		log.change(id, false)
		log.change(id, true)
	}
	s := log.snapshot(now)
	s.Events = s.Events[3:]
	node.Observe(s, now)
	if mayGrant(node, now) {
		t.Fatal("may grant after a gap in the events")
	}
}

func TestStaleSnapshotIsIgnored(t *testing.T) {
	log := newRosterLog("a", "b")
	node := newTestOwnership("a")
	old := log.snapshot(t0)
	node.Observe(old, t0)
	log.change("b", true)
	newest := log.snapshot(t0.Add(time.Second))
	node.Observe(newest, t0.Add(time.Second))
	if node.Observe(old, t0.Add(time.Second)) != newest {
		t.Fatal("an older snapshot replaced a newer one")
	}
	if node.Answer(Poll{Digest: rosterDigest(old.Domain("d"))}, t0.Add(time.Second)).OK {
		t.Fatal("an older roster is confirmed")
	}
}

// Planned stops while the log is unavailable must not prevent the remaining
// owners from being confirmed.
func TestConfirmationAfterResignations(t *testing.T) {
	log := newRosterLog("a", "b", "c", "d")
	member := newTestOwnership("a")
	member.Observe(log.snapshot(t0), t0)
	now := t0
	for _, id := range []state.MemberID{"b", "c"} {
		now = now.Add(time.Second)
		log.change(id, true)
		s := log.snapshot(t0)
		digest := rosterDigest(s.Domain("d"))
		if !member.Answer(Poll{Digest: digest, Takeover: true}, now).OK {
			t.Fatal("takeover not promised")
		}
		member.Observe(s, now)
		if !member.Answer(Poll{Digest: digest}, now).OK {
			t.Fatalf("the roster without %s is not confirmed", id)
		}
	}
}

func TestTakeoverWaitCoversAuthorityAndLease(t *testing.T) {
	for n := 1; n < 2000; n++ {
		authority := max(DefaultTiming.logAuthority(2*n), DefaultTiming.QuorumAuthority)
		if DefaultTiming.takeoverWait(n) < authority+DefaultTiming.LeaseDuration {
			t.Fatalf("fleet of %d: takeoverWait is shorter than the authority plus lease duration of a predecessor", n)
		}
	}
}

func TestResignedOwnerStops(t *testing.T) {
	log := newRosterLog("a")
	owner := newTestOwnership("a")
	owner.Observe(log.snapshot(t0), t0)
	owner.Tick(t0)
	now := t0.Add(time.Minute)
	owner.Observe(log.snapshot(now), now)
	owner.Resign(now)
	if mayGrant(owner, now) {
		t.Fatal("may grant after it resigned")
	}
}

func TestDifferentRosterIsNotConfirmed(t *testing.T) {
	log := newRosterLog("a", "b")
	member := newTestOwnership("a")
	member.Observe(log.snapshot(t0), t0)
	old := rosterDigest(log.snapshot(t0).Domain("d"))
	if !member.Answer(Poll{Digest: old}, t0).OK {
		t.Fatal("the member's own roster is not confirmed")
	}
	log.change("b", true)
	member.Observe(log.snapshot(t0), t0)
	if member.Answer(Poll{Digest: old}, t0).OK {
		t.Fatal("an older roster is confirmed")
	}
}

func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n < 200; n++ {
		if quorum(n, true)+quorum(n, false) <= n {
			t.Fatalf("roster of %d: the quorums may not intersect", n)
		}
	}
}
