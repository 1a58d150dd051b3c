package admission

import (
	"math"
	"time"
)

const (
	estimateGain     = 0.1         // weight of the latest sample
	estimateHalfLife = time.Second // without samples
)

// estimate is the mean service time of a route, nested calls included.
type estimate struct {
	seconds float64
	updated time.Time
}

// observe adds a completed call.
func (e *estimate) observe(now time.Time, took time.Duration) {
	s := took.Seconds()
	if e.updated.IsZero() {
		e.seconds = s
	}
	e.seconds += estimateGain * (s - e.seconds)
	e.updated = now
}

// atLeast adds a call that was given up after the time that it had taken.
func (e *estimate) atLeast(now time.Time, took time.Duration) {
	if took.Seconds() > e.seconds {
		e.observe(now, took)
	}
}

// at returns the estimate, which falls while it isn't renewed, so that no
// estimate can keep all calls of its route away for ever.
func (e *estimate) at(now time.Time) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	s := e.seconds
	if age := now.Sub(e.updated); age > estimateHalfLife {
		s *= math.Exp2(-float64(age) / float64(estimateHalfLife))
	}
	return time.Duration(s * float64(time.Second))
}
