package membership

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

func TestNodesAgreeOnRosterAndConfig(t *testing.T) {
	f := newFleet(t, 1)
	f.startNodes(9, "west-a", "west-b", "west-c")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(5 * time.Second)
	want := f.nodes[0].fold.Digest()
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 1 || n.fold.Digest() != want {
			t.Errorf("%s: version %d, offset %d differs", n.member.ID, s.Version, s.Offset)
		}
	}
}

func TestConcurrentSubmitsAcceptOnlyOne(t *testing.T) {
	f := newFleet(t, 2)
	f.startNodes(4, "west-a", "west-b")
	var second SubmitResult
	// The second operator's change is appended after the first one's checks.
	f.nodes[0].beforeAppend = func() {
		second = f.nodes[1].Submit(context.Background(), []byte("right"), 0, "right")
	}
	first := f.nodes[0].Submit(context.Background(), []byte("left"), 0, "left")
	if second.Outcome != SubmitAccepted || second.Version != 1 {
		t.Fatalf("second change: %+v", second)
	}
	if first.Outcome != SubmitRejected || !strings.Contains(first.Reason, "version 1 is in force") {
		t.Fatalf("first change: %+v", first)
	}
	next := f.logNext()
	stale := f.nodes[0].Submit(context.Background(), []byte("late"), 0, "late")
	if stale.Outcome != SubmitRejected || f.logNext() != next {
		t.Fatalf("change on an old base: %+v, appended %v", stale, f.logNext() != next)
	}
	invalid := f.nodes[0].Submit(context.Background(), []byte("bad"), 1, "bad")
	if invalid.Outcome != SubmitRejected || !strings.Contains(invalid.Reason, "bad file") {
		t.Fatalf("invalid file: %+v", invalid)
	}
}

func TestSubmitSurvivesLostLogResponses(t *testing.T) {
	ctx := context.Background()
	for name, faults := range map[string]standin.Faults{
		"response lost":       {DropResponses: 1},
		"request lost":        {DropRequests: 1},
		"one of each":         {DropRequests: 1, DropResponses: 1},
		"every response lost": {DropResponses: -1},
	} {
		f := newFleet(t, 3)
		f.startNodes(3, "west-a")
		f.log.SetFaults(faults)
		if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitAccepted || r.Version != 1 {
			t.Errorf("%s: %+v", name, r)
		}
		f.log.SetFaults(standin.Faults{})
		next := f.logNext()
		if r := f.nodes[1].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitAccepted || r.Version != 1 {
			t.Errorf("%s: resubmitted: %+v", name, r)
		}
		if f.logNext() != next {
			t.Errorf("%s: a decided change was appended again", name)
		}
	}
}

func TestSubmitNeverAcceptedDuringOutage(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 4)
	f.startNodes(3, "west-a")
	f.nodes[0].beforeAppend = func() { f.log.SetFaults(standin.Faults{Down: true}) }
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitRejected {
		t.Fatalf("refused before the write: %+v", r)
	}
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitUnknown {
		t.Fatalf("log unavailable: %+v", r)
	}
	f.log.SetFaults(standin.Faults{DropRequests: maxAppendAttempts})
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitUnknown {
		t.Fatalf("no decision in the log: %+v", r)
	}
}

func TestConfigSurvivesLogRollback(t *testing.T) {
	f := newFleet(t, 5)
	f.startNodes(6, "west-a", "west-b")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(3 * time.Second)
	f.mustSubmit(f.nodes[1], "two", 1)
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	f.advance(3 * time.Second)
	// The log loses all records but the first two announcements.
	f.log.Rollback(streamName, 2)
	f.advance(time.Minute)
	logOnly := f.startNode("west-a")
	_ = logOnly.poll(context.Background())
	if s := logOnly.Snapshot(); s.Version != 2 || !s.Withdrawn["key-1"] || len(s.Members) != 6 {
		t.Errorf("from the log alone: version %d, %d members, withdrawn %v", s.Version, len(s.Members), s.Withdrawn)
	}
	fresh := f.startNode("west-a")
	f.advance(10 * time.Second)
	for _, n := range f.nodes {
		s := n.Snapshot()
		if s.Version != 2 || s.ChangeID != "change-two" || !s.Withdrawn["key-1"] || len(s.Members) != 8 {
			t.Errorf("%s: version %d, %d members, withdrawn %v", n.member.ID, s.Version, len(s.Members), s.Withdrawn)
		}
	}
	if s := fresh.Snapshot(); s.LogContact.IsZero() {
		t.Error("the fresh node has not read the log's head")
	}
	f.mustSubmit(f.nodes[2], "three", 2)
	f.advance(10 * time.Second)
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 3 {
			t.Errorf("%s: version %d after the next change", n.member.ID, s.Version)
		}
	}
}

func TestRolledBackLogIsReread(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 10)
	f.startNodes(1, "west-a")
	n := f.nodes[0]
	f.mustSubmit(n, "one", 0)
	f.mustSubmit(n, "two", 1)
	end := f.logNext()
	f.log.Rollback(streamName, end-2)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	if err := n.poll(ctx); err != nil {
		t.Fatal(err)
	}
	if s := n.Snapshot(); s.Version != 2 || s.Offset != end || !s.Withdrawn["other"] {
		t.Fatalf("version %d, offset %d, withdrawn %v", s.Version, s.Offset, s.Withdrawn)
	}
	// While the log is reread, no records of the lost log are accepted from peers.
	n.mergeUpdate(update{Records: []wireRecord{{Offset: end, Data: []byte("x")}}})
	if got := n.Snapshot().Offset; got != end {
		t.Fatalf("offset %d after a relayed record of another log", got)
	}
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"late"}})
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"later"}})
	f.advance(2 * time.Second)
	if s := n.Snapshot(); s.Offset <= end || !s.Withdrawn["late"] || !s.Withdrawn["later"] {
		t.Fatalf("offset %d, withdrawn %v", s.Offset, s.Withdrawn)
	}
}

func TestPeersDetectDivergedLogs(t *testing.T) {
	f := newFleet(t, 11)
	f.startNodes(2, "west-a")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(3 * time.Second)
	// Between two reads the log loses a record and gets another one in its place.
	f.log.Rollback(streamName, f.logNext()-1)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	f.advance(3 * time.Second)
	if f.nodes[0].Snapshot().Withdrawn["other"] {
		t.Fatal("invalid test: the reads alone detected the change")
	}
	// A node that has read the new log gossips with the others before their next
	// read.
	f.nodes[0].logDown, f.nodes[1].logDown = true, true
	fresh := f.startNode("west-a")
	_ = fresh.poll(context.Background())
	for _, n := range f.nodes[:2] {
		if err := fresh.exchange(context.Background(), n.member); err != nil {
			t.Fatal(err)
		}
		n.logDown = false
		if err := n.poll(context.Background()); err != nil {
			t.Fatal(err)
		}
		if s := n.Snapshot(); s.Version != 1 || !s.Withdrawn["other"] {
			t.Errorf("%s: version %d, withdrawn %v", n.member.ID, s.Version, s.Withdrawn)
		}
	}
}

func TestNewRecordsAreReadWithThePrecedingRecord(t *testing.T) {
	f := newFleet(t, 12)
	f.startNodes(1, "west-a")
	f.mustSubmit(f.nodes[0], "one", 0)
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

func TestAdoptedStateIsVerifiedAgainstLog(t *testing.T) {
	f := newFleet(t, 13)
	f.startNodes(1, "west-a")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.nodes[0].logDown = true
	f.log.Rollback(streamName, f.logNext()-1)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	f.log.SetFaults(standin.Faults{Down: true})
	fresh := f.startNode("west-a", f.nodes[0])
	f.log.SetFaults(standin.Faults{})
	if err := fresh.poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := fresh.Snapshot(); s.Version != 1 || !s.Withdrawn["other"] {
		t.Fatalf("version %d, withdrawn %v", s.Version, s.Withdrawn)
	}
}

func TestRewrittenLogIsDetected(t *testing.T) {
	f := newFleet(t, 6)
	f.startNodes(3, "west-a")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(3 * time.Second)
	// During the outage the log loses the change and gets another record in its
	// place.
	f.log.SetFaults(standin.Faults{Down: true})
	f.advance(2 * time.Second)
	f.log.SetFaults(standin.Faults{})
	f.log.Rollback(streamName, f.logNext()-1)
	f.appendRecord(state.WithdrawRecord{KeyIDs: []string{"other"}})
	f.advance(30 * time.Second)
	fresh := f.startNode("west-a")
	_ = fresh.poll(context.Background())
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 1 || !s.Withdrawn["other"] {
			t.Errorf("%s: version %d, withdrawn %v", n.member.ID, s.Version, s.Withdrawn)
		}
	}
}

func TestRefreshKeepsConfigPastRetention(t *testing.T) {
	f := newFleet(t, 7)
	f.startNodes(4, "west-a")
	f.mustSubmit(f.nodes[0], "one", 0)
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	f.advance(4 * DefaultRefreshInterval)
	// The refresh interval is at most a quarter of the retention.
	refreshes := len(logRecords[state.RefreshRecord](f))
	if refreshes < 3 || refreshes > 8 {
		t.Errorf("%d refreshes in four intervals", refreshes)
	}
	f.log.Expire(streamName, f.logNext()/2)
	fresh := f.startNode("west-a")
	_ = fresh.poll(context.Background())
	s := fresh.Snapshot()
	if s.Version != 1 || !s.Withdrawn["key-1"] || len(s.Members) != 4 {
		t.Fatalf("from the log alone: version %d, withdrawn %v, %d members", s.Version, s.Withdrawn, len(s.Members))
	}
}

func TestOutdatedPeerRevertsNoNode(t *testing.T) {
	f := newFleet(t, 8)
	f.startNodes(4, "west-a")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(3 * time.Second)
	outdated := f.nodes[3]
	f.partitioned = func(a, b *testNode) bool { return a == outdated || b == outdated }
	outdated.logDown = true
	f.mustSubmit(f.nodes[0], "two", 1)
	f.advance(5 * time.Second)
	if s := outdated.Snapshot(); s.Version != 1 {
		t.Fatalf("the partitioned node has version %d", s.Version)
	}
	f.partitioned = nil
	f.log.SetFaults(standin.Faults{Down: true})
	f.advance(10 * time.Second)
	// advance checks that no node's version decreases; the outdated node catches up
	// by gossip.
	if s := outdated.Snapshot(); s.Version != 2 {
		t.Fatalf("the outdated node has version %d", s.Version)
	}
}

func TestJoiningNodePrefersLogToPeerState(t *testing.T) {
	f := newFleet(t, 14)
	f.startNodes(3, "west-a")
	fresh := f.startNode("west-a", f.nodes[1])
	f.advance(10 * time.Second)
	events := fresh.Snapshot().Events
	if f.sent[kindState] > 0 || len(events) != 4 || events[0].Seq != 1 {
		t.Fatalf("%d requests for a state, events %+v", f.sent[kindState], events)
	}
	incomplete := update{StateNeeded: true}
	if fresh.needsState(incomplete) {
		t.Error("a node that can read the log would fetch a state")
	}
	f.log.SetFaults(standin.Faults{Down: true})
	f.advance(2 * maxLogContactAge)
	if !fresh.needsState(incomplete) {
		t.Error("a node that cannot read the log would not fetch a state")
	}
}

func TestBootstrapFromPeerDuringOutage(t *testing.T) {
	f := newFleet(t, 9)
	f.startNodes(4, "west-a", "west-b")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(3 * time.Second)
	f.log.SetFaults(standin.Faults{Down: true})
	fresh := f.startNode("west-a", f.nodes[1])
	if s := fresh.Snapshot(); s.Version != 1 {
		t.Fatalf("version %d at the start", s.Version)
	}
	f.advance(5 * time.Second)
	s := fresh.Snapshot()
	if s.Version != 1 || len(s.Members) != 4 {
		t.Fatalf("version %d, %d members", s.Version, len(s.Members))
	}
	if !s.LogContact.IsZero() {
		t.Fatal("a state fetched from a peer counted as log contact")
	}
	f.log.SetFaults(standin.Faults{})
	f.advance(10 * time.Second)
	if s := f.nodes[0].Snapshot(); len(s.Members) != 5 || fresh.Snapshot().LogContact.IsZero() {
		t.Fatalf("after the outage: %d members", len(s.Members))
	}
}
