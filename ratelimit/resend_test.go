package ratelimit

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

func TestResendsAreLimitedToRatio(t *testing.T) {
	r := NewResendLimiter()
	now := t0
	const others = 200
	resent := 0
	for i := range uint64(others) {
		now = now.Add(10 * time.Millisecond)
		r.RecordResult("c", i, kernel.ReasonOverload, now)
		if ok, _ := r.Allow("c", 1_000_000+i, now); !ok {
			t.Fatal("first request refused as a resend")
		}
		for range 3 {
			ok, after := r.Allow("c", i, now)
			if ok {
				resent++
			} else if after <= 0 {
				t.Fatal("refusal without a retry time")
			}
		}
	}
	if limit := maxSavedResends + int(others*resendRatio) + 1; resent > limit || resent < maxSavedResends {
		t.Fatalf("%d resends allowed, want %d to %d", resent, maxSavedResends, limit)
	}
}

func TestResendsAreAllowedWithoutOverload(t *testing.T) {
	r := NewResendLimiter()
	for _, reason := range []kernel.Reason{"", kernel.ReasonRate, kernel.ReasonDuplicate} {
		r.RecordResult("c", 1, reason, t0)
	}
	for range 100 {
		if ok, _ := r.Allow("c", 1, t0); !ok {
			t.Fatal("request refused without overload")
		}
	}
	r.RecordResult("c", 1, kernel.ReasonOverload, t0)
	later := t0.Add(overloadPeriod + time.Second)
	for range 100 {
		if ok, _ := r.Allow("c", 1, later); !ok {
			t.Fatal("request refused after the overload period")
		}
	}
}

func TestResendBudgetIsPerCustomer(t *testing.T) {
	r := NewResendLimiter()
	r.RecordResult("c", 1, kernel.ReasonOverload, t0)
	r.RecordResult("d", 1, kernel.ReasonOverload, t0)
	for range 100 {
		r.Allow("c", 1, t0)
	}
	if ok, _ := r.Allow("c", 1, t0); ok {
		t.Fatal("first customer's budget is not used up")
	}
	if ok, _ := r.Allow("d", 1, t0); !ok {
		t.Fatal("another customer's budget was used up")
	}
}
