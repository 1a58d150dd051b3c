package wait

import (
	"sync"
	"testing"
	"time"
)

// Pattern: a call to a store that does not answer is under way when the process
// ends (raiosul-alertas-grown trouble-3: stopped in turn while the store is down).
func TestDoneDoesNotWaitForever(t *testing.T) {
	var g sync.WaitGroup
	release := make(chan struct{})
	g.Go(func() { <-release })
	if ForGroup(&g, time.Millisecond) {
		t.Error("done while work is under way")
	}
	close(release)
	if !ForGroup(&g, time.Minute) {
		t.Error("not done though all work has ended")
	}
}
