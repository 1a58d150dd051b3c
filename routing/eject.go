package routing

import (
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	// Failure points; a member is ejected when its points without a success in
	// between reach ejectionPoints.
	ejectionPoints = 6
	lostCallPoints = 6
	timeoutPoints  = 2

	// A member is also ejected when more than maxErrorShare of its answers are
	// errors and the mean share of the other members is less than half of its own.
	errorShareGain     = 1.0 / 16 // weight of the latest answer
	maxErrorShare      = 0.5
	minAnswersForShare = 16 // answers below which a member's share is not compared

	baseEjectionTime   = time.Second
	maxEjectionTime    = 30 * time.Second
	maxEjectedFraction = 0.5 // of a service's members
)

// health is what the result of a call says about a member.
type health uint8

const (
	healthUnknown health = iota
	healthGood
	healthError // the answer is an error
	healthFailed
)

// classify returns the health that a result shows and the failure points that
// the member gets for it.
func classify(r *kernel.Result) (health, int64) {
	switch {
	case r.InstanceLost:
		return healthFailed, lostCallPoints
	case r.Outcome == kernel.OutcomeNotRun && r.Reason == kernel.ReasonNoUpstream:
		return healthFailed, lostCallPoints
	case r.Outcome == kernel.OutcomeUnknown && r.Reason == kernel.ReasonCancelled:
		return healthUnknown, 0
	case r.Outcome == kernel.OutcomeUnknown:
		return healthFailed, timeoutPoints
	case r.Outcome == kernel.OutcomeNotRun:
		return healthUnknown, 0
	case r.Status >= http.StatusInternalServerError:
		return healthError, 0
	}
	return healthGood, 0
}

// recordResult records the result of a call for which the member was claimed.
func (g *group) recordResult(o *owner, r *kernel.Result, now time.Time, random uint64) {
	o.outstanding.Add(-1)
	if r.Load != nil {
		o.recordLoad(r.Load, now)
	}
	if r.Reason == kernel.ReasonDraining {
		o.markDraining(now)
	}
	if r.Dispatched {
		o.recordDispatch(r.Outcome == kernel.OutcomeNotRun && r.Reason == kernel.ReasonOverload, now)
	}
	h, failurePoints := classify(r)
	o.recordReach(h, failurePoints, now)
	switch h {
	case healthGood:
		o.recordAnswer(false)
		o.failurePoints.Store(0)
		o.consecutiveEjections.Store(0)
		o.ejectUntil.Store(0)
	case healthError:
		o.recordAnswer(true)
		o.failurePoints.Store(0)
		if g.isErrorOutlier(o) {
			g.eject(o, now, random)
		}
	case healthFailed:
		if o.failurePoints.Add(failurePoints) >= ejectionPoints && (failurePoints == lostCallPoints || !g.isSharedFailure(o)) {
			g.eject(o, now, random)
		}
	}
	o.probing.Store(false)
}

// eject ejects a member unless too many are ejected already. If the failed call
// was a probe, the ejection is renewed; if it was sent before the ejection, the
// ejection stays unchanged.
func (g *group) eject(o *owner, now time.Time, random uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := o.ejectUntil.Load()
	if until > now.UnixMilli() {
		return
	}
	if until == 0 && !g.canEjectAnother() {
		return
	}
	n := o.consecutiveEjections.Add(1)
	duration := min(baseEjectionTime<<min(n-1, 10), maxEjectionTime)
	duration += time.Duration(random % uint64(duration/2))
	o.ejectUntil.Store(now.Add(duration).UnixMilli())
	o.errorShareBits.Store(0)
	o.answerCount.Store(0)
}

// isSharedFailure reports whether half or more of the other members fail as
// well, so that the cause is likely to be a service below.
func (g *group) isSharedFailure(o *owner) bool {
	failing, others := 0, 0
	for _, members := range [][]*owner{g.local, g.remote} {
		for _, other := range members {
			if other.stats == o.stats {
				continue
			}
			others++
			if other.failurePoints.Load() > 0 && other.ejectUntil.Load() == 0 {
				failing++
			}
		}
	}
	return others > 0 && 2*failing >= others
}

// isErrorOutlier reports whether a member answers with errors that the other
// members of its service don't have, so that a service below is not the cause.
func (g *group) isErrorOutlier(o *owner) bool {
	own := o.errorShare()
	if own <= maxErrorShare {
		return false
	}
	sum, n := 0.0, 0
	for _, members := range [][]*owner{g.local, g.remote} {
		for _, other := range members {
			if other.stats != o.stats && other.answerCount.Load() >= minAnswersForShare {
				sum += other.errorShare()
				n++
			}
		}
	}
	return n > 0 && sum/float64(n) < own/2
}

func (g *group) canEjectAnother() bool {
	all := len(g.local) + len(g.remote)
	ejected := countEjected(g.local) + countEjected(g.remote)
	return float64(ejected+1) <= maxEjectedFraction*float64(all)
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
