// Package wait pauses until a time has passed or a context ends.
package wait

import (
	"context"
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
