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
	kernel.Register(kernel.Info{Name: Name, Order: chainOrder, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin connects the rate limit to its node.
type Plugin struct {
	host    *kernel.Host
	timing  Timing
	entry   *Entry
	pools   *Pools
	resends *Resends
	signals sync.Map
}

// Provision keeps the host and registers the message handlers.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.timing = DefaultTiming
	p.entry = NewEntry(h.Self, p.timing)
	p.pools = NewPools(h.Self, p.timing)
	p.resends = NewResends()
	kernel.HandleRequest(h.Peers, kindAsk, func(_ context.Context, from state.MemberID, a Ask) (Grant, error) {
		return p.pools.Ask(h.Snapshot(), from, a, h.Now()), nil
	})
	kernel.HandleRequest(h.Peers, kindPoll, func(_ context.Context, _ state.MemberID, poll Poll) (PollAnswer, error) {
		return p.pools.Poll(h.Snapshot(), poll, h.Now()), nil
	})
	kernel.HandleRequest(h.Peers, kindFetch, func(_ context.Context, from state.MemberID, f Fetch) (Handover, error) {
		return p.pools.HandOver(from, f, h.Now()), nil
	})
	kernel.HandleRequest(h.Peers, kindNotice, p.adopt)
	kernel.HandleRequest(h.Peers, kindMoved, func(_ context.Context, from state.MemberID, m Moved) (bool, error) {
		p.moved(from, m)
		return true, nil
	})
	return nil
}

// Validate has nothing to check.
func (p *Plugin) Validate() error { return nil }

// Cleanup has nothing to release; leases lapse by themselves.
func (p *Plugin) Cleanup() error { return nil }

// Resign stops the pools of this node before its end is announced, since a
// successor must not find them acting, and hands them over. Before that it
// gives its own leases back.
func (p *Plugin) Resign(ctx context.Context) {
	for _, a := range p.entry.Resign(p.host.Snapshot(), p.host.Now()) {
		p.giveBack(a)
	}
	for _, n := range p.pools.Resign(p.host.Now()) {
		adopted, err := p.notify(ctx, n)
		if err != nil || !adopted {
			p.host.Log.Warn("pool was not handed over", "customer", n.Notice.Customer, "to", n.To.ID, "error", err)
		}
	}
}

// giveBack does at once what concerns the pools of this node.
func (p *Plugin) giveBack(a OutgoingAsk) {
	if a.To.ID != p.host.Self.ID {
		p.sendAsk(a)
		return
	}
	g, _ := p.exchange(a)
	p.entry.Granted(a.Domain, a.Ask.Customer, a.To.ID, g, p.host.Now())
}

func (p *Plugin) notify(ctx context.Context, n OutgoingNotice) (adopted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return kernel.SendRequest[Notice, bool](ctx, p.host.Peers, n.To, kindNotice, n.Notice)
}

// adopt fetches the pool of a node that is about to stop.
func (p *Plugin) adopt(ctx context.Context, from state.MemberID, n Notice) (bool, error) {
	owner, ok := p.host.Snapshot().Members[from]
	if !ok {
		return false, nil
	}
	fetch := p.pools.Fetch(from, n, p.host.Now())
	h, err := kernel.SendRequest[Fetch, Handover](ctx, p.host.Peers, owner, kindFetch, fetch)
	if err != nil {
		return false, err
	}
	moved, adopted := p.pools.Adopt(p.host.Snapshot(), n.Customer, h, p.host.Now())
	for _, to := range moved.To {
		p.sendMoved(to, moved.Moved)
	}
	return adopted, nil
}

func (p *Plugin) sendMoved(to state.Member, m Moved) {
	if to.ID == p.host.Self.ID {
		p.moved(to.ID, m)
		return
	}
	p.host.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		if _, err := kernel.SendRequest[Moved, bool](ctx, p.host.Peers, to, kindMoved, m); err != nil {
			p.host.Log.Debug("borrower was not told of a handover", "customer", m.Customer, "to", to.ID, "error", err)
		}
	})
}

// moved wakes the requests that waited for the previous owner.
func (p *Plugin) moved(from state.MemberID, m Moved) {
	p.entry.Moved(from, m)
	p.signal(m.Customer).wake()
}

// Tick renews leases and keeps the tenure of pools.
func (p *Plugin) Tick(now time.Time) {
	snap := p.host.Snapshot()
	for _, poll := range p.pools.Tick(snap, now) {
		p.sendPoll(poll)
	}
	for _, a := range p.entry.Tick(snap, now) {
		p.sendAsk(a)
	}
}

// WrapEntry limits root requests of customers.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Customer == "" || c.Nested() {
			return next.Serve(ctx, c)
		}
		if r := p.refusal(ctx, c); r != nil {
			return r
		}
		r := next.Serve(ctx, c)
		p.resends.Ended(c.Customer, c.Fingerprint, r.Reason, p.host.Now())
		return r
	})
}

// refusal returns nil for an admitted call.
func (p *Plugin) refusal(ctx context.Context, c *kernel.Call) *kernel.Result {
	snap := p.host.Snapshot()
	if snap.Config == nil {
		return kernel.Refuse(kernel.ReasonNotReady, "no configuration yet", time.Second)
	}
	if _, ok := snap.Customer(c.Customer); !ok {
		return kernel.Refuse(kernel.ReasonRate, "customer has no rate", time.Second)
	}
	if ok, after := p.resends.Allow(c.Customer, c.Fingerprint, p.host.Now()); !ok {
		return kernel.Refuse(kernel.ReasonResendBudget, "too many resends during overload", p.jitter(after))
	}
	d := p.decide(ctx, c.Customer, c.Priority)
	if d.Verdict == Admit {
		return nil
	}
	return kernel.Refuse(kernel.ReasonRate, "rate limit of customer "+c.Customer, p.jitter(d.RetryAfter))
}

// jitter adds up to half of a duration.
func (p *Plugin) jitter(d time.Duration) time.Duration {
	return d + time.Duration(p.host.Rand()%uint64(d/2+1))
}

// decide takes a token, waiting at most Timing.Wait for an answer.
func (p *Plugin) decide(ctx context.Context, customer string, priority config.Priority) Decision {
	started := p.host.Now()
	decided := started
	d, asks := p.entry.Arrive(p.host.Snapshot(), customer, priority, decided)
	p.sendAsks(asks)
	if d.Verdict == Wait {
		d, decided = p.await(ctx, customer, priority, started)
	}
	if d.Verdict == Admit && !d.Stands(decided, p.host.Now(), p.timing) {
		return Decision{Verdict: Refuse, RetryAfter: p.timing.MinRetry}
	}
	return d
}

// await retries after every answer until the request has been decided on.
func (p *Plugin) await(ctx context.Context, customer string, priority config.Priority, started time.Time) (Decision, time.Time) {
	timer := time.NewTimer(p.timing.Wait)
	defer timer.Stop()
	last := false
	for {
		answered := p.signal(customer).wait()
		now := p.host.Now()
		last = last || now.Sub(started) >= p.timing.Wait
		d, asks := p.entry.Retry(p.host.Snapshot(), customer, priority, last, now)
		p.sendAsks(asks)
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

func (p *Plugin) sendAsks(asks []OutgoingAsk) {
	for _, a := range asks {
		p.sendAsk(a)
	}
}

func (p *Plugin) sendAsk(a OutgoingAsk) {
	p.host.Go(func() {
		g, err := p.exchange(a)
		now := p.host.Now()
		if err != nil {
			p.entry.Failed(a.Domain, a.Ask.Customer, a.Ask.Seq, now)
			p.host.Log.Debug("rate lease not granted", "customer", a.Ask.Customer, "domain", a.Domain, "error", err)
		} else {
			p.entry.Granted(a.Domain, a.Ask.Customer, a.To.ID, g, now)
		}
		p.signal(a.Ask.Customer).wake()
	})
}

// exchange asks the owner of a pool, which may be this node itself.
func (p *Plugin) exchange(a OutgoingAsk) (Grant, error) {
	if a.To.ID == p.host.Self.ID {
		return p.pools.Ask(p.host.Snapshot(), a.To.ID, a.Ask, p.host.Now()), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timing.AskTimeout)
	defer cancel()
	return kernel.SendRequest[Ask, Grant](ctx, p.host.Peers, a.To, kindAsk, a.Ask)
}

func (p *Plugin) sendPoll(o OutgoingPoll) {
	p.host.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.timing.Confirmed/4)
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

// signal wakes the requests that wait for an answer.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed by the next wake.
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
