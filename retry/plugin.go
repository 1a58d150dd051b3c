package retry

import (
	"context"
	"encoding/binary"
	"expvar"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/routing"
)

// Order is the position of the plug-in in the entry chain.
const Order = 600

func init() {
	kernel.Register(kernel.PluginInfo{Name: "retry", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the retry plug-in of one node.
type Plugin struct {
	host       *kernel.Host
	retryRatio *retryRatio // for all services, unless services have budgets
	// hedgedCalls counts the attempts that were made beside overdue ones.
	hedgedCalls expvar.Int

	mu       sync.Mutex // guards services
	services map[string]*serviceBudget
}

// Provision initializes the plug-in.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.retryRatio = newRetryRatio(h.Now())
	p.services = map[string]*serviceBudget{}
	h.PublishMetric("hedged_calls_total", &p.hedgedCalls)
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Plugin) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (p *Plugin) Cleanup() error { return nil }

// Tick refills the node-wide ratio and the budgets of the services.
func (p *Plugin) Tick(now time.Time) {
	p.retryRatio.tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.tick(now, max(p.host.Snapshot().Nodes, 1))
	}
}

// WrapEntry retries failed calls of next.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		return p.serve(routing.WithTriedOwners(ctx), c, next)
	})
}

func (p *Plugin) serve(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	budget := p.budget(c.Service)
	budget.recordFirstAttempt()
	r, allowance := p.hedgedAttempt(ctx, c, c.ID, c.Allowance, budget, next)
	for reroutes := 0; ; {
		reroute := p.shouldReroute(ctx, c, r, reroutes)
		if !reroute && !p.shouldRetry(ctx, c, r, allowance, budget) {
			break
		}
		lent := allowance - 1
		if reroute {
			reroutes++
			lent = allowance
		}
		repeat, remaining := p.hedgedAttempt(ctx, c, p.newID(), lent, budget, next)
		if foundNoOwner(repeat) {
			if !reroute {
				budget.refund()
			}
			break
		}
		p.logRepeat(c, r, repeat, reroute)
		r, allowance = repeat, remaining
	}
	r.UnusedAllowance = allowance
	return r
}

// budget returns the budget for retries at a service.
func (p *Plugin) budget(service string) budget {
	b := p.host.Retries
	if b.Ratio == 0 {
		return p.retryRatio
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		s = newServiceBudget(b, max(p.host.Snapshot().Nodes, 1), p.host.Now(), p.host.Rand)
		p.services[service] = s
	}
	return s
}

// shouldReroute reports whether the call may go to another owner without using
// the budget: no instance has seen it, and there is time. A call that has waited at an
// owner and was refused there counts as a reroute like any other that was not sent: it
// is no arrival at an instance, so the budget is not used, but each move costs messages
// and may end at another full owner, so their number is bounded.
func (p *Plugin) shouldReroute(ctx context.Context, c *kernel.Call, r *kernel.Result, reroutes int) bool {
	if r.Outcome != kernel.OutcomeNotRun || r.Dispatched || reroutes >= p.host.Retries.MaxReroutes {
		return false
	}
	return retryableReason(r.Reason) && !foundNoOwner(r) && ctx.Err() == nil && beforeDeadline(c, p.host.Now())
}

// logRepeat logs an attempt that was retried or rerouted.
func (p *Plugin) logRepeat(c *kernel.Call, first, repeat *kernel.Result, reroute bool) {
	if p.host.Retries.Ratio == 0 {
		return
	}
	p.host.Log.Info("attempt repeated", "request", c.CallerID, "route", c.RouteName, "service", c.Service,
		"first_owner", string(first.Owner), "first_reason", string(first.Reason), "first_status", first.Status,
		"owner", string(repeat.Owner), "outcome", repeat.Outcome.String(), "reason", string(repeat.Reason),
		"status", repeat.Status, "moved", reroute)
}

// attempt makes one attempt and returns its result and the remaining allowance.
// Where services have budgets, nested calls bring their own allowance and
// nothing is lent to them.
func (p *Plugin) attempt(ctx context.Context, c *kernel.Call, id kernel.CallID, allowance int, next kernel.Handler) (*kernel.Result, int) {
	allowance = max(allowance, 0)
	reserved := reservedAllowance(c, allowance)
	if p.host.Retries.Ratio > 0 {
		reserved = allowance
	}
	attemptCall := *c
	attemptCall.ID = id
	attemptCall.Allowance = allowance - reserved
	r := next.Serve(ctx, &attemptCall)
	return r, remainingAllowance(r, attemptCall.Allowance, reserved)
}

// shouldRetry reports whether the call may be retried and takes the retry from
// the budget.
func (p *Plugin) shouldRetry(ctx context.Context, c *kernel.Call, r *kernel.Result, allowance int, b budget) bool {
	if allowance < 1 || !retryable(c, r) || foundNoOwner(r) {
		return false
	}
	if ctx.Err() != nil || !beforeDeadline(c, p.host.Now()) {
		return false
	}
	return b.spend()
}

// foundNoOwner reports whether routing found no owner for the attempt.
func foundNoOwner(r *kernel.Result) bool {
	return (r.Reason == kernel.ReasonNoUpstream || r.Reason == kernel.ReasonRegion) && r.Owner == ""
}

// newID returns a UUIDv7 for another attempt.
func (p *Plugin) newID() kernel.CallID {
	var id kernel.CallID
	ms := uint64(p.host.Now().UnixMilli())
	binary.BigEndian.PutUint64(id[:8], ms<<16|p.host.Rand()&0xffff)
	binary.BigEndian.PutUint64(id[8:], p.host.Rand())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}
