package ratelimit

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// leasedDemand is the fraction of a borrower's demand that it gets as a
	// leased rate. The rest is asked for in tokens, so that most of the burst
	// stays in the pool, for any borrower to take.
	leasedDemandRatio = 0.7
	// pooledRate and pooledBurst are the fractions of a share that are never
	// leased for long.
	pooledRateRatio  = 0.1
	pooledBurstRatio = 0.25
	// homeReserve is the fraction of the burst that is kept for the pool's own
	// domain when another domain fills up a lease ahead of need.
	homeReserveRatio = 0.5
	// minLeasedRate is the smallest rate worth a lease, in tokens per second.
	minLeasedRate = 10
	// leaseRetryPart divides MaxRetry for a borrower that holds a rate lease
	// but found the pool empty.
	leaseRetryDivisor = 4
)

// offer is what a borrower may get.
type offer struct {
	rate, burst float64
	duration    time.Duration
	// contended is set when others still hold what is due to the borrower.
	contended bool
}

// available is the part of the pool for an ask. Other domains may fill up their
// leases from what is above a reserve. While the customer is above its rate, a
// part is left to important requests.
func (l *Ledger) available(acct *account, req LeaseRequest) float64 {
	if !acct.home && req.Waiting == 0 {
		return max(0, l.level-l.share.Burst*homeReserveRatio)
	}
	if !req.AboveRate {
		return l.level
	}
	important := min(l.level-l.reserve(config.PriorityHigh), float64(req.Important))
	critical := min(l.level, float64(req.Critical))
	return max(0, l.level-l.reserve(config.PriorityNormal), important, critical)
}

func (l *Ledger) reserve(p config.Priority) float64 {
	_, leased := l.leased()
	return reserve(p, l.share.Burst-leased)
}

// offer limits what is due to what the other borrowers leave. A borrower to
// which no lease is due gets tokens for the requests that wait, for a short
// time, or added to the lease that it has.
func (l *Ledger) offer(acct *account, req LeaseRequest) offer {
	rate, burst := l.fairShare(acct)
	duration := l.timing.LeaseDuration
	if burst < 1 {
		rate = 0
		burst = max(float64(req.Level)+float64(req.Waiting), 0)
		if len(acct.grants) == 0 {
			duration = l.timing.TokenLeaseDuration
		}
	}
	freeRate, freeBurst := l.freeFor(acct)
	return offer{
		rate:      min(rate, freeRate),
		burst:     min(burst, freeBurst),
		duration:  duration,
		contended: freeRate < rate || freeBurst < burst,
	}
}

// due returns the borrower's part of the share by demand.
func (l *Ledger) fairShare(acct *account) (rate, burst float64) {
	var wantedRate, wantedBurst [2]float64
	for _, o := range l.accounts {
		i := borrowerClass(o)
		wantedRate[i] += o.wantedRate
		wantedBurst[i] += o.wantedBurst
	}
	rate = l.share.Rate * (1 - pooledRateRatio)
	burst = l.share.Burst * (1 - pooledBurstRatio)
	i := borrowerClass(acct)
	if i == 1 {
		rate = max(0, rate-wantedRate[0])
		burst = max(0, burst-wantedBurst[0])
	}
	rate = min(proportional(rate, acct.wantedRate, wantedRate[i]), acct.wantedRate*leasedDemandRatio)
	if rate < minLeasedRate {
		rate = 0
	}
	return rate, proportional(burst, acct.wantedBurst, wantedBurst[i])
}

// class is 0 for home borrowers and 1 for others.
func borrowerClass(acct *account) int {
	if acct.home {
		return 0
	}
	return 1
}

// portion splits total in proportion to demand when demand exceeds it.
func proportional(total, wanted, totalWanted float64) float64 {
	if totalWanted <= total {
		return wanted
	}
	return total * wanted / totalWanted
}
