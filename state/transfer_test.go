package state

import (
	"errors"
	"testing"
)

func mustExport(t *testing.T, f *Fold) []byte {
	t.Helper()
	data, err := f.Export()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestAdoptRejectsOlderState(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(configRecord(0, "c1", "a"))
	old := mustExport(t, log.replica)
	log.mustAppend(configRecord(1, "c2", "b"))
	for name, data := range map[string][]byte{"earlier": old, "equal": mustExport(t, log.replica)} {
		if err := log.replica.Adopt(data, testTime); !errors.Is(err, ErrStaleState) {
			t.Errorf("%s state: %v", name, err)
		}
	}
	// The state of another log, with a higher offset but a lower version.
	other := newTestLog(t)
	for n := range 5 {
		other.mustAppend(AnnounceRecord{Member: member(n)})
	}
	if err := log.replica.Adopt(mustExport(t, other.replica), testTime); !errors.Is(err, ErrStaleState) {
		t.Errorf("state with an earlier version: %v", err)
	}
	if s := log.replica.Snapshot(); s.Version != 2 || s.Offset != 2 {
		t.Fatalf("state moved to version %d, offset %d", s.Version, s.Offset)
	}
}

func TestAdoptKeepsWithdrawalsAndEnds(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(AnnounceRecord{Member: member(1)})
	log.mustAppend(EndRecord{ID: "m1", By: "m2", Reason: EndRemoved})
	log.mustAppend(WithdrawRecord{KeyIDs: []string{"local"}})
	log.replica.Merge(Unlogged{Withdrawn: []string{"merged", "logged"}}, testTime)
	log.replica.RecordLogContact(3, testTime)
	// The donor's log lacks the end and the withdrawal.
	donor := newTestLog(t)
	for n := range 4 {
		donor.mustAppend(AnnounceRecord{Member: member(n)})
	}
	donor.mustAppend(WithdrawRecord{KeyIDs: []string{"logged"}})
	donor.replica.Merge(Unlogged{Resigned: []MemberID{"m3"}, Draining: []MemberID{"m2"}}, testTime)
	donor.replica.RecordLogContact(5, testTime.Add(1))
	if err := log.replica.Adopt(mustExport(t, donor.replica), testTime); err != nil {
		t.Fatal(err)
	}
	s := log.replica.Snapshot()
	for _, id := range []string{"local", "merged", "logged"} {
		if !s.Withdrawn[id] {
			t.Errorf("key %s is valid again", id)
		}
	}
	if len(s.Members) != 2 || !s.Ended["m1"] || !s.Ended["m3"] {
		t.Errorf("members %v, ended %v", s.Members, s.Ended)
	}
	if !s.LogContact.Equal(testTime) {
		t.Errorf("a peer's log contact was adopted: %v", s.LogContact)
	}
	if !s.Members["m2"].Draining {
		t.Error("m2 is not draining")
	}
	if w := log.replica.Unlogged().Withdrawn; len(w) != 2 || w[0] != "local" || w[1] != "merged" {
		t.Errorf("not in the log: %v", w)
	}
}
