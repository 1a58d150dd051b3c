package ratelimit

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// The successor must continue as owner when the previous owner's end is on the
// log, unless a third member may have become the owner in between.
func TestDelegationBecomesOwnership(t *testing.T) {
	ids := rankedIDs("a", "b", "c")
	third, owner, successor := ids[0], ids[1], ids[2]
	for _, thirdMemberJoined := range []bool{false, true} {
		log := newRosterLog(owner, successor)
		node := newTestOwnership(successor)
		s := log.snapshot(t0)
		node.Observe(s, t0)
		d := delegation{from: owner, until: t0.Add(DefaultTiming.LogAuthority)}
		if node.AcceptDelegation(ownershipCustomer, d, rosterDigest(s.Domain("d")), s.Offset, t0); !mayGrant(node, t0) {
			t.Fatal("may not grant in place of the owner")
		}
		if mayGrant(node, d.until) {
			t.Fatal("may grant after the end of the owner's authority")
		}
		node.AcceptDelegation(ownershipCustomer, d, rosterDigest(s.Domain("d")), s.Offset, t0)
		if thirdMemberJoined {
			log.change(third, false)
			log.change(third, true)
		}
		log.change(owner, true)
		now := t0.Add(time.Second)
		node.Observe(log.snapshot(now), now)
		if mayGrant(node, now) == thirdMemberJoined {
			t.Fatalf("third member joined %v: mayGrant = %v", thirdMemberJoined, thirdMemberJoined)
		}
	}
}

func TestDelegationNeedsSameRosterAndLog(t *testing.T) {
	ids := rankedIDs("a", "b")
	s := newRosterLog(ids...).snapshot(t0)
	s.Offset = 7
	d := delegation{from: ids[0], until: t0.Add(time.Second)}
	digest := rosterDigest(s.Domain("d"))
	for _, c := range []struct {
		digest, offset uint64
		now            time.Time
	}{{digest + 1, 7, t0}, {digest, 6, t0}, {digest, 7, d.until}} {
		node := newTestOwnership(ids[1])
		node.Observe(s, t0)
		if node.AcceptDelegation(ownershipCustomer, d, c.digest, c.offset, c.now) {
			t.Errorf("delegation accepted with %+v", c)
		}
	}
}

// A repeated message must not create tokens by handing a pool over twice.
func TestPoolIsHandedOverOnce(t *testing.T) {
	ids := rankedIDs("a", "b")
	s := newRosterLog(ids...).snapshot(t0)
	owner := NewPools(state.Member{ID: ids[0], Domain: "d"}, DefaultTiming)
	successor := NewPools(state.Member{ID: ids[1], Domain: "d"}, DefaultTiming)
	owner.Observe(s, t0)
	successor.Observe(s, t0)
	delete(owner.ownership.pendingTakeovers, ownershipCustomer)
	owner.Observe(s, t0)
	notices := owner.Resign(t0)
	if len(notices) != 1 || notices[0].To.ID != ids[1] {
		t.Fatalf("notices %+v, want one to the successor", notices)
	}
	request := successor.HandoverRequest(ids[0], notices[0].HandoverNotice, t0)
	h := owner.HandOver(ids[1], request, t0)
	if _, ok := successor.AcceptHandover(s, ownershipCustomer, h, t0); !ok {
		t.Fatal("handover not accepted")
	}
	if _, ok := successor.AcceptHandover(s, ownershipCustomer, h, t0); ok {
		t.Fatal("handover accepted twice")
	}
	if owner.HandOver(ids[1], successor.HandoverRequest(ids[0], notices[0].HandoverNotice, t0), t0).OK {
		t.Fatal("pool handed over twice")
	}
}
