package membership

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// logContactTarget is the greatest age of the log contact while the log is
// available; holders of claims stop granting at that age.
const logContactTarget = 10 * time.Second

// configSpreadTarget is the time within which a configuration is in force on all
// nodes.
const configSpreadTarget = 18 * time.Second

func TestBatcherRunStartsAfterRequests(t *testing.T) {
	started, finish := make(chan int), make(chan struct{})
	runs := 0
	failed := errors.New("failed")
	b := &batcher{wait: func() {}, run: func() error {
		runs++
		started <- runs
		<-finish
		return failed
	}}
	first := b.enqueue()
	<-started
	// These requests arrive during the first run.
	second, third := b.enqueue(), b.enqueue()
	finish <- struct{}{}
	<-first.done
	select {
	case <-second.done:
		t.Fatal("a request was served by a run that began before it")
	default:
	}
	if n := <-started; n != 2 {
		t.Fatalf("run %d", n)
	}
	finish <- struct{}{}
	<-second.done
	<-third.done
	if second != third || !errors.Is(third.err, failed) {
		t.Fatalf("waiting requests do not share a run and its error: %v", third.err)
	}
}

// newRelayedFleet returns a fleet that is large enough for relays, and its nodes
// that read the log through a relay.
func newRelayedFleet(t *testing.T, seed uint64) (f *fleet, relayed []*testNode) {
	f = newFleet(t, seed)
	f.startNodes(2*maxDirectReaders, "west-a", "west-b")
	f.advance(5 * time.Second)
	for _, n := range f.nodes {
		if len(n.relays()) > 0 {
			relayed = append(relayed, n)
		}
	}
	if len(relayed) != maxDirectReaders {
		t.Fatalf("%d of %d nodes use relays", len(relayed), len(f.nodes))
	}
	return f, relayed
}

func TestRelayedLogContactIsRecent(t *testing.T) {
	f, relayed := newRelayedFleet(t, 70)
	for _, n := range relayed {
		n.reads.Store(0)
	}
	for range 30 {
		f.advance(time.Second)
		for _, n := range f.nodes {
			if age := f.now.Sub(n.Snapshot().LogContact); age > logContactTarget {
				t.Fatalf("contact of %s is %v old", n.member.ID, age)
			}
		}
	}
	for _, n := range relayed {
		if n.reads.Load() > 0 {
			t.Errorf("%s read the log %d times", n.member.ID, n.reads.Load())
		}
	}
	f.log.SetFaults(standin.Faults{Down: true})
	f.advance(logContactTarget)
	for _, n := range f.nodes {
		if age := f.now.Sub(n.Snapshot().LogContact); age < logContactTarget-time.Second {
			t.Errorf("contact of %s is only %v old though the log is unavailable", n.member.ID, age)
		}
	}
}

func TestRelayedLogContactNeedsEveryRecord(t *testing.T) {
	f, relayed := newRelayedFleet(t, 71)
	n := relayed[0]
	relay := n.relays()[0]
	file := make([]byte, maxUpdateBytes-100)
	for base := range uint64(3) {
		if r := f.nodes[0].Submit(context.Background(), file, base, string(rune('a'+base))); r.Outcome != SubmitAccepted {
			t.Fatalf("submit: %+v", r)
		}
	}
	before := n.Snapshot().LogContact
	f.now = f.now.Add(time.Second)
	confirmed, err := n.requestHead(context.Background(), relay)
	if err != nil || confirmed || !n.Snapshot().LogContact.Equal(before) {
		t.Fatalf("an incomplete response counted as log contact: %v, %v", confirmed, err)
	}
	if err := n.fetchHead(context.Background(), relay); err != nil {
		t.Fatal(err)
	}
	if s := n.Snapshot(); s.Version != 3 || !s.LogContact.Equal(f.now) {
		t.Fatalf("version %d, contact %v", s.Version, s.LogContact)
	}
}

func TestNodeBehindRelayDetectsRollback(t *testing.T) {
	f, relayed := newRelayedFleet(t, 72)
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(configSpreadTarget)
	n := relayed[0]
	before := n.Snapshot().LogContact
	f.log.Rollback(streamName, f.logNext()-1)
	f.now = f.now.Add(time.Second)
	fresh := f.startNode("west-a")
	_ = fresh.poll(context.Background())
	if _, err := n.requestHead(context.Background(), fresh.member); err == nil || !n.Snapshot().LogContact.Equal(before) {
		t.Fatalf("a log that lacks records of this node counted as log contact: %v", err)
	}
	if !n.needsLog() {
		t.Fatal("the node does not read the log itself")
	}
	f.advance(configSpreadTarget)
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 1 {
			t.Errorf("%s: version %d", n.member.ID, s.Version)
		}
	}
}

func TestOneNodeAppendsWithdrawalAfterLongOutage(t *testing.T) {
	f, _ := newRelayedFleet(t, 73)
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	f.advance(maxLogContactAge + time.Second)
	f.nodes[0].down = true
	for _, n := range f.nodes {
		n.appends.Store(0)
	}
	f.advance(2 * time.Minute)
	for _, n := range f.nodes {
		if n.appends.Load() > 0 {
			t.Errorf("%s tried %d appends during the outage", n.member.ID, n.appends.Load())
		}
	}
	f.log.SetFaults(standin.Faults{})
	f.advance(2 * time.Minute)
	if n := len(logRecords[state.WithdrawRecord](f)); n == 0 || n > 3 {
		t.Errorf("%d records of one withdrawal", n)
	}
}

func TestConfigSpreadsByGossipAlone(t *testing.T) {
	for seed := uint64(80); seed < 85; seed++ {
		f := newFleet(t, seed)
		f.startNodes(64, "west-a", "west-b", "west-c", "west-d")
		for _, n := range f.nodes[1:] {
			n.logDown = true
		}
		f.mustSubmit(f.nodes[0], "one", 0)
		started := f.now
		for f.lowestVersion() < 1 {
			f.advance(tick)
			if f.now.Sub(started) > configSpreadTarget {
				t.Fatalf("seed %d: not in force everywhere after %v", seed, configSpreadTarget)
			}
		}
		t.Logf("seed %d: in force on 64 nodes after %v", seed, f.now.Sub(started))
	}
}

// lowestVersion returns the lowest version in force on any node.
func (f *fleet) lowestVersion() uint64 {
	v := f.nodes[0].Snapshot().Version
	for _, n := range f.nodes {
		v = min(v, n.Snapshot().Version)
	}
	return v
}
