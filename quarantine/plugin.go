package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/routing"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Order is the place of quarantine in both chains.
const Order = 200

const expireInterval = time.Second

func init() {
	kernel.Register(kernel.Info{Name: "quarantine", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the quarantine plug-in of one node.
type Plugin struct {
	host      *kernel.Host
	table     *table
	flights   *flights
	isolation *isolation
	expired   time.Time
	// synced is set once the table of another member has been asked for.
	synced bool

	mu      sync.Mutex
	batches map[string]*batch // by service
}

// Provision keeps the host and registers the message handlers.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.table = newTable()
	p.flights = newFlights()
	p.isolation = newIsolation()
	p.batches = map[string]*batch{}
	kernel.HandleRequest(h.Peers, kindReport, p.onReport)
	kernel.HandleRequest(h.Peers, kindTable, p.onTable)
	return nil
}

// Validate accepts every configuration.
func (p *Plugin) Validate() error { return nil }

// Cleanup releases nothing.
func (p *Plugin) Cleanup() error { return nil }

// Tick drops expired records and, after a start, fetches those of others.
func (p *Plugin) Tick(now time.Time) {
	if now.Sub(p.expired) >= expireInterval {
		p.expired = now
		p.table.expire(now)
	}
	if !p.synced {
		p.synced = p.sync()
	}
}

// refuse returns the refusal of a quarantined call, or nil.
func (p *Plugin) refuse(c *kernel.Call) *kernel.Result {
	now := p.host.Now()
	r := p.table.get(c.Fingerprint, now)
	if !r.quarantined() {
		return nil
	}
	left := time.UnixMilli(r.ExpiresMS).Sub(now)
	return kernel.Refuse(kernel.ReasonQuarantine, "instances were lost while they ran this request", left)
}

// WrapEntry refuses quarantined calls and records the loss of whole nodes.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if r := p.refuse(c); r != nil {
			return r
		}
		return next.Serve(routing.WithObserver(ctx, p.observe), c)
	})
}

// observe sees the result of every attempt, also of those that are retried.
func (p *Plugin) observe(c *kernel.Call, r *kernel.Result) {
	if r.InstanceLost {
		p.lostAtOwner(c, r)
	}
}

// lostAtOwner records the death that a result tells of: the one that the
// owner has named, or that of the owner's node if its instance ends with it.
func (p *Plugin) lostAtOwner(c *kernel.Call, r *kernel.Result) {
	d := deathID(r.Header.Get(deathHeader))
	r.Header.Del(deathHeader)
	named := d != ""
	if !named && p.host.InstancesOutliveNodes {
		return
	}
	if !named {
		d = nodeDeath(r.Owner)
	}
	rec := p.table.death(c.Fingerprint, d, p.host.Now())
	if !named {
		p.tell(c.Service, []record{rec})
	}
}

func nodeDeath(id state.MemberID) deathID { return deathID(id) + "/node" }
