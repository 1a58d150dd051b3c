package ratelimit

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// pressureWindow is how long a refusal counts as a sign that the customer
	// is above its rate.
	refusalWindow = time.Second
	// pressedShare is the refused share of the requests from which on a
	// customer counts as above its rate.
	minRefusedShare = 0.3
	// pressedCount is the number of refusals from which on it does.
	minRefusals = 1.5
	// priorityStep is the number of tokens that reserve counts in, and
	// priorityStepPart the largest part of a bucket which that may be.
	reserveStepTokens   = 1.0
	maxReserveStepRatio = 1.0 / config.PriorityCount
	// reserveSteps is the reserve for critical requests in steps.
	reserveSteps = 2
)

// reserve is the number of tokens in a bucket that a request leaves to critical
// ones. It is the same for all other priorities: graded by priority, the resends
// of requests refused further on took the tokens of low ones that would have run.
func reserve(priority config.Priority, burst float64) float64 {
	if priority == config.PriorityCritical {
		return 0
	}
	return reserveSteps * min(reserveStepTokens, max(0, burst-1)*maxReserveStepRatio)
}

// waiters counts the requests that wait, by priority.
type waiters [config.PriorityCount]int

// upTo counts those of a priority and the more important ones.
func (w *waiters) atLeast(p config.Priority) int {
	n := 0
	for i := range p + 1 {
		n += w[i]
	}
	return n
}

func (w *waiters) total() int { return w.atLeast(config.PriorityCount - 1) }

// moreImportant counts those that are more important than a priority.
func (w *waiters) moreImportant(p config.Priority) int { return w.atLeast(p) - w[p] }

// mostImportant is the priority of the most important one, low if none waits.
func (w *waiters) mostImportant() config.Priority {
	for p := range config.PriorityLow {
		if w[p] > 0 {
			return p
		}
	}
	return config.PriorityLow
}

// mostImportant is that of the requests that wait, as far as the ask tells.
func (a *LeaseRequest) mostImportant() config.Priority {
	switch {
	case a.Critical > 0:
		return config.PriorityCritical
	case a.Important > 0:
		return config.PriorityHigh
	}
	return config.PriorityNormal
}

// closed reports whether no ask may be sent for the requests that wait. Above
// the rate, a denial holds for the priorities for which it was made.
func (c *customerLeases) requestsBlocked(s *poolSource, now time.Time) bool {
	if !now.Before(s.blockedUntil) {
		return false
	}
	return c.waiting.mostImportant() >= s.blockedPriority || !c.aboveRate(now)
}

// pressed reports whether the customer is above its rate, as seen by this node.
func (c *customerLeases) aboveRate(now time.Time) bool {
	if c.refusals.count == 0 || now.Sub(c.refusals.updatedAt) > refusalWindow {
		return false
	}
	refusals := c.refusals.decayedCount(now)
	return refusals >= minRefusals && refusals >= minRefusedShare*c.demand.decayedCount(now)
}

// kept is the number of tokens that a request must leave in a bucket.
func (c *customerLeases) reservedTokens(p config.Priority, burst float64, now time.Time) float64 {
	if p == config.PriorityCritical || !c.aboveRate(now) {
		return 0
	}
	return reserve(p, burst) + float64(c.waiting.moreImportant(p))
}

// knownPriority maps a priority from outside the range to the lowest.
func clampPriority(p config.Priority) config.Priority {
	return min(p, config.PriorityCount-1)
}
