// Package wait waits with a bound: for a time until a context ends, and for a
// group until a timeout.
package wait

import (
	"context"
	"sync"
	"time"
)

// For waits for d. It reports false if ctx ends before, or had already ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ForGroup waits for a group for at most d. It reports whether the group is done.
func ForGroup(g *sync.WaitGroup, d time.Duration) bool {
	done := make(chan struct{})
	go func() {
		g.Wait()
		close(done)
	}()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}
