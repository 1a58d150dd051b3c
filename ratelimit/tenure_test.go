package ratelimit

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const tenureCustomer = "c"

// tenureLog is a log of roster changes of one failure domain.
type tenureLog struct {
	members map[state.MemberID]state.Member
	events  []state.RosterEvent
	config  *config.Config
}

func newTenureLog(ids ...state.MemberID) *tenureLog {
	l := &tenureLog{
		members: map[state.MemberID]state.Member{},
		config:  &config.Config{Customers: []config.Customer{{Name: tenureCustomer, Rate: 10, Burst: 10}}, FailureDomains: []string{"d"}},
	}
	for _, id := range ids {
		l.change(id, false)
	}
	return l
}

func (l *tenureLog) change(id state.MemberID, ended bool) {
	m := state.Member{ID: id, Domain: "d"}
	if ended {
		delete(l.members, id)
	} else {
		l.members[id] = m
	}
	l.events = append(l.events, state.RosterEvent{Seq: uint64(len(l.events) + 1), Member: m, Ended: ended})
}

// snapshot is what a node has after a read that began at contact.
func (l *tenureLog) snapshot(contact time.Time) *state.Snapshot {
	s := &state.Snapshot{Config: l.config, Members: map[state.MemberID]state.Member{}, LogContact: contact}
	for id, m := range l.members {
		s.Members[id] = m
	}
	s.Events = append(s.Events, l.events...)
	return s.Index()
}

// ranked orders members by their claim to the customer's pool.
func ranked(ids ...state.MemberID) []state.MemberID {
	var roster []state.Member
	for _, id := range ids {
		roster = append(roster, state.Member{ID: id})
	}
	var order []state.MemberID
	for len(roster) > 0 {
		m, _ := poolOwner(roster, tenureCustomer)
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

func tenureOf(id state.MemberID) *Tenure {
	return NewTenure(state.Member{ID: id, Domain: "d"}, DefaultTiming)
}

func acting(t *Tenure, now time.Time) bool {
	return t.Pools(now)[tenureCustomer] && t.Acts(tenureCustomer, now)
}

// exchange delivers a node's polls to the others and their answers back.
func exchange(from *Tenure, all map[state.MemberID]*Tenure, now time.Time) {
	for _, p := range from.Tick(now) {
		if to := all[p.To.ID]; to != nil {
			from.Answered(p.To.ID, to.Answer(p.Poll, now), now)
		}
	}
}

func TestOwnerEndsWithoutContact(t *testing.T) {
	log := newTenureLog("a")
	owner := tenureOf("a")
	owner.Observe(log.snapshot(t0), t0)
	owner.Tick(t0)
	ended := DefaultTiming.Contact + DefaultTiming.Lease
	owner.Observe(log.snapshot(t0.Add(ended)), t0.Add(ended))
	if acting(owner, t0.Add(ended)) {
		t.Fatal("acts though a predecessor's lease may be in use")
	}
	start := t0.Add(DefaultTiming.takeoverWait(1))
	owner.Observe(log.snapshot(start), start)
	if !acting(owner, start) {
		t.Fatal("does not act after the wait")
	}
	if acting(owner, start.Add(DefaultTiming.Contact)) {
		t.Fatal("acts without contact")
	}
}

// TestPromiseEndsConfirmation is the case of an owner that cannot read the
// log, in which it has been replaced, but reaches its domain.
func TestPromiseEndsConfirmation(t *testing.T) {
	ids := ranked("a", "b", "c", "d", "e")
	owner, heir := ids[0], ids[1]
	log := newTenureLog(ids...)
	all := map[state.MemberID]*Tenure{}
	for _, id := range ids {
		all[id] = tenureOf(id)
		all[id].Observe(log.snapshot(t0), t0)
	}
	exchange(all[owner], all, t0)
	now := t0.Add(DefaultTiming.takeoverWait(len(ids)))
	for range 4 {
		exchange(all[owner], all, now)
		if !acting(all[owner], now) {
			t.Fatalf("a confirmed owner does not act at %v", now.Sub(t0))
		}
		now = now.Add(time.Second)
	}

	log.change(owner, true)
	replaced := now
	all[heir].Observe(log.snapshot(now), now)
	exchange(all[heir], all, now)
	for ; now.Before(replaced.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		all[heir].Observe(log.snapshot(now), now)
		exchange(all[heir], all, now)
		exchange(all[owner], all, now)
		if acting(all[owner], now) && acting(all[heir], now) {
			t.Fatalf("two owners %v after the replacement", now.Sub(replaced))
		}
	}
	if !acting(all[heir], now) {
		t.Fatal("the heir does not act")
	}
}

func TestHeirNeedsPromises(t *testing.T) {
	ids := ranked("a", "b", "c", "d", "e")
	log := newTenureLog(ids...)
	log.change(ids[0], true)
	heir := tenureOf(ids[1])
	for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(time.Second) {
		heir.Observe(log.snapshot(now), now)
		exchange(heir, nil, now)
		if acting(heir, now) {
			t.Fatal("acts without a majority")
		}
	}
}

// TestOwnerUnseen is the case of an owner that came and went between two
// reads of the log.
func TestOwnerUnseen(t *testing.T) {
	ids := ranked("a", "b")
	log := newTenureLog(ids[1])
	node := tenureOf(ids[1])
	node.Observe(log.snapshot(t0), t0)
	node.Tick(t0)
	now := t0.Add(time.Minute)
	node.Observe(log.snapshot(now), now)
	if !acting(node, now) {
		t.Fatal("the only member does not act")
	}
	log.change(ids[0], false)
	log.change(ids[0], true)
	now = now.Add(time.Second)
	node.Observe(log.snapshot(now), now)
	if acting(node, now) {
		t.Fatal("acts though another may still be acting")
	}
}

func TestMissedEventsRestartTenure(t *testing.T) {
	log := newTenureLog("a")
	node := tenureOf("a")
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
	if acting(node, now) {
		t.Fatal("acts after a gap in the events")
	}
}

func TestStaleSnapshotIsIgnored(t *testing.T) {
	log := newTenureLog("a", "b")
	node := tenureOf("a")
	old := log.snapshot(t0)
	node.Observe(old, t0)
	log.change("b", true)
	newest := log.snapshot(t0.Add(time.Second))
	node.Observe(newest, t0.Add(time.Second))
	if node.Observe(old, t0.Add(time.Second)) != newest {
		t.Fatal("an older snapshot took the place of a newer one")
	}
	if node.Answer(Poll{Digest: rosterDigest(old.Domain("d"))}, t0.Add(time.Second)).OK {
		t.Fatal("an older roster is confirmed")
	}
}

// TestConfirmationAfterResignations: planned stops while the log is away must
// not keep the remaining owners from being confirmed.
func TestConfirmationAfterResignations(t *testing.T) {
	log := newTenureLog("a", "b", "c", "d")
	member := tenureOf("a")
	member.Observe(log.snapshot(t0), t0)
	now := t0
	for _, id := range []state.MemberID{"b", "c"} {
		now = now.Add(time.Second)
		log.change(id, true)
		s := log.snapshot(t0)
		digest := rosterDigest(s.Domain("d"))
		if !member.Answer(Poll{Digest: digest, Takeover: true}, now).OK {
			t.Fatal("no promise")
		}
		member.Observe(s, now)
		if !member.Answer(Poll{Digest: digest}, now).OK {
			t.Fatalf("the roster without %s is not confirmed", id)
		}
	}
}

func TestWaitCoversAuthority(t *testing.T) {
	for n := 1; n < 2000; n++ {
		authority := max(DefaultTiming.contactTime(2*n), DefaultTiming.Confirmed)
		if DefaultTiming.takeoverWait(n) < authority+DefaultTiming.Lease {
			t.Fatalf("fleet of %d: the wait is shorter than authority and lease of a predecessor", n)
		}
	}
}

func TestResignedOwnerStops(t *testing.T) {
	log := newTenureLog("a")
	owner := tenureOf("a")
	owner.Observe(log.snapshot(t0), t0)
	owner.Tick(t0)
	now := t0.Add(time.Minute)
	owner.Observe(log.snapshot(now), now)
	owner.Resign(now)
	if acting(owner, now) {
		t.Fatal("acts after it has resigned")
	}
}

func TestOtherRosterIsNotConfirmed(t *testing.T) {
	log := newTenureLog("a", "b")
	member := tenureOf("a")
	member.Observe(log.snapshot(t0), t0)
	old := rosterDigest(log.snapshot(t0).Domain("d"))
	if !member.Answer(Poll{Digest: old}, t0).OK {
		t.Fatal("its own roster is not confirmed")
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
			t.Fatalf("roster of %d: the quorums need not share a member", n)
		}
	}
}
