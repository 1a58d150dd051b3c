package ratelimit

import (
	"math"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// lease is an entry node's part of one pool: a token bucket that expires.
type lease struct {
	seq         uint64
	owner       state.MemberID
	rate, burst float64   // tokens per second and tokens
	level       float64   // tokens in the bucket
	filledAt    time.Time // time up to which the bucket has been refilled
	expiresAt   time.Time
	renewAt     time.Time
	// duration is the time from the sending of the lease request to the expiry.
	duration time.Duration
}

// refill adds the tokens accrued up to now.
func (l *lease) refill(now time.Time) {
	if !now.Before(l.expiresAt) {
		l.invalidate()
		return
	}
	if now.After(l.filledAt) {
		l.level = min(l.burst, l.level+l.rate*now.Sub(l.filledAt).Seconds())
		l.filledAt = now
	}
}

// invalidate empties the lease for good. Its seq is kept: it tells the owner that
// the grant was received, so that its tokens may have been spent.
func (l *lease) invalidate() {
	l.rate, l.burst, l.level = 0, 0, 0
}

// take spends one token.
func (l *lease) take(now time.Time) bool {
	l.refill(now)
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}

// reduce gives up what exceeds the wanted rate and burst, and returns the surplus
// tokens.
func (l *lease) reduce(wantedRate, wantedBurst float64) float32 {
	l.rate = min(l.rate, float64(roundDown(wantedRate)))
	l.burst = min(l.burst, float64(roundDown(wantedBurst)))
	if l.rate == 0 {
		l.burst = min(l.burst, float64(roundDown(l.level)))
	}
	surplus := max(0, l.level-l.burst)
	l.level -= surplus
	return roundDown(surplus)
}

// replace replaces the lease by a grant. sentAt is a time before the lease
// request was sent.
func (l *lease) replace(g Grant, owner state.MemberID, t Timing, sentAt, now time.Time) {
	l.refill(now)
	expiresAt := sentAt.Add(time.Duration(g.DurationMS) * time.Millisecond)
	if !now.Before(expiresAt) {
		l.invalidate()
		return
	}
	shrunk := float64(g.Rate) < l.rate || float64(g.Burst) < l.burst
	kept := l.level
	if l.owner != owner && !g.KeepTokens {
		kept = 0
	}
	l.seq = g.Seq
	l.owner = owner
	l.rate = float64(g.Rate)
	l.burst = float64(g.Burst)
	l.level = min(l.burst, kept+float64(g.Tokens))
	l.filledAt = now
	l.expiresAt = expiresAt
	l.duration = expiresAt.Sub(sentAt)
	l.renewAt = sentAt.Add(min(t.RenewAfter, l.duration/2))
	if shrunk {
		l.renewAt = now.Add(t.MinRetry)
	}
}

// timeToToken returns the time until the bucket holds a token; ok is false if it
// never will.
func (l *lease) timeToToken() (d time.Duration, ok bool) {
	if l.rate <= 0 || l.burst < 1 {
		return 0, false
	}
	s := max(0, 1-l.level) / l.rate
	return time.Duration(s * float64(time.Second)), true
}

// roundDown rounds a positive value towards zero, so that neither side of a lease
// assumes more than the message says.
func roundDown(x float64) float32 {
	f := float32(x)
	if float64(f) > x {
		return math.Nextafter32(f, 0)
	}
	return f
}
