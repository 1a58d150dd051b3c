package membership

import (
	"context"
	"testing"
	"time"
)

// controlBytesPerSecondTarget is the control traffic that a node may cause, in
// bytes per second.
const controlBytesPerSecondTarget = 5_000

// fileBytes is the size of the operators' file in force.
const fileBytes = 20_000

// measuredTime is the time over which traffic is measured. It is also the refresh
// interval, which is shorter than the default, so that the measurement includes
// announcements and refreshes.
const measuredTime = 2 * time.Minute

// TestControlTrafficStaysWithinTarget measures messages, bytes and log reads of
// idle fleets.
func TestControlTrafficStaysWithinTarget(t *testing.T) {
	for _, nodes := range []int{8, 16, 32, 64} {
		f := newFleet(t, 60)
		f.intervals.Refresh = measuredTime
		f.startNodes(nodes, "west-a", "west-b", "west-c", "west-d")
		file := make([]byte, fileBytes)
		if r := f.nodes[0].Submit(context.Background(), file, 0, "one"); r.Outcome != SubmitAccepted {
			t.Fatalf("submit: %+v", r)
		}
		f.advance(10 * time.Second)
		f.sent, f.bytes = map[string]int{}, 0
		reads, appends := f.log.Counts()
		f.advance(measuredTime)
		readsAfter, appendsAfter := f.log.Counts()
		messages := 0
		for _, n := range f.sent {
			messages += n
		}
		nodeSeconds := float64(nodes) * measuredTime.Seconds()
		bytes := float64(f.bytes) / nodeSeconds
		t.Logf("%2d nodes, per node and second: %.2f messages, %.0f bytes; %.2f log reads, %.4f appends",
			nodes, float64(messages)/nodeSeconds, bytes, float64(readsAfter-reads)/nodeSeconds, float64(appendsAfter-appends)/nodeSeconds)
		if bytes > controlBytesPerSecondTarget {
			t.Errorf("%d nodes: %.0f bytes per second and node", nodes, bytes)
		}
	}
}
