package graph

import (
	"math"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	// workTimeMeanSpan is the time constant of the mean work time.
	workTimeMeanSpan = 5 * time.Second
	// maxWorkTimeStep bounds the time that one figure stands for in the mean: after a
	// pause a single figure may be that of a slow phase.
	maxWorkTimeStep = 500 * time.Millisecond
	// workTimeExpiry is the age of the latest figure from which on the instance counts
	// as reporting none.
	workTimeExpiry = 10 * time.Second
)

// workTimeTracker holds the work time that the instance beside the node reports in its
// responses. The zero value has no figure. It is not safe for concurrent use.
type workTimeTracker struct {
	latest kernel.WorkTime // at the time of the latest figure
	at     time.Time       // of the latest figure
}

// record records a figure that came with a response. Zero, which stands for a response
// without a figure, is ignored: the figures of earlier responses expire.
func (w *workTimeTracker) record(now time.Time, figure float64) {
	figure = kernel.BoundWorkTime(figure)
	if figure == 0 {
		return
	}
	if !w.report(now).Reported() {
		w.latest, w.at = kernel.WorkTime{Now: figure, Mean: figure}, now
		return
	}
	step := min(max(now.Sub(w.at), 0), maxWorkTimeStep)
	weight := 1 - math.Exp(-step.Seconds()/workTimeMeanSpan.Seconds())
	w.latest = kernel.WorkTime{Now: figure, Mean: w.latest.Mean + weight*(figure-w.latest.Mean)}
	w.at = now
}

// report returns the work time now: the latest figure, decayed towards the mean.
func (w *workTimeTracker) report(now time.Time) kernel.WorkTime {
	age := now.Sub(w.at)
	if !w.latest.Reported() || age > workTimeExpiry {
		return kernel.WorkTime{}
	}
	return kernel.WorkTime{Now: w.latest.After(age), Mean: w.latest.Mean}
}

// forget drops all figures because another instance is beside the node.
func (w *workTimeTracker) forget() { *w = workTimeTracker{} }
