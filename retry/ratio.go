package retry

import (
	"sync/atomic"
	"time"
)

// Parameters of the node-wide ratio, in thousandths of a retry.
const (
	retryCostMilli            = 1000
	firstAttemptEarnsMilli    = 100 // a first attempt earns a tenth of a retry
	ratioBurstMilli           = 20 * retryCostMilli
	ratioRefillMilliPerSecond = 1 * retryCostMilli // for nodes with little traffic
)

// retryRatio is a token bucket filled by first attempts and emptied by retries.
type retryRatio struct {
	tokensMilli atomic.Int64
	lastRefill  atomic.Int64 // Unix ms
}

func newRetryRatio(now time.Time) *retryRatio {
	r := &retryRatio{}
	r.tokensMilli.Store(ratioBurstMilli)
	r.lastRefill.Store(now.UnixMilli())
	return r
}

// recordFirstAttempt adds the tokens that a first attempt earns.
func (r *retryRatio) recordFirstAttempt() { r.add(firstAttemptEarnsMilli) }

// spend takes the tokens for one retry. It returns false if there are too few.
func (r *retryRatio) spend() bool {
	for {
		available := r.tokensMilli.Load()
		if available < retryCostMilli {
			return false
		}
		if r.tokensMilli.CompareAndSwap(available, available-retryCostMilli) {
			return true
		}
	}
}

// refund returns the tokens of a retry that found no owner.
func (r *retryRatio) refund() { r.add(retryCostMilli) }

// tick adds the tokens earned by time.
func (r *retryRatio) tick(now time.Time) {
	ms := now.UnixMilli()
	elapsed := ms - r.lastRefill.Swap(ms)
	if elapsed > 0 {
		r.add(elapsed * ratioRefillMilliPerSecond / 1000)
	}
}

func (r *retryRatio) add(tokensMilli int64) {
	for {
		available := r.tokensMilli.Load()
		sum := min(available+tokensMilli, ratioBurstMilli)
		if sum <= available || r.tokensMilli.CompareAndSwap(available, sum) {
			return
		}
	}
}
