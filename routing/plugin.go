package routing

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Order is the place of routing in the entry chain.
const Order = 700

func init() {
	kernel.Register(kernel.Info{Name: "routing", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the routing plug-in of one node.
type Plugin struct {
	host        *kernel.Host
	outstanding sync.Map // state.MemberID to *atomic.Int64
}

// Provision keeps the host.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	return nil
}

// Validate accepts every configuration.
func (p *Plugin) Validate() error { return nil }

// Cleanup releases nothing.
func (p *Plugin) Cleanup() error { return nil }

// WrapEntry returns the terminal handler; next is not called.
func (p *Plugin) WrapEntry(kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(p.serve)
}

func (p *Plugin) serve(ctx context.Context, c *kernel.Call) *kernel.Result {
	t := triedFrom(ctx)
	owner, ok := p.choose(c.Service, t)
	if !ok {
		return kernel.Refuse(kernel.ReasonNoUpstream, "no instance of "+c.Service+" is available", 0)
	}
	t.add(owner.ID)
	n := p.count(owner.ID)
	n.Add(1)
	defer n.Add(-1)
	r := p.host.Forward(ctx, owner, c)
	r.Owner = owner.ID
	return r
}

func (p *Plugin) choose(service string, t *tried) (state.Member, bool) {
	var usable []state.Member
	for _, m := range p.host.Snapshot().Service(service) {
		if !m.Draining && !t.has(m.ID) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return state.Member{}, false
	}
	a := usable[p.host.Rand()%uint64(len(usable))]
	b := usable[p.host.Rand()%uint64(len(usable))]
	if p.count(b.ID).Load() < p.count(a.ID).Load() {
		return b, true
	}
	return a, true
}

func (p *Plugin) count(id state.MemberID) *atomic.Int64 {
	if n, ok := p.outstanding.Load(id); ok {
		return n.(*atomic.Int64)
	}
	n, _ := p.outstanding.LoadOrStore(id, &atomic.Int64{})
	return n.(*atomic.Int64)
}
