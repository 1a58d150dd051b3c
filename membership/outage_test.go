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

// withdrawalTarget is the time within which a withdrawn key must stop working
// on every reachable node.
const withdrawalTarget = 5 * time.Second

func TestWithdrawalDuringAnOutageReachesAllReachableNodes(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 20)
	f.startAll(32, "west-a", "west-b", "west-c", "west-d")
	f.log.SetFaults(standin.Faults{Down: true})
	apart := func(n *testNode) bool { return n.member.Domain == "west-d" }
	f.cut = func(a, b *testNode) bool { return apart(a) != apart(b) }
	if err := f.nodes[0].Withdraw(ctx, "key-1"); err != nil {
		t.Fatal(err)
	}
	f.run(withdrawalTarget)
	for _, n := range f.nodes {
		if got := n.Snapshot().Withdrawn["key-1"]; got == apart(n) {
			t.Errorf("%s in %s: withdrawn %v", n.member.ID, n.member.Domain, got)
		}
	}
	f.cut = nil
	f.run(withdrawalTarget)
	for _, n := range f.nodes {
		if !n.Snapshot().Withdrawn["key-1"] {
			t.Errorf("%s: not told after the cut", n.member.ID)
		}
	}
	// The node that accepted it is gone when the log is back.
	f.nodes[0].down = true
	f.log.SetFaults(standin.Faults{})
	f.run(time.Minute)
	if n := len(records[state.WithdrawRecord](f)); n == 0 || n > 3 {
		t.Errorf("%d records of the withdrawal", n)
	}
}

func TestWithdrawalThatReachesNobodyIsReported(t *testing.T) {
	f := newFleet(t, 21)
	f.startAll(3, "west-a")
	f.nodes[0].noLog = true
	f.cut = func(_, _ *testNode) bool { return true }
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); !errors.Is(err, ErrLocalOnly) {
		t.Fatalf("isolated: %v", err)
	}
	if !f.nodes[0].Snapshot().Withdrawn["key-1"] {
		t.Fatal("not in force on the node itself")
	}
	f.nodes[0].noLog = false
	f.run(withdrawalTarget)
	if !f.nodes[1].Snapshot().Withdrawn["key-1"] {
		t.Fatal("not appended when the log was back")
	}
}

func TestKeysAreIssuedOnce(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 22)
	f.startAll(2, "west-a")
	key := state.IssuedKey{ID: "k", Customer: "c", Salt: "00", Hash: "11"}.Key()
	f.log.SetFaults(standin.Faults{DropResponses: 1})
	if err := f.nodes[0].IssueKey(ctx, key); err != nil {
		t.Fatal(err)
	}
	f.run(3 * time.Second)
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

func TestRemovalNeedsTheLog(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 23)
	f.startAll(3, "west-a")
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].Remove(ctx, f.nodes[1].member.ID); err == nil {
		t.Fatal("removed without the log")
	}
	f.run(5 * time.Second)
	if len(f.nodes[2].Snapshot().Members) != 3 {
		t.Fatal("a removal spread outside the log")
	}
	f.log.SetFaults(standin.Faults{})
	if err := f.nodes[0].Remove(ctx, f.nodes[1].member.ID); err != nil {
		t.Fatal(err)
	}
	f.run(5 * time.Second)
	if len(f.nodes[2].Snapshot().Members) != 2 || !f.nodes[1].ended {
		t.Fatal("the removed node goes on")
	}
}

func TestResignationDuringAnOutage(t *testing.T) {
	f := newFleet(t, 24)
	f.startAll(5, "west-a")
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].Resign(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].down = true
	f.run(5 * time.Second)
	for _, n := range f.nodes[1:] {
		if !n.Snapshot().Ended[f.nodes[0].member.ID] {
			t.Errorf("%s: not told", n.member.ID)
		}
	}
	f.log.SetFaults(standin.Faults{})
	f.run(30 * time.Second)
	if ends := records[state.EndRecord](f); len(ends) == 0 || ends[0].Reason != state.EndResigned {
		t.Errorf("ends in the log: %+v", ends)
	}
	if f.nodes[0].ended {
		t.Error("a resigned node was told to start again")
	}
}

func TestDrainingIsSetAndKept(t *testing.T) {
	f := newFleet(t, 25)
	f.startAll(3, "west-a")
	id := f.nodes[2].member.ID
	if err := f.nodes[0].SetDraining(context.Background(), id, true); err != nil {
		t.Fatal(err)
	}
	f.run(2 * DefaultRefreshInterval)
	if !f.nodes[1].Snapshot().Members[id].Draining {
		t.Fatal("the node's own announcement undid the drain")
	}
	if err := f.nodes[0].SetDraining(context.Background(), id, false); err != nil {
		t.Fatal(err)
	}
	f.run(2 * DefaultRefreshInterval)
	if f.nodes[1].Snapshot().Members[id].Draining {
		t.Fatal("the drain can't be undone")
	}
	if err := f.nodes[0].SetDraining(context.Background(), "nobody", true); !errors.Is(err, ErrNoMember) {
		t.Fatal(err)
	}
}

func TestDrainingDuringAnOutage(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t, 29)
	f.startAll(8, "west-a", "west-b")
	id := f.nodes[0].member.ID
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].SetDraining(ctx, id, true); err != nil {
		t.Fatal(err)
	}
	f.run(3 * time.Second)
	for _, n := range f.nodes {
		if !n.Snapshot().Members[id].Draining {
			t.Errorf("%s: not told", n.member.ID)
		}
	}
	if err := f.nodes[1].SetDraining(ctx, id, false); err == nil {
		t.Error("the end of a drain is not refused while the log is away")
	}
	f.nodes[0].down = true
	f.log.SetFaults(standin.Faults{})
	f.run(30 * time.Second)
	if drains := records[state.DrainRecord](f); len(drains) == 0 || !drains[0].Draining {
		t.Fatalf("drains in the log: %+v", drains)
	}
	if err := f.nodes[1].SetDraining(ctx, id, false); err != nil {
		t.Fatal(err)
	}
	f.run(5 * time.Second)
	if f.nodes[2].Snapshot().Members[id].Draining {
		t.Error("the drain can't be undone after the outage")
	}
}

// hangingLog answers no append before the caller gives up.
type hangingLog struct{ streamlog.Log }

func (l *hangingLog) Append(ctx context.Context, _ []byte) (uint64, error) {
	<-ctx.Done()
	return 0, errors.Join(streamlog.ErrOutcomeUnknown, ctx.Err())
}

func TestHangingLogHoldsUpNoWithdrawal(t *testing.T) {
	f := newFleet(t, 30)
	f.startAll(3, "west-a")
	n := f.nodes[0]
	n.o.Log = &hangingLog{n.o.Log}
	n.o.Intervals.LogTimeout = time.Hour
	n.o.Intervals.PeerTimeout = time.Millisecond
	if err := n.Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	if !f.nodes[1].Snapshot().Withdrawn["key-1"] {
		t.Fatal("peers were not told")
	}
}

// shortLog answers reads with fewer records than its head promises.
type shortLog struct {
	streamlog.Log
	limit int
}

func (l *shortLog) Read(ctx context.Context, from uint64, _ int) (streamlog.Page, error) {
	page, err := l.Log.Read(ctx, from, l.limit)
	if l.limit == 0 {
		page.Entries = nil
	}
	return page, err
}

func TestContactNeedsTheHead(t *testing.T) {
	f := newFleet(t, 26)
	f.startAll(3, "west-a")
	f.log.SetFaults(standin.Faults{Down: true})
	reader := f.start("west-a")
	f.log.SetFaults(standin.Faults{})
	short := &shortLog{Log: reader.o.Log}
	reader.o.Log = short
	if err := reader.poll(context.Background()); err == nil || !reader.Snapshot().LogContact.IsZero() {
		t.Fatalf("a read that stopped short counted as contact: %v", err)
	}
	short.limit = 1
	begun := f.now
	if err := reader.poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := reader.Snapshot(); !s.LogContact.Equal(begun) || s.Offset != f.logNext() {
		t.Fatalf("contact %v, offset %d", s.LogContact, s.Offset)
	}
	f.log.SetFaults(standin.Faults{Down: true})
	f.run(5 * time.Second)
	if s := f.nodes[0].Snapshot(); f.now.Sub(s.LogContact) < 4*time.Second {
		t.Fatal("contact moved on while the log was away")
	}
}

// slowLog lets time pass while a read is under way.
type slowLog struct {
	streamlog.Log
	fleet *fleet
}

func (l *slowLog) Read(ctx context.Context, from uint64, limit int) (streamlog.Page, error) {
	page, err := l.Log.Read(ctx, from, limit)
	l.fleet.now = l.fleet.now.Add(time.Second)
	return page, err
}

func TestContactIsTheTimeBeforeTheRead(t *testing.T) {
	f := newFleet(t, 27)
	n := f.start("west-a")
	n.o.Log = &slowLog{Log: n.o.Log, fleet: f}
	begun := f.now
	if err := n.poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := n.Snapshot().LogContact; !got.Equal(begun) {
		t.Fatalf("contact %v after the start of the read", got.Sub(begun))
	}
}

func TestExpiredRecordsEndTheIncarnation(t *testing.T) {
	f := newFleet(t, 28)
	f.startAll(4, "west-a")
	paused := f.nodes[3]
	paused.down = true
	f.submit(f.nodes[0], "one", 0)
	f.submit(f.nodes[0], "two", 1)
	f.run(2 * time.Second)
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
		t.Fatal("the node goes on though its end may be among the lost records")
	}
	if s := paused.Snapshot(); s.Version != 0 {
		t.Fatalf("version %d from the middle of the log", s.Version)
	}
	paused.down = false
	f.run(10 * time.Second)
	if s := paused.Snapshot(); s.Version != 2 {
		t.Fatalf("version %d after gossip", s.Version)
	}
}
