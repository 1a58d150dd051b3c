package ratelimit

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// leasedDemand is the fraction of a borrower's demand that it gets as a
	// leased rate. The rest is asked for in tokens, so that most of the burst
	// stays in the pool, for any borrower to take.
	leasedDemand = 0.7
	// pooledRate and pooledBurst are the fractions of a share that are never
	// leased for long.
	pooledRate  = 0.1
	pooledBurst = 0.25
	// homeReserve is the fraction of the burst that is kept for the pool's own
	// domain when another domain fills up a lease ahead of need.
	homeReserve = 0.5
	// minLeasedRate is the smallest rate worth a lease, in tokens per second.
	minLeasedRate = 10
	// leaseRetryPart divides MaxRetry for a borrower that holds a rate lease
	// but found the pool empty.
	leaseRetryPart = 4
)

// offer is what a borrower may get.
type offer struct {
	rate, burst float64
	length      time.Duration
	// contended is set when others still hold what is due to the borrower.
	contended bool
}

// available is the part of the pool for an ask. Other domains may fill up their
// leases from what is above a reserve. While the customer is above its rate, a
// part is left to important requests.
func (l *Ledger) available(acct *account, a Ask) float64 {
	if !acct.home && a.Waiting == 0 {
		return max(0, l.level-l.share.Burst*homeReserve)
	}
	if !a.Pressed {
		return l.level
	}
	important := min(l.level-l.reserve(config.PriorityHigh), float64(a.Important))
	critical := min(l.level, float64(a.Critical))
	return max(0, l.level-l.reserve(config.PriorityNormal), important, critical)
}

func (l *Ledger) reserve(p config.Priority) float64 {
	_, leased := l.leased()
	return reserve(p, l.share.Burst-leased)
}

// offer limits what is due to what the other borrowers leave. A borrower to
// which no lease is due gets tokens for the requests that wait, for a short
// time, or added to the lease that it has.
func (l *Ledger) offer(acct *account, a Ask) offer {
	rate, burst := l.due(acct)
	length := l.timing.Lease
	if burst < 1 {
		rate = 0
		burst = max(float64(a.Level)+float64(a.Waiting), 0)
		if len(acct.grants) == 0 {
			length = l.timing.Take
		}
	}
	freeRate, freeBurst := l.freeFor(acct)
	return offer{
		rate:      min(rate, freeRate),
		burst:     min(burst, freeBurst),
		length:    length,
		contended: freeRate < rate || freeBurst < burst,
	}
}

// due returns the borrower's part of the share by demand.
func (l *Ledger) due(acct *account) (rate, burst float64) {
	var wantRate, wantBurst [2]float64
	for _, o := range l.accounts {
		i := class(o)
		wantRate[i] += o.wantRate
		wantBurst[i] += o.wantBurst
	}
	rate = l.share.Rate * (1 - pooledRate)
	burst = l.share.Burst * (1 - pooledBurst)
	i := class(acct)
	if i == 1 {
		rate = max(0, rate-wantRate[0])
		burst = max(0, burst-wantBurst[0])
	}
	rate = min(portion(rate, acct.wantRate, wantRate[i]), acct.wantRate*leasedDemand)
	if rate < minLeasedRate {
		rate = 0
	}
	return rate, portion(burst, acct.wantBurst, wantBurst[i])
}

// class is 0 for home borrowers and 1 for others.
func class(acct *account) int {
	if acct.home {
		return 0
	}
	return 1
}

// portion splits total in proportion to demand when demand exceeds it.
func portion(total, want, sum float64) float64 {
	if sum <= total {
		return want
	}
	return total * want / sum
}
