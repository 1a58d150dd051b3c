// Package wait pauses until a time has passed or a context ends.
package wait

import (
	"context"
	"sync"
	"time"
)

// For pauses for d. It reports false if ctx ended first, or had ended already.
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

// ForGroup waits for a group, at most for d. It reports whether the group is done.
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
