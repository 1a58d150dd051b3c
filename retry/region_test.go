package retry

import (
	"context"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Guards against reporting a call as not run whose first attempt may have run, because a
// further attempt found no owner in an allowed region. A refusal of the first attempt for
// its region is not retried.
func TestAttemptWithoutAllowedRegionDoesNotReplaceTheFirst(t *testing.T) {
	region := kernel.Refuse(kernel.ReasonRegion, "", 0)
	lost := kernel.Unknown(kernel.ReasonUpstream, "")
	lost.Owner = "x"
	for _, c := range []struct {
		name         string
		results      []*kernel.Result
		wantAttempts int
	}{
		{"first attempt lost", []*kernel.Result{lost, region}, 2},
		{"first attempt refused", []*kernel.Result{region, region}, 1},
	} {
		attempts := 0
		f := newSimFleet(1, faults{})
		h := f.wrap(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
			r := *c.results[attempts]
			attempts++
			return &r
		}))
		r := h.Serve(t.Context(), &kernel.Call{Idempotent: true, Allowance: 2})
		if want := c.results[0]; r.Outcome != want.Outcome || r.Reason != want.Reason || attempts != c.wantAttempts {
			t.Errorf("%s: %v %q after %d attempts", c.name, r.Outcome, r.Reason, attempts)
		}
	}
}
