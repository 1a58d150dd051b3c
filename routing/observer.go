package routing

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

type observerKey struct{}

// ResultObserver is called with the result of one attempt of a call.
type ResultObserver func(c *kernel.Call, r *kernel.Result)

// WithObserver returns a context under which o is called with the result of
// every call of the routing handler, before a retry plug-in sees the result.
func WithObserver(ctx context.Context, o ResultObserver) context.Context {
	return context.WithValue(ctx, observerKey{}, o)
}

func observe(ctx context.Context, c *kernel.Call, r *kernel.Result) {
	if o, ok := ctx.Value(observerKey{}).(ResultObserver); ok {
		o(c, r)
	}
}
