package quarantine

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	isolationWait       = 500 * time.Millisecond // maximum wait of a suspect for the slot
	maxIsolationWaiters = 64                     // suspects above which the next one is refused at once
)

// isolation lets one suspect call run at a time.
type isolation struct {
	slot    chan struct{} // holds one element while a suspect runs
	waiting atomic.Int64
}

func newIsolation() *isolation {
	return &isolation{slot: make(chan struct{}, 1)}
}

// enter waits for the slot and reports whether it got it in time.
func (i *isolation) enter(ctx context.Context) bool {
	select {
	case i.slot <- struct{}{}:
		return true
	default:
	}
	defer i.waiting.Add(-1)
	if i.waiting.Add(1) > maxIsolationWaiters {
		return false
	}
	timer := time.NewTimer(isolationWait)
	defer timer.Stop()
	select {
	case i.slot <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (i *isolation) leave() { <-i.slot }
