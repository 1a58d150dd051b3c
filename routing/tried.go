package routing

import (
	"context"
	"sync"

	"github.com/gooseberryflow/gooseberryflow/state"
)

type triedKey struct{}

// tried is the set of owners that the attempts of one call have gone to.
type tried struct {
	mu     sync.Mutex
	owners []state.MemberID
}

// WithTried returns a context under which no two calls of the routing handler
// choose the same owner. A retry loop derives one per call.
func WithTried(ctx context.Context) context.Context {
	return context.WithValue(ctx, triedKey{}, &tried{})
}

func triedFrom(ctx context.Context) *tried {
	t, _ := ctx.Value(triedKey{}).(*tried)
	return t
}

func (t *tried) add(id state.MemberID) {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.owners = append(t.owners, id)
	t.mu.Unlock()
}

func (t *tried) has(id state.MemberID) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.owners {
		if o == id {
			return true
		}
	}
	return false
}
