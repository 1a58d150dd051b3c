// Package pace limits how many calls start in a second, for instances that name a
// rate limit.
//
// # Algorithm
//
// A Pacer is a token bucket. It is empty when a limit begins, and its depth is
// burstTime at the limit, at least one token, so that a pause saves up no burst.
//
// # Limits
//
// A Pacer does no I/O and reads no clock. It is not safe for concurrent use.
package pace

import "time"

// burstTime is several intervals of the ticks that start waiting calls.
const burstTime = 200 * time.Millisecond

// Pacer decides when the next call may start. The zero value has no limit.
type Pacer struct {
	rate    float64 // calls per second; zero: no limit
	tokens  float64
	updated time.Time
}

// SetRate sets the limit in calls per second; zero lifts it.
func (p *Pacer) SetRate(now time.Time, rate float64) {
	if rate == p.rate {
		return
	}
	if p.rate == 0 {
		p.tokens, p.updated = 0, now
	}
	p.refill(now)
	p.rate = rate
	p.tokens = min(p.tokens, p.depth())
}

// Rate returns the limit in calls per second; zero means that there is none.
func (p *Pacer) Rate() float64 { return p.rate }

// Ready reports whether a call may start.
func (p *Pacer) Ready(now time.Time) bool {
	if p.rate == 0 {
		return true
	}
	p.refill(now)
	return p.tokens >= 1
}

// Start counts the start of a call.
func (p *Pacer) Start(now time.Time) {
	if p.rate == 0 {
		return
	}
	p.refill(now)
	p.tokens--
}

// Wait returns the time until n calls may have started.
func (p *Pacer) Wait(now time.Time, n int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	p.refill(now)
	missing := max(float64(n)-p.tokens, 0)
	return time.Duration(missing / p.rate * float64(time.Second))
}

// depth returns the number of tokens that a pause saves up.
func (p *Pacer) depth() float64 { return max(p.rate*burstTime.Seconds(), 1) }

func (p *Pacer) refill(now time.Time) {
	elapsed := max(now.Sub(p.updated), 0)
	p.updated = now
	p.tokens = min(p.tokens+elapsed.Seconds()*p.rate, p.depth())
}
