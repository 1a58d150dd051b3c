package retry

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// keepMin is the smallest allowance of which one unit is kept back for the
// loss of the whole attempt.
const keepMin = 2

// kept returns the units that this hop keeps while an attempt runs.
func kept(c *kernel.Call, allowance int) int {
	if c.Idempotent && allowance >= keepMin {
		return 1
	}
	return 0
}

// UnusedRetries returns what is left of an allowance that was lent to a call with
// the given result. A call that has not reached an owner has spent nothing,
// also when it was refused before it came to this plug-in.
func UnusedRetries(lent int, r *kernel.Result) int {
	if r.Outcome == kernel.OutcomeNotRun && r.Owner == "" {
		return lent
	}
	return min(max(r.UnusedAllowance, 0), lent)
}

// left returns the allowance after an attempt that was lent some units while
// keep units stayed here.
func left(r *kernel.Result, lent, keep int) int {
	if r.Outcome == kernel.OutcomeNotRun {
		return keep + lent
	}
	return keep + UnusedRetries(lent, r)
}

// retryable tells whether the failure is one that another owner may not have.
func retryable(c *kernel.Call, r *kernel.Result) bool {
	switch r.Outcome {
	case kernel.OutcomeNotRun:
		return retryableReason(r.Reason)
	case kernel.OutcomeUnknown:
		return c.Idempotent && r.Reason != kernel.ReasonCancelled && r.Reason != kernel.ReasonParentEnded
	}
	return false
}

func retryableReason(reason kernel.Reason) bool {
	switch reason {
	case kernel.ReasonOverload, kernel.ReasonDraining, kernel.ReasonNoUpstream, kernel.ReasonNotReady:
		return true
	}
	return false
}

// inTime reports whether an attempt may still start.
func inTime(c *kernel.Call, now time.Time) bool {
	return c.DeadlineMS == 0 || now.Before(c.Deadline())
}
