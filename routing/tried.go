package routing

import (
	"context"
	"sync"

	"github.com/gooseberryflow/gooseberryflow/state"
)

type triedOwnersKey struct{}

// triedOwners is the set of owners to which the attempts of one call have gone.
type triedOwners struct {
	mu     sync.Mutex
	owners []state.MemberID
}

// WithTriedOwners returns a context under which no two calls of the routing
// handler choose the same owner. A retry loop derives one context per call.
func WithTriedOwners(ctx context.Context) context.Context {
	return context.WithValue(ctx, triedOwnersKey{}, &triedOwners{})
}

func triedOwnersFrom(ctx context.Context) *triedOwners {
	t, _ := ctx.Value(triedOwnersKey{}).(*triedOwners)
	return t
}

func (t *triedOwners) add(id state.MemberID) {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.owners = append(t.owners, id)
	t.mu.Unlock()
}

func (t *triedOwners) has(id state.MemberID) bool {
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
