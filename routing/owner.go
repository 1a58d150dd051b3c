package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// unknownLimit stands for the limit of a member that has not reported.
	unknownLimit   = 4
	reportHalfLife = time.Second
	// rejectGain is the weight of the latest call in the share of calls that the
	// instance rejects, rejectHalfLife the time in which that share is forgotten
	// by half, and rejectWeight the pressure that it stands for if it is one.
	rejectGain     = 1.0 / 16
	rejectHalfLife = 2 * time.Second
	rejectWeight   = 2.0
	drainingFor    = 5 * time.Second
)

// owner is a member with what this node knows about it.
type owner struct {
	*stats
	member state.Member
	self   bool
}

// stats is what this node learns about a member from its calls. It outlives
// the views of the roster.
type stats struct {
	outstanding atomic.Int64
	limit       atomic.Int64 // zero: no report yet
	others      atomic.Int64 // calls of other nodes at the latest report
	reported    atomic.Int64 // Unix ms
	drainUntil  atomic.Int64 // Unix ms

	rejects    atomic.Uint64 // bits of the moving share of calls rejected
	rejectedAt atomic.Int64  // Unix ms of the latest call that the share rests on
	points     atomic.Int64  // of failure in a row
	errors     atomic.Uint64 // bits of the moving share of answers with an error
	answers    atomic.Int64  // that the share rests on
	ejectUntil atomic.Int64  // Unix ms; zero: not ejected
	ejections  atomic.Int64  // in a row
	probing    atomic.Bool
}

// report takes in the load that an answer carries; a load without a limit
// tells only of draining.
func (o *owner) report(l *kernel.Load, now time.Time) {
	if l.Draining {
		o.drain(now)
	}
	if l.Limit == 0 {
		return
	}
	others := int64(l.InFlight+l.Queued) - o.outstanding.Load()
	o.others.Store(max(others, 0))
	o.limit.Store(int64(l.Limit))
	o.reported.Store(now.UnixMilli())
}

func (o *owner) drain(now time.Time) {
	o.drainUntil.Store(now.Add(drainingFor).UnixMilli())
}

// pressure returns the calls at the member in units of its limit, and more
// for a member whose instance rejects calls: these end at once, so it would
// look as if it had the most room.
func (o *owner) pressure(now time.Time) float64 {
	return o.occupancy(now) + rejectWeight*o.rejectShare(now)
}

// occupancy returns the calls at the member in units of its limit.
func (o *owner) occupancy(now time.Time) float64 {
	own := float64(o.outstanding.Load())
	limit := o.limit.Load()
	if limit == 0 {
		return own / unknownLimit
	}
	age := now.UnixMilli() - o.reported.Load()
	others := float64(o.others.Load())
	if age > 0 {
		others *= math.Exp2(-float64(age) / float64(reportHalfLife.Milliseconds()))
	}
	return (own + others) / float64(limit)
}

// measured reports whether the pressure rests on a report.
func (o *owner) measured() bool { return o.limit.Load() > 0 }

func (o *owner) draining(now time.Time) bool {
	return o.member.Draining || now.UnixMilli() < o.drainUntil.Load()
}

// accepts reports whether the member may be chosen: it isn't ejected, or its
// time is up and nobody probes it.
func (o *owner) accepts(now time.Time) bool {
	until := o.ejectUntil.Load()
	if until == 0 {
		return true
	}
	return now.UnixMilli() >= until && !o.probing.Load()
}

// rejectShare returns the share of calls that the instance rejected of late.
func (o *owner) rejectShare(now time.Time) float64 {
	share := math.Float64frombits(o.rejects.Load())
	if age := now.UnixMilli() - o.rejectedAt.Load(); age > 0 && share > 0 {
		share *= math.Exp2(-float64(age) / float64(rejectHalfLife.Milliseconds()))
	}
	return share
}

// offered takes in whether the instance rejected a call. Calls that end at the
// same moment may miss each other's change.
func (o *owner) offered(rejected bool, now time.Time) {
	share := o.rejectShare(now)
	if !rejected && share == 0 {
		return
	}
	sample := 0.0
	if rejected {
		sample = 1
	}
	o.rejects.Store(math.Float64bits(share + rejectGain*(sample-share)))
	o.rejectedAt.Store(now.UnixMilli())
}

// answered takes an answer into the share of errors.
func (o *owner) answered(isError bool) {
	o.answers.Add(1)
	sample := 0.0
	if isError {
		sample = 1
	}
	for {
		old := o.errors.Load()
		share := math.Float64frombits(old)
		share += errorGain * (sample - share)
		if o.errors.CompareAndSwap(old, math.Float64bits(share)) {
			return
		}
	}
}

func (o *owner) errorShare() float64 { return math.Float64frombits(o.errors.Load()) }

// claim takes the member for a call. It fails if another call has become the
// probe in the meantime.
func (o *owner) claim() bool {
	if o.ejectUntil.Load() != 0 && !o.probing.CompareAndSwap(false, true) {
		return false
	}
	o.outstanding.Add(1)
	return true
}

// take is claim without regard to ejection.
func (o *owner) take() { o.outstanding.Add(1) }
