package routing

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Order is the position of the plug-in in the entry chain.
const Order = 700

func init() {
	kernel.Register(kernel.PluginInfo{Name: "routing", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the routing plug-in of one node.
type Plugin struct {
	host *kernel.Host
	view atomic.Pointer[view]
	mu   sync.Mutex // held while a new view is built; guards known
	// known is what instances have said of themselves.
	known memories
}

// Provision initializes the plug-in.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.known = memories{}
	p.publish()
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Plugin) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (p *Plugin) Cleanup() error { return nil }

// WrapEntry returns the terminal handler; next is not called.
func (p *Plugin) WrapEntry(kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(p.serve)
}

func (p *Plugin) serve(ctx context.Context, c *kernel.Call) *kernel.Result {
	t := triedOwnersFrom(ctx)
	v := p.current()
	g := v.groups[c.Service]
	if g == nil {
		return noUpstream(c)
	}
	o, refusal := p.pick(v, g, c, t)
	if refusal != nil {
		return refusal
	}
	t.add(o.member.ID)
	sent := p.host.Now()
	r := p.host.Forward(ctx, o.member, o.memory.Load().tell(c, sent))
	r.Owner = o.member.ID
	p.remember(o, r)
	answered := p.host.Now()
	g.recordResult(o, r, answered, p.host.Rand())
	if r.Outcome == kernel.OutcomeAnswered && o.member.Domain == g.domain {
		g.shift.recordCall(answered.Sub(sent))
	}
	observe(ctx, c, r)
	return r
}

// pick claims an owner for a call, or returns the refusal.
func (p *Plugin) pick(v *view, g *group, c *kernel.Call, t *triedOwners) (*owner, *kernel.Result) {
	if rule := newRegionRule(v, c, p.host.Regions); rule.binds() {
		return p.pickInRegions(rule, g, c, t)
	}
	o := g.pick(p.host.Now(), p.host.Rand, t)
	if o == nil {
		return nil, noUpstream(c)
	}
	return o, nil
}

// pickInRegions is pick for a call that may run only in some regions. The rule is a
// value so that it is allocated only for such calls.
func (p *Plugin) pickInRegions(rule regionRule, g *group, c *kernel.Call, t *triedOwners) (*owner, *kernel.Result) {
	if !g.any(rule.allows) {
		return nil, kernel.Refuse(kernel.ReasonRegion, rule.refusalDetail(c.Service), 0)
	}
	o := g.pickAllowed(p.host.Now(), p.host.Rand, t, rule.allows)
	if o == nil {
		return nil, noUpstream(c)
	}
	return o, nil
}

// remember records what a result tells of the owner's instance.
func (p *Plugin) remember(o *owner, r *kernel.Result) {
	m := o.memory.Load()
	if m == nil {
		if r.Load == nil || r.Load.Report == nil {
			return
		}
		p.mu.Lock()
		m = p.known.add(o.member.ID)
		p.mu.Unlock()
		o.memory.Store(m)
	}
	m.record(r, p.host.Now())
}

func noUpstream(c *kernel.Call) *kernel.Result {
	return kernel.Refuse(kernel.ReasonNoUpstream, "no instance of "+c.Service+" is available", 0)
}

// current returns the view of the published snapshot.
func (p *Plugin) current() *view {
	s := p.host.Snapshot()
	if v := p.view.Load(); v != nil && v.snapshot == s {
		return v
	}
	return p.rebuild(s)
}

func (p *Plugin) rebuild(s *state.Snapshot) *view {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.view.Load()
	if v != nil && v.snapshot == s {
		return v
	}
	p.known.expire(p.host.Now())
	v = newView(s, p.host.Self, v, p.known)
	p.view.Store(v)
	return v
}
