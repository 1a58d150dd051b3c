package ratelimit

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Verdict is what is decided about a request.
type Verdict uint8

// The verdicts.
const (
	// Admit means that a token has been spent on the request.
	Admit Verdict = iota + 1
	// Wait means that an answer which may bring a token is on its way.
	Wait
	// Refuse means that no token is to be had.
	Refuse
)

// Decision is a verdict with its terms.
type Decision struct {
	Verdict Verdict
	// Until is the end of the lease that an admitted request's token is from.
	Until time.Time
	// RetryAfter is the time until a token is expected, for a refusal.
	RetryAfter time.Duration
}

// Entry holds the leases of an entry node and decides on its requests.
type Entry struct {
	self   state.Member
	timing Timing
	// seq numbers the asks of this node.
	seq       atomic.Uint64
	customers sync.Map
}

// Stands reports whether an admission decided at one time still stands at the
// time when the request goes on; the process may have been paused in between.
func (d Decision) Stands(decided, now time.Time, t Timing) bool {
	return now.Before(d.Until) && now.Sub(decided) <= t.Stall
}

// NewEntry returns an entry node without leases.
func NewEntry(self state.Member, t Timing) *Entry {
	return &Entry{self: self, timing: t}
}

// Arrive decides on a new request and returns the asks to send.
func (e *Entry) Arrive(snap *state.Snapshot, customer string, p config.Priority, now time.Time) (Decision, []OutgoingAsk) {
	p = knownPriority(p)
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.add(now)
	if d, ok := c.take(p, now); ok {
		return d, e.prefetch(c, snap, customer, now)
	}
	c.follow(snap, e.self.Domain)
	c.waiting[p]++
	asks := e.asks(c, snap, customer, now, false)
	if !c.expects(now, e.timing) {
		c.waiting[p]--
		return c.refusal(now, e.timing), asks
	}
	return Decision{Verdict: Wait}, asks
}

// Retry decides again on a request that was told to wait. Last ends the wait.
func (e *Entry) Retry(snap *state.Snapshot, customer string, p config.Priority, last bool, now time.Time) (Decision, []OutgoingAsk) {
	p = knownPriority(p)
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.take(p, now); ok {
		c.waiting[p]--
		return d, nil
	}
	if last {
		c.waiting[p]--
		return c.refusal(now, e.timing), nil
	}
	asks := e.asks(c, snap, customer, now, false)
	if !c.expects(now, e.timing) {
		c.waiting[p]--
		return c.refusal(now, e.timing), asks
	}
	return Decision{Verdict: Wait}, asks
}

// prefetch asks for tokens before the leases are empty.
func (e *Entry) prefetch(c *entryCustomer, snap *state.Snapshot, customer string, now time.Time) []OutgoingAsk {
	level := 0.0
	for _, s := range c.sources {
		level += s.lease.level
	}
	if level >= 1+c.demand.rate(now)*burstWindow.Seconds()/2 {
		return nil
	}
	return e.asks(c, snap, customer, now, true)
}

func (e *Entry) customer(name string) *entryCustomer {
	if c, ok := e.customers.Load(name); ok {
		return c.(*entryCustomer)
	}
	c, _ := e.customers.LoadOrStore(name, &entryCustomer{known: map[string]*source{}})
	return c.(*entryCustomer)
}

// asks asks the home pool, or the others when the home pool has nothing or
// does not answer. The others are asked one at a time; to fill up leases only
// if they have leased a rate.
func (e *Entry) asks(c *entryCustomer, snap *state.Snapshot, customer string, now time.Time, fillUp bool) []OutgoingAsk {
	if c.expects(now, e.timing) {
		return nil
	}
	rotation := int(e.seq.Load() % uint64(max(1, len(c.sources))))
	for k := range c.sources {
		i := rotated(k, rotation, len(c.sources))
		s := c.sources[i]
		if s.pending != 0 && now.Sub(s.sent) < e.timing.AskTimeout {
			continue
		}
		if c.closed(s, now) || fillUp && now.Before(s.full) {
			continue
		}
		if ask, ok := e.ask(c, i, snap, customer, now); ok {
			return []OutgoingAsk{ask}
		}
	}
	return nil
}

// rotated keeps the home pool first and rotates the others, so that they are
// asked equally.
func rotated(k, rotation, n int) int {
	if k == 0 {
		return 0
	}
	return 1 + (k-1+rotation)%(n-1)
}

// ask lowers the lease to what is wanted and makes the ask that says so.
func (e *Entry) ask(c *entryCustomer, i int, snap *state.Snapshot, customer string, now time.Time) (OutgoingAsk, bool) {
	s := c.sources[i]
	owner, ok := s.currentOwner(snap, customer)
	if !ok {
		s.block(now.Add(e.timing.MaxRetry), config.PriorityCritical)
		return OutgoingAsk{}, false
	}
	s.lease.fill(now)
	wantRate, wantBurst := c.want(s, now)
	returned := s.lease.lower(wantRate, wantBurst)
	s.pending = e.seq.Add(1)
	s.sent = now
	s.owner = owner.ID
	s.askedFor = c.waiting.mostImportant()
	s.waited = c.waiting.total() > 0
	s.lease.renewAt = now.Add(e.timing.Renew / 4)
	return OutgoingAsk{To: owner, Domain: s.domain, Ask: Ask{
		Customer:  customer,
		Seq:       s.pending,
		Holding:   s.lease.seq,
		Rate:      float32(s.lease.rate),
		Burst:     float32(s.lease.burst),
		Level:     float32(s.lease.level),
		Returned:  returned,
		WantRate:  float32(wantRate),
		WantBurst: float32(wantBurst),
		Waiting:   uint16(min(c.waiting.total(), math.MaxUint16)),
		Critical:  uint16(min(c.waiting[config.PriorityCritical], math.MaxUint16)),
		Important: uint16(min(c.waiting.upTo(config.PriorityHigh), math.MaxUint16)),
		Pressed:   c.pressed(now),
	}}, true
}

// Granted takes in the answer to an ask. Only the answer to the latest ask
// counts: a later ask has given up the earlier.
func (e *Entry) Granted(domain, customer string, from state.MemberID, g Grant, now time.Time) {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.source(domain)
	if s == nil || s.pending == 0 || s.pending != g.Seq || s.owner != from {
		return
	}
	s.pending = 0
	if g.NotOwner {
		s.refused(from, g, e.timing, now)
		return
	}
	if g.RetryMS > 0 {
		s.pause(now.Add(time.Duration(g.RetryMS) * time.Millisecond))
	}
	if g.DurationMS > 0 {
		s.lease.replace(g, from, e.timing, s.sent, now)
	}
}

// Moved takes in that a member acts for a pool in place of its owner. An ask
// that waits for the owner is given up.
func (e *Entry) Moved(from state.MemberID, m Moved) {
	c := e.customer(m.Customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.source(m.Domain)
	if s == nil {
		return
	}
	s.departed, s.heir = m.Departed, from
	if s.owner == m.Departed {
		s.pending = 0
		s.blocked = time.Time{}
	}
}

// Failed takes in that an ask got no answer.
func (e *Entry) Failed(domain, customer string, seq uint64, now time.Time) {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.source(domain)
	if s == nil || s.pending != seq {
		return
	}
	s.pending = 0
	s.block(now.Add(e.timing.MaxRetry/leaseRetryPart), config.PriorityCritical)
}

// Tick returns the asks that renew or give back leases, ordered by customer.
func (e *Entry) Tick(snap *state.Snapshot, now time.Time) []OutgoingAsk {
	var out []OutgoingAsk
	for _, name := range e.names() {
		out = append(out, e.renewals(snap, name, now)...)
	}
	return out
}

func (e *Entry) names() []string {
	var names []string
	e.customers.Range(func(key, _ any) bool {
		names = append(names, key.(string))
		return true
	})
	sort.Strings(names)
	return names
}

// Resign gives up all leases after the last request and returns the asks that
// say so, ordered by customer.
func (e *Entry) Resign(snap *state.Snapshot, now time.Time) []OutgoingAsk {
	var out []OutgoingAsk
	for _, name := range e.names() {
		out = append(out, e.giveBack(snap, name, now)...)
	}
	return out
}

func (e *Entry) giveBack(snap *state.Snapshot, customer string, now time.Time) []OutgoingAsk {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand = demand{}
	var out []OutgoingAsk
	for i, s := range c.sources {
		s.lease.fill(now)
		if s.lease.burst == 0 && s.pending == 0 {
			continue
		}
		if ask, ok := e.ask(c, i, snap, customer, now); ok {
			out = append(out, ask)
		}
	}
	return out
}

func (e *Entry) renewals(snap *state.Snapshot, customer string, now time.Time) []OutgoingAsk {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follow(snap, e.self.Domain)
	var out []OutgoingAsk
	for i, s := range c.sources {
		if !e.renewalDue(c, s, now) {
			continue
		}
		if ask, ok := e.ask(c, i, snap, customer, now); ok {
			out = append(out, ask)
		}
	}
	return out
}

// renewalDue is true for a lease of the age of renewal and for one that holds
// far more than the demand. Single tokens are left to lapse.
func (e *Entry) renewalDue(c *entryCustomer, s *source, now time.Time) bool {
	l := &s.lease
	l.fill(now)
	if l.burst == 0 || l.length <= e.timing.Take {
		return false
	}
	if s.pending != 0 && now.Sub(s.sent) < e.timing.AskTimeout {
		return false
	}
	if !now.Before(l.renewAt) {
		return true
	}
	if now.Sub(s.sent) < e.timing.Release {
		return false
	}
	wantRate, wantBurst := c.want(s, now)
	return l.rate > 2*wantRate+minLeasedRate || l.level > 2*wantBurst+1
}
