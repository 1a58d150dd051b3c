package ratelimit

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// refusalWindow is how long a refusal counts as a sign that the customer is
	// above its rate.
	refusalWindow = time.Second
	// minRefusedShare is the refused share of requests from which a customer
	// counts as above its rate.
	minRefusedShare = 0.3
	// minRefusals is the smallest decayed number of refusals from which a customer
	// counts as above its rate.
	minRefusals = 1.5
	// reserveStepTokens is the number of tokens in one step of the reserve, and
	// maxReserveStepRatio the largest fraction of a bucket that one step may
	// take.
	reserveStepTokens   = 1.0
	maxReserveStepRatio = 1.0 / config.PriorityCount
	// reserveSteps is the number of steps reserved for critical requests.
	reserveSteps = 2
)

// reserve returns the number of tokens in a bucket that a request leaves for
// critical requests. It is the same for all other priorities: when it was graded
// by priority, resends of requests refused later in the call path took the tokens
// of low-priority requests that would have run.
func reserve(priority config.Priority, burst float64) float64 {
	if priority == config.PriorityCritical {
		return 0
	}
	return reserveSteps * min(reserveStepTokens, max(0, burst-1)*maxReserveStepRatio)
}

// waiters counts the waiting requests by priority.
type waiters [config.PriorityCount]int

// atLeast counts the waiting requests of a priority or a more important one.
func (w *waiters) atLeast(p config.Priority) int {
	n := 0
	for i := range p + 1 {
		n += w[i]
	}
	return n
}

func (w *waiters) total() int { return w.atLeast(config.PriorityCount - 1) }

// moreImportant counts the waiting requests that are more important than a
// priority.
func (w *waiters) moreImportant(p config.Priority) int { return w.atLeast(p) - w[p] }

// mostImportant returns the highest priority among the waiting requests, or low
// if none waits.
func (w *waiters) mostImportant() config.Priority {
	for p := range config.PriorityLow {
		if w[p] > 0 {
			return p
		}
	}
	return config.PriorityLow
}

// mostImportant returns the highest priority among the waiting requests. The
// message doesn't distinguish normal and low; both count as normal.
func (req *LeaseRequest) mostImportant() config.Priority {
	switch {
	case req.Critical > 0:
		return config.PriorityCritical
	case req.Important > 0:
		return config.PriorityHigh
	}
	return config.PriorityNormal
}

// requestsBlocked reports whether no lease request may be sent now for the
// waiting requests. While the customer is above its rate, a denial applies only
// to the priority that it was made for and to less important ones.
func (c *customerLeases) requestsBlocked(s *poolSource, now time.Time) bool {
	if !now.Before(s.blockedUntil) {
		return false
	}
	return c.waiting.mostImportant() >= s.blockedPriority || !c.aboveRate(now)
}

// aboveRate reports whether the customer is above its rate, as seen by this node.
func (c *customerLeases) aboveRate(now time.Time) bool {
	if c.refusals.count == 0 || now.Sub(c.refusals.updatedAt) > refusalWindow {
		return false
	}
	refusals := c.refusals.decayedCount(now)
	return refusals >= minRefusals && refusals >= minRefusedShare*c.demand.decayedCount(now)
}

// reservedTokens returns the number of tokens that a request must leave in a
// bucket.
func (c *customerLeases) reservedTokens(p config.Priority, burst float64, now time.Time) float64 {
	if p == config.PriorityCritical || !c.aboveRate(now) {
		return 0
	}
	return reserve(p, burst) + float64(c.waiting.moreImportant(p))
}

// clampPriority maps an out-of-range priority to the lowest one.
func clampPriority(p config.Priority) config.Priority {
	return min(p, config.PriorityCount-1)
}
