package quota

import (
	"math"
	"time"
)

// randomSteps is the resolution of draws from a random number.
const randomSteps = 1 << 16

// bucket is a token bucket. It is not safe for concurrent use.
type bucket struct {
	tokens   float64
	refilled time.Time
}

// refill adds what has come in since the last call, up to depth.
func (b *bucket) refill(now time.Time, rate, depth float64) {
	elapsed := now.Sub(b.refilled).Seconds()
	b.refilled = now
	if elapsed > 0 {
		b.tokens += rate * elapsed
	}
	b.tokens = min(b.tokens, depth)
}

// take removes up to n whole tokens and returns how many there were.
func (b *bucket) take(n float64) float64 {
	got := math.Floor(min(n, max(b.tokens, 0)))
	b.tokens -= got
	return got
}

// lease is tokens that a node holds until they expire.
type lease struct {
	tokens  float64
	expires time.Time
}

// holding is what a node holds of one customer's rate. It is not safe for
// concurrent use.
type holding struct {
	leases []lease
	// orphaned is set while the owner can't be reached; own is the part of the
	// rate that the node then has by itself.
	orphaned   bool
	orphanedAt time.Time
	own        bucket
	// demand is the moving mean of requests per second; arrived counts them
	// since the last tick.
	demand  float64
	arrived float64
	// granted is the moving mean of requests that got a token per second; spent
	// counts them since the last tick.
	granted float64
	spent   float64
	waiting float64 // requests that wait for a lease
	// dryUntil is when a pool that had too few tokens may be asked again.
	dryUntil time.Time
	asking   chan struct{} // closed when the lease asked for has come or not
	used     time.Time
}

// spend takes one token, leased ones first.
func (h *holding) spend(now time.Time) bool {
	ok := h.spendLeased(now) || h.orphaned && h.own.take(1) == 1
	if ok {
		h.spent++
	}
	return ok
}

func (h *holding) spendLeased(now time.Time) bool {
	h.expire(now)
	for i := range h.leases {
		if h.leases[i].tokens >= 1 {
			h.leases[i].tokens--
			return true
		}
		if i+1 < len(h.leases) {
			h.leases[i+1].tokens += h.leases[i].tokens
			h.leases[i].tokens = 0
		}
	}
	return false
}

// orphan begins or ends the time without an owner. A part of a token at its
// beginning is a whole one by chance, and the part that has been saved of the
// next one is drawn, since most nodes have less than one in all that time.
func (h *holding) orphan(now time.Time, orphaned bool, rate float64, nodes int, random uint64) {
	if orphaned && !h.orphaned {
		start := h.ownRate(rate, nodes)*orphanStart.Seconds() + orphanFirst/float64(nodes)
		whole := math.Floor(start)
		if float64(random%randomSteps)/randomSteps < start-whole {
			whole++
		}
		saved := float64(random/randomSteps%randomSteps) / randomSteps
		h.own = bucket{refilled: now, tokens: whole + saved}
		h.orphanedAt = now
	}
	h.orphaned = orphaned
}

// ownRate is what the node may grant by itself, in requests per second.
func (h *holding) ownRate(rate float64, nodes int) float64 {
	part := min(orphanPart+orphanSlack/rate, orphanMost)
	return max(part*h.granted, orphanShare*rate/float64(nodes))
}

// refillOwn adds to the own part while there is no owner.
func (h *holding) refillOwn(now time.Time, rate float64, nodes int) {
	if !h.orphaned {
		return
	}
	own := h.ownRate(rate, nodes)
	h.own.refill(now, own, max(own*orphanDepth.Seconds(), 1))
}

// refund gives back the token of a request that has not run.
func (h *holding) refund(now time.Time) {
	h.expire(now)
	if n := len(h.leases); n > 0 {
		h.leases[n-1].tokens++
	}
}

func (h *holding) expire(now time.Time) {
	for len(h.leases) > 0 && !now.Before(h.leases[0].expires) {
		h.leases = h.leases[1:]
	}
}

func (h *holding) leased(now time.Time) float64 {
	h.expire(now)
	sum := 0.0
	for _, l := range h.leases {
		sum += l.tokens
	}
	return sum
}

// want returns how many tokens to ask for now, with some requests waiting for
// one. Tokens are held only of customers with some demand here: those of others
// would expire unused.
func (h *holding) want(now time.Time, waiting float64) float64 {
	target := waiting
	if ahead := h.demand * holdTime.Seconds(); ahead >= minHold {
		target += ahead
	}
	have := h.leased(now)
	if target == 0 || have >= waiting && have > target/2 {
		return 0
	}
	return target - have
}

// tick moves the demand, and the rate granted unless the node grants it itself.
func (h *holding) tick(elapsed time.Duration) {
	h.demand += demandGain * (h.arrived/elapsed.Seconds() - h.demand)
	if !h.orphaned {
		h.granted += grantedGain * (h.spent/elapsed.Seconds() - h.granted)
	}
	h.arrived, h.spent = 0, 0
}
