package graph

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// importantRanks is the number of the most important ranks that wait in the
// first band, together with begun work.
const importantRanks = 2

// WrapOwner holds calls to the instance's slots.
func (p *Plugin) WrapOwner(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		r := p.serveOwner(ctx, c, next)
		p.report(r)
		return r
	})
}

func (p *Plugin) serveOwner(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	t := newTicket(c)
	if c.Idempotent {
		var giveUp context.CancelCauseFunc
		ctx, giveUp = context.WithCancelCause(ctx)
		defer giveUp(nil)
		t.GiveUpSilent = func() { giveUp(kernel.ErrInstanceUnresponsive) }
	}
	if !p.enter(ctx, t) {
		return p.refusal(ctx, c)
	}
	p.mu.Lock()
	p.needs.Start(c.RouteName)
	p.mu.Unlock()
	// A call may have waited while the instance began to leave.
	if p.host.Snapshot().Members[p.host.Self.ID].Draining {
		p.leave(c, t, End{})
		return kernel.Refuse(kernel.ReasonDraining, "the instance is leaving", 0)
	}
	r := next.Serve(ctx, c)
	end := End{
		Ran:      r.Outcome == kernel.OutcomeAnswered && r.Status < http.StatusInternalServerError,
		Rejected: r.Outcome == kernel.OutcomeNotRun && r.Reason == kernel.ReasonOverload,
	}
	if errors.Is(context.Cause(ctx), kernel.ErrInstanceUnresponsive) {
		end.Rejected = true
		p.host.Log.Info("silent call given up", "request", c.CallerID, "route", c.RouteName,
			"took_ms", p.host.Now().Sub(t.began).Milliseconds(), "outcome", r.Outcome.String())
	}
	if r.InstanceLoad != nil {
		p.mu.Lock()
		p.gate.Tell(r.InstanceLoad.Running + r.InstanceLoad.Waiting)
		p.mu.Unlock()
	}
	p.leave(c, t, end)
	return r
}

func newTicket(c *kernel.Call) *Ticket {
	t := &Ticket{
		Route:     c.RouteName,
		Begun:     c.Nested(),
		Objective: time.Duration(c.LatencyMS) * time.Millisecond,
		Deadline:  c.Deadline(),
	}
	if !t.Begun && c.Priority >= importantRanks {
		t.Band = 1
	}
	return t
}

// enter waits until the call may run; false means refused.
func (p *Plugin) enter(ctx context.Context, t *Ticket) bool {
	now := p.host.Now()
	p.mu.Lock()
	accepted := p.gate.Offer(now, t)
	running := t.state == stateRunning
	p.mu.Unlock()
	if !accepted || running {
		return accepted
	}
	timer := time.NewTimer(t.GiveUp.Sub(now))
	defer timer.Stop()
	select {
	case <-t.ready:
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.gate.Leave(t) && t.state == stateRunning
}

func (p *Plugin) leave(c *kernel.Call, t *Ticket, e End) {
	now := p.host.Now()
	p.mu.Lock()
	p.gate.Done(now, t, e)
	p.needs.End(c.RouteName)
	p.mu.Unlock()
}

func (p *Plugin) refusal(ctx context.Context, c *kernel.Call) *kernel.Result {
	if ctx.Err() != nil {
		return kernel.Refuse(kernel.ReasonCancelled, "the caller left while the call waited", 0)
	}
	now := p.host.Now()
	p.mu.Lock()
	detail := fmt.Sprintf("no slot at the instance in time: %d of %d in use, %d calls wait for %d ms of work",
		p.gate.InFlight(), p.gate.Limit(now), p.gate.Queued(), p.gate.Backlog().Milliseconds())
	p.mu.Unlock()
	return kernel.Refuse(kernel.ReasonOverload, detail, p.comeBack(c))
}

// report puts the load of the instance on a result.
func (p *Plugin) report(r *kernel.Result) {
	now := p.host.Now()
	p.mu.Lock()
	r.Load = &kernel.Load{
		Limit:     p.gate.Limit(now),
		InFlight:  p.gate.InFlight(),
		Queued:    p.gate.Queued(),
		Threshold: ^uint32(0),
		Draining:  p.host.Snapshot().Members[p.host.Self.ID].Draining,
	}
	p.mu.Unlock()
}
