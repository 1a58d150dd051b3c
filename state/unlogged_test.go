package state

import "testing"

func TestUnloggedItemsAreDroppedOnceLogged(t *testing.T) {
	drained := member(1)
	drained.Draining = true
	successor := member(5)
	successor.ControlAddr = member(2).ControlAddr
	h := newTestLog(t)
	for n := range 5 {
		h.mustAppend(AnnounceRecord{Member: member(n)})
	}
	h.replica.Merge(Unlogged{
		Withdrawn: []string{"k"},
		Resigned:  []MemberID{"m2", "m3"},
		Draining:  []MemberID{"m1", "m4"},
	}, testTime)
	if o := h.replica.Unlogged(); len(o.Records()) != 5 || !h.replica.Merge(o, testTime).Empty() {
		t.Fatalf("merged: %+v", o)
	}
	h.mustAppend(WithdrawRecord{KeyIDs: []string{"k"}})
	h.mustAppend(AnnounceRecord{Member: successor, AsOfOffset: 5})
	h.mustAppend(EndRecord{ID: "m3", By: "m3", Reason: EndResigned})
	h.mustAppend(AnnounceRecord{Member: drained, AsOfOffset: 5})
	h.mustAppend(DrainRecord{ID: "m4", Draining: true})
	if o := h.replica.Unlogged(); !o.Empty() {
		t.Fatalf("still unlogged: %+v", o)
	}
	if o := (Unlogged{Resigned: []MemberID{"m3"}, Draining: []MemberID{"m4"}}); !h.replica.Merge(o, testTime).Empty() {
		t.Fatal("logged items were merged as new")
	}
}

func TestUnloggedHashDistinguishesKinds(t *testing.T) {
	seen := map[uint64]bool{}
	for _, o := range []Unlogged{
		{},
		{Withdrawn: []string{"a"}},
		{Resigned: []MemberID{"a"}},
		{Draining: []MemberID{"a"}},
		{Draining: []MemberID{"b"}},
		{Withdrawn: []string{"a", "b"}},
		{Withdrawn: []string{"ab"}},
	} {
		if seen[o.Hash()] {
			t.Errorf("%+v has the hash of another set", o)
		}
		seen[o.Hash()] = true
	}
}
