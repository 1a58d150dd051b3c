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
	// resendWindow is how long after a failure an equal request is a resend.
	resendWindow = 10 * time.Second
	// resendRatio is the number of resends allowed per other request.
	resendRatio = 0.2
	// resendReserve bounds the resends that a customer can save up.
	maxSavedResends = 10
	// overloadHold is how long after a failure by overload resends are limited.
	overloadPeriod = 5 * time.Second
	// resendPause is the least time to wait that a refused resend is told.
	resendRetryAfter = time.Second
)

// Resends holds the callers' resends of failed requests to a ratio of each
// customer's other requests, while this node sees overload.
type ResendLimiter struct {
	// overload is the time of the latest failure by overload in Unix ms.
	lastOverload atomic.Int64
	// failed holds a hash tag (high 32 bits) and the time (low 32 bits, Unix
	// seconds) for recent failures. A collision forgets the older.
	recentFailures [resendSlots]atomic.Uint64
	budgets        sync.Map
}

// resendBudget is what a customer may still resend.
type resendBudget struct {
	mu    sync.Mutex
	spent float64
}

// NewResends returns an empty table.
func NewResendLimiter() *ResendLimiter { return &ResendLimiter{} }

// overloadReasons are the failures by overload; clients resend after them.
var overloadReasons = map[kernel.Reason]bool{
	kernel.ReasonOverload: true,
	kernel.ReasonDeadline: true,
}

// Ended records the end of a request. An empty reason means that an upstream
// has answered.
func (r *ResendLimiter) RecordResult(customer string, fingerprint uint64, reason kernel.Reason, now time.Time) {
	if !overloadReasons[reason] {
		return
	}
	r.lastOverload.Store(now.UnixMilli())
	h := resendHash(customer, fingerprint)
	r.recentFailures[h%resendSlots].Store(h&^0xffffffff | uint64(uint32(now.Unix())))
}

// Allow reports whether a request may go on; if not, when to come back.
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
