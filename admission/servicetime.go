package admission

import (
	"math"
	"time"
)

const (
	serviceTimeGain     = 0.1         // weight of the latest sample
	serviceTimeHalfLife = time.Second // without samples
)

// serviceTimeEstimate is the mean service time of a route, including nested
// calls.
type serviceTimeEstimate struct {
	seconds float64
	updated time.Time
}

// observe records the service time of a completed call.
func (e *serviceTimeEstimate) observe(now time.Time, elapsed time.Duration) {
	s := elapsed.Seconds()
	if e.updated.IsZero() {
		e.seconds = s
	}
	e.seconds += serviceTimeGain * (s - e.seconds)
	e.updated = now
}

// observeMinimum records the elapsed time of a call that was cancelled, as a
// lower bound of its service time.
func (e *serviceTimeEstimate) observeMinimum(now time.Time, elapsed time.Duration) {
	if elapsed.Seconds() > e.seconds {
		e.observe(now, elapsed)
	}
}

// value returns the estimate. The estimate decays while it isn't updated, so
// that a high estimate can't cause all calls of its route to be refused
// forever.
func (e *serviceTimeEstimate) value(now time.Time) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	s := e.seconds
	if age := now.Sub(e.updated); age > serviceTimeHalfLife {
		s *= math.Exp2(-float64(age) / float64(serviceTimeHalfLife))
	}
	return time.Duration(s * float64(time.Second))
}
