package state

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

var epoch = time.UnixMilli(1_800_000_000_000)

var errBadFile = errors.New("bad file")

func parseAny(file []byte) (*config.Config, error) {
	if string(file) == "bad" {
		return nil, errBadFile
	}
	return &config.Config{}, nil
}

func member(n int) Member {
	m := Member{ID: MemberID(fmt.Sprintf("m%d", n)), Service: "booker", Domain: "west-a"}
	m.ControlAddr = fmt.Sprintf("127.0.0.1:%d", 1000+n)
	m.CallAddr, m.CallerAddr = m.ControlAddr, m.ControlAddr
	return m
}

// history is a log under construction; full has applied all of it.
type history struct {
	t    *testing.T
	full *Fold
	data [][]byte
}

func newHistory(t *testing.T) *history { return &history{t: t, full: NewFold(parseAny)} }

func (h *history) add(r Record) error {
	h.t.Helper()
	data, err := Encode(r)
	if err != nil {
		h.t.Fatal(err)
	}
	h.data = append(h.data, data)
	_, err = h.full.Apply(h.full.Offset(), data, epoch)
	return err
}

func (h *history) must(r Record) {
	h.t.Helper()
	if err := h.add(r); err != nil {
		h.t.Fatalf("%T is void: %v", r, err)
	}
}

// replay applies the records from the fold's offset up to an offset.
func (h *history) replay(f *Fold, to int) {
	for at := int(f.Offset()); at < to; at++ {
		_, _ = f.Apply(uint64(at), h.data[at], epoch)
	}
}

func change1(base uint64, id, file string) ConfigRecord {
	return ConfigRecord{ChangeID: id, Base: base, File: []byte(file)}
}

func TestRacingChangesHaveOneWinner(t *testing.T) {
	h := newHistory(t)
	h.must(change1(0, "first", "a"))
	h.must(change1(1, "left", "b"))
	if err := h.add(change1(1, "right", "c")); err == nil {
		t.Fatal("a change on an old base came into force")
	}
	if err := h.add(change1(2, "broken", "bad")); !errors.Is(err, errBadFile) {
		t.Fatalf("a file that fails to parse gave %v", err)
	}
	s := h.full.Snapshot()
	if s.Version != 2 || s.ChangeID != "left" || string(s.File) != "b" {
		t.Fatalf("in force: version %d, change %s, file %s", s.Version, s.ChangeID, s.File)
	}
	if d, ok := h.full.Decision("right"); !ok || d.Accepted() || d.Reason == "" {
		t.Fatalf("decision on the loser: %+v", d)
	}
	// The winner's delayed second append changes neither state nor decision.
	if err := h.add(change1(1, "left", "b")); err == nil {
		t.Fatal("a change came into force twice")
	}
	if d, _ := h.full.Decision("left"); d.Version != 2 {
		t.Fatalf("decision on the winner: %+v", d)
	}
}

func TestRefreshNeverReverts(t *testing.T) {
	h := newHistory(t)
	h.must(change1(0, "c1", "a"))
	h.must(change1(1, "c2", "b"))
	h.must(RefreshRecord{Version: 1, ChangeID: "c1", File: []byte("a"), Seen: 1})
	if s := h.full.Snapshot(); s.Version != 2 || string(s.File) != "b" {
		t.Fatalf("an old refresh reverted to version %d", s.Version)
	}
	h.must(RefreshRecord{Version: 7, ChangeID: "c7", File: []byte("g"), Seen: 40})
	if s := h.full.Snapshot(); s.Version != 7 || string(s.File) != "g" {
		t.Fatalf("a restored version was ignored: %d", s.Version)
	}
}

func TestStartInMidLogWaitsForARefresh(t *testing.T) {
	h := newHistory(t)
	h.must(change1(0, "c1", "a"))
	// Void where it stands, though its base is the version of the refresh.
	_ = h.add(change1(2, "void", "x"))
	h.must(change1(1, "c2", "b"))
	_ = h.add(change1(1, "loser", "y"))
	// Written by a node that had seen c2 but not the loser.
	h.must(RefreshRecord{Version: 2, ChangeID: "c2", File: []byte("b"), Seen: 3})
	late := NewFold(parseAny)
	late.Skip(1, epoch)
	h.replay(late, 4)
	if late.VersionKnown() || late.Snapshot().Version != 0 {
		t.Fatalf("version %d was taken from the middle of the log", late.Snapshot().Version)
	}
	h.replay(late, 5)
	if s := late.Snapshot(); s.Version != 2 || s.ChangeID != "c2" {
		t.Fatalf("after the refresh: version %d, change %s", s.Version, s.ChangeID)
	}
	// Records between the refresh's view and this start are missing.
	later := NewFold(parseAny)
	later.Skip(4, epoch)
	h.replay(later, 5)
	if later.VersionKnown() {
		t.Fatal("a refresh from before the start was trusted")
	}
}

func TestEndedIncarnationsNeverRevive(t *testing.T) {
	ends := map[string]Record{
		"removed":  EndRecord{ID: "m1", By: "m2", Reason: EndRemoved},
		"resigned": EndRecord{ID: "m1", By: "m1", Reason: EndResigned},
		"replaced": AnnounceRecord{Member: Member{ID: "next", Service: "s", Domain: "d",
			ControlAddr: member(1).ControlAddr, CallAddr: "x", CallerAddr: "y"}, Seen: 1},
	}
	for name, end := range ends {
		h := newHistory(t)
		h.must(AnnounceRecord{Member: member(1)})
		h.must(end)
		if err := h.add(AnnounceRecord{Member: member(1), Seen: 1}); err == nil {
			t.Errorf("%s: the old announcement is valid", name)
		}
		if s := h.full.Snapshot(); s.Members["m1"].ID != "" || !s.Ended["m1"] {
			t.Errorf("%s: the incarnation is live again", name)
		}
	}
}

func TestLateAnnouncementIsVoid(t *testing.T) {
	f := NewFold(parseAny)
	f.Skip(AnnounceWindow+1, epoch)
	data, err := Encode(AnnounceRecord{Member: member(1), Seen: 0})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Apply(f.Offset(), data, epoch); err == nil {
		t.Fatal("an announcement written long before its append is valid")
	}
}

func TestRepeatedAnnouncementKeepsALaterDrain(t *testing.T) {
	h := newHistory(t)
	h.must(AnnounceRecord{Member: member(1)})
	h.must(DrainRecord{ID: "m1", Draining: true})
	h.must(AnnounceRecord{Member: member(1), Seen: 1})
	if !h.full.Snapshot().Members["m1"].Draining {
		t.Fatal("an announcement written before the drain undid it")
	}
	h.must(AnnounceRecord{Member: member(1), Seen: 3})
	if h.full.Snapshot().Members["m1"].Draining {
		t.Fatal("an announcement written after the drain was ignored")
	}
}

func TestEventsAreContiguousAndJumpAtAGap(t *testing.T) {
	h := newHistory(t)
	h.must(AnnounceRecord{Member: member(1)})
	h.must(AnnounceRecord{Member: member(2)})
	h.full.Merge(Outside{Resigned: []MemberID{"m2"}}, epoch)
	h.must(EndRecord{ID: "m2", By: "m2", Reason: EndResigned})
	h.must(AnnounceRecord{Member: member(1), Seen: 3})
	events := h.full.Snapshot().Events
	if len(events) != 3 || !events[2].Ended || events[2].Member.ID != "m2" {
		t.Fatalf("events: %+v", events)
	}
	for i, e := range events {
		if e.Seq != uint64(i+1) {
			t.Fatalf("event %d has Seq %d", i, e.Seq)
		}
	}
	h.full.Skip(h.full.Offset()+5, epoch)
	after := h.full.Snapshot().Events
	if len(after) == 0 || after[0].Seq == events[2].Seq+1 {
		t.Fatalf("no jump after a gap: %+v", after)
	}
}

func TestContactNeedsTheWholePrefix(t *testing.T) {
	h := newHistory(t)
	h.must(AnnounceRecord{Member: member(1)})
	if h.full.Confirm(2, epoch) || !h.full.Snapshot().LogContact.IsZero() {
		t.Fatal("a contact was recorded though a record before the head is missing")
	}
	if !h.full.Confirm(1, epoch) || !h.full.Snapshot().LogContact.Equal(epoch) {
		t.Fatal("a read of the head was not recorded")
	}
	h.full.Confirm(1, epoch.Add(-time.Second))
	if !h.full.Snapshot().LogContact.Equal(epoch) {
		t.Fatal("an earlier read moved the contact back")
	}
}

// randomRecord returns a record that a node at the history's end, or some
// records behind, could have written.
func (h *history) randomRecord(r *rand.Rand) Record {
	seen := h.full.Offset() - min(h.full.Offset(), r.Uint64N(4))
	id := MemberID(fmt.Sprintf("m%d", r.IntN(6)))
	switch r.IntN(8) {
	case 0, 1:
		base := h.full.Version() - min(h.full.Version(), r.Uint64N(2))
		return change1(base, fmt.Sprintf("c%d", r.IntN(40)), []string{"a", "b", "bad"}[r.IntN(3)])
	case 2:
		past := NewFold(parseAny)
		h.replay(past, int(seen))
		s := past.Snapshot()
		return RefreshRecord{Version: s.Version, ChangeID: s.ChangeID, File: s.File, Seen: seen}
	case 3:
		return WithdrawRecord{KeyIDs: []string{fmt.Sprintf("k%d", r.IntN(5))}}
	case 4:
		return KeysRecord{Keys: []IssuedKey{{ID: fmt.Sprintf("k%d", r.IntN(5)), Customer: "c", Hash: fmt.Sprint(r.IntN(2))}}}
	case 5:
		return EndRecord{ID: id, By: id, Reason: EndResigned}
	case 6:
		return DrainRecord{ID: id, Draining: r.IntN(2) == 0}
	}
	m := member(r.IntN(6))
	m.ControlAddr = fmt.Sprintf("127.0.0.1:%d", 1000+r.IntN(4))
	return AnnounceRecord{Member: m, Seen: seen}
}

func randomHistory(t *testing.T, r *rand.Rand, records int) *history {
	h := newHistory(t)
	for range records {
		_ = h.add(h.randomRecord(r))
	}
	return h
}

// TestSameOffsetSameState applies random histories in the ways in which nodes
// learn them and compares the outcome.
func TestSameOffsetSameState(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		h := randomHistory(t, r, 60)
		early := NewFold(parseAny)
		for at, data := range h.data {
			h.tellEarly(early, r.IntN(len(h.data)))
			_, _ = early.Apply(uint64(at), data, epoch)
		}
		cut := 1 + r.IntN(len(h.data)-1)
		donor, joiner := NewFold(parseAny), NewFold(parseAny)
		h.replay(donor, cut)
		h.replay(joiner, r.IntN(cut))
		exported, err := donor.Export()
		if err != nil {
			t.Fatal(err)
		}
		if err := joiner.Adopt(exported, epoch); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		h.replay(joiner, len(h.data))
		for name, f := range map[string]*Fold{"told early": early, "adopted": joiner} {
			if f.Digest() != h.full.Digest() || !sameView(f.Snapshot(), h.full.Snapshot()) {
				t.Fatalf("seed %d: %s: state differs at offset %d", seed, name, f.Offset())
			}
		}
	}
}

// tellEarly tells a fold outside the log what the record at an offset says.
func (h *history) tellEarly(f *Fold, at int) {
	rec, err := Decode(h.data[at])
	if err != nil {
		h.t.Fatal(err)
	}
	switch r := rec.(type) {
	case WithdrawRecord:
		f.Merge(Outside{Withdrawn: r.KeyIDs}, epoch)
	case EndRecord:
		f.Merge(Outside{Resigned: []MemberID{r.ID}}, epoch)
	}
}

func sameView(a, b *Snapshot) bool {
	return a.Version == b.Version && a.ChangeID == b.ChangeID &&
		maps.Equal(a.Withdrawn, b.Withdrawn) && maps.Equal(a.Members, b.Members) &&
		maps.Equal(a.Ended, b.Ended) && maps.Equal(a.Keys, b.Keys) && reflect.DeepEqual(a.File, b.File)
}

// TestStartInMidLogAgrees compares nodes that begin in mid-log with one that
// has read all.
func TestStartInMidLogAgrees(t *testing.T) {
	known := 0
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 2))
		h := randomHistory(t, r, 60)
		f := NewFold(parseAny)
		f.Skip(1+r.Uint64N(40), epoch)
		for at := int(f.Offset()); at < len(h.data); at++ {
			h.replay(f, at+1)
			past := NewFold(parseAny)
			h.replay(past, at+1)
			if f.VersionKnown() && f.Snapshot().ChangeID != past.Snapshot().ChangeID {
				t.Fatalf("seed %d, offset %d: change %q, want %q", seed, at, f.Snapshot().ChangeID, past.Snapshot().ChangeID)
			}
		}
		if f.VersionKnown() {
			known++
		}
	}
	if known == 0 {
		t.Fatal("no node learned the version")
	}
}
