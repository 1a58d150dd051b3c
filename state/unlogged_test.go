package state

import "testing"

func TestUnloggedItemsAreDroppedOnceLogged(t *testing.T) {
	drained := member(1)
	drained.Draining = true
	successor := member(5)
	successor.ControlAddr = member(2).ControlAddr
	log := newTestLog(t)
	for n := range 5 {
		log.mustAppend(AnnounceRecord{Member: member(n)})
	}
	log.replica.Merge(Unlogged{
		Withdrawn: []string{"k"},
		Resigned:  []MemberID{"m2", "m3"},
		Draining:  []MemberID{"m1", "m4"},
	}, testTime)
	if unlogged := log.replica.Unlogged(); len(unlogged.Records()) != 5 || !log.replica.Merge(unlogged, testTime).Empty() {
		t.Fatalf("merged: %+v", unlogged)
	}
	log.mustAppend(WithdrawRecord{KeyIDs: []string{"k"}})
	log.mustAppend(AnnounceRecord{Member: successor, AsOfOffset: 5})
	log.mustAppend(EndRecord{ID: "m3", By: "m3", Reason: EndResigned})
	log.mustAppend(AnnounceRecord{Member: drained, AsOfOffset: 5})
	log.mustAppend(DrainRecord{ID: "m4", Draining: true})
	if unlogged := log.replica.Unlogged(); !unlogged.Empty() {
		t.Fatalf("still unlogged: %+v", unlogged)
	}
	if unlogged := (Unlogged{Resigned: []MemberID{"m3"}, Draining: []MemberID{"m4"}}); !log.replica.Merge(unlogged, testTime).Empty() {
		t.Fatal("logged items were merged as new")
	}
}

func TestUnloggedHashDistinguishesKinds(t *testing.T) {
	seen := map[uint64]bool{}
	for _, unlogged := range []Unlogged{
		{},
		{Withdrawn: []string{"a"}},
		{Resigned: []MemberID{"a"}},
		{Draining: []MemberID{"a"}},
		{Draining: []MemberID{"b"}},
		{Withdrawn: []string{"a", "b"}},
		{Withdrawn: []string{"ab"}},
	} {
		if seen[unlogged.Hash()] {
			t.Errorf("%+v has the hash of another set", unlogged)
		}
		seen[unlogged.Hash()] = true
	}
}
