package admission

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// WrapEntry sheds new trees early and records thresholds from answers.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Nested() {
			return p.serveNested(ctx, c, next)
		}
		if r := p.shed(c); r != nil {
			return r
		}
		r := next.Serve(ctx, c)
		p.recordThreshold(&p.entry, c.RouteName, c, r)
		return r
	})
}

func (p *Plugin) shed(c *kernel.Call) *kernel.Result {
	key := routeKey{c.RouteName, c.Customer}
	now := p.host.Now()
	rank := Rank(c.Priority, c.Root)
	if admits(p.entry.threshold(key, now), rank) {
		return nil
	}
	after := max(p.entry.admitsIn(key, rank, now), minRetryAfter)
	return kernel.Refuse(kernel.ReasonOverload, c.Service+" is shedding load", withJitter(after, p.host.Rand()))
}

func (p *Plugin) serveNested(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	parent, ok := p.treeTracker.beginNested(c.Root, p.host.Now())
	r := next.Serve(ctx, c)
	if ok {
		p.treeTracker.endNested(c.Root, p.host.Now())
		p.recordThreshold(&p.downstream, parent, c, r)
	}
	return r
}

// recordThreshold records the threshold of a result. A load without a limit
// doesn't come from an admission plug-in and has no threshold.
func (p *Plugin) recordThreshold(table *learnedThresholds, route string, c *kernel.Call, r *kernel.Result) {
	if r.Load == nil || r.Load.Limit == 0 {
		return
	}
	table.recordThreshold(routeKey{route, c.Customer}, thresholdReport{
		service:    c.Service,
		owner:      r.Owner,
		threshold:  r.Load.Threshold,
		receivedAt: p.host.Now(),
	})
}
