package admission

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// WrapOwner passes calls to the instance within the concurrency limit.
func (p *Plugin) WrapOwner(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		r := p.serveOwner(ctx, c, next)
		p.attachLoad(c, r)
		return r
	})
}

func (p *Plugin) serveOwner(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	req := newRequest(c)
	if !p.waitToStart(ctx, req) {
		return p.refusal(req)
	}
	startedAt := p.host.Now()
	waitedBefore := p.treeTracker.begin(c.Root, c.RouteName, startedAt)
	r := next.Serve(ctx, c)
	now := p.host.Now()
	nestedWait := p.treeTracker.end(c.Root, waitedBefore, now)
	p.complete(now, req, Completion{
		OwnTime:   now.Sub(startedAt) - nestedWait,
		Succeeded: r.Outcome == kernel.OutcomeAnswered && r.Status < http.StatusInternalServerError,
		Shed:      shedByInstance(r),
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

// shedByInstance reports whether the instance itself refused the call for
// overload.
func shedByInstance(r *kernel.Result) bool {
	switch r.Outcome {
	case kernel.OutcomeNotRun:
		return r.Reason == kernel.ReasonOverload
	case kernel.OutcomeAnswered:
		return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
	}
	return false
}

// waitToStart waits until the call may run. It returns false if the call is
// refused.
func (p *Plugin) waitToStart(ctx context.Context, req *Request) bool {
	now := p.host.Now()
	status := p.offer(now, req)
	if status != StatusWaiting {
		return status == StatusRunning
	}
	timer := time.NewTimer(req.WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case <-req.statusChanged:
	case <-ctx.Done():
		p.cancelWaiting(req, cancelReason(ctx))
	case <-timer.C:
		p.cancelWaiting(req, kernel.ReasonOverload)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return req.Status == StatusRunning
}

// cancelReason distinguishes a deadline that has passed from a caller that has
// disconnected.
func cancelReason(ctx context.Context) kernel.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kernel.ReasonDeadline
	}
	return kernel.ReasonCancelled
}

func (p *Plugin) offer(now time.Time, req *Request) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.SetRateLimit(now, p.host.InstanceRateLimit())
	notifyAll(p.gate.Offer(now, req))
	if req.Status == StatusWaiting {
		req.statusChanged = make(chan struct{})
	}
	return req.Status
}

func (p *Plugin) cancelWaiting(req *Request, reason kernel.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	notifyAll(p.gate.Cancel(p.host.Now(), req, reason))
}

func (p *Plugin) complete(now time.Time, req *Request, completion Completion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	notifyAll(p.gate.Done(now, req, completion))
}

func notifyAll(changed []*Request) {
	for _, r := range changed {
		close(r.statusChanged)
	}
}

func (p *Plugin) refusal(req *Request) *kernel.Result {
	p.mu.Lock()
	after := p.gate.RetryAfter(p.host.Now(), req, p.host.Rand())
	p.mu.Unlock()
	return kernel.Refuse(req.Reason, "refused at the instance before it ran", after)
}

// attachLoad sets the load of this instance on a result.
func (p *Plugin) attachLoad(c *kernel.Call, r *kernel.Result) {
	p.mu.Lock()
	load := p.gate.Load(p.host.Now(), c.Customer)
	p.mu.Unlock()
	downstream := p.downstream.threshold(routeKey{c.RouteName, c.Customer}, p.host.Now())
	load.Threshold = min(load.Threshold, relayedThreshold(downstream))
	load.Draining = p.draining() || r.Load != nil && r.Load.Draining
	r.Load = &load
}

func (p *Plugin) draining() bool {
	self := p.host.Self.ID
	return p.host.Snapshot().Members[self].Draining
}
