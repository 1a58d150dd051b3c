package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// TestRunConverges runs the loops on concurrent goroutines, for the race detector.
func TestRunConverges(t *testing.T) {
	f := newFleet(t, 50)
	for range 3 {
		n := f.startNode("west-a")
		n.async = func(work func()) { go work() }
		n.opts.Now = time.Now
		n.opts.Rand = rand.Uint64
		n.opts.Intervals.Poll = 5 * time.Millisecond
		n.opts.Intervals.Gossip = 5 * time.Millisecond
		n.opts.Intervals.Maintenance = 5 * time.Millisecond
		n.opts.Intervals.Probe = 5 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { _ = n.Run(ctx) })
	}
	for _, n := range f.nodes {
		waitFor(ctx, t, "roster", func() bool { return len(n.Snapshot().Members) == len(f.nodes) })
	}
	if r := f.nodes[0].Submit(ctx, []byte("one"), 0, "one"); r.Outcome != SubmitAccepted {
		t.Errorf("submit: %+v", r)
	}
	if err := f.nodes[1].Withdraw(ctx, "key-1"); err != nil {
		t.Error(err)
	}
	for _, n := range f.nodes {
		waitFor(ctx, t, "version and withdrawal", func() bool {
			s := n.Snapshot()
			return s.Version == 1 && s.Withdrawn["key-1"]
		})
		n.Status()
	}
	cancel()
	wg.Wait()
}

// waitFor returns once a condition holds; it fails the test if ctx ends first.
func waitFor(ctx context.Context, t *testing.T, what string, ok func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("%s: %v", what, ctx.Err())
		}
	}
}
