package routing

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

func init() {
	kernel.Register(kernel.PluginInfo{Name: "naive-routing", Order: Order, New: func() kernel.Plugin { return &Naive{} }})
}

// Naive is the baseline: it chooses a member of the service at random. It does not
// enforce allowed regions.
type Naive struct {
	host *kernel.Host
}

// Provision initializes the plug-in.
func (p *Naive) Provision(h *kernel.Host) error {
	p.host = h
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Naive) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (p *Naive) Cleanup() error { return nil }

// WrapEntry returns the terminal handler; next is not called.
func (p *Naive) WrapEntry(kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(p.serve)
}

func (p *Naive) serve(ctx context.Context, c *kernel.Call) *kernel.Result {
	members := p.host.Snapshot().Service(c.Service)
	if len(members) == 0 {
		return kernel.Refuse(kernel.ReasonNoUpstream, "no instance of "+c.Service+" is known", 0)
	}
	owner := members[p.host.Rand()%uint64(len(members))]
	r := p.host.Forward(ctx, owner, c)
	r.Owner = owner.ID
	return r
}
