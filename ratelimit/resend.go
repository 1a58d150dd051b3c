package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	// resendSlots is the size of the table of recent failures.
	resendSlots = 1 << 14
	// resendWindow is how long after a failure an equal request counts as a
	// resend.
	resendWindow = 10 * time.Second
	// resendRatio is the number of resends allowed per other request.
	resendRatio = 0.2
	// maxSavedResends bounds the resends that a customer can save up.
	maxSavedResends = 10
	// overloadPeriod is how long resends are limited after a failure due to
	// overload.
	overloadPeriod = 5 * time.Second
	// resendRetryAfter is the minimum retry time sent with a refused resend.
	resendRetryAfter = time.Second
)

// ResendLimiter limits callers' resends of failed requests to a ratio of each
// customer's other requests while this node sees overload.
type ResendLimiter struct {
	// lastOverload is the time of the latest failure due to overload in Unix
	// milliseconds.
	lastOverload atomic.Int64
	// recentFailures is a hash table of recent failures. An entry holds a hash
	// tag (high 32 bits) and the time (low 32 bits, Unix seconds). On a collision
	// the older entry is lost.
	recentFailures [resendSlots]atomic.Uint64
	budgets        sync.Map // customer name to *resendBudget
}

// resendBudget is a customer's budget of resends; spent is the part used up.
type resendBudget struct {
	mu    sync.Mutex
	spent float64
}

// NewResendLimiter returns a limiter that has seen no failures.
func NewResendLimiter() *ResendLimiter { return &ResendLimiter{} }

// overloadReasons are the failures due to overload; clients resend after them.
var overloadReasons = map[kernel.Reason]bool{
	kernel.ReasonOverload: true,
	kernel.ReasonDeadline: true,
}

// RecordResult records the end of a request. An empty reason means that an
// upstream answered.
func (r *ResendLimiter) RecordResult(customer string, fingerprint uint64, reason kernel.Reason, now time.Time) {
	if !overloadReasons[reason] {
		return
	}
	r.lastOverload.Store(now.UnixMilli())
	h := resendHash(customer, fingerprint)
	r.recentFailures[h%resendSlots].Store(h&^0xffffffff | uint64(uint32(now.Unix())))
}

// Allow reports whether a request may proceed, and if not, after what time the
// caller should retry.
func (r *ResendLimiter) Allow(customer string, fingerprint uint64, now time.Time) (bool, time.Duration) {
	if now.UnixMilli()-r.lastOverload.Load() > overloadPeriod.Milliseconds() {
		return true, 0
	}
	b := r.budget(customer)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.isResend(customer, fingerprint, now) {
		b.spent = max(0, b.spent-resendRatio)
		return true, 0
	}
	if b.spent+1 > maxSavedResends {
		return false, resendRetryAfter
	}
	b.spent++
	return true, 0
}

func (r *ResendLimiter) isResend(customer string, fingerprint uint64, now time.Time) bool {
	h := resendHash(customer, fingerprint)
	v := r.recentFailures[h%resendSlots].Load()
	if v == 0 || v>>32 != h>>32 {
		return false
	}
	age := uint32(now.Unix()) - uint32(v)
	return age <= uint32(resendWindow/time.Second)
}

func (r *ResendLimiter) budget(customer string) *resendBudget {
	if b, ok := r.budgets.Load(customer); ok {
		return b.(*resendBudget)
	}
	b, _ := r.budgets.LoadOrStore(customer, &resendBudget{})
	return b.(*resendBudget)
}

func resendHash(customer string, fingerprint uint64) uint64 {
	return xxhash.Sum64String(customer) ^ fingerprint*0x9e3779b97f4a7c15
}
