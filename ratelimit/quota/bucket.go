package quota

import (
	"math"
	"time"
)

// fractionSteps is the number of distinct random fractions in [0, 1).
const fractionSteps = 1 << 16

// bucket is a token bucket. It is not safe for concurrent use.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens accrued since the last call, up to depth.
func (b *bucket) refill(now time.Time, rate, depth float64) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	if elapsed > 0 {
		b.tokens += rate * elapsed
	}
	b.tokens = min(b.tokens, depth)
}

// take removes up to n whole tokens and returns the number removed.
func (b *bucket) take(n float64) float64 {
	taken := math.Floor(min(n, max(b.tokens, 0)))
	b.tokens -= taken
	return taken
}

// lease holds tokens that this node may spend until they expire.
type lease struct {
	tokens    float64
	expiresAt time.Time
}

// localQuota holds this node's leases, local fallback and demand estimate for
// one customer. It is not safe for concurrent use.
type localQuota struct {
	leases []lease
	// ownerUnreachable is set while the owner can't be reached; fallback is the
	// bucket from which the node then admits requests without leases.
	ownerUnreachable bool
	unreachableSince time.Time
	fallback         bucket
	// demandRate is the moving average of requests per second; arrivals counts
	// the requests since the last tick.
	demandRate float64
	arrivals   float64
	// grantedRate is the moving average of tokens spent per second; spentTokens
	// counts the tokens spent since the last tick.
	grantedRate float64
	spentTokens float64
	waiting     float64 // requests that wait for a lease
	// backoffUntil is when to send the next lease request after one that failed
	// or brought no token.
	backoffUntil time.Time
	requestDone  chan struct{} // closed when the pending lease request has ended; nil if none
	lastUsed     time.Time
}

// spend takes one token, leased ones first.
func (q *localQuota) spend(now time.Time) bool {
	ok := q.spendLeased(now) || q.ownerUnreachable && q.fallback.take(1) == 1
	if ok {
		q.spentTokens++
	}
	return ok
}

func (q *localQuota) spendLeased(now time.Time) bool {
	q.dropExpired(now)
	for i := range q.leases {
		if q.leases[i].tokens >= 1 {
			q.leases[i].tokens--
			return true
		}
		if i+1 < len(q.leases) {
			q.leases[i+1].tokens += q.leases[i].tokens
			q.leases[i].tokens = 0
		}
	}
	return false
}

// setOwnerUnreachable starts or ends local fallback. Most nodes are due less
// than one token during the whole outage, so the initial tokens are randomized:
// the fractional token is rounded up with a probability equal to the fraction,
// and the accrued fraction of the next token is drawn at random.
func (q *localQuota) setOwnerUnreachable(now time.Time, ownerUnreachable bool, rate float64, nodes int, random uint64) {
	if ownerUnreachable && !q.ownerUnreachable {
		initial := q.fallbackRate(rate, nodes)*fallbackStartTime.Seconds() + fallbackStartTokens/float64(nodes)
		whole := math.Floor(initial)
		if float64(random%fractionSteps)/fractionSteps < initial-whole {
			whole++
		}
		fraction := float64(random/fractionSteps%fractionSteps) / fractionSteps
		q.fallback = bucket{refilledAt: now, tokens: whole + fraction}
		q.unreachableSince = now
	}
	q.ownerUnreachable = ownerUnreachable
}

// fallbackRate returns the rate in requests per second that this node may admit
// without the owner.
func (q *localQuota) fallbackRate(rate float64, nodes int) float64 {
	ratio := min(fallbackRatio+fallbackExtraRate/rate, maxFallbackRatio)
	return max(ratio*q.grantedRate, fallbackEvenShare*rate/float64(nodes))
}

// refillFallback refills the fallback bucket while the owner can't be reached.
func (q *localQuota) refillFallback(now time.Time, rate float64, nodes int) {
	if !q.ownerUnreachable {
		return
	}
	fallback := q.fallbackRate(rate, nodes)
	q.fallback.refill(now, fallback, max(fallback*fallbackDepthTime.Seconds(), 1))
}

// refund returns the token of a request that did not run.
func (q *localQuota) refund(now time.Time) {
	q.dropExpired(now)
	if n := len(q.leases); n > 0 {
		q.leases[n-1].tokens++
	}
}

func (q *localQuota) dropExpired(now time.Time) {
	for len(q.leases) > 0 && !now.Before(q.leases[0].expiresAt) {
		q.leases = q.leases[1:]
	}
}

func (q *localQuota) leasedTokens(now time.Time) float64 {
	q.dropExpired(now)
	sum := 0.0
	for _, l := range q.leases {
		sum += l.tokens
	}
	return sum
}

// tokensWanted returns how many tokens to request from the owner now, given the
// number of requests that wait for a token. Tokens are prefetched only for
// customers with enough demand at this node; other tokens would expire unused.
func (q *localQuota) tokensWanted(now time.Time, waiting float64) float64 {
	target := waiting
	if prefetch := q.demandRate * prefetchTime.Seconds(); prefetch >= minPrefetchTokens {
		target += prefetch
	}
	held := q.leasedTokens(now)
	if target == 0 || held >= waiting && held > target/2 {
		return 0
	}
	return target - held
}

// updateRates updates the moving averages. The granted rate is frozen during
// fallback, as it determines the fallback rate.
func (q *localQuota) updateRates(elapsed time.Duration) {
	q.demandRate += demandGain * (q.arrivals/elapsed.Seconds() - q.demandRate)
	if !q.ownerUnreachable {
		q.grantedRate += grantedGain * (q.spentTokens/elapsed.Seconds() - q.grantedRate)
	}
	q.arrivals, q.spentTokens = 0, 0
}
