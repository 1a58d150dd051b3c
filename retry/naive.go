package retry

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// naiveMaxRetries is the baseline's number of retries at each hop.
const naiveMaxRetries = 3

func init() {
	kernel.Register(kernel.PluginInfo{Name: "naive-retry", Order: Order, New: func() kernel.Plugin { return &Naive{} }})
}

// Naive is the baseline: three retries of every failed call at each hop.
type Naive struct{}

// Provision does nothing.
func (*Naive) Provision(*kernel.Host) error { return nil }

// Validate always succeeds because the plug-in has no settings.
func (*Naive) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (*Naive) Cleanup() error { return nil }

// WrapEntry retries failed calls of next.
func (*Naive) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		r := next.Serve(ctx, c)
		for n := 0; n < naiveMaxRetries && naiveFailed(r); n++ {
			r = next.Serve(ctx, c)
		}
		return r
	})
}

func naiveFailed(r *kernel.Result) bool {
	return r.Outcome != kernel.OutcomeAnswered || r.Status >= 500
}
