package kernel

import (
	"math"
	"time"
)

// Bounds of a work time. A figure beyond them is taken as the bound, so that a wrong
// report neither starves an instance nor draws all calls to it.
const (
	MinWorkTime = 0.2
	MaxWorkTime = 10
)

// workTimeHalfLife is the time in which the difference between the latest figure and
// the mean decays by half. Slow phases of an instance last up to a second, so little of
// a figure is left after half a second.
const workTimeHalfLife = 200 * time.Millisecond

// WorkTime is how long work takes at an instance relative to the usual time, which is
// 1. The zero value means that the instance reports none.
type WorkTime struct {
	// Now is the work time at the moment of the report, Mean the one over some
	// seconds before it.
	Now  float64 `cbor:"1,keyasint"`
	Mean float64 `cbor:"2,keyasint"`
}

// BoundWorkTime returns a reported figure within the bounds, or zero if it is no
// positive number.
func BoundWorkTime(figure float64) float64 {
	if math.IsNaN(figure) || figure <= 0 {
		return 0
	}
	return min(max(figure, MinWorkTime), MaxWorkTime)
}

// Bounded returns the work time with both values within the bounds. It is zero if Now
// is invalid; an invalid Mean is replaced by Now.
func (w WorkTime) Bounded() WorkTime {
	w.Now, w.Mean = BoundWorkTime(w.Now), BoundWorkTime(w.Mean)
	if w.Now == 0 {
		return WorkTime{}
	}
	if w.Mean == 0 {
		w.Mean = w.Now
	}
	return w
}

// Reported reports whether the instance reports its work time.
func (w WorkTime) Reported() bool { return w.Now > 0 }

// After returns the expected work time some time after the report: it approaches the
// mean.
func (w WorkTime) After(age time.Duration) float64 {
	if age <= 0 {
		return w.Now
	}
	return w.Mean + (w.Now-w.Mean)*math.Exp2(-float64(age)/float64(workTimeHalfLife))
}
