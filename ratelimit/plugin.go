package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Name is the name of the plug-in in the settings.
const Name = "ratelimit"

// chainOrder places the plug-in after admission and before claims.
const chainOrder = 400

// handoverTimeout bounds the handover of one pool.
const handoverTimeout = 500 * time.Millisecond

func init() {
	kernel.Register(kernel.PluginInfo{Name: Name, Order: chainOrder, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin connects rate limiting to its node.
type Plugin struct {
	host          *kernel.Host
	timing        Timing
	entry         *Entry
	pools         *Pools
	resendLimiter *ResendLimiter
	signals       sync.Map // customer name to *signal
}

// Provision stores the host and registers the message handlers.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.timing = DefaultTiming
	p.entry = NewEntry(h.Self, p.timing)
	p.pools = NewPools(h.Self, p.timing)
	p.resendLimiter = NewResendLimiter()
	kernel.HandleRequest(h.Peers, kindLeaseRequest, func(_ context.Context, from state.MemberID, leaseReq LeaseRequest) (Grant, error) {
		return p.pools.HandleLeaseRequest(h.Snapshot(), from, leaseReq, h.Now()), nil
	})
	kernel.HandleRequest(h.Peers, kindPoll, func(_ context.Context, _ state.MemberID, poll Poll) (PollAnswer, error) {
		return p.pools.Poll(h.Snapshot(), poll, h.Now()), nil
	})
	kernel.HandleRequest(h.Peers, kindHandoverRequest, func(_ context.Context, from state.MemberID, handoverReq HandoverRequest) (Handover, error) {
		return p.pools.HandOver(from, handoverReq, h.Now()), nil
	})
	kernel.HandleRequest(h.Peers, kindHandoverNotice, p.handleHandoverNotice)
	kernel.HandleRequest(h.Peers, kindPoolMoved, func(_ context.Context, from state.MemberID, m PoolMoved) (bool, error) {
		p.poolMoved(from, m)
		return true, nil
	})
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Plugin) Validate() error { return nil }

// Cleanup releases nothing; leases expire by themselves.
func (p *Plugin) Cleanup() error { return nil }

// Resign returns this node's leases, then stops the pools that it owns and hands
// them over. It runs before the node's end is announced, since a successor must
// not find the old owner still granting.
func (p *Plugin) Resign(ctx context.Context) {
	for _, req := range p.entry.Resign(p.host.Snapshot(), p.host.Now()) {
		p.returnLease(req)
	}
	for _, n := range p.pools.Resign(p.host.Now()) {
		accepted, err := p.sendHandoverNotice(ctx, n)
		if err != nil || !accepted {
			p.host.Log.Warn("pool was not handed over", "customer", n.HandoverNotice.Customer, "to", n.To.ID, "error", err)
		}
	}
}

// returnLease sends a lease request that returns a lease. If this node owns the
// pool, the request is handled synchronously, before the pool is handed over.
func (p *Plugin) returnLease(req OutgoingLeaseRequest) {
	if req.To.ID != p.host.Self.ID {
		p.sendLeaseRequest(req)
		return
	}
	g, _ := p.requestLease(req)
	p.entry.Granted(req.Domain, req.LeaseRequest.Customer, req.To.ID, g, p.host.Now())
}

func (p *Plugin) sendHandoverNotice(ctx context.Context, n OutgoingHandoverNotice) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return kernel.SendRequest[HandoverNotice, bool](ctx, p.host.Peers, n.To, kindHandoverNotice, n.HandoverNotice)
}

// handleHandoverNotice takes over a pool of a node that is about to stop.
func (p *Plugin) handleHandoverNotice(ctx context.Context, from state.MemberID, n HandoverNotice) (bool, error) {
	owner, ok := p.host.Snapshot().Members[from]
	if !ok {
		return false, nil
	}
	request := p.pools.HandoverRequest(from, n, p.host.Now())
	h, err := kernel.SendRequest[HandoverRequest, Handover](ctx, p.host.Peers, owner, kindHandoverRequest, request)
	if err != nil {
		return false, err
	}
	moved, accepted := p.pools.AcceptHandover(p.host.Snapshot(), n.Customer, h, p.host.Now())
	for _, to := range moved.To {
		p.sendPoolMoved(to, moved.PoolMoved)
	}
	return accepted, nil
}

func (p *Plugin) sendPoolMoved(to state.Member, m PoolMoved) {
	if to.ID == p.host.Self.ID {
		p.poolMoved(to.ID, m)
		return
	}
	p.host.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		if _, err := kernel.SendRequest[PoolMoved, bool](ctx, p.host.Peers, to, kindPoolMoved, m); err != nil {
			p.host.Log.Debug("borrower not notified of a handover", "customer", m.Customer, "to", to.ID, "error", err)
		}
	})
}

// poolMoved records the new owner of a pool and wakes the requests that wait for
// the previous one.
func (p *Plugin) poolMoved(from state.MemberID, m PoolMoved) {
	p.entry.PoolMoved(from, m)
	p.signal(m.Customer).wake()
}

// Tick renews leases and maintains the ownership of pools.
func (p *Plugin) Tick(now time.Time) {
	snap := p.host.Snapshot()
	for _, poll := range p.pools.Tick(snap, now) {
		p.sendPoll(poll)
	}
	for _, req := range p.entry.Tick(snap, now) {
		p.sendLeaseRequest(req)
	}
}

// WrapEntry limits customers' root requests.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Customer == "" || c.Nested() {
			return next.Serve(ctx, c)
		}
		if r := p.refuse(ctx, c); r != nil {
			return r
		}
		r := next.Serve(ctx, c)
		p.resendLimiter.RecordResult(c.Customer, c.Fingerprint, r.Reason, p.host.Now())
		return r
	})
}

// refuse returns the refusal of a call, or nil if it is admitted.
func (p *Plugin) refuse(ctx context.Context, c *kernel.Call) *kernel.Result {
	snap := p.host.Snapshot()
	if snap.Config == nil {
		return kernel.Refuse(kernel.ReasonNotReady, "no configuration received yet", time.Second)
	}
	if _, ok := snap.Customer(c.Customer); !ok {
		return kernel.Refuse(kernel.ReasonRate, "customer has no rate limit configured", time.Second)
	}
	if ok, after := p.resendLimiter.Allow(c.Customer, c.Fingerprint, p.host.Now()); !ok {
		return kernel.Refuse(kernel.ReasonResendBudget, "too many resends during overload", p.jitter(after))
	}
	d := p.decide(ctx, c.Customer, c.Priority)
	if d.Verdict == Admit {
		return nil
	}
	return kernel.Refuse(kernel.ReasonRate, "rate limit exceeded for customer "+c.Customer, p.jitter(d.RetryAfter))
}

// jitter adds up to half of the duration at random.
func (p *Plugin) jitter(d time.Duration) time.Duration {
	return d + time.Duration(p.host.Rand()%uint64(d/2+1))
}

// decide takes a token, waiting at most Timing.MaxWait for an answer.
func (p *Plugin) decide(ctx context.Context, customer string, priority config.Priority) Decision {
	started := p.host.Now()
	decided := started
	d, requests := p.entry.Decide(p.host.Snapshot(), customer, priority, decided)
	p.sendLeaseRequests(requests)
	if d.Verdict == Wait {
		d, decided = p.await(ctx, customer, priority, started)
	}
	if d.Verdict == Admit && !d.StillValid(decided, p.host.Now(), p.timing) {
		return Decision{Verdict: Refuse, RetryAfter: p.timing.MinRetry}
	}
	return d
}

// await retries after every answer until the request has been decided on.
func (p *Plugin) await(ctx context.Context, customer string, priority config.Priority, started time.Time) (Decision, time.Time) {
	timer := time.NewTimer(p.timing.MaxWait)
	defer timer.Stop()
	last := false
	for {
		answered := p.signal(customer).wait()
		now := p.host.Now()
		last = last || now.Sub(started) >= p.timing.MaxWait
		d, requests := p.entry.Retry(p.host.Snapshot(), customer, priority, last, now)
		p.sendLeaseRequests(requests)
		if d.Verdict != Wait {
			return d, now
		}
		select {
		case <-answered:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			last = true
		}
	}
}

func (p *Plugin) sendLeaseRequests(requests []OutgoingLeaseRequest) {
	for _, req := range requests {
		p.sendLeaseRequest(req)
	}
}

func (p *Plugin) sendLeaseRequest(req OutgoingLeaseRequest) {
	p.host.Go(func() {
		g, err := p.requestLease(req)
		now := p.host.Now()
		if err != nil {
			p.entry.RequestFailed(req.Domain, req.LeaseRequest.Customer, req.LeaseRequest.Seq, now)
			p.host.Log.Debug("lease request failed", "customer", req.LeaseRequest.Customer, "domain", req.Domain, "error", err)
		} else {
			p.entry.Granted(req.Domain, req.LeaseRequest.Customer, req.To.ID, g, now)
		}
		p.signal(req.LeaseRequest.Customer).wake()
	})
}

// requestLease sends a lease request to the owner of a pool, which may be this
// node itself.
func (p *Plugin) requestLease(req OutgoingLeaseRequest) (Grant, error) {
	if req.To.ID == p.host.Self.ID {
		return p.pools.HandleLeaseRequest(p.host.Snapshot(), req.To.ID, req.LeaseRequest, p.host.Now()), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timing.RequestTimeout)
	defer cancel()
	return kernel.SendRequest[LeaseRequest, Grant](ctx, p.host.Peers, req.To, kindLeaseRequest, req.LeaseRequest)
}

func (p *Plugin) sendPoll(o OutgoingPoll) {
	p.host.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.timing.QuorumAuthority/4)
		defer cancel()
		answer, err := kernel.SendRequest[Poll, PollAnswer](ctx, p.host.Peers, o.To, kindPoll, o.Poll)
		if err != nil {
			return
		}
		p.pools.PollAnswered(o.To.ID, answer, p.host.Now())
	})
}

func (p *Plugin) signal(customer string) *signal {
	if s, ok := p.signals.Load(customer); ok {
		return s.(*signal)
	}
	s, _ := p.signals.LoadOrStore(customer, &signal{})
	return s.(*signal)
}

// signal wakes requests that wait for an answer.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed by the next call of wake.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
