package state

import (
	"errors"
	"testing"
)

func exported(t *testing.T, f *Fold) []byte {
	t.Helper()
	data, err := f.Export()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestAdoptNeverMovesBack(t *testing.T) {
	h := newHistory(t)
	h.must(change1(0, "c1", "a"))
	old := exported(t, h.full)
	h.must(change1(1, "c2", "b"))
	for name, data := range map[string][]byte{"earlier": old, "equal": exported(t, h.full)} {
		if err := h.full.Adopt(data, epoch); !errors.Is(err, ErrOlder) {
			t.Errorf("%s state: %v", name, err)
		}
	}
	// Later by offset, but with an earlier version: another log's state.
	other := newHistory(t)
	for n := range 5 {
		other.must(AnnounceRecord{Member: member(n)})
	}
	if err := h.full.Adopt(exported(t, other.full), epoch); !errors.Is(err, ErrOlder) {
		t.Errorf("state with an earlier version: %v", err)
	}
	if s := h.full.Snapshot(); s.Version != 2 || s.Offset != 2 {
		t.Fatalf("moved to version %d, offset %d", s.Version, s.Offset)
	}
}

func TestAdoptKeepsWhatOnlyGrows(t *testing.T) {
	h := newHistory(t)
	h.must(AnnounceRecord{Member: member(1)})
	h.must(EndRecord{ID: "m1", By: "m2", Reason: EndRemoved})
	h.must(WithdrawRecord{KeyIDs: []string{"mine"}})
	h.full.Merge(Outside{Withdrawn: []string{"told", "logged"}}, epoch)
	h.full.Confirm(3, epoch)
	// The donor's log lost the end and the withdrawal.
	donor := newHistory(t)
	for n := range 4 {
		donor.must(AnnounceRecord{Member: member(n)})
	}
	donor.must(WithdrawRecord{KeyIDs: []string{"logged"}})
	donor.full.Merge(Outside{Resigned: []MemberID{"m3"}, Draining: []MemberID{"m2"}}, epoch)
	donor.full.Confirm(5, epoch.Add(1))
	if err := h.full.Adopt(exported(t, donor.full), epoch); err != nil {
		t.Fatal(err)
	}
	s := h.full.Snapshot()
	for _, id := range []string{"mine", "told", "logged"} {
		if !s.Withdrawn[id] {
			t.Errorf("key %s is valid again", id)
		}
	}
	if len(s.Members) != 2 || !s.Ended["m1"] || !s.Ended["m3"] {
		t.Errorf("members %v, ended %v", s.Members, s.Ended)
	}
	if !s.LogContact.Equal(epoch) {
		t.Errorf("a peer's contact was taken over: %v", s.LogContact)
	}
	if !s.Members["m2"].Draining {
		t.Error("m2 does not drain")
	}
	if w := h.full.Outside().Withdrawn; len(w) != 2 || w[0] != "mine" || w[1] != "told" {
		t.Errorf("not in the log: %v", w)
	}
}
