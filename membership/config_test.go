package membership

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
	"github.com/gooseberryflow/gooseberryflow/state"
)

func TestFleetAgreesOnRosterAndConfig(t *testing.T) {
	f := newFleet(t, 1)
	f.startAll(9, "west-a", "west-b", "west-c")
	f.submit(f.nodes[0], "one", 0)
	f.run(5 * time.Second)
	want := f.nodes[0].fold.Digest()
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 1 || n.fold.Digest() != want {
			t.Errorf("%s: version %d, offset %d differs", n.member.ID, s.Version, s.Offset)
		}
	}
}

func TestRacingOperatorsGetOneWinnerAndOneClearError(t *testing.T) {
	f := newFleet(t, 2)
	f.startAll(4, "west-a", "west-b")
	var second SubmitResult
	// The second operator's change lands after the first one's checks.
	f.nodes[0].beforeAppend = func() {
		second = f.nodes[1].Submit(context.Background(), []byte("right"), 0, "right")
	}
	first := f.nodes[0].Submit(context.Background(), []byte("left"), 0, "left")
	if second.Outcome != SubmitAccepted || second.Version != 1 {
		t.Fatalf("winner: %+v", second)
	}
	if first.Outcome != SubmitRejected || !strings.Contains(first.Reason, "version 1 is in force") {
		t.Fatalf("loser: %+v", first)
	}
	bad := f.nodes[0].Submit(context.Background(), []byte("bad"), 1, "bad")
	if bad.Outcome != SubmitRejected || !strings.Contains(bad.Reason, "bad file") {
		t.Fatalf("invalid file: %+v", bad)
	}
}

func TestLostAnswersAreReadBack(t *testing.T) {
	ctx := context.Background()
	for name, faults := range map[string]standin.Faults{
		"answer lost":       {LoseAnswers: 1},
		"request lost":      {LoseRequests: 1},
		"one of each":       {LoseRequests: 1, LoseAnswers: 1},
		"every answer lost": {LoseAnswers: -1},
	} {
		f := newFleet(t, 3)
		f.startAll(3, "west-a")
		f.log.SetFaults(faults)
		if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitAccepted || r.Version != 1 {
			t.Errorf("%s: %+v", name, r)
		}
		f.log.SetFaults(standin.Faults{})
		next := f.logNext()
		if r := f.nodes[1].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitAccepted || r.Version != 1 {
			t.Errorf("%s: submitted again: %+v", name, r)
		}
		if f.logNext() != next {
			t.Errorf("%s: a decided change was appended again", name)
		}
	}
}

func TestOutageNeverAnswersAccepted(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 4)
	f.startAll(3, "west-a")
	f.nodes[0].beforeAppend = func() { f.log.SetFaults(standin.Faults{Down: true}) }
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitRejected {
		t.Fatalf("refused before the write: %+v", r)
	}
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitUnknown {
		t.Fatalf("log away: %+v", r)
	}
	f.log.SetFaults(standin.Faults{LoseRequests: appendTries})
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitUnknown {
		t.Fatalf("no decision in the log: %+v", r)
	}
}

func TestConfigSurvivesARolledBackLog(t *testing.T) {
	f := newFleet(t, 5)
	f.startAll(6, "west-a", "west-b")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	before := f.logNext()
	f.submit(f.nodes[1], "two", 1)
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	f.run(3 * time.Second)
	f.log.Rollback(streamName, before)
	f.run(time.Minute)
	fresh := f.start("west-a")
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		s := n.Snapshot()
		if s.Version != 2 || s.ChangeID != "change-two" || !s.Withdrawn["key-1"] || len(s.Members) != 7 {
			t.Errorf("%s: version %d, %d members, withdrawn %v", n.member.ID, s.Version, len(s.Members), s.Withdrawn)
		}
	}
	if s := fresh.Snapshot(); s.Contact.IsZero() {
		t.Error("the fresh node never read the head")
	}
	f.submit(f.nodes[2], "three", 2)
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 3 {
			t.Errorf("%s: version %d after the next change", n.member.ID, s.Version)
		}
	}
}

func TestRewrittenLogIsNoticed(t *testing.T) {
	f := newFleet(t, 6)
	f.startAll(3, "west-a")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	// The log loses the change and grows past this offset while it is away.
	f.log.SetFaults(standin.Faults{Down: true})
	f.run(2 * time.Second)
	f.log.SetFaults(standin.Faults{})
	f.log.Rollback(streamName, f.logNext()-1)
	for range 3 {
		data, err := state.Encode(state.WithdrawRecord{KeyIDs: []string{"other"}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.log.Stream(streamName).Append(context.Background(), data); err != nil {
			t.Fatal(err)
		}
	}
	f.run(30 * time.Second)
	fresh := f.start("west-a")
	_ = fresh.poll(context.Background())
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 1 || !s.Withdrawn["other"] {
			t.Errorf("%s: version %d, withdrawn %v", n.member.ID, s.Version, s.Withdrawn)
		}
	}
}

func TestConfigOutlivesTheRetention(t *testing.T) {
	f := newFleet(t, 7)
	f.startAll(4, "west-a")
	f.submit(f.nodes[0], "one", 0)
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	f.run(4 * DefaultRefreshInterval)
	// A quarter of the retention is the refresh interval.
	refreshes := len(records[state.RefreshRecord](f))
	if refreshes < 3 || refreshes > 8 {
		t.Errorf("%d refreshes in four intervals", refreshes)
	}
	f.log.Expire(streamName, f.logNext()/2)
	fresh := f.start("west-a")
	_ = fresh.poll(context.Background())
	s := fresh.Snapshot()
	if s.Version != 1 || !s.Withdrawn["key-1"] || len(s.Members) != 4 {
		t.Fatalf("from the log alone: version %d, withdrawn %v, %d members", s.Version, s.Withdrawn, len(s.Members))
	}
}

func TestOldPeerTakesNobodyBack(t *testing.T) {
	f := newFleet(t, 8)
	f.startAll(4, "west-a")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	old := f.nodes[3]
	f.cut = func(a, b *testNode) bool { return a == old || b == old }
	old.noLog = true
	f.submit(f.nodes[0], "two", 1)
	f.run(5 * time.Second)
	if s := old.Snapshot(); s.Version != 1 {
		t.Fatalf("the cut-off node has version %d", s.Version)
	}
	f.cut = nil
	f.log.SetFaults(standin.Faults{Down: true})
	f.run(10 * time.Second)
	// run checks that nobody goes back; the old node catches up by gossip.
	if s := old.Snapshot(); s.Version != 2 {
		t.Fatalf("the old node has version %d", s.Version)
	}
}

func TestBootstrapFromAPeerWhileTheLogIsAway(t *testing.T) {
	f := newFleet(t, 9)
	f.startAll(4, "west-a", "west-b")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	f.log.SetFaults(standin.Faults{Down: true})
	fresh := f.start("west-a", f.nodes[1])
	f.run(5 * time.Second)
	s := fresh.Snapshot()
	if s.Version != 1 || len(s.Members) != 4 {
		t.Fatalf("version %d, %d members", s.Version, len(s.Members))
	}
	if !s.Contact.IsZero() {
		t.Fatal("a peer's word was taken for a contact with the log")
	}
	f.log.SetFaults(standin.Faults{})
	f.run(10 * time.Second)
	if s := f.nodes[0].Snapshot(); len(s.Members) != 5 || fresh.Snapshot().Contact.IsZero() {
		t.Fatalf("after the outage: %d members", len(s.Members))
	}
}
