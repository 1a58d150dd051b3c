package retry

import (
	"sync/atomic"
	"time"
)

// Parameters of the node-wide ratio, in thousandths of a retry.
const (
	retryCostMilli    = 1000
	depositMilli      = 100 // a first attempt earns a tenth of a retry
	ratioBurstMilli   = 20 * retryCostMilli
	ratioRefillMilliS = 1 * retryCostMilli // per second, for nodes with little traffic
)

// ratio is a token bucket fed by first attempts and emptied by retries.
type ratio struct {
	milli    atomic.Int64
	refilled atomic.Int64 // Unix ms
}

func newRatio(now time.Time) *ratio {
	r := &ratio{}
	r.milli.Store(ratioBurstMilli)
	r.refilled.Store(now.UnixMilli())
	return r
}

// first records a first attempt.
func (r *ratio) first() { r.add(depositMilli) }

// spend takes one retry, or reports that the ratio is used up.
func (r *ratio) spend() bool {
	for {
		have := r.milli.Load()
		if have < retryCostMilli {
			return false
		}
		if r.milli.CompareAndSwap(have, have-retryCostMilli) {
			return true
		}
	}
}

// refund undoes a spend whose attempt found no owner.
func (r *ratio) refund() { r.add(retryCostMilli) }

// tick adds the time-based part.
func (r *ratio) tick(now time.Time) {
	ms := now.UnixMilli()
	elapsed := ms - r.refilled.Swap(ms)
	if elapsed > 0 {
		r.add(elapsed * ratioRefillMilliS / 1000)
	}
}

func (r *ratio) add(milli int64) {
	for {
		have := r.milli.Load()
		sum := min(have+milli, ratioBurstMilli)
		if sum <= have || r.milli.CompareAndSwap(have, sum) {
			return
		}
	}
}
