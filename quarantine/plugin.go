package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/routing"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Order is the position of the plug-in in both chains.
const Order = 200

// expireInterval is the interval at which expired records are removed.
const expireInterval = time.Second

func init() {
	kernel.Register(kernel.PluginInfo{Name: "quarantine", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the quarantine plug-in of one node.
type Plugin struct {
	host          *kernel.Host
	table         *table
	inflightCalls *inflightCalls
	isolation     *isolation
	lastExpiry    time.Time
	// tablesRequested is set once other members' tables have been requested.
	tablesRequested bool

	mu      sync.Mutex        // guards batches
	batches map[string]*batch // by service
}

// Provision stores the host and registers the message handlers.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.table = newTable()
	p.inflightCalls = newInflightCalls()
	p.isolation = newIsolation()
	p.batches = map[string]*batch{}
	kernel.HandleRequest(h.Peers, kindReport, p.handleReport)
	kernel.HandleRequest(h.Peers, kindTable, p.handleTableRequest)
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Plugin) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (p *Plugin) Cleanup() error { return nil }

// Tick drops expired records and, after a start, fetches the records of other
// members.
func (p *Plugin) Tick(now time.Time) {
	if now.Sub(p.lastExpiry) >= expireInterval {
		p.lastExpiry = now
		p.table.dropExpired(now)
	}
	if !p.tablesRequested {
		p.tablesRequested = p.requestTables()
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
	return kernel.Refuse(kernel.ReasonQuarantine, "instances were lost while running this request", left)
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

// observe is called with the result of every attempt, including those that are
// retried.
func (p *Plugin) observe(c *kernel.Call, r *kernel.Result) {
	if r.InstanceLost {
		p.recordReportedLoss(c, r)
	}
}

// recordReportedLoss records the death behind a result that reports a lost
// instance: the death named by the owner, or else the death of the owner's node
// if its instance ends with the node.
func (p *Plugin) recordReportedLoss(c *kernel.Call, r *kernel.Result) {
	d := deathID(r.Header.Get(deathHeader))
	r.Header.Del(deathHeader)
	named := d != ""
	if !named && p.host.InstancesOutliveNodes {
		return
	}
	if !named {
		d = nodeDeathID(r.Owner)
	}
	rec := p.table.addDeath(c.Fingerprint, d, p.host.Now())
	if !named {
		p.reportAndWait(c.Service, []record{rec})
	}
}

func nodeDeathID(id state.MemberID) deathID { return deathID(id) + "/node" }
