package ratelimit

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// leasedDemandRatio is the fraction of a borrower's demand that it gets as a
	// leased rate. It requests the rest in tokens, so that most of the burst
	// stays in the pool for any borrower to take.
	leasedDemandRatio = 0.7
	// pooledRateRatio and pooledBurstRatio are the fractions of a share that are
	// never leased for long.
	pooledRateRatio  = 0.1
	pooledBurstRatio = 0.25
	// homeReserveRatio is the fraction of the burst that is kept for the pool's
	// own domain when another domain prefetches.
	homeReserveRatio = 0.5
	// minLeasedRate is the smallest rate worth leasing, in tokens per second.
	minLeasedRate = 10
	// leaseRetryDivisor divides MaxRetry for a borrower that holds a rate lease
	// but found the pool empty.
	leaseRetryDivisor = 4
)

// offer is what a borrower may be granted.
type offer struct {
	rate, burst float64
	duration    time.Duration
	// contended is set when other borrowers still hold part of what is due to
	// this one.
	contended bool
}

// available returns the tokens of the pool that a request may take. Other domains
// may prefetch only from what exceeds a reserve. While the customer is above its
// rate, less important requests leave tokens for more important ones.
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

// offer limits the borrower's fair share to what the other borrowers leave. A
// borrower whose fair share is below one token gets tokens for its waiting
// requests, either as a short lease or added to the lease that it has.
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

// fairShare returns the borrower's part of the share, in proportion to demand.
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

// borrowerClass returns 0 for home borrowers and 1 for others.
func borrowerClass(acct *account) int {
	if acct.home {
		return 0
	}
	return 1
}

// proportional returns the part of total for a demand of wanted: all of it if the
// total demand fits, else in proportion.
func proportional(total, wanted, totalWanted float64) float64 {
	if totalWanted <= total {
		return wanted
	}
	return total * wanted / totalWanted
}
