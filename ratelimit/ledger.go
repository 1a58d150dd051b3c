package ratelimit

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// pooledRate and pooledBurst are the fractions of a share that are never
	// leased for long, so that entry nodes without a lease find tokens.
	pooledRate  = 0.1
	pooledBurst = 0.25
	// leaseRetryPart divides MaxRetry for a borrower that has a lease but found
	// the pool empty.
	leaseRetryPart = 4
	// minLeasedBurst is the smallest bucket worth a lease, in tokens.
	minLeasedBurst = 1
)

// Ledger is the pool of one customer in one failure domain, as kept by its
// owner. It upholds that the tokens in the pool and the bursts of all grants
// that may still be in use sum to at most the share's burst, and that the fill
// rate of the pool and the rates of those grants sum to at most its rate. The
// tokens that can be spent without further fill are thereby at most the burst.
type Ledger struct {
	timing   Timing
	share    Share
	level    float64
	at       time.Time
	accounts map[state.MemberID]*account
}

// account is one borrower.
type account struct {
	home      bool
	lastSeq   uint64
	answer    Grant
	grants    []grant
	wantRate  float64
	wantBurst float64
	asked     time.Time
}

// grant is a lease that its borrower may be using.
type grant struct {
	seq         uint64
	rate, burst float64
	tokens      float64
	expires     time.Time
}

// NewLedger returns an empty pool that fills from now on.
func NewLedger(t Timing, s Share, now time.Time) *Ledger {
	return &Ledger{timing: t, share: s, at: now, accounts: map[state.MemberID]*account{}}
}

// SetShare changes the share. Grants made before stay valid until they lapse.
func (l *Ledger) SetShare(s Share, now time.Time) {
	l.advance(now)
	l.share = s
	l.clamp()
}

// Ask handles an ask of a borrower. Home borrowers stand in the pool's own
// failure domain; the others get what home borrowers leave.
func (l *Ledger) Ask(from state.MemberID, home bool, a Ask, now time.Time) Grant {
	l.advance(now)
	acct, ok := l.accounts[from]
	if !ok {
		acct = &account{}
		l.accounts[from] = acct
	}
	if a.Seq <= acct.lastSeq {
		return acct.repeat(a)
	}
	acct.lastSeq = a.Seq
	acct.home = home
	acct.asked = now
	acct.wantRate = max(0, float64(a.WantRate))
	acct.wantBurst = max(0, float64(a.WantBurst))
	l.release(acct, a)
	acct.answer = l.allot(acct, a, now)
	return acct.answer
}

// repeat answers a duplicate with the same grant, and a late ask with none.
func (acct *account) repeat(a Ask) Grant {
	if a.Seq == acct.answer.Seq {
		return acct.answer
	}
	return Grant{Seq: a.Seq}
}

// release drops the grants that the borrower has given up. Their tokens come
// back, since a grant that was not taken up has not been spent.
func (l *Ledger) release(acct *account, a Ask) {
	kept := acct.grants[:0]
	for _, g := range acct.grants {
		if g.seq != a.Holding {
			if g.seq > a.Holding {
				l.level += g.tokens
			}
			continue
		}
		g.rate = min(g.rate, max(0, float64(a.Rate)))
		lowered := min(g.burst, max(0, float64(a.Burst)))
		l.level += min(max(0, float64(a.Returned)), g.burst-lowered)
		g.burst = lowered
		kept = append(kept, g)
	}
	acct.grants = kept
	l.clamp()
}

// allot chooses a grant: a rate lease if the fair part of the burst is of use,
// else a single token for a short time.
func (l *Ledger) allot(acct *account, a Ask, now time.Time) Grant {
	g := Grant{Seq: a.Seq}
	if acct.wantBurst < 1 {
		return g
	}
	rate, burst := l.fair(acct)
	d := l.timing.Lease
	if burst < minLeasedBurst {
		rate, burst, d = 0, 1, l.timing.Take
	}
	freeRate, freeBurst := l.freeFor(acct)
	rate = min(rate, freeRate)
	burst = min(burst, freeBurst)
	tokens := min(l.level, max(0, burst-float64(a.Level)))
	if burst < 1 || (rate == 0 && tokens+float64(a.Level) < 1) {
		g.RetryMS = l.retryMS(acct)
		return g
	}
	g.Rate, g.Burst, g.Tokens = float32down(rate), float32down(burst), float32down(tokens)
	g.DurationMS = uint32(d / time.Millisecond)
	if tokens+float64(a.Level) < 1 {
		g.RetryMS = uint32(l.timing.MaxRetry / leaseRetryPart / time.Millisecond)
	}
	l.level -= tokens
	acct.grants = append(acct.grants, grant{
		seq: a.Seq, rate: rate, burst: burst, tokens: float64(g.Tokens),
		expires: now.Add(d + driftAllowance(d)),
	})
	l.clamp()
	return g
}

// fair returns the borrower's part of the share by demand.
func (l *Ledger) fair(acct *account) (rate, burst float64) {
	var wantRate, wantBurst [2]float64
	for _, o := range l.accounts {
		i := class(o)
		wantRate[i] += o.wantRate
		wantBurst[i] += o.wantBurst
	}
	leasableRate := l.share.Rate * (1 - pooledRate)
	leasableBurst := l.share.Burst - max(1, l.share.Burst*pooledBurst)
	i := class(acct)
	if i == 1 {
		leasableRate = max(0, leasableRate-wantRate[0])
		leasableBurst = max(0, leasableBurst-wantBurst[0])
	}
	return portion(leasableRate, acct.wantRate, wantRate[i]), portion(leasableBurst, acct.wantBurst, wantBurst[i])
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

// freeFor returns what no other borrower may be using. The borrower's own
// grants count, since a new grant replaces them.
func (l *Ledger) freeFor(acct *account) (rate, burst float64) {
	rate, burst = l.share.Rate, l.share.Burst
	for _, o := range l.accounts {
		if o == acct {
			continue
		}
		r, b := o.counted()
		rate -= r
		burst -= b
	}
	return max(0, rate), max(0, burst)
}

// counted is the largest rate and burst that the borrower may be using.
func (acct *account) counted() (rate, burst float64) {
	for _, g := range acct.grants {
		rate = max(rate, g.rate)
		burst = max(burst, g.burst)
	}
	return rate, burst
}

// leased sums what all borrowers may be using.
func (l *Ledger) leased() (rate, burst float64) {
	for _, o := range l.accounts {
		r, b := o.counted()
		rate += r
		burst += b
	}
	return rate, burst
}

// advance fills the pool up to now, then drops grants that have lapsed. The
// order makes the fill of a lapsed grant start late, never early.
func (l *Ledger) advance(now time.Time) {
	if now.After(l.at) {
		rate, _ := l.leased()
		l.level += max(0, l.share.Rate-rate) * now.Sub(l.at).Seconds()
		l.at = now
		l.clamp()
	}
	for id, acct := range l.accounts {
		acct.expire(l.at)
		if len(acct.grants) == 0 && l.at.Sub(acct.asked) > l.timing.Lease {
			acct.wantRate, acct.wantBurst = 0, 0
		}
		if len(acct.grants) == 0 && l.at.Sub(acct.asked) > accountRetention {
			delete(l.accounts, id)
		}
	}
}

// accountRetention is how long an idle account is kept, to recognise late
// duplicates of its asks.
const accountRetention = time.Minute

func (acct *account) expire(now time.Time) {
	kept := acct.grants[:0]
	for _, g := range acct.grants {
		if now.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	acct.grants = kept
}

// clamp keeps the pool within what the grants leave of the burst.
func (l *Ledger) clamp() {
	_, burst := l.leased()
	l.level = min(l.level, max(0, l.share.Burst-burst))
}

// retryMS is when the asker can expect a token, given the others that want one.
func (l *Ledger) retryMS(acct *account) uint32 {
	d := l.timing.MaxRetry
	if acct.home && l.share.Rate > 0 {
		s := max(1-l.level, float64(l.waiting())) / l.share.Rate
		d = min(d, time.Duration(s*float64(time.Second)))
	}
	return uint32(max(d, l.timing.MinRetry) / time.Millisecond)
}

// waiting counts the borrowers that want tokens and have no grant.
func (l *Ledger) waiting() int {
	n := 0
	for _, o := range l.accounts {
		if o.wantBurst >= 1 && len(o.grants) == 0 {
			n++
		}
	}
	return n
}
