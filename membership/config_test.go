package membership

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
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
	next := f.logNext()
	late := f.nodes[0].Submit(context.Background(), []byte("late"), 0, "late")
	if late.Outcome != SubmitRejected || f.logNext() != next {
		t.Fatalf("hopeless change: %+v, appended %v", late, f.logNext() != next)
	}
	bad := f.nodes[0].Submit(context.Background(), []byte("bad"), 1, "bad")
	if bad.Outcome != SubmitRejected || !strings.Contains(bad.Reason, "bad file") {
		t.Fatalf("invalid file: %+v", bad)
	}
}

func TestLostAnswersAreReadBack(t *testing.T) {
	ctx := context.Background()
	for name, faults := range map[string]standin.Faults{
		"answer lost":       {DropResponses: 1},
		"request lost":      {DropRequests: 1},
		"one of each":       {DropRequests: 1, DropResponses: 1},
		"every answer lost": {DropResponses: -1},
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
	f.log.SetFaults(standin.Faults{DropRequests: appendTries})
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitUnknown {
		t.Fatalf("no decision in the log: %+v", r)
	}
}

func TestConfigSurvivesARolledBackLog(t *testing.T) {
	f := newFleet(t, 5)
	f.startAll(6, "west-a", "west-b")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	f.submit(f.nodes[1], "two", 1)
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	f.run(3 * time.Second)
	// All but the first two announcements is lost.
	f.log.Rollback(streamName, 2)
	f.run(time.Minute)
	alone := f.start("west-a")
	_ = alone.poll(context.Background())
	if s := alone.Snapshot(); s.Version != 2 || !s.Withdrawn["key-1"] || len(s.Members) != 6 {
		t.Errorf("from the log alone: version %d, %d members, withdrawn %v", s.Version, len(s.Members), s.Withdrawn)
	}
	fresh := f.start("west-a")
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		s := n.Snapshot()
		if s.Version != 2 || s.ChangeID != "change-two" || !s.Withdrawn["key-1"] || len(s.Members) != 8 {
			t.Errorf("%s: version %d, %d members, withdrawn %v", n.member.ID, s.Version, len(s.Members), s.Withdrawn)
		}
	}
	if s := fresh.Snapshot(); s.LogContact.IsZero() {
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

func TestRolledBackLogIsReadAgain(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 10)
	f.startAll(1, "west-a")
	n := f.nodes[0]
	f.submit(n, "one", 0)
	f.submit(n, "two", 1)
	end := f.logNext()
	f.log.Rollback(streamName, end-2)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	if err := n.poll(ctx); err != nil {
		t.Fatal(err)
	}
	if s := n.Snapshot(); s.Version != 2 || s.Offset != end || !s.Withdrawn["other"] {
		t.Fatalf("version %d, offset %d, withdrawn %v", s.Version, s.Offset, s.Withdrawn)
	}
	// Records of the lost log don't get in through a peer meanwhile.
	n.merge(news{Records: []wireRecord{{Offset: end, Data: []byte("x")}}})
	if got := n.Snapshot().Offset; got != end {
		t.Fatalf("offset %d after a relayed record of another log", got)
	}
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"late"}})
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"later"}})
	f.run(2 * time.Second)
	if s := n.Snapshot(); s.Offset <= end || !s.Withdrawn["late"] || !s.Withdrawn["later"] {
		t.Fatalf("offset %d, withdrawn %v", s.Offset, s.Withdrawn)
	}
}

func TestPeersNoticeDifferentLogs(t *testing.T) {
	f := newFleet(t, 11)
	f.startAll(2, "west-a")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	// The log loses a record and gets another one in its place between reads.
	f.log.Rollback(streamName, f.logNext()-1)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	f.run(3 * time.Second)
	if f.nodes[0].Snapshot().Withdrawn["other"] {
		t.Fatal("reads alone notice the change; the test shows nothing")
	}
	// A node that has read the new log tells the others before they read more.
	f.nodes[0].noLog, f.nodes[1].noLog = true, true
	fresh := f.start("west-a")
	_ = fresh.poll(context.Background())
	for _, n := range f.nodes[:2] {
		if err := fresh.exchange(context.Background(), n.member); err != nil {
			t.Fatal(err)
		}
		n.noLog = false
		if err := n.poll(context.Background()); err != nil {
			t.Fatal(err)
		}
		if s := n.Snapshot(); s.Version != 1 || !s.Withdrawn["other"] {
			t.Errorf("%s: version %d, withdrawn %v", n.member.ID, s.Version, s.Withdrawn)
		}
	}
}

func TestNewsAreReadWithTheRecordBefore(t *testing.T) {
	f := newFleet(t, 12)
	f.startAll(1, "west-a")
	f.submit(f.nodes[0], "one", 0)
	f.log.Rollback(streamName, f.logNext()-1)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"next"}})
	if err := f.nodes[0].poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := f.nodes[0].Snapshot(); s.Version != 1 || !s.Withdrawn["other"] || !s.Withdrawn["next"] {
		t.Fatalf("version %d, withdrawn %v", s.Version, s.Withdrawn)
	}
}

func TestAdoptedStateIsComparedWithTheLog(t *testing.T) {
	f := newFleet(t, 13)
	f.startAll(1, "west-a")
	f.submit(f.nodes[0], "one", 0)
	f.nodes[0].noLog = true
	f.log.Rollback(streamName, f.logNext()-1)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	f.log.SetFaults(standin.Faults{Down: true})
	fresh := f.start("west-a", f.nodes[0])
	f.log.SetFaults(standin.Faults{})
	if err := fresh.poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := fresh.Snapshot(); s.Version != 1 || !s.Withdrawn["other"] {
		t.Fatalf("version %d, withdrawn %v", s.Version, s.Withdrawn)
	}
}

func TestRewrittenLogIsNoticed(t *testing.T) {
	f := newFleet(t, 6)
	f.startAll(3, "west-a")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	// The log loses the change and gets another record in its place while away.
	f.log.SetFaults(standin.Faults{Down: true})
	f.run(2 * time.Second)
	f.log.SetFaults(standin.Faults{})
	f.log.Rollback(streamName, f.logNext()-1)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
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

func TestJoiningNodeReadsTheLogIfItCan(t *testing.T) {
	f := newFleet(t, 14)
	f.startAll(3, "west-a")
	fresh := f.start("west-a", f.nodes[1])
	f.run(10 * time.Second)
	events := fresh.Snapshot().Events
	if f.sent[kindState] > 0 || len(events) != 4 || events[0].Seq != 1 {
		t.Fatalf("%d states fetched, events %+v", f.sent[kindState], events)
	}
	far := news{Whole: true}
	if fresh.needsState(far) {
		t.Error("a node that reads the log would fetch a state")
	}
	f.log.SetFaults(standin.Faults{Down: true})
	f.run(2 * staleContact)
	if !fresh.needsState(far) {
		t.Error("a node without the log would not fetch a state")
	}
}

func TestBootstrapFromAPeerWhileTheLogIsAway(t *testing.T) {
	f := newFleet(t, 9)
	f.startAll(4, "west-a", "west-b")
	f.submit(f.nodes[0], "one", 0)
	f.run(3 * time.Second)
	f.log.SetFaults(standin.Faults{Down: true})
	fresh := f.start("west-a", f.nodes[1])
	if s := fresh.Snapshot(); s.Version != 1 {
		t.Fatalf("version %d at the start", s.Version)
	}
	f.run(5 * time.Second)
	s := fresh.Snapshot()
	if s.Version != 1 || len(s.Members) != 4 {
		t.Fatalf("version %d, %d members", s.Version, len(s.Members))
	}
	if !s.LogContact.IsZero() {
		t.Fatal("a peer's word was taken for a contact with the log")
	}
	f.log.SetFaults(standin.Faults{})
	f.run(10 * time.Second)
	if s := f.nodes[0].Snapshot(); len(s.Members) != 5 || fresh.Snapshot().LogContact.IsZero() {
		t.Fatalf("after the outage: %d members", len(s.Members))
	}
}
