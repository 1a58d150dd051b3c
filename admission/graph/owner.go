package graph

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// firstBandRanks is the number of the most important ranks whose new requests
// wait in the first band, together with nested calls.
const firstBandRanks = 2

// WrapOwner limits the calls in flight to the instance's slots.
func (p *Plugin) WrapOwner(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		r := p.serveOwner(ctx, c, next)
		p.attachLoad(r)
		return r
	})
}

func (p *Plugin) serveOwner(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	t := newTicket(c)
	t.ReportOverdue = func() { p.reportOverdue(ctx, c, t) }
	if !p.waitForSlot(ctx, t) {
		return p.refusal(ctx, c)
	}
	p.mu.Lock()
	p.fanout.RunStarted(c.RouteName)
	p.mu.Unlock()
	if r := p.host.RefuseNewWork(); r != nil {
		p.release(c, t, Completion{})
		return r
	}
	r := next.Serve(ctx, c)
	completion := Completion{
		Succeeded: r.Outcome == kernel.OutcomeAnswered && r.Status < http.StatusInternalServerError,
		Rejected:  r.Outcome == kernel.OutcomeNotRun && r.Reason == kernel.ReasonOverload,
	}
	if r.InstanceLoad != nil {
		p.mu.Lock()
		p.gate.ReportLoad(r.InstanceLoad.Running + r.InstanceLoad.Waiting)
		p.gate.ReportWorkTime(p.host.Now(), r.InstanceLoad.WorkTime)
		p.mu.Unlock()
	}
	p.release(c, t, completion)
	return r
}

// reportOverdue logs an overdue call and tells its entry node, which may make another
// attempt beside it.
func (p *Plugin) reportOverdue(ctx context.Context, c *kernel.Call, t *Ticket) {
	p.overdueCalls.Add(1)
	p.host.Log.Info("call overdue", "request", c.CallerID, "route", c.RouteName, "idempotent", c.Idempotent,
		"running_ms", p.host.Now().Sub(t.startedAt).Milliseconds())
	kernel.ReportOverdue(ctx)
}

func newTicket(c *kernel.Call) *Ticket {
	t := &Ticket{
		Route:      c.RouteName,
		NestedCall: c.Nested(),
		Objective:  time.Duration(c.TargetLatencyMS) * time.Millisecond,
		Deadline:   c.Deadline(),
	}
	if !t.NestedCall && c.Priority >= firstBandRanks {
		t.Band = 1
	}
	return t
}

// waitForSlot waits until the call may run. It returns false if the call is
// refused.
func (p *Plugin) waitForSlot(ctx context.Context, t *Ticket) bool {
	now := p.host.Now()
	p.mu.Lock()
	p.gate.SetRateLimit(now, p.host.InstanceRateLimit())
	accepted := p.gate.Offer(now, t)
	running := t.state == stateRunning
	p.mu.Unlock()
	if !accepted || running {
		return accepted
	}
	timer := time.NewTimer(t.WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case <-t.ready:
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.gate.Cancel(t) && t.state == stateRunning
}

func (p *Plugin) release(c *kernel.Call, t *Ticket, completion Completion) {
	now := p.host.Now()
	p.mu.Lock()
	p.gate.Done(now, t, completion)
	p.fanout.RunEnded(c.RouteName)
	p.mu.Unlock()
}

func (p *Plugin) refusal(ctx context.Context, c *kernel.Call) *kernel.Result {
	if ctx.Err() != nil {
		return kernel.Refuse(kernel.CancelReason(ctx), "the caller disconnected, or the node ended, while the call waited", 0)
	}
	if r := p.host.RefuseNewWork(); r != nil {
		return r
	}
	now := p.host.Now()
	p.mu.Lock()
	detail := fmt.Sprintf("no slot at the instance in time: %d of %d in use, %d calls wait for %d ms of work, rate limit %g",
		p.gate.InFlight(), p.gate.Limit(now), p.gate.Queued(), p.gate.Backlog().Milliseconds(), p.host.InstanceRateLimit())
	p.mu.Unlock()
	return kernel.Refuse(kernel.ReasonOverload, detail, p.retryAfter(c))
}

// attachLoad sets the load of the instance on a result.
func (p *Plugin) attachLoad(r *kernel.Result) {
	now := p.host.Now()
	p.mu.Lock()
	r.Load = &kernel.Load{
		Limit:     p.gate.Capacity(now),
		InFlight:  p.gate.Occupied(now),
		Queued:    p.gate.Queued(),
		Threshold: ^uint32(0),
		Draining:  r.Load != nil && r.Load.Draining || p.host.Snapshot().Members[p.host.Self.ID].Draining,
		Work:      p.gate.workTime.report(now),
	}
	p.mu.Unlock()
}
