package state

import "testing"

func TestOutsideItemsAreForgottenOnceLogged(t *testing.T) {
	drained := member(1)
	drained.Draining = true
	successor := member(5)
	successor.ControlAddr = member(2).ControlAddr
	h := newHistory(t)
	for n := range 5 {
		h.must(AnnounceRecord{Member: member(n)})
	}
	h.full.Merge(Outside{
		Withdrawn: []string{"k"},
		Resigned:  []MemberID{"m2", "m3"},
		Draining:  []MemberID{"m1", "m4"},
	}, epoch)
	if o := h.full.Outside(); len(o.Records()) != 5 || !h.full.Merge(o, epoch).Empty() {
		t.Fatalf("merged: %+v", o)
	}
	h.must(WithdrawRecord{KeyIDs: []string{"k"}})
	h.must(AnnounceRecord{Member: successor, Seen: 5})
	h.must(EndRecord{ID: "m3", By: "m3", Reason: EndResigned})
	h.must(AnnounceRecord{Member: drained, Seen: 5})
	h.must(DrainRecord{ID: "m4", Draining: true})
	if o := h.full.Outside(); !o.Empty() {
		t.Fatalf("still outside: %+v", o)
	}
	if o := (Outside{Resigned: []MemberID{"m3"}, Draining: []MemberID{"m4"}}); !h.full.Merge(o, epoch).Empty() {
		t.Fatal("logged items are taken for new")
	}
}

func TestOutsideHashTellsKindsApart(t *testing.T) {
	seen := map[uint64]bool{}
	for _, o := range []Outside{
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
