package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// defaultLimit is assumed for a member that has not reported its limit.
	defaultLimit = 4
	// reportHalfLife is the time in which the reported calls of other nodes decay
	// by half.
	reportHalfLife = time.Second
	// rejectShareGain is the weight of the latest call in the share of calls that
	// the instance rejects, rejectShareHalfLife the time in which that share
	// decays by half, and rejectPressureWeight the pressure that a share of one
	// adds.
	rejectShareGain      = 1.0 / 16
	rejectShareHalfLife  = 2 * time.Second
	rejectPressureWeight = 2.0
	// drainingTTL is how long a member counts as draining after it has answered so,
	// unless the instance itself has said that it leaves.
	drainingTTL = 5 * time.Second
)

// owner is a member and what this node knows about it.
type owner struct {
	*stats
	member state.Member
	self   bool
	reach  *reachability // of the member's failure domain
}

// stats is what this node learns about a member from its calls. It is kept when
// the view of the members is rebuilt.
type stats struct {
	outstanding     atomic.Int64
	limit           atomic.Int64 // zero: no report yet
	otherNodesCalls atomic.Int64 // calls of other nodes at the latest report
	reportedAt      atomic.Int64 // Unix ms
	// work is the work time in the latest report (packWorkTime); zero if it has none.
	work       atomic.Uint64
	drainUntil atomic.Int64 // Unix ms
	memory     atomic.Pointer[nodeMemory]

	rejectShareBits      atomic.Uint64 // float bits of the moving share of rejected calls
	rejectShareUpdatedAt atomic.Int64  // Unix ms
	failurePoints        atomic.Int64  // since the latest answer
	failedAt             atomic.Int64  // Unix ms of the latest failed call
	errorShareBits       atomic.Uint64 // float bits of the moving share of answers with an error
	answerCount          atomic.Int64  // answers in errorShareBits
	ejectUntil           atomic.Int64  // Unix ms; zero: not ejected
	consecutiveEjections atomic.Int64  // without a success in between
	probing              atomic.Bool
}

// recordLoad records the load that an answer carries. A load without a limit
// only says whether the member drains.
func (o *owner) recordLoad(l *kernel.Load, now time.Time) {
	if l.Draining {
		o.markDraining(now)
	}
	if l.Limit == 0 {
		return
	}
	otherNodesCalls := int64(l.InFlight+l.Queued) - o.outstanding.Load()
	o.otherNodesCalls.Store(max(otherNodesCalls, 0))
	o.limit.Store(int64(l.Limit))
	o.work.Store(packWorkTime(l.Work.Bounded()))
	o.reportedAt.Store(now.UnixMilli())
}

func (o *owner) markDraining(now time.Time) {
	o.drainUntil.Store(now.Add(drainingTTL).UnixMilli())
}

// pressure returns the member's occupancy plus a surcharge for rejected calls.
// Rejected calls end at once, so without the surcharge a member whose instance
// rejects calls would seem to have the lowest load.
func (o *owner) pressure(now time.Time) float64 {
	return o.occupancy(now) + rejectPressureWeight*o.rejectShare(now)
}

// occupancy returns the work ahead of a call in units of what the member does in the
// usual time: the number of calls at the member, times its work time, divided by its
// limit.
func (o *owner) occupancy(now time.Time) float64 {
	return o.usedShare(now) * o.workTime(now)
}

// usedShare returns the number of calls at the member divided by its limit.
func (o *owner) usedShare(now time.Time) float64 {
	own := float64(o.outstanding.Load())
	limit := o.limit.Load()
	if limit == 0 {
		return own / defaultLimit
	}
	age := now.UnixMilli() - o.reportedAt.Load()
	otherNodesCalls := float64(o.otherNodesCalls.Load())
	if age > 0 {
		otherNodesCalls *= math.Exp2(-float64(age) / float64(reportHalfLife.Milliseconds()))
	}
	return (own + otherNodesCalls) / float64(limit)
}

// hasReport reports whether the member has reported its load.
func (o *owner) hasReport() bool { return o.limit.Load() > 0 }

func (o *owner) draining(now time.Time) bool {
	return o.member.Draining || o.memory.Load().leaving(o.member) || now.UnixMilli() < o.drainUntil.Load()
}

// selectable reports whether the member may be chosen: it isn't ejected, or its
// ejection is over and no call probes it.
func (o *owner) selectable(now time.Time) bool {
	until := o.ejectUntil.Load()
	if until == 0 {
		return true
	}
	return now.UnixMilli() >= until && !o.probing.Load()
}

// rejectShare returns the share of calls that the instance rejected recently.
func (o *owner) rejectShare(now time.Time) float64 {
	share := math.Float64frombits(o.rejectShareBits.Load())
	if age := now.UnixMilli() - o.rejectShareUpdatedAt.Load(); age > 0 && share > 0 {
		share *= math.Exp2(-float64(age) / float64(rejectShareHalfLife.Milliseconds()))
	}
	return share
}

// recordDispatch records whether the instance rejected a call. Of concurrent
// updates one may be lost.
func (o *owner) recordDispatch(rejected bool, now time.Time) {
	share := o.rejectShare(now)
	if !rejected && share == 0 {
		return
	}
	sample := 0.0
	if rejected {
		sample = 1
	}
	o.rejectShareBits.Store(math.Float64bits(share + rejectShareGain*(sample-share)))
	o.rejectShareUpdatedAt.Store(now.UnixMilli())
}

// recordAnswer updates the share of answers with an error.
func (o *owner) recordAnswer(isError bool) {
	o.answerCount.Add(1)
	sample := 0.0
	if isError {
		sample = 1
	}
	for {
		old := o.errorShareBits.Load()
		share := math.Float64frombits(old)
		share += errorShareGain * (sample - share)
		if o.errorShareBits.CompareAndSwap(old, math.Float64bits(share)) {
			return
		}
	}
}

func (o *owner) errorShare() float64 { return math.Float64frombits(o.errorShareBits.Load()) }

// claim assigns a call to the member. It fails if another call has become the
// probe in the meantime.
func (o *owner) claim() bool {
	if o.ejectUntil.Load() != 0 && !o.probing.CompareAndSwap(false, true) {
		return false
	}
	o.outstanding.Add(1)
	return true
}

// claimUnconditionally assigns a call to the member regardless of ejection.
func (o *owner) claimUnconditionally() { o.outstanding.Add(1) }
