package retry

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// minAllowanceToReserve is the smallest allowance of which one unit is reserved
// in case the whole attempt is lost.
const minAllowanceToReserve = 2

// reservedAllowance returns the units that this hop keeps while an attempt
// runs.
func reservedAllowance(c *kernel.Call, allowance int) int {
	if c.Idempotent && allowance >= minAllowanceToReserve {
		return 1
	}
	return 0
}

// UnusedRetries returns the unspent units of an allowance that was lent to a
// call with the given result. A call that has not reached an owner has spent
// nothing, even if it was refused before it reached this plug-in.
func UnusedRetries(lent int, r *kernel.Result) int {
	if r.Outcome == kernel.OutcomeNotRun && r.Owner == "" {
		return lent
	}
	return min(max(r.UnusedAllowance, 0), lent)
}

// remainingAllowance returns the allowance after an attempt that was lent some
// units while this hop kept the reserved ones.
func remainingAllowance(r *kernel.Result, lent, reserved int) int {
	if r.Outcome == kernel.OutcomeNotRun {
		return reserved + lent
	}
	return reserved + UnusedRetries(lent, r)
}

// retryable reports whether another owner might not have the same failure.
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
	case kernel.ReasonOverload, kernel.ReasonDraining, kernel.ReasonNoUpstream, kernel.ReasonNotReady, kernel.ReasonEvacuated:
		return true
	}
	return false
}

// beforeDeadline reports whether another attempt may still start.
func beforeDeadline(c *kernel.Call, now time.Time) bool {
	return c.DeadlineMS == 0 || now.Before(c.Deadline())
}
