package membership

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// withdrawalSpreadTarget is the time within which a withdrawn key must stop
// working on every reachable node.
const withdrawalSpreadTarget = 5 * time.Second

func TestWithdrawalDuringOutageReachesReachableNodes(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 20)
	f.startNodes(32, "west-a", "west-b", "west-c", "west-d")
	f.log.SetFaults(standin.Faults{Down: true})
	isolated := func(n *testNode) bool { return n.member.Domain == "west-d" }
	f.partitioned = func(a, b *testNode) bool { return isolated(a) != isolated(b) }
	if err := f.nodes[0].Withdraw(ctx, "key-1"); err != nil {
		t.Fatal(err)
	}
	f.advance(withdrawalSpreadTarget)
	for _, n := range f.nodes {
		if got := n.Snapshot().Withdrawn["key-1"]; got == isolated(n) {
			t.Errorf("%s in %s: withdrawn %v", n.member.ID, n.member.Domain, got)
		}
	}
	f.partitioned = nil
	f.advance(withdrawalSpreadTarget)
	for _, n := range f.nodes {
		if !n.Snapshot().Withdrawn["key-1"] {
			t.Errorf("%s: not withdrawn after the partition healed", n.member.ID)
		}
	}
	// The node that accepted the withdrawal is down when the log is available
	// again.
	f.nodes[0].down = true
	f.log.SetFaults(standin.Faults{})
	f.advance(time.Minute)
	if n := len(logRecords[state.WithdrawRecord](f)); n == 0 || n > 3 {
		t.Errorf("%d records of the withdrawal", n)
	}
}

func TestWithdrawalOnIsolatedNodeIsReported(t *testing.T) {
	f := newFleet(t, 21)
	f.startNodes(3, "west-a")
	f.nodes[0].logDown = true
	f.partitioned = func(_, _ *testNode) bool { return true }
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); !errors.Is(err, ErrLocalOnly) {
		t.Fatalf("isolated: %v", err)
	}
	if !f.nodes[0].Snapshot().Withdrawn["key-1"] {
		t.Fatal("not in force on the node itself")
	}
	f.nodes[0].logDown = false
	f.advance(withdrawalSpreadTarget)
	if !f.nodes[1].Snapshot().Withdrawn["key-1"] {
		t.Fatal("not appended once the log was available again")
	}
}

func TestKeysAreIssuedOnce(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 22)
	f.startNodes(2, "west-a")
	key := state.IssuedKey{ID: "k", Customer: "c", Salt: "00", Hash: "11"}.Key()
	f.log.SetFaults(standin.Faults{DropResponses: 1})
	if err := f.nodes[0].IssueKey(ctx, key); err != nil {
		t.Fatal(err)
	}
	f.advance(3 * time.Second)
	other := key
	other.Hash = "22"
	if err := f.nodes[1].IssueKey(ctx, other); !errors.Is(err, ErrKeyExists) {
		t.Fatalf("issued twice: %v", err)
	}
	if err := f.nodes[1].Withdraw(ctx, "k"); err != nil {
		t.Fatal(err)
	}
	if err := f.nodes[1].IssueKey(ctx, key); !errors.Is(err, ErrKeyWithdrawn) {
		t.Fatalf("issued again after its withdrawal: %v", err)
	}
}

func TestRemovalRequiresLog(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 23)
	f.startNodes(3, "west-a")
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].Remove(ctx, f.nodes[1].member.ID); err == nil {
		t.Fatal("removed while the log was unavailable")
	}
	f.advance(5 * time.Second)
	if len(f.nodes[2].Snapshot().Members) != 3 {
		t.Fatal("a removal took effect outside the log")
	}
	f.log.SetFaults(standin.Faults{})
	if err := f.nodes[0].Remove(ctx, f.nodes[1].member.ID); err != nil {
		t.Fatal(err)
	}
	f.advance(5 * time.Second)
	if len(f.nodes[2].Snapshot().Members) != 2 || !f.nodes[1].ended {
		t.Fatal("the removed node keeps running")
	}
}

func TestResignationDuringOutage(t *testing.T) {
	f := newFleet(t, 24)
	f.startNodes(5, "west-a")
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].Resign(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].down = true
	f.advance(5 * time.Second)
	for _, n := range f.nodes[1:] {
		if !n.Snapshot().Ended[f.nodes[0].member.ID] {
			t.Errorf("%s: not informed", n.member.ID)
		}
	}
	f.log.SetFaults(standin.Faults{})
	f.advance(30 * time.Second)
	if ends := logRecords[state.EndRecord](f); len(ends) == 0 || ends[0].Reason != state.EndResigned {
		t.Errorf("ends in the log: %+v", ends)
	}
	if f.nodes[0].ended {
		t.Error("OnEnded was called for a node that resigned")
	}
}

func TestDrainingSurvivesAnnouncements(t *testing.T) {
	f := newFleet(t, 25)
	f.startNodes(3, "west-a")
	id := f.nodes[2].member.ID
	if err := f.nodes[0].SetDraining(context.Background(), id, true); err != nil {
		t.Fatal(err)
	}
	f.advance(2 * DefaultRefreshInterval)
	if !f.nodes[1].Snapshot().Members[id].Draining {
		t.Fatal("the node's own announcement undid the drain")
	}
	if err := f.nodes[0].SetDraining(context.Background(), id, false); err != nil {
		t.Fatal(err)
	}
	f.advance(2 * DefaultRefreshInterval)
	if f.nodes[1].Snapshot().Members[id].Draining {
		t.Fatal("the drain cannot be undone")
	}
	if err := f.nodes[0].SetDraining(context.Background(), "nobody", true); !errors.Is(err, ErrNoMember) {
		t.Fatal(err)
	}
}

func TestDrainingDuringOutage(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 29)
	f.startNodes(8, "west-a", "west-b")
	id := f.nodes[0].member.ID
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].SetDraining(ctx, id, true); err != nil {
		t.Fatal(err)
	}
	f.advance(3 * time.Second)
	for _, n := range f.nodes {
		if !n.Snapshot().Members[id].Draining {
			t.Errorf("%s: not informed", n.member.ID)
		}
	}
	if err := f.nodes[1].SetDraining(ctx, id, false); err == nil {
		t.Error("the end of a drain is accepted while the log is unavailable")
	}
	f.nodes[0].down = true
	f.log.SetFaults(standin.Faults{})
	f.advance(30 * time.Second)
	if drains := logRecords[state.DrainRecord](f); len(drains) == 0 || !drains[0].Draining {
		t.Fatalf("drains in the log: %+v", drains)
	}
	if err := f.nodes[1].SetDraining(ctx, id, false); err != nil {
		t.Fatal(err)
	}
	f.advance(5 * time.Second)
	if f.nodes[2].Snapshot().Members[id].Draining {
		t.Error("the drain cannot be undone after the outage")
	}
}

// hangingLog blocks every append until the caller's context is done.
type hangingLog struct{ streamlog.Log }

func (l *hangingLog) Append(ctx context.Context, _ []byte) (uint64, error) {
	<-ctx.Done()
	return 0, errors.Join(streamlog.ErrOutcomeUnknown, ctx.Err())
}

func TestHangingLogDoesNotDelayWithdrawal(t *testing.T) {
	f := newFleet(t, 30)
	f.startNodes(3, "west-a")
	n := f.nodes[0]
	n.opts.Log = &hangingLog{n.opts.Log}
	n.opts.Intervals.LogTimeout = time.Hour
	n.opts.Intervals.PeerTimeout = time.Millisecond
	if err := n.Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	if !f.nodes[1].Snapshot().Withdrawn["key-1"] {
		t.Fatal("the withdrawal was not sent to peers")
	}
}

// truncatingLog returns at most maxEntries records per read, although its head is
// further on.
type truncatingLog struct {
	streamlog.Log
	maxEntries int
}

func (l *truncatingLog) Read(ctx context.Context, from uint64, _ int) (streamlog.Page, error) {
	page, err := l.Log.Read(ctx, from, l.maxEntries)
	if l.maxEntries == 0 {
		page.Entries = nil
	}
	return page, err
}

func TestLogContactRequiresReachingHead(t *testing.T) {
	f := newFleet(t, 26)
	f.startNodes(3, "west-a")
	f.log.SetFaults(standin.Faults{Down: true})
	reader := f.startNode("west-a")
	f.log.SetFaults(standin.Faults{})
	truncating := &truncatingLog{Log: reader.opts.Log}
	reader.opts.Log = truncating
	if err := reader.poll(context.Background()); err == nil || !reader.Snapshot().LogContact.IsZero() {
		t.Fatalf("a read that did not reach the head counted as log contact: %v", err)
	}
	truncating.maxEntries = 1
	started := f.now
	if err := reader.poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := reader.Snapshot(); !s.LogContact.Equal(started) || s.Offset != f.logNext() {
		t.Fatalf("contact %v, offset %d", s.LogContact, s.Offset)
	}
	f.log.SetFaults(standin.Faults{Down: true})
	f.advance(5 * time.Second)
	if s := f.nodes[0].Snapshot(); f.now.Sub(s.LogContact) < 4*time.Second {
		t.Fatal("the log contact was renewed while the log was unavailable")
	}
}

// slowLog advances the clock during a read.
type slowLog struct {
	streamlog.Log
	fleet *fleet
}

func (l *slowLog) Read(ctx context.Context, from uint64, limit int) (streamlog.Page, error) {
	page, err := l.Log.Read(ctx, from, limit)
	l.fleet.now = l.fleet.now.Add(time.Second)
	return page, err
}

func TestLogContactIsStartOfRead(t *testing.T) {
	f := newFleet(t, 27)
	n := f.startNode("west-a")
	n.opts.Log = &slowLog{Log: n.opts.Log, fleet: f}
	started := f.now
	if err := n.poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := n.Snapshot().LogContact; !got.Equal(started) {
		t.Fatalf("contact %v after the start of the read", got.Sub(started))
	}
}

func TestExpiredRecordsEndIncarnation(t *testing.T) {
	f := newFleet(t, 28)
	f.startNodes(4, "west-a")
	paused := f.nodes[3]
	paused.down = true
	f.mustSubmit(f.nodes[0], "one", 0)
	f.mustSubmit(f.nodes[0], "two", 1)
	f.advance(2 * time.Second)
	f.log.Expire(streamName, f.logNext()-1)
	last := paused.Snapshot().Events
	if err := paused.poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	events := paused.Snapshot().Events
	if len(events) == 0 || events[0].Seq <= last[len(last)-1].Seq+1 {
		t.Fatalf("no gap in the events: %+v", events)
	}
	if !paused.ended {
		t.Fatal("the node keeps running though its end may be among the lost records")
	}
	if s := paused.Snapshot(); s.Version != 0 {
		t.Fatalf("version %d from the middle of the log", s.Version)
	}
	paused.down = false
	f.advance(10 * time.Second)
	if s := paused.Snapshot(); s.Version != 2 {
		t.Fatalf("version %d after gossip", s.Version)
	}
}
