package membership

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// contactTarget is the greatest age of a node's contact with a log that can be
// read; holders of claims stop granting at that age.
const contactTarget = 10 * time.Second

// configTarget is the time within which a configuration is in force everywhere.
const configTarget = 18 * time.Second

func TestBatcherRunsAfterEveryRequest(t *testing.T) {
	started, finish := make(chan int), make(chan struct{})
	runs := 0
	failed := errors.New("failed")
	b := &batcher{delay: func() {}, run: func() error {
		runs++
		started <- runs
		<-finish
		return failed
	}}
	first := b.join()
	<-started
	// These arrive while the first run is under way.
	second, third := b.join(), b.join()
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

// largeFleet returns a fleet in which some nodes don't read the log themselves.
func largeFleet(t *testing.T, seed uint64) (f *fleet, relayed []*testNode) {
	f = newFleet(t, seed)
	f.startAll(2*directReaders, "west-a", "west-b")
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		if len(n.relays()) > 0 {
			relayed = append(relayed, n)
		}
	}
	if len(relayed) != directReaders {
		t.Fatalf("%d of %d nodes use relays", len(relayed), len(f.nodes))
	}
	return f, relayed
}

func TestRelayedContactIsFresh(t *testing.T) {
	f, relayed := largeFleet(t, 70)
	for _, n := range relayed {
		n.reads.Store(0)
	}
	for range 30 {
		f.run(time.Second)
		for _, n := range f.nodes {
			if age := f.now.Sub(n.Snapshot().LogContact); age > contactTarget {
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
	f.run(contactTarget)
	for _, n := range f.nodes {
		if age := f.now.Sub(n.Snapshot().LogContact); age < contactTarget-time.Second {
			t.Errorf("contact of %s is %v old though the log is away", n.member.ID, age)
		}
	}
}

func TestRelayedContactNeedsEveryRecord(t *testing.T) {
	f, relayed := largeFleet(t, 71)
	n := relayed[0]
	relay := n.relays()[0]
	file := make([]byte, maxRelayBytes-100)
	for base := range uint64(3) {
		if r := f.nodes[0].Submit(context.Background(), file, base, string(rune('a'+base))); r.Outcome != SubmitAccepted {
			t.Fatalf("submit: %+v", r)
		}
	}
	before := n.Snapshot().LogContact
	f.now = f.now.Add(time.Second)
	confirmed, err := n.askHead(context.Background(), relay)
	if err != nil || confirmed || !n.Snapshot().LogContact.Equal(before) {
		t.Fatalf("a part of the records counted as contact: %v, %v", confirmed, err)
	}
	if err := n.askHeads(context.Background(), relay); err != nil {
		t.Fatal(err)
	}
	if s := n.Snapshot(); s.Version != 3 || !s.LogContact.Equal(f.now) {
		t.Fatalf("version %d, contact %v", s.Version, s.LogContact)
	}
}

func TestRelayedNodeNoticesARollback(t *testing.T) {
	f, relayed := largeFleet(t, 72)
	f.submit(f.nodes[0], "one", 0)
	f.run(configTarget)
	n := relayed[0]
	before := n.Snapshot().LogContact
	f.log.Rollback(streamName, f.logNext()-1)
	f.now = f.now.Add(time.Second)
	fresh := f.start("west-a")
	_ = fresh.poll(context.Background())
	if _, err := n.askHead(context.Background(), fresh.member); err == nil || !n.Snapshot().LogContact.Equal(before) {
		t.Fatalf("a log with less than this node has counted as contact: %v", err)
	}
	if !n.needsLog() {
		t.Fatal("the node does not look at the log itself")
	}
	f.run(configTarget)
	for _, n := range f.nodes {
		if s := n.Snapshot(); s.Version != 1 {
			t.Errorf("%s: version %d", n.member.ID, s.Version)
		}
	}
}

func TestOneNodeAppendsAfterALongOutage(t *testing.T) {
	f, _ := largeFleet(t, 73)
	f.log.SetFaults(standin.Faults{Down: true})
	if err := f.nodes[0].Withdraw(context.Background(), "key-1"); err != nil {
		t.Fatal(err)
	}
	f.run(staleContact + time.Second)
	f.nodes[0].down = true
	for _, n := range f.nodes {
		n.appends.Store(0)
	}
	f.run(2 * time.Minute)
	for _, n := range f.nodes {
		if n.appends.Load() > 0 {
			t.Errorf("%s tried %d appends during the outage", n.member.ID, n.appends.Load())
		}
	}
	f.log.SetFaults(standin.Faults{})
	f.run(2 * time.Minute)
	if n := len(records[state.WithdrawRecord](f)); n == 0 || n > 3 {
		t.Errorf("%d records of one withdrawal", n)
	}
}

func TestConfigSpreadsByGossipAlone(t *testing.T) {
	for seed := uint64(80); seed < 85; seed++ {
		f := newFleet(t, seed)
		f.startAll(64, "west-a", "west-b", "west-c", "west-d")
		for _, n := range f.nodes[1:] {
			n.noLog = true
		}
		f.submit(f.nodes[0], "one", 0)
		begun := f.now
		for f.oldest() < 1 {
			f.run(tick)
			if f.now.Sub(begun) > configTarget {
				t.Fatalf("seed %d: not in force everywhere after %v", seed, configTarget)
			}
		}
		t.Logf("seed %d: in force on 64 nodes after %v", seed, f.now.Sub(begun))
	}
}

// oldest returns the oldest version in force on any node.
func (f *fleet) oldest() uint64 {
	v := f.nodes[0].Snapshot().Version
	for _, n := range f.nodes {
		v = min(v, n.Snapshot().Version)
	}
	return v
}
