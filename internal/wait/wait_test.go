package wait

import (
	"sync"
	"testing"
	"time"
)

// A call to an unresponsive store may be in flight when the process stops. It
// must not delay the stop beyond the timeout.
func TestForGroupTimesOut(t *testing.T) {
	var g sync.WaitGroup
	release := make(chan struct{})
	g.Go(func() { <-release })
	if ForGroup(&g, time.Millisecond) {
		t.Error("reported done while a goroutine is running")
	}
	close(release)
	if !ForGroup(&g, time.Minute) {
		t.Error("not reported done although all goroutines have returned")
	}
}
