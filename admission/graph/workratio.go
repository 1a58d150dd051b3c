package graph

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// slowdownHorizon is how long a work time that differs from the mean is expected to
	// last: slow phases last up to a second, and half of that on average is left.
	slowdownHorizon = 500 * time.Millisecond
	// minWorkVariance is the variance of the work time of runs from which on it shows
	// how run times depend on the work time.
	minWorkVariance = 0.04
	// slowRatio is the expected run time in units of the mean from which on waiting
	// calls are checked again.
	slowRatio = 1.2
)

// runWork is how the run times of a route depend on the work time of the instance. Runs
// that mostly wait for nested calls depend on it little. The means have the same weight
// as the mean run time, so that a change that the mean run time has already followed is
// not counted twice.
type runWork struct {
	work, runTime        float64 // means
	variance, covariance float64
}

// record records the run time of a run and the mean work time while it ran.
func (r *runWork) record(work float64, runTime time.Duration) {
	seconds := runTime.Seconds()
	if r.work == 0 {
		r.work, r.runTime = work, seconds
		return
	}
	workChange, timeChange := work-r.work, seconds-r.runTime
	r.work += runTimeGain * workChange
	r.runTime += runTimeGain * timeChange
	r.variance = (1 - runTimeGain) * (r.variance + runTimeGain*workChange*workChange)
	r.covariance = (1 - runTimeGain) * (r.covariance + runTimeGain*workChange*timeChange)
}

// ratio returns the run time expected at a work time in units of the mean run time. As
// long as the work time has varied too little, run times are taken as proportional to
// it.
func (r *runWork) ratio(work float64) float64 {
	if r == nil || r.work == 0 || r.runTime == 0 || work == 0 {
		return 1
	}
	share := 1.0 // of the run time that is proportional to the work time
	if r.variance >= minWorkVariance {
		share = min(max(r.covariance/r.variance*r.work/r.runTime, 0), 1)
	}
	return 1 + share*(work/r.work-1)
}

// stretch returns how long work of a usual duration takes if the instance takes ratio
// times as long for up to slowdownHorizon and the usual time after that.
func stretch(usual time.Duration, ratio float64) time.Duration {
	stretched := time.Duration(ratio * float64(usual))
	if ratio == 1 || stretched <= slowdownHorizon {
		return stretched
	}
	return slowdownHorizon + usual - time.Duration(float64(slowdownHorizon)/ratio)
}

// ReportWorkTime records the work time that a response reports; zero if it reports none.
func (g *Gate) ReportWorkTime(now time.Time, figure float64) {
	g.workTime.record(now, figure)
	g.updateWork(now)
}

// ForgetWorkTime drops the work times because another instance is beside the node.
func (g *Gate) ForgetWorkTime() {
	g.workTime.forget()
	g.routeWork = map[string]*runWork{}
	g.allWork = runWork{}
	g.currentWork = 0
}

// updateWork takes the work time at the given time as the one that holds now.
func (g *Gate) updateWork(now time.Time) { g.currentWork = g.workTime.report(now).Now }

// runTime returns the run time expected now on a route; zero if none is known.
func (g *Gate) runTime(route string) time.Duration {
	return g.expected(g.runTimes[route], g.routeWork[route])
}

// anyRunTime returns the run time expected now of a call on any route.
func (g *Gate) anyRunTime() time.Duration { return g.expected(g.meanRunTime, &g.allWork) }

func (g *Gate) expected(mean time.Duration, r *runWork) time.Duration {
	if g.currentWork == 0 {
		return mean
	}
	return stretch(mean, r.ratio(g.currentWork))
}

// recordRunWork records the work time during a run that has ended.
func (g *Gate) recordRunWork(now time.Time, t *Ticket, runTime time.Duration) {
	end := g.workTime.report(now).Now
	if end == 0 || t.workAtStart == 0 {
		return
	}
	r := g.routeWork[t.Route]
	if r == nil {
		r = &runWork{}
		g.routeWork[t.Route] = r
	}
	work := (t.workAtStart + end) / 2
	r.record(work, runTime)
	g.allWork.record(work, runTime)
}

// RefuseLate refuses the waiting calls that would wait longer than they may because the
// instance has become slow, and returns their number. They have not been sent to an
// instance, so that the entry node may send them to another owner while there is time.
// There such a move counts toward the reroutes of the call, which bound its way through
// the fleet, but neither as a retry nor as an arrival: no instance has seen the call.
func (g *Gate) RefuseLate(now time.Time) int {
	g.updateWork(now)
	if len(g.queue) == 0 || g.allWork.ratio(g.currentWork) < slowRatio {
		return 0
	}
	order := slices.Clone(g.queue)
	slices.SortStableFunc(order, func(a, b *Ticket) int {
		switch {
		case precedes(a, b):
			return -1
		case precedes(b, a):
			return 1
		}
		return 0
	})
	ahead := 0
	for _, t := range order {
		if startAt := now.Add(g.waitBehind(now, ahead)); !startAt.After(t.WaitUntil) && !startAt.After(t.latestStart(g.runTime(t.Route))) {
			ahead++
			continue
		}
		heap.Remove(&g.queue, t.heapIndex)
		t.state = stateRefused
		close(t.ready)
	}
	return len(order) - ahead
}

// waitBehind estimates the time until a call would start that has others waiting ahead of
// it: the mean run time for each of them and for one more, divided by the slots, or the
// time until the rate limit allows these calls, if that is longer.
func (g *Gate) waitBehind(now time.Time, ahead int) time.Duration {
	work := g.meanRunTime * time.Duration(ahead+1) / time.Duration(g.slots)
	if g.currentWork > 0 {
		work = stretch(work, g.allWork.ratio(g.currentWork))
	}
	return max(work, g.pacer.Wait(now, ahead+1))
}
