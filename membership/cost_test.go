package membership

import (
	"context"
	"testing"
	"time"
)

// controlBytesTarget is the control traffic that a node may cause, in bytes a
// second.
const controlBytesTarget = 5_000

// fileBytes is the size of the operators' file in force.
const fileBytes = 20_000

// costWindow is the time over which the cost is measured, and the refresh
// interval meanwhile, so that announcements and refreshes are included, more
// often than by default.
const costWindow = 2 * time.Minute

// TestControlCost measures messages, bytes and log reads of idle fleets.
func TestControlCost(t *testing.T) {
	for _, nodes := range []int{8, 16, 32, 64} {
		f := newFleet(t, 60)
		f.intervals.Refresh = costWindow
		f.startAll(nodes, "west-a", "west-b", "west-c", "west-d")
		file := make([]byte, fileBytes)
		if r := f.nodes[0].Submit(context.Background(), file, 0, "one"); r.Outcome != SubmitAccepted {
			t.Fatalf("submit: %+v", r)
		}
		f.run(10 * time.Second)
		f.sent, f.bytes = map[string]int{}, 0
		reads, appends := f.log.Counts()
		f.run(costWindow)
		readsAfter, appendsAfter := f.log.Counts()
		messages := 0
		for _, n := range f.sent {
			messages += n
		}
		perNode := float64(nodes) * costWindow.Seconds()
		bytes := float64(f.bytes) / perNode
		t.Logf("%2d nodes, each a second: %.2f messages, %.0f bytes; %.2f log reads, %.4f appends",
			nodes, float64(messages)/perNode, bytes, float64(readsAfter-reads)/perNode, float64(appendsAfter-appends)/perNode)
		if bytes > controlBytesTarget {
			t.Errorf("%d nodes: %.0f bytes a second each", nodes, bytes)
		}
	}
}
