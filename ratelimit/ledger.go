package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Ledger is the pool of one customer in one failure domain, as kept by its
// owner. It upholds that the tokens in the pool and the bursts of all grants
// that may still be in use sum to at most the share's burst, and that the fill
// rate of the pool and the rates of those grants sum to at most its rate. The
// tokens that can be spent without further fill are thereby at most the burst.
type Ledger struct {
	timing Timing
	share  Share
	level  float64
	at     time.Time
	// accounts is in order of the first ask.
	accounts []*account
	index    map[state.MemberID]*account
}

// account is one borrower.
type account struct {
	borrower  state.MemberID
	home      bool
	lastSeq   uint64
	answer    Grant
	grants    []grant
	wantRate  float64
	wantBurst float64
	asked     time.Time
	// denied is the latest time at which a waiting request got nothing.
	denied time.Time
	// handed is set for an account that was handed over by another owner.
	handed bool
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
	return &Ledger{timing: t, share: s, at: now, index: map[state.MemberID]*account{}}
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
	acct := l.account(from)
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

func (l *Ledger) account(from state.MemberID) *account {
	acct, ok := l.index[from]
	if !ok {
		acct = &account{borrower: from}
		l.index[from] = acct
		l.accounts = append(l.accounts, acct)
	}
	return acct
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

// allot makes a grant of what is due to the borrower, as far as the others
// leave it free now.
func (l *Ledger) allot(acct *account, a Ask, now time.Time) Grant {
	g := Grant{Seq: a.Seq, Kept: acct.handed && acct.holds(a.Holding)}
	o := l.offer(acct, a)
	if o.burst < 1 {
		return l.deny(acct, a, o, now)
	}
	level := float64(a.Level)
	tokens := max(0, min(l.available(acct, a), o.burst-level))
	_, held := acct.counted()
	o.burst = max(o.burst, min(level, held))
	if o.rate == 0 {
		tokens = math.Floor(tokens)
		o.burst = min(o.burst, tokens+level)
	}
	if o.rate == 0 && level+tokens < 1 {
		return l.deny(acct, a, o, now)
	}
	if level+tokens < 1 {
		g.RetryMS = l.retryMS(a, o, now)
	}
	g.Rate, g.Burst, g.Tokens = float32down(o.rate), float32down(o.burst), float32down(tokens)
	g.DurationMS = uint32(o.length / time.Millisecond)
	l.level -= tokens
	acct.grants = append(acct.grants, grant{
		seq: a.Seq, rate: o.rate, burst: o.burst, tokens: float64(g.Tokens),
		expires: now.Add(o.length + driftAllowance(o.length)),
	})
	l.clamp()
	return g
}

// deny answers an ask that gets nothing.
func (l *Ledger) deny(acct *account, a Ask, o offer, now time.Time) Grant {
	if acct.wantBurst < 1 {
		return Grant{Seq: a.Seq}
	}
	if a.Waiting > 0 {
		acct.denied = now
	}
	return Grant{Seq: a.Seq, RetryMS: l.retryMS(a, o, now)}
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

func (acct *account) holds(seq uint64) bool {
	return slices.ContainsFunc(acct.grants, func(g grant) bool { return g.seq == seq })
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
	kept := l.accounts[:0]
	for _, acct := range l.accounts {
		acct.expire(l.at)
		idle := l.at.Sub(acct.asked)
		if len(acct.grants) == 0 && idle > l.timing.Lease {
			acct.wantRate, acct.wantBurst = 0, 0
		}
		if len(acct.grants) == 0 && idle > accountRetention {
			delete(l.index, acct.borrower)
			continue
		}
		kept = append(kept, acct)
	}
	l.accounts = kept
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
func (l *Ledger) retryMS(a Ask, o offer, now time.Time) uint32 {
	limit := l.timing.MaxRetry
	if o.rate > 0 {
		limit /= leaseRetryPart
	}
	leased, _ := l.leased()
	fill := l.share.Rate - leased
	d := limit
	switch {
	case o.contended:
		d = l.timing.Contended
	case fill > 0:
		tokens := max(1, float64(l.contenders(now))) - l.level
		if a.Pressed {
			tokens += l.reserve(a.mostImportant())
		}
		d = min(d, time.Duration(tokens/fill*float64(time.Second)))
	}
	return uint32(max(d, l.timing.MinRetry) / time.Millisecond)
}

// contenders counts the borrowers that were denied a token lately.
func (l *Ledger) contenders(now time.Time) int {
	n := 0
	for _, o := range l.accounts {
		if !o.denied.IsZero() && now.Sub(o.denied) < l.timing.MaxRetry/leaseRetryPart {
			n++
		}
	}
	return n
}
