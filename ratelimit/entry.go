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

// Verdict is the result of deciding on a request.
type Verdict uint8

// Possible verdicts.
const (
	// Admit means that a token has been spent on the request.
	Admit Verdict = iota + 1
	// Wait means that a lease request is pending whose answer may bring a token.
	Wait
	// Refuse means that no token is available.
	Refuse
)

// Decision is a verdict with its validity or retry time.
type Decision struct {
	Verdict Verdict
	// Until is the end of the lease that an admitted request's token came from.
	Until time.Time
	// RetryAfter is the estimated time until a token is available, for a refusal.
	RetryAfter time.Duration
}

// Entry holds an entry node's leases and decides on its requests.
type Entry struct {
	self   state.Member
	timing Timing
	// seq numbers the lease requests of this node.
	seq       atomic.Uint64
	customers sync.Map // customer name to *customerLeases
}

// StillValid reports whether an admission decided at decided is still valid at
// now, when the request proceeds. The process may have been paused in between.
func (d Decision) StillValid(decided, now time.Time, t Timing) bool {
	return now.Before(d.Until) && now.Sub(decided) <= t.MaxStall
}

// NewEntry returns an entry node without leases.
func NewEntry(self state.Member, t Timing) *Entry {
	return &Entry{self: self, timing: t}
}

// Decide decides on a new request and returns the lease requests to send.
func (e *Entry) Decide(snap *state.Snapshot, customer string, p config.Priority, now time.Time) (Decision, []OutgoingLeaseRequest) {
	p = clampPriority(p)
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.add(now)
	if d, ok := c.take(p, now); ok {
		return d, e.prefetch(c, snap, customer, now)
	}
	c.updateSources(snap, e.self.Domain)
	c.waiting[p]++
	requests := e.requests(c, snap, customer, now, false)
	if !c.answerExpected(now, e.timing) {
		c.waiting[p]--
		return c.refusal(now, e.timing), requests
	}
	return Decision{Verdict: Wait}, requests
}

// Retry decides again on a request whose verdict was Wait. If last is set, the
// verdict is never Wait.
func (e *Entry) Retry(snap *state.Snapshot, customer string, p config.Priority, last bool, now time.Time) (Decision, []OutgoingLeaseRequest) {
	p = clampPriority(p)
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
	requests := e.requests(c, snap, customer, now, false)
	if !c.answerExpected(now, e.timing) {
		c.waiting[p]--
		return c.refusal(now, e.timing), requests
	}
	return Decision{Verdict: Wait}, requests
}

// prefetch requests tokens before the leases are empty.
func (e *Entry) prefetch(c *customerLeases, snap *state.Snapshot, customer string, now time.Time) []OutgoingLeaseRequest {
	level := 0.0
	for _, s := range c.sources {
		level += s.lease.level
	}
	if level >= 1+c.demand.rate(now)*burstWindow.Seconds()/2 {
		return nil
	}
	return e.requests(c, snap, customer, now, true)
}

func (e *Entry) customer(name string) *customerLeases {
	if c, ok := e.customers.Load(name); ok {
		return c.(*customerLeases)
	}
	c, _ := e.customers.LoadOrStore(name, &customerLeases{allSources: map[string]*poolSource{}})
	return c.(*customerLeases)
}

// requests returns a lease request to the home pool, or to another domain's pool
// if the home pool has nothing or does not answer. The other pools are asked one
// at a time. A prefetch skips pools that recently had no tokens.
func (e *Entry) requests(c *customerLeases, snap *state.Snapshot, customer string, now time.Time, prefetch bool) []OutgoingLeaseRequest {
	if c.answerExpected(now, e.timing) {
		return nil
	}
	rotation := int(e.seq.Load() % uint64(max(1, len(c.sources))))
	for k := range c.sources {
		i := rotatedIndex(k, rotation, len(c.sources))
		s := c.sources[i]
		if s.pendingSeq != 0 && now.Sub(s.sentAt) < e.timing.RequestTimeout {
			continue
		}
		if c.requestsBlocked(s, now) || prefetch && now.Before(s.noPrefetchUntil) {
			continue
		}
		if request, ok := e.request(c, i, snap, customer, now); ok {
			return []OutgoingLeaseRequest{request}
		}
	}
	return nil
}

// rotatedIndex keeps the home pool first and rotates the others, so that they are
// asked equally often.
func rotatedIndex(k, rotation, n int) int {
	if k == 0 {
		return 0
	}
	return 1 + (k-1+rotation)%(n-1)
}

// request reduces the held lease to the demand and returns the lease request that
// reports the reduction.
func (e *Entry) request(c *customerLeases, i int, snap *state.Snapshot, customer string, now time.Time) (OutgoingLeaseRequest, bool) {
	s := c.sources[i]
	owner, ok := s.currentOwner(snap, customer)
	if !ok {
		s.blockRequests(now.Add(e.timing.MaxRetry), config.PriorityCritical)
		return OutgoingLeaseRequest{}, false
	}
	s.lease.refill(now)
	wantedRate, wantedBurst := c.wanted(s, now)
	returned := s.lease.reduce(wantedRate, wantedBurst)
	s.pendingSeq = e.seq.Add(1)
	s.sentAt = now
	s.owner = owner.ID
	s.requestedPriority = c.waiting.mostImportant()
	s.requestsWaited = c.waiting.total() > 0
	s.lease.renewAt = now.Add(e.timing.RenewAfter / 4)
	return OutgoingLeaseRequest{To: owner, Domain: s.domain, LeaseRequest: LeaseRequest{
		Customer:    customer,
		Seq:         s.pendingSeq,
		HeldSeq:     s.lease.seq,
		Rate:        float32(s.lease.rate),
		Burst:       float32(s.lease.burst),
		Level:       float32(s.lease.level),
		Returned:    returned,
		WantedRate:  float32(wantedRate),
		WantedBurst: float32(wantedBurst),
		Waiting:     uint16(min(c.waiting.total(), math.MaxUint16)),
		Critical:    uint16(min(c.waiting[config.PriorityCritical], math.MaxUint16)),
		Important:   uint16(min(c.waiting.atLeast(config.PriorityHigh), math.MaxUint16)),
		AboveRate:   c.aboveRate(now),
	}}, true
}

// Granted handles the answer to a lease request. Only the answer to the latest
// request counts; sending it gave up all earlier requests.
func (e *Entry) Granted(domain, customer string, from state.MemberID, g Grant, now time.Time) {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.poolSource(domain)
	if s == nil || s.pendingSeq == 0 || s.pendingSeq != g.Seq || s.owner != from {
		return
	}
	s.pendingSeq = 0
	if g.NotOwner {
		s.handleNotOwner(from, g, e.timing, now)
		return
	}
	if g.RetryMS > 0 {
		s.backOff(now.Add(time.Duration(g.RetryMS) * time.Millisecond))
	}
	if g.DurationMS > 0 {
		s.lease.replace(g, from, e.timing, s.sentAt, now)
	}
}

// PoolMoved handles the message that a member acts for a pool in place of its
// owner. It abandons a lease request pending at that owner.
func (e *Entry) PoolMoved(from state.MemberID, m PoolMoved) {
	c := e.customer(m.Customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.poolSource(m.Domain)
	if s == nil {
		return
	}
	s.previousOwner, s.successor = m.PreviousOwner, from
	if s.owner == m.PreviousOwner {
		s.pendingSeq = 0
		s.blockedUntil = time.Time{}
	}
}

// RequestFailed handles a lease request that got no answer.
func (e *Entry) RequestFailed(domain, customer string, seq uint64, now time.Time) {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.poolSource(domain)
	if s == nil || s.pendingSeq != seq {
		return
	}
	s.pendingSeq = 0
	s.blockRequests(now.Add(e.timing.MaxRetry/leaseRetryDivisor), config.PriorityCritical)
}

// Tick returns the lease requests that renew or return leases, ordered by
// customer.
func (e *Entry) Tick(snap *state.Snapshot, now time.Time) []OutgoingLeaseRequest {
	var out []OutgoingLeaseRequest
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

// Resign gives up all leases after the last request and returns the lease
// requests that report this, ordered by customer.
func (e *Entry) Resign(snap *state.Snapshot, now time.Time) []OutgoingLeaseRequest {
	var out []OutgoingLeaseRequest
	for _, name := range e.names() {
		out = append(out, e.returnLeases(snap, name, now)...)
	}
	return out
}

func (e *Entry) returnLeases(snap *state.Snapshot, customer string, now time.Time) []OutgoingLeaseRequest {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand = demand{}
	var out []OutgoingLeaseRequest
	for i, s := range c.sources {
		s.lease.refill(now)
		if s.lease.burst == 0 && s.pendingSeq == 0 {
			continue
		}
		if request, ok := e.request(c, i, snap, customer, now); ok {
			out = append(out, request)
		}
	}
	return out
}

func (e *Entry) renewals(snap *state.Snapshot, customer string, now time.Time) []OutgoingLeaseRequest {
	c := e.customer(customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSources(snap, e.self.Domain)
	var out []OutgoingLeaseRequest
	for i, s := range c.sources {
		if !e.renewalDue(c, s, now) {
			continue
		}
		if request, ok := e.request(c, i, snap, customer, now); ok {
			out = append(out, request)
		}
	}
	return out
}

// renewalDue reports whether a lease has reached its renewal time or holds far
// more than the demand. Leases of single tokens are left to expire.
func (e *Entry) renewalDue(c *customerLeases, s *poolSource, now time.Time) bool {
	l := &s.lease
	l.refill(now)
	if l.burst == 0 || l.duration <= e.timing.TokenLeaseDuration {
		return false
	}
	if s.pendingSeq != 0 && now.Sub(s.sentAt) < e.timing.RequestTimeout {
		return false
	}
	if !now.Before(l.renewAt) {
		return true
	}
	if now.Sub(s.sentAt) < e.timing.MinReleaseDelay {
		return false
	}
	wantedRate, wantedBurst := c.wanted(s, now)
	return l.rate > 2*wantedRate+minLeasedRate || l.level > 2*wantedBurst+1
}
