package admission

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// WrapOwner lets calls through to the instance one limit at a time.
func (p *Plugin) WrapOwner(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		r := p.serveOwner(ctx, c, next)
		p.report(c, r)
		return r
	})
}

func (p *Plugin) serveOwner(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	t := newRequest(c)
	if !p.enter(ctx, t) {
		return p.refusal(t)
	}
	began := p.host.Now()
	before := p.trees.begin(c.Root, c.RouteName, began)
	r := next.Serve(ctx, c)
	now := p.host.Now()
	waited := p.trees.end(c.Root, before, now)
	p.leave(now, t, End{
		Own:      now.Sub(began) - waited,
		Answered: r.Outcome == kernel.OutcomeAnswered && r.Status < http.StatusInternalServerError,
		Shed:     shedByInstance(r),
	})
	return r
}

func newRequest(c *kernel.Call) *Request {
	r := &Request{
		Customer: c.Customer,
		Route:    c.RouteName,
		Priority: c.Priority,
		Nested:   c.Nested(),
		Rank:     Rank(c.Priority, c.Root),
	}
	if c.DeadlineMS != 0 {
		r.Deadline = c.Deadline()
	}
	return r
}

// shedByInstance reports whether the instance itself refused for overload.
func shedByInstance(r *kernel.Result) bool {
	switch r.Outcome {
	case kernel.OutcomeNotRun:
		return r.Reason == kernel.ReasonOverload
	case kernel.OutcomeAnswered:
		return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
	}
	return false
}

// enter waits until the call may run; false means refused.
func (p *Plugin) enter(ctx context.Context, t *Request) bool {
	now := p.host.Now()
	status := p.offer(now, t)
	if status != StatusWaiting {
		return status == StatusRunning
	}
	timer := time.NewTimer(t.WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case <-t.wake:
	case <-ctx.Done():
		p.giveUp(t, endedReason(ctx))
	case <-timer.C:
		p.giveUp(t, kernel.ReasonOverload)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.Status == StatusRunning
}

// endedReason tells a deadline that has passed from a caller that has left.
func endedReason(ctx context.Context) kernel.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kernel.ReasonDeadline
	}
	return kernel.ReasonCancelled
}

func (p *Plugin) offer(now time.Time, t *Request) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	wakeAll(p.gate.Offer(now, t))
	if t.Status == StatusWaiting {
		t.wake = make(chan struct{})
	}
	return t.Status
}

func (p *Plugin) giveUp(t *Request, reason kernel.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wakeAll(p.gate.Leave(p.host.Now(), t, reason))
}

func (p *Plugin) leave(now time.Time, t *Request, end End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wakeAll(p.gate.Done(now, t, end))
}

func wakeAll(changed []*Request) {
	for _, r := range changed {
		close(r.wake)
	}
}

func (p *Plugin) refusal(t *Request) *kernel.Result {
	p.mu.Lock()
	after := p.gate.RetryAfter(p.host.Now(), t, p.host.Rand())
	p.mu.Unlock()
	return kernel.Refuse(t.Reason, "refused at the instance before it ran", after)
}

// report puts the load of this instance on a result.
func (p *Plugin) report(c *kernel.Call, r *kernel.Result) {
	p.mu.Lock()
	load := p.gate.Load(c.Customer)
	p.mu.Unlock()
	below := p.below.threshold(routeKey{c.RouteName, c.Customer}, p.host.Now())
	load.Threshold = min(load.Threshold, relayed(below))
	load.Draining = p.draining() || r.Load != nil && r.Load.Draining
	r.Load = &load
}

func (p *Plugin) draining() bool {
	self := p.host.Self.ID
	return p.host.Snapshot().Members[self].Draining
}
