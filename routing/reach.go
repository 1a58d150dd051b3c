package routing

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// failureMemory is how long a member with a failed call and no answer since is not room
// for calls of other failure domains.
const failureMemory = time.Second

// reachability is what this node knows of its way to a failure domain. It is kept when
// the view of the members is rebuilt. Of concurrent updates one may be lost.
type reachability struct {
	lostUntil atomic.Int64 // Unix ms; zero: reachable
	losses    atomic.Int64 // without an answer in between
}

// recordLoss records a lost call or a failed connection. The domain is no room for a
// time that doubles with every loss, like that of an ejection.
func (r *reachability) recordLoss(now time.Time) {
	if !r.reachable(now) {
		return
	}
	n := r.losses.Add(1)
	duration := min(baseEjectionTime<<min(n-1, 10), maxEjectionTime)
	r.lostUntil.Store(now.Add(duration).UnixMilli())
}

// recordAnswer records an answer from an instance of the domain.
func (r *reachability) recordAnswer() {
	if r.lostUntil.Load() == 0 {
		return
	}
	r.losses.Store(0)
	r.lostUntil.Store(0)
}

func (r *reachability) reachable(now time.Time) bool { return now.UnixMilli() >= r.lostUntil.Load() }

// recordReach records what the health of a result says of the way to the member's
// failure domain.
func (o *owner) recordReach(h health, failurePoints int64, now time.Time) {
	switch {
	case h == healthGood || h == healthError:
		o.reach.recordAnswer()
	case h == healthFailed:
		o.failedAt.Store(now.UnixMilli())
		if failurePoints == lostCallPoints {
			o.reach.recordLoss(now)
		}
	}
}

// failedRecently reports whether the latest call to the member has failed a short time
// ago.
func (o *owner) failedRecently(now time.Time) bool {
	return o.failurePoints.Load() > 0 && now.UnixMilli()-o.failedAt.Load() < failureMemory.Milliseconds()
}

// isReachable reports whether calls arrive at the member as far as this node knows.
func (o *owner) isReachable(now time.Time) bool {
	return o.selectable(now) && o.reach.reachable(now) && !o.failedRecently(now)
}

// reachOf returns the reachability of a member's failure domain, which the previous view
// may hold.
func (v *view) reachOf(m state.Member, previous *view) *reachability {
	r := v.reach[m.Domain]
	if r == nil && previous != nil {
		r = previous.reach[m.Domain]
	}
	if r == nil {
		r = &reachability{}
	}
	v.reach[m.Domain] = r
	return r
}
