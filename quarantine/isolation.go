package quarantine

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	isolationWait = 500 * time.Millisecond
	maxWaiting    = 64
)

// isolation lets one suspect run at a time.
type isolation struct {
	slot    chan struct{}
	waiting atomic.Int64
}

func newIsolation() *isolation {
	return &isolation{slot: make(chan struct{}, 1)}
}

// enter waits for the slot; false means that it wasn't free in time.
func (i *isolation) enter(ctx context.Context) bool {
	select {
	case i.slot <- struct{}{}:
		return true
	default:
	}
	defer i.waiting.Add(-1)
	if i.waiting.Add(1) > maxWaiting {
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
