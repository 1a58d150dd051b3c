package retry

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// naiveRetries is the number of retries of the baseline at each hop.
const naiveRetries = 3

func init() {
	kernel.Register(kernel.Info{Name: "naive-retry", Order: Order, New: func() kernel.Plugin { return &Naive{} }})
}

// Naive is the baseline: three retries at each hop for whatever fails.
type Naive struct{}

// Provision keeps nothing.
func (*Naive) Provision(*kernel.Host) error { return nil }

// Validate accepts every configuration.
func (*Naive) Validate() error { return nil }

// Cleanup releases nothing.
func (*Naive) Cleanup() error { return nil }

// WrapEntry repeats failed calls of next.
func (*Naive) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		r := next.Serve(ctx, c)
		for n := 0; n < naiveRetries && naiveFailed(r); n++ {
			r = next.Serve(ctx, c)
		}
		return r
	})
}

func naiveFailed(r *kernel.Result) bool {
	return r.Outcome != kernel.OutcomeAnswered || r.Status >= 500
}
