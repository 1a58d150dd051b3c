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
	limit     limit // under which the tokens were granted
}

// localQuota holds this node's leases, local fallback and demand estimate for
// one customer. It is not safe for concurrent use.
type localQuota struct {
	// limit is the customer's limit in force.
	limit  limit
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
	// grantedLimit is the limit under which grantedRate was granted: the moving
	// average of latestLimit, the limit of the latest lease.
	grantedLimit limit
	latestLimit  limit
	waiting      float64 // requests that wait for a lease
	// backoffUntil is when to send the next lease request after one that failed
	// or brought no token.
	backoffUntil time.Time
	requestDone  chan struct{} // closed when the pending lease request has ended; nil if none
	lastUsed     time.Time
}

func newLocalQuota(l limit) *localQuota {
	return &localQuota{limit: l, grantedLimit: l, latestLimit: l}
}

// setLimit sets the limit in force. Tokens that were granted under a higher limit
// and not spent count only as far as the new one allows. A fallback bucket with
// less than one token is kept: nodes must not all get the next one at one time.
func (q *localQuota) setLimit(inForce limit, random uint64) {
	if inForce == q.limit {
		return
	}
	for i := range q.leases {
		l := &q.leases[i]
		if fraction := l.limit.fractionUnder(inForce); fraction < 1 {
			l.tokens, l.limit = l.tokens*fraction, inForce
		}
	}
	if fraction := q.limit.fractionUnder(inForce); fraction < 1 && q.fallback.tokens >= 1 {
		q.fallback.tokens = randomTokens(math.Floor(q.fallback.tokens)*fraction, random)
	}
	q.limit = inForce
}

// addLease adds tokens that the owner granted under a limit.
func (q *localQuota) addLease(now time.Time, tokens float64, grantedUnder limit) {
	q.latestLimit = grantedUnder
	q.leases = append(q.leases, lease{tokens: tokens, expiresAt: now.Add(leaseDuration), limit: grantedUnder})
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
// than one token during the whole outage, so the initial tokens are randomized.
func (q *localQuota) setOwnerUnreachable(now time.Time, ownerUnreachable bool, nodes int, random uint64) {
	if ownerUnreachable && !q.ownerUnreachable {
		initial := q.fallbackRate(nodes)*fallbackStartTime.Seconds() + fallbackStartTokens/float64(nodes)
		q.fallback = bucket{refilledAt: now, tokens: randomTokens(initial, random)}
		q.unreachableSince = now
	}
	q.ownerUnreachable = ownerUnreachable
}

// fallbackRate returns the rate in requests per second that this node may admit
// without the owner. What was granted under a higher limit than the one in force
// is scaled down.
func (q *localQuota) fallbackRate(nodes int) float64 {
	ratio := min(fallbackRatio+fallbackExtraRate/q.limit.rate, maxFallbackRatio)
	granted := q.grantedRate * q.grantedLimit.fractionUnder(q.limit)
	return max(ratio*granted, fallbackEvenShare*q.limit.rate/float64(nodes))
}

// refillFallback refills the fallback bucket while the owner can't be reached.
func (q *localQuota) refillFallback(now time.Time, nodes int) {
	if !q.ownerUnreachable {
		return
	}
	fallback := q.fallbackRate(nodes)
	q.fallback.refill(now, fallback, max(fallback*fallbackDepthTime.Seconds(), 1))
}

// refund returns the token of a request that did not run and that was admitted
// under the given limit.
func (q *localQuota) refund(now time.Time, admittedUnder limit) {
	q.dropExpired(now)
	if n := len(q.leases); n > 0 {
		q.leases[n-1].tokens += admittedUnder.fractionUnder(q.limit)
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

// probeTokens returns the number of tokens to request although none is missing: one
// during fallback, which otherwise wouldn't end while it admits all requests.
func (q *localQuota) probeTokens() float64 {
	if q.ownerUnreachable {
		return 1
	}
	return 0
}

// updateRates updates the moving averages. The granted rate and its limit are
// frozen during fallback, as they determine the fallback rate.
func (q *localQuota) updateRates(elapsed time.Duration) {
	q.demandRate += demandGain * (q.arrivals/elapsed.Seconds() - q.demandRate)
	if !q.ownerUnreachable {
		q.grantedRate *= q.grantedLimit.fractionUnder(q.latestLimit)
		q.grantedRate += grantedGain * (q.spentTokens/elapsed.Seconds() - q.grantedRate)
		q.grantedLimit = q.grantedLimit.averageWith(q.latestLimit)
	}
	q.arrivals, q.spentTokens = 0, 0
}
