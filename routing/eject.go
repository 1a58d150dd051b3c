package routing

import (
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Points of failure; a member is ejected when those in a row reach ejectAt.
const (
	ejectAt       = 6
	pointsLost    = 6
	pointsTimeout = 2

	// A member is also ejected when more than errorAbove of its answers are
	// errors and the others' mean share is less than half of its own.
	errorGain  = 1.0 / 16 // weight of the latest answer
	errorAbove = 0.5
	errorBasis = 16 // answers without which a share is not compared

	ejectFor      = time.Second
	ejectMax      = 30 * time.Second
	ejectedAtMost = 0.5 // of a service's members
)

// verdict is what a result says about the member.
type verdict uint8

const (
	neutral verdict = iota
	healthy
	erring // answers with an error
	failed
)

// judge classifies a result and gives its points of failure.
func judge(r *kernel.Result) (verdict, int64) {
	switch {
	case r.InstanceLost:
		return failed, pointsLost
	case r.Outcome == kernel.OutcomeNotRun && r.Reason == kernel.ReasonNoUpstream:
		return failed, pointsLost
	case r.Outcome == kernel.OutcomeUnknown && r.Reason == kernel.ReasonCancelled:
		return neutral, 0
	case r.Outcome == kernel.OutcomeUnknown:
		return failed, pointsTimeout
	case r.Outcome == kernel.OutcomeNotRun:
		return neutral, 0
	case r.Status >= http.StatusInternalServerError:
		return erring, 0
	}
	return healthy, 0
}

// settle takes in the result of a call that the member was claimed for.
func (g *group) settle(o *owner, r *kernel.Result, now time.Time, random uint64) {
	o.outstanding.Add(-1)
	if r.Load != nil {
		o.report(r.Load, now)
	}
	if r.Reason == kernel.ReasonDraining {
		o.drain(now)
	}
	if r.Dispatched {
		o.offered(r.Outcome == kernel.OutcomeNotRun && r.Reason == kernel.ReasonOverload, now)
	}
	switch v, points := judge(r); v {
	case healthy:
		o.answered(false)
		o.points.Store(0)
		o.ejections.Store(0)
		o.ejectUntil.Store(0)
	case erring:
		o.answered(true)
		o.points.Store(0)
		if g.outlier(o) {
			g.eject(o, now, random)
		}
	case failed:
		if o.points.Add(points) >= ejectAt && (points == pointsLost || !g.shared(o)) {
			g.eject(o, now, random)
		}
	}
	o.probing.Store(false)
}

// eject takes a member out unless too many are out already. A member that
// fails as a probe, or as a call sent before the ejection, stays out.
func (g *group) eject(o *owner, now time.Time, random uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := o.ejectUntil.Load()
	if until > now.UnixMilli() {
		return
	}
	if until == 0 && !g.mayEject() {
		return
	}
	n := o.ejections.Add(1)
	d := min(ejectFor<<min(n-1, 10), ejectMax)
	d += time.Duration(random % uint64(d/2))
	o.ejectUntil.Store(now.Add(d).UnixMilli())
	o.errors.Store(0)
	o.answers.Store(0)
}

// shared reports whether half or more of the other members fail as well, so
// that the cause is likely to be a service below.
func (g *group) shared(o *owner) bool {
	failing, others := 0, 0
	for _, members := range [][]*owner{g.local, g.remote} {
		for _, other := range members {
			if other.stats == o.stats {
				continue
			}
			others++
			if other.points.Load() > 0 && other.ejectUntil.Load() == 0 {
				failing++
			}
		}
	}
	return others > 0 && 2*failing >= others
}

// outlier reports whether a member answers with errors that the other members
// of its service don't have, so that they aren't those of a service below.
func (g *group) outlier(o *owner) bool {
	own := o.errorShare()
	if own <= errorAbove {
		return false
	}
	sum, n := 0.0, 0
	for _, members := range [][]*owner{g.local, g.remote} {
		for _, other := range members {
			if other.stats != o.stats && other.answers.Load() >= errorBasis {
				sum += other.errorShare()
				n++
			}
		}
	}
	return n > 0 && sum/float64(n) < own/2
}

func (g *group) mayEject() bool {
	all := len(g.local) + len(g.remote)
	out := countEjected(g.local) + countEjected(g.remote)
	return float64(out+1) <= ejectedAtMost*float64(all)
}

func countEjected(owners []*owner) int {
	n := 0
	for _, o := range owners {
		if o.ejectUntil.Load() != 0 {
			n++
		}
	}
	return n
}
