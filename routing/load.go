package routing

import (
	"math"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// unreportedWorkTime is the work time of a member that reports none.
const unreportedWorkTime = 1

// packWorkTime returns a work time in the form in which stats hold it, so that it is
// read and written at once.
func packWorkTime(w kernel.WorkTime) uint64 {
	return uint64(math.Float32bits(float32(w.Now)))<<32 | uint64(math.Float32bits(float32(w.Mean)))
}

func unpackWorkTime(packed uint64) kernel.WorkTime {
	return kernel.WorkTime{
		Now:  float64(math.Float32frombits(uint32(packed >> 32))),
		Mean: float64(math.Float32frombits(uint32(packed))),
	}
}

// reportsWorkTime reports whether the latest report of the member has a work time.
func (o *owner) reportsWorkTime() bool { return o.work.Load() != 0 }

// workTime returns the work time expected at the member now.
func (o *owner) workTime(now time.Time) float64 {
	packed := o.work.Load()
	if packed == 0 {
		return unreportedWorkTime
	}
	return unpackWorkTime(packed).After(o.reportAge(now))
}

// reportAge returns the age of the member's latest report.
func (o *owner) reportAge(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-o.reportedAt.Load()) * time.Millisecond
}

// timeToFinish returns the time that a new call would take at the member in units of
// the usual time of a call: its own run and its share of the work ahead, which counts
// before the slots are full because calls of other nodes arrive at the same time.
func (o *owner) timeToFinish(now time.Time) float64 {
	return o.workTime(now) + o.pressure(now)
}

// faster reports whether the member is preferred to another one: by the time that a
// call would take if one of them reports its work time, and otherwise by pressure.
func (o *owner) faster(other *owner, now time.Time) bool {
	if o.reportsWorkTime() || other.reportsWorkTime() {
		return o.timeToFinish(now) < other.timeToFinish(now)
	}
	return o.pressure(now) < other.pressure(now)
}
