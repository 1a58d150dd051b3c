package retry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/routing"
)

// Order is the place of retry in the entry chain.
const Order = 600

func init() {
	kernel.Register(kernel.Info{Name: "retry", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the retry plug-in of one node.
type Plugin struct {
	host  *kernel.Host
	ratio *ratio // for all services, unless bounds are set

	mu       sync.Mutex
	services map[string]*serviceBudget
}

// Provision keeps the host.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.ratio = newRatio(h.Now())
	p.services = map[string]*serviceBudget{}
	return nil
}

// Validate accepts every configuration.
func (p *Plugin) Validate() error { return nil }

// Cleanup releases nothing.
func (p *Plugin) Cleanup() error { return nil }

// Tick refills the node-wide ratio.
func (p *Plugin) Tick(now time.Time) {
	p.ratio.tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.tick(now, max(p.host.Snapshot().Nodes, 1))
	}
}

// WrapEntry repeats failed calls of next.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		return p.serve(routing.WithTriedOwners(ctx), c, next)
	})
}

func (p *Plugin) serve(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	budget := p.budget(c.Service)
	budget.first()
	r, allowance := p.attempt(ctx, c, c.ID, c.Allowance, next)
	for moves := 0; ; {
		free := p.moves(ctx, c, r, moves)
		if !free && !p.again(ctx, c, r, allowance, budget) {
			break
		}
		lent := allowance - 1
		if free {
			moves++
			lent = allowance
		}
		repeat, rest := p.attempt(ctx, c, p.newID(), lent, next)
		if nowhere(repeat) {
			if !free {
				budget.refund()
			}
			break
		}
		p.tell(c, r, repeat, free)
		r, allowance = repeat, rest
	}
	r.UnusedAllowance = allowance
	return r
}

// budget returns what bounds the retries at a service.
func (p *Plugin) budget(service string) budget {
	b := p.host.Retries
	if b.Ratio == 0 {
		return p.ratio
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

// moves reports whether the call may go to another owner outside the budget:
// no instance has seen it, and there is time.
func (p *Plugin) moves(ctx context.Context, c *kernel.Call, r *kernel.Result, done int) bool {
	if r.Outcome != kernel.OutcomeNotRun || r.Dispatched || done >= p.host.Retries.MaxReroutes {
		return false
	}
	return retryableReason(r.Reason) && !nowhere(r) && ctx.Err() == nil && inTime(c, p.host.Now())
}

// tell logs a repeated attempt.
func (p *Plugin) tell(c *kernel.Call, first, repeat *kernel.Result, free bool) {
	if p.host.Retries.Ratio == 0 {
		return
	}
	p.host.Log.Info("attempt repeated", "request", c.CallerID, "route", c.RouteName, "service", c.Service,
		"first_owner", string(first.Owner), "first_reason", string(first.Reason), "first_status", first.Status,
		"owner", string(repeat.Owner), "outcome", repeat.Outcome.String(), "reason", string(repeat.Reason),
		"status", repeat.Status, "moved", free)
}

// attempt runs one attempt and returns its result with the allowance left.
// Where services have budgets, nested calls bring an allowance of their own and
// nothing is lent to them.
func (p *Plugin) attempt(ctx context.Context, c *kernel.Call, id kernel.CallID, allowance int, next kernel.Handler) (*kernel.Result, int) {
	allowance = max(allowance, 0)
	keep := kept(c, allowance)
	if p.host.Retries.Ratio > 0 {
		keep = allowance
	}
	try := *c
	try.ID = id
	try.Allowance = allowance - keep
	r := next.Serve(ctx, &try)
	return r, left(r, try.Allowance, keep)
}

func (p *Plugin) again(ctx context.Context, c *kernel.Call, r *kernel.Result, allowance int, b budget) bool {
	if allowance < 1 || !retryable(c, r) || nowhere(r) {
		return false
	}
	if ctx.Err() != nil || !inTime(c, p.host.Now()) {
		return false
	}
	return b.spend()
}

// nowhere reports that the attempt found no owner to go to.
func nowhere(r *kernel.Result) bool {
	return r.Reason == kernel.ReasonNoUpstream && r.Owner == ""
}

// newID returns a UUIDv7 for a further attempt.
func (p *Plugin) newID() kernel.CallID {
	var id kernel.CallID
	ms := uint64(p.host.Now().UnixMilli())
	binary.BigEndian.PutUint64(id[:8], ms<<16|p.host.Rand()&0xffff)
	binary.BigEndian.PutUint64(id[8:], p.host.Rand())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}
