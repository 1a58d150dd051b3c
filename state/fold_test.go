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

var testTime = time.UnixMilli(1_800_000_000_000)

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

// testLog is a log under construction; replica has applied all of it.
type testLog struct {
	t       *testing.T
	replica *Fold
	data    [][]byte
}

func newTestLog(t *testing.T) *testLog { return &testLog{t: t, replica: NewFold(parseAny)} }

func (log *testLog) appendRecord(r Record) error {
	log.t.Helper()
	data, err := Encode(r)
	if err != nil {
		log.t.Fatal(err)
	}
	log.data = append(log.data, data)
	_, err = log.replica.Apply(log.replica.Offset(), data, testTime)
	return err
}

func (log *testLog) mustAppend(r Record) {
	log.t.Helper()
	if err := log.appendRecord(r); err != nil {
		log.t.Fatalf("%T is void: %v", r, err)
	}
}

// replay applies the records from the fold's offset up to an offset.
func (log *testLog) replay(f *Fold, to int) {
	for at := int(f.Offset()); at < to; at++ {
		_, _ = f.Apply(uint64(at), log.data[at], testTime)
	}
}

func configRecord(base uint64, id, file string) ConfigRecord {
	return ConfigRecord{ChangeID: id, Base: base, File: []byte(file)}
}

func TestOnlyOneConcurrentChangeIsAccepted(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(configRecord(0, "first", "a"))
	log.mustAppend(configRecord(1, "left", "b"))
	if err := log.appendRecord(configRecord(1, "right", "c")); err == nil {
		t.Fatal("a change on an old base came into force")
	}
	if err := log.appendRecord(configRecord(2, "broken", "bad")); !errors.Is(err, errBadFile) {
		t.Fatalf("a file that fails to parse gave %v", err)
	}
	s := log.replica.Snapshot()
	if s.Version != 2 || s.ChangeID != "left" || string(s.File) != "b" {
		t.Fatalf("in force: version %d, change %s, file %s", s.Version, s.ChangeID, s.File)
	}
	if d, ok := log.replica.Decision("right"); !ok || d.Accepted() || d.Reason == "" {
		t.Fatalf("decision on the void change: %+v", d)
	}
	// A delayed second append of the accepted change alters neither the state nor
	// the decision.
	if err := log.appendRecord(configRecord(1, "left", "b")); err == nil {
		t.Fatal("a change came into force twice")
	}
	if d, _ := log.replica.Decision("left"); d.Version != 2 {
		t.Fatalf("decision on the accepted change: %+v", d)
	}
}

func TestRefreshNeverRevertsVersion(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(configRecord(0, "c1", "a"))
	log.mustAppend(configRecord(1, "c2", "b"))
	log.mustAppend(RefreshRecord{Version: 1, ChangeID: "c1", File: []byte("a"), AsOfOffset: 1})
	if s := log.replica.Snapshot(); s.Version != 2 || string(s.File) != "b" {
		t.Fatalf("an old refresh reverted to version %d", s.Version)
	}
	log.mustAppend(RefreshRecord{Version: 7, ChangeID: "c7", File: []byte("g"), AsOfOffset: 40})
	if s := log.replica.Snapshot(); s.Version != 7 || string(s.File) != "g" {
		t.Fatalf("a refresh with a higher version was ignored: version %d", s.Version)
	}
}

func TestStartInMidLogWaitsForRefresh(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(configRecord(0, "c1", "a"))
	// Void at its offset, though its base is the version of the refresh.
	_ = log.appendRecord(configRecord(2, "void", "x"))
	log.mustAppend(configRecord(1, "c2", "b"))
	_ = log.appendRecord(configRecord(1, "rejected", "y"))
	// Written by a node that had applied c2 but not the void change "rejected".
	log.mustAppend(RefreshRecord{Version: 2, ChangeID: "c2", File: []byte("b"), AsOfOffset: 3})
	midLog := NewFold(parseAny)
	midLog.SkipTo(1, testTime)
	log.replay(midLog, 4)
	if midLog.VersionKnown() || midLog.Snapshot().Version != 0 {
		t.Fatalf("version %d was taken from the middle of the log", midLog.Snapshot().Version)
	}
	log.replay(midLog, 5)
	if s := midLog.Snapshot(); s.Version != 2 || s.ChangeID != "c2" {
		t.Fatalf("after the refresh: version %d, change %s", s.Version, s.ChangeID)
	}
	// Records between the refresh's offset and the start of this node are missing.
	tooLate := NewFold(parseAny)
	tooLate.SkipTo(4, testTime)
	log.replay(tooLate, 5)
	if tooLate.VersionKnown() {
		t.Fatal("a refresh as of an offset before the start was accepted")
	}
}

func TestEndedIncarnationStaysEnded(t *testing.T) {
	ends := map[string]Record{
		"removed":  EndRecord{ID: "m1", By: "m2", Reason: EndRemoved},
		"resigned": EndRecord{ID: "m1", By: "m1", Reason: EndResigned},
		"replaced": AnnounceRecord{Member: Member{ID: "next", Service: "s", Domain: "d",
			ControlAddr: member(1).ControlAddr, CallAddr: "x", CallerAddr: "y"}, AsOfOffset: 1},
	}
	for name, end := range ends {
		log := newTestLog(t)
		log.mustAppend(AnnounceRecord{Member: member(1)})
		log.mustAppend(end)
		if err := log.appendRecord(AnnounceRecord{Member: member(1), AsOfOffset: 1}); err == nil {
			t.Errorf("%s: a repeated announcement of the ended incarnation is valid", name)
		}
		if s := log.replica.Snapshot(); s.Members["m1"].ID != "" || !s.Ended["m1"] {
			t.Errorf("%s: the incarnation is live again", name)
		}
	}
}

func TestLateAnnouncementIsVoid(t *testing.T) {
	f := NewFold(parseAny)
	f.SkipTo(AnnounceWindow+1, testTime)
	data, err := Encode(AnnounceRecord{Member: member(1), AsOfOffset: 0})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Apply(f.Offset(), data, testTime); err == nil {
		t.Fatal("an announcement written long before its append is valid")
	}
}

func TestEarlierAnnouncementKeepsDrain(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(AnnounceRecord{Member: member(1)})
	log.mustAppend(DrainRecord{ID: "m1", Draining: true})
	log.mustAppend(AnnounceRecord{Member: member(1), AsOfOffset: 1})
	if !log.replica.Snapshot().Members["m1"].Draining {
		t.Fatal("an announcement written before the drain undid it")
	}
	log.mustAppend(AnnounceRecord{Member: member(1), AsOfOffset: 3})
	if log.replica.Snapshot().Members["m1"].Draining {
		t.Fatal("an announcement written after the drain was ignored")
	}
}

func TestEventSequenceSkipsAtGap(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(AnnounceRecord{Member: member(1)})
	log.mustAppend(AnnounceRecord{Member: member(2)})
	log.replica.Merge(Unlogged{Resigned: []MemberID{"m2"}}, testTime)
	log.mustAppend(EndRecord{ID: "m2", By: "m2", Reason: EndResigned})
	log.mustAppend(AnnounceRecord{Member: member(1), AsOfOffset: 3})
	events := log.replica.Snapshot().Events
	if len(events) != 3 || !events[2].Ended || events[2].Member.ID != "m2" {
		t.Fatalf("events: %+v", events)
	}
	for i, e := range events {
		if e.Seq != uint64(i+1) {
			t.Fatalf("event %d has Seq %d", i, e.Seq)
		}
	}
	log.replica.SkipTo(log.replica.Offset()+5, testTime)
	after := log.replica.Snapshot().Events
	if len(after) == 0 || after[0].Seq == events[2].Seq+1 {
		t.Fatalf("no gap in the event sequence: %+v", after)
	}
}

func TestLogContactNeedsWholePrefix(t *testing.T) {
	log := newTestLog(t)
	log.mustAppend(AnnounceRecord{Member: member(1)})
	if log.replica.RecordLogContact(2, testTime) || !log.replica.Snapshot().LogContact.IsZero() {
		t.Fatal("a log contact was recorded though a record before the head is missing")
	}
	if !log.replica.RecordLogContact(1, testTime) || !log.replica.Snapshot().LogContact.Equal(testTime) {
		t.Fatal("the log contact of a read of the head was not recorded")
	}
	log.replica.RecordLogContact(1, testTime.Add(-time.Second))
	if !log.replica.Snapshot().LogContact.Equal(testTime) {
		t.Fatal("an earlier read moved the log contact back")
	}
}

// randomRecord returns a record that a node could have written that has applied
// all of the log or is up to three records behind.
func (log *testLog) randomRecord(r *rand.Rand) Record {
	asOfOffset := log.replica.Offset() - min(log.replica.Offset(), r.Uint64N(4))
	id := MemberID(fmt.Sprintf("m%d", r.IntN(6)))
	switch r.IntN(8) {
	case 0, 1:
		base := log.replica.Version() - min(log.replica.Version(), r.Uint64N(2))
		return configRecord(base, fmt.Sprintf("c%d", r.IntN(40)), []string{"a", "b", "bad"}[r.IntN(3)])
	case 2:
		earlier := NewFold(parseAny)
		log.replay(earlier, int(asOfOffset))
		s := earlier.Snapshot()
		return RefreshRecord{Version: s.Version, ChangeID: s.ChangeID, File: s.File, AsOfOffset: asOfOffset}
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
	return AnnounceRecord{Member: m, AsOfOffset: asOfOffset}
}

func randomLog(t *testing.T, r *rand.Rand, records int) *testLog {
	log := newTestLog(t)
	for range records {
		_ = log.appendRecord(log.randomRecord(r))
	}
	return log
}

// TestEqualOffsetsHaveEqualStates applies random logs in each way in which nodes
// receive them and compares the resulting states.
func TestEqualOffsetsHaveEqualStates(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		log := randomLog(t, r, 60)
		merged := NewFold(parseAny)
		for at, data := range log.data {
			log.mergeEarly(merged, r.IntN(len(log.data)))
			_, _ = merged.Apply(uint64(at), data, testTime)
		}
		cut := 1 + r.IntN(len(log.data)-1)
		donor, joiner := NewFold(parseAny), NewFold(parseAny)
		log.replay(donor, cut)
		log.replay(joiner, r.IntN(cut))
		exported, err := donor.Export()
		if err != nil {
			t.Fatal(err)
		}
		if err := joiner.Adopt(exported, testTime); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		log.replay(joiner, len(log.data))
		for name, f := range map[string]*Fold{"merged early": merged, "adopted": joiner} {
			if f.Digest() != log.replica.Digest() || !sameSnapshot(f.Snapshot(), log.replica.Snapshot()) {
				t.Fatalf("seed %d: %s: state differs at offset %d", seed, name, f.Offset())
			}
		}
	}
}

// mergeEarly merges the unlogged items of the record at an offset into a fold.
func (log *testLog) mergeEarly(f *Fold, at int) {
	rec, err := Decode(log.data[at])
	if err != nil {
		log.t.Fatal(err)
	}
	switch r := rec.(type) {
	case WithdrawRecord:
		f.Merge(Unlogged{Withdrawn: r.KeyIDs}, testTime)
	case EndRecord:
		f.Merge(Unlogged{Resigned: []MemberID{r.ID}}, testTime)
	}
}

func sameSnapshot(a, b *Snapshot) bool {
	return a.Version == b.Version && a.ChangeID == b.ChangeID &&
		maps.Equal(a.Withdrawn, b.Withdrawn) && maps.Equal(a.Members, b.Members) &&
		maps.Equal(a.Ended, b.Ended) && maps.Equal(a.Keys, b.Keys) && reflect.DeepEqual(a.File, b.File)
}

// TestStartInMidLogAgreesWithFullRead compares nodes that start in mid-log with
// nodes that have read the whole log.
func TestStartInMidLogAgreesWithFullRead(t *testing.T) {
	known := 0
	for seed := uint64(1); seed <= 60; seed++ {
		r := rand.New(rand.NewPCG(seed, 2))
		log := randomLog(t, r, 60)
		f := NewFold(parseAny)
		f.SkipTo(1+r.Uint64N(40), testTime)
		for at := int(f.Offset()); at < len(log.data); at++ {
			log.replay(f, at+1)
			full := NewFold(parseAny)
			log.replay(full, at+1)
			if f.VersionKnown() && f.Snapshot().ChangeID != full.Snapshot().ChangeID {
				t.Fatalf("seed %d, offset %d: change %q, want %q", seed, at, f.Snapshot().ChangeID, full.Snapshot().ChangeID)
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
