package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Ledger is the pool of one customer in one failure domain, as kept by its owner.
// Its invariants: the tokens in the pool and the bursts of all grants that may
// still be in use sum to at most the share's burst, and the fill rate of the pool
// and the rates of those grants sum to at most the share's rate. Hence the tokens
// that can be spent without further refill never exceed the burst.
type Ledger struct {
	timing     Timing
	share      Share
	level      float64   // tokens in the pool
	advancedAt time.Time // time up to which the pool has been refilled
	// accounts is ordered by first lease request.
	accounts   []*account
	byBorrower map[state.MemberID]*account
}

// account is the state kept for one borrower.
type account struct {
	borrower    state.MemberID
	home        bool
	lastSeq     uint64
	lastGrant   Grant
	grants      []grant
	wantedRate  float64
	wantedBurst float64
	lastRequest time.Time
	// deniedAt is the latest time at which a waiting request got no token.
	deniedAt time.Time
	// handedOver is set for an account taken over from a previous owner.
	handedOver bool
}

// grant is a lease that its borrower may be using.
type grant struct {
	seq         uint64
	rate, burst float64
	tokens      float64 // added to the borrower's bucket by the grant
	expiresAt   time.Time
}

// NewLedger returns an empty pool that fills from now on.
func NewLedger(t Timing, s Share, now time.Time) *Ledger {
	return &Ledger{timing: t, share: s, advancedAt: now, byBorrower: map[state.MemberID]*account{}}
}

// SetShare changes the share. Earlier grants stay valid until they expire.
func (l *Ledger) SetShare(s Share, now time.Time) {
	l.advance(now)
	l.share = s
	l.clampLevel()
}

// HandleLeaseRequest handles a borrower's lease request. Home borrowers are in
// the pool's own failure domain; other borrowers get what home borrowers leave.
func (l *Ledger) HandleLeaseRequest(from state.MemberID, home bool, req LeaseRequest, now time.Time) Grant {
	l.advance(now)
	acct := l.account(from)
	if req.Seq <= acct.lastSeq {
		return acct.repeat(req)
	}
	acct.lastSeq = req.Seq
	acct.home = home
	acct.lastRequest = now
	acct.wantedRate = max(0, float64(req.WantedRate))
	acct.wantedBurst = max(0, float64(req.WantedBurst))
	l.applyRelease(acct, req)
	acct.lastGrant = l.makeGrant(acct, req, now)
	return acct.lastGrant
}

func (l *Ledger) account(from state.MemberID) *account {
	acct, ok := l.byBorrower[from]
	if !ok {
		acct = &account{borrower: from}
		l.byBorrower[from] = acct
		l.accounts = append(l.accounts, acct)
	}
	return acct
}

// repeat answers a duplicate request with the same grant, and an outdated request
// with an empty one.
func (acct *account) repeat(req LeaseRequest) Grant {
	if req.Seq == acct.lastGrant.Seq {
		return acct.lastGrant
	}
	return Grant{Seq: req.Seq}
}

// applyRelease drops the grants that the borrower no longer holds. The tokens of
// grants newer than the held one return to the pool: the borrower never used
// them.
func (l *Ledger) applyRelease(acct *account, req LeaseRequest) {
	kept := acct.grants[:0]
	for _, g := range acct.grants {
		if g.seq != req.HeldSeq {
			if g.seq > req.HeldSeq {
				l.level += g.tokens
			}
			continue
		}
		g.rate = min(g.rate, max(0, float64(req.Rate)))
		reduced := min(g.burst, max(0, float64(req.Burst)))
		l.level += min(max(0, float64(req.Returned)), g.burst-reduced)
		g.burst = reduced
		kept = append(kept, g)
	}
	acct.grants = kept
	l.clampLevel()
}

// makeGrant grants the borrower its share, as far as other borrowers leave it
// free now.
func (l *Ledger) makeGrant(acct *account, req LeaseRequest, now time.Time) Grant {
	g := Grant{Seq: req.Seq, KeepTokens: acct.handedOver && acct.holdsGrant(req.HeldSeq)}
	o := l.offer(acct, req)
	if o.burst < 1 {
		return l.deny(acct, req, o, now)
	}
	level := float64(req.Level)
	tokens := max(0, min(l.available(acct, req), o.burst-level))
	_, held := acct.inUse()
	o.burst = max(o.burst, min(level, held))
	if o.rate == 0 {
		tokens = math.Floor(tokens)
		o.burst = min(o.burst, tokens+level)
	}
	if o.rate == 0 && level+tokens < 1 {
		return l.deny(acct, req, o, now)
	}
	if level+tokens < 1 {
		g.RetryMS = l.retryMS(req, o, now)
	}
	g.Rate, g.Burst, g.Tokens = roundDown(o.rate), roundDown(o.burst), roundDown(tokens)
	g.DurationMS = uint32(o.duration / time.Millisecond)
	l.level -= tokens
	acct.grants = append(acct.grants, grant{
		seq: req.Seq, rate: o.rate, burst: o.burst, tokens: float64(g.Tokens),
		expiresAt: now.Add(o.duration + driftAllowance(o.duration)),
	})
	l.clampLevel()
	return g
}

// deny answers a request that gets no grant.
func (l *Ledger) deny(acct *account, req LeaseRequest, o offer, now time.Time) Grant {
	if acct.wantedBurst < 1 {
		return Grant{Seq: req.Seq}
	}
	if req.Waiting > 0 {
		acct.deniedAt = now
	}
	return Grant{Seq: req.Seq, RetryMS: l.retryMS(req, o, now)}
}

// freeFor returns the rate and burst that no other borrower may be using. The
// borrower's own grants count as free, since a new grant replaces them.
func (l *Ledger) freeFor(acct *account) (rate, burst float64) {
	rate, burst = l.share.Rate, l.share.Burst
	for _, o := range l.accounts {
		if o == acct {
			continue
		}
		r, b := o.inUse()
		rate -= r
		burst -= b
	}
	return max(0, rate), max(0, burst)
}

func (acct *account) holdsGrant(seq uint64) bool {
	return slices.ContainsFunc(acct.grants, func(g grant) bool { return g.seq == seq })
}

// inUse returns the largest rate and burst that the borrower may be using.
func (acct *account) inUse() (rate, burst float64) {
	for _, g := range acct.grants {
		rate = max(rate, g.rate)
		burst = max(burst, g.burst)
	}
	return rate, burst
}

// leased returns the sum of what all borrowers may be using.
func (l *Ledger) leased() (rate, burst float64) {
	for _, o := range l.accounts {
		r, b := o.inUse()
		rate += r
		burst += b
	}
	return rate, burst
}

// advance refills the pool up to now, then drops expired grants. In this order,
// the rate of an expired grant returns to the pool late, never early.
func (l *Ledger) advance(now time.Time) {
	if now.After(l.advancedAt) {
		rate, _ := l.leased()
		l.level += max(0, l.share.Rate-rate) * now.Sub(l.advancedAt).Seconds()
		l.advancedAt = now
		l.clampLevel()
	}
	kept := l.accounts[:0]
	for _, acct := range l.accounts {
		acct.dropExpired(l.advancedAt)
		idle := l.advancedAt.Sub(acct.lastRequest)
		if len(acct.grants) == 0 && idle > l.timing.LeaseDuration {
			acct.wantedRate, acct.wantedBurst = 0, 0
		}
		if len(acct.grants) == 0 && idle > accountRetention {
			delete(l.byBorrower, acct.borrower)
			continue
		}
		kept = append(kept, acct)
	}
	l.accounts = kept
}

// accountRetention is how long an idle account is kept, to recognize late
// duplicates of its requests.
const accountRetention = time.Minute

func (acct *account) dropExpired(now time.Time) {
	kept := acct.grants[:0]
	for _, g := range acct.grants {
		if now.Before(g.expiresAt) {
			kept = append(kept, g)
		}
	}
	acct.grants = kept
}

// clampLevel limits the pool to what the grants leave of the burst.
func (l *Ledger) clampLevel() {
	_, burst := l.leased()
	l.level = min(l.level, max(0, l.share.Burst-burst))
}

// retryMS returns when the borrower can expect a token, given the other borrowers
// that want one.
func (l *Ledger) retryMS(req LeaseRequest, o offer, now time.Time) uint32 {
	limit := l.timing.MaxRetry
	if o.rate > 0 {
		limit /= leaseRetryDivisor
	}
	leased, _ := l.leased()
	fill := l.share.Rate - leased
	d := limit
	switch {
	case o.contended:
		d = l.timing.ContendedRetry
	case fill > 0:
		tokens := max(1, float64(l.deniedBorrowers(now))) - l.level
		if req.AboveRate {
			tokens += l.reserve(req.mostImportant())
		}
		d = min(d, time.Duration(tokens/fill*float64(time.Second)))
	}
	return uint32(max(d, l.timing.MinRetry) / time.Millisecond)
}

// deniedBorrowers counts the borrowers that were recently denied a token.
func (l *Ledger) deniedBorrowers(now time.Time) int {
	n := 0
	for _, o := range l.accounts {
		if !o.deniedAt.IsZero() && now.Sub(o.deniedAt) < l.timing.MaxRetry/leaseRetryDivisor {
			n++
		}
	}
	return n
}
