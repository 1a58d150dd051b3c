package routing

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

type observerKey struct{}

// Observer sees the result of one attempt of a call.
type Observer func(c *kernel.Call, r *kernel.Result)

// WithObserver returns a context under which o sees the result of every call
// of the routing handler, before a retry loop does.
func WithObserver(ctx context.Context, o Observer) context.Context {
	return context.WithValue(ctx, observerKey{}, o)
}

func observe(ctx context.Context, c *kernel.Call, r *kernel.Result) {
	if o, ok := ctx.Value(observerKey{}).(Observer); ok {
		o(c, r)
	}
}
