package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// shiftOccupancy is the occupancy of the best local member from which on calls may
	// go to other failure domains for a gain in time; below it local calls hardly wait
	// and the gain would not be worth the bytes. Once calls go there, they do so down to
	// shiftKeepOccupancy.
	shiftOccupancy     = 0.6
	shiftKeepOccupancy = 0.5
	// shiftGain is the gain in units of the usual time of a call at which calls begin to
	// go to other failure domains, shiftKeepGain the one at which they go on. Gains of
	// 0.2 and 0.1 moved a third more calls for the same mean time (demand as in
	// TestDemandMovesBetweenDomains).
	shiftGain     = 0.5
	shiftKeepGain = 0.3
	// shiftSpread is the gain beyond shiftKeepGain at which all calls go. Below it the
	// share grows with the gain, so that nodes with the same reports don't all move their
	// calls at once.
	shiftSpread = 0.2
	// domainRoundTrip is the time to another failure domain and back; its links take up
	// to 1.4 ms one way.
	domainRoundTrip = 2800 * time.Microsecond
	// reportFreshness is the age up to which a report says how long a member would take.
	reportFreshness = 500 * time.Millisecond
	// shiftEnd is how long no call has gone to other failure domains when a shift has
	// ended.
	shiftEnd = time.Second
	// callTimeGain is the weight of the latest call in the mean time of calls.
	callTimeGain = 0.05
)

// shift is the state of the calls of one service that go to other failure domains
// because the members in the node's own would take longer. It is kept when the view of
// the members is rebuilt.
type shift struct {
	movedAt  atomic.Int64  // Unix ms of the latest call moved
	moved    atomic.Int64  // calls moved since the start of the process
	callTime atomic.Uint64 // float bits of the mean time of local calls in seconds
	log      shiftLog
}

// recordCall records how long an answered call in the node's own domain took. Of
// concurrent updates one may be lost.
func (s *shift) recordCall(took time.Duration) {
	mean := math.Float64frombits(s.callTime.Load())
	if mean == 0 {
		mean = took.Seconds()
	}
	mean += callTimeGain * (took.Seconds() - mean)
	s.callTime.Store(math.Float64bits(mean))
}

// meanCallTime returns the mean time of an answered call in the node's own domain; zero
// if there was none.
func (s *shift) meanCallTime() time.Duration {
	return time.Duration(math.Float64frombits(s.callTime.Load()) * float64(time.Second))
}

// roundTrip returns the time to another failure domain and back in units of the time of
// a call.
func (s *shift) roundTrip() float64 {
	mean := s.meanCallTime()
	if mean <= 0 {
		return 0
	}
	return float64(domainRoundTrip) / float64(mean)
}

// record records a call that is moved.
func (s *shift) record(now time.Time) {
	s.movedAt.Store(now.UnixMilli())
	s.moved.Add(1)
}

// active reports whether calls have been moved of late.
func (s *shift) active(now time.Time) bool {
	return now.UnixMilli()-s.movedAt.Load() <= shiftEnd.Milliseconds()
}

// considered reports whether the local member is so busy that other failure domains are
// considered.
func (s *shift) considered(now time.Time, local *owner) bool {
	least := shiftOccupancy
	if s.active(now) {
		least = shiftKeepOccupancy
	}
	return local.pressure(now) >= least
}

// moves reports whether a call goes to the remote member instead of the local one.
func (s *shift) moves(now time.Time, random uint64, local, remote *owner) bool {
	gain := local.timeToFinish(now) - remote.timeToFinish(now) - s.roundTrip()
	if gain < shiftKeepGain || gain < shiftGain && !s.active(now) {
		return false
	}
	share := (gain - shiftKeepGain) / shiftSpread
	return float64(random%1024)/1024 < share
}

// hasFreshWorkTime reports whether the member has reported its work time so recently
// that the time to finish there is known.
func (o *owner) hasFreshWorkTime(now time.Time) bool {
	return o.reportsWorkTime() && o.reportAge(now) <= reportFreshness
}

// isRoom reports whether a member of another failure domain may take over calls for a
// gain in time. A member without a fresh report looks idle, so it gets one call of this
// node at a time until its answer tells its load.
func (o *owner) isRoom(now time.Time) bool {
	return o.isReachable(now) && (o.hasReport() && o.reportAge(now) <= reportFreshness || o.outstanding.Load() == 0)
}
