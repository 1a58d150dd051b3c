package admission

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Order is the position of the plug-in in both chains.
const Order = 300

// expireInterval is the interval at which expired thresholds are removed.
const expireInterval = time.Second

func init() {
	kernel.Register(kernel.PluginInfo{Name: "admission", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the admission plug-in of one node.
type Plugin struct {
	host        *kernel.Host
	treeTracker *treeTracker
	// entry holds the thresholds for new trees, downstream those of the services
	// that this node's instance calls.
	entry, downstream learnedThresholds
	lastExpiry        time.Time

	mu   sync.Mutex // guards gate
	gate *Gate
}

// Provision initializes the plug-in.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.treeTracker = newTreeTracker()
	p.gate = NewGate(h.Now())
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Plugin) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (p *Plugin) Cleanup() error { return nil }

// Tick updates the gate and removes expired thresholds.
func (p *Plugin) Tick(now time.Time) {
	p.mu.Lock()
	p.gate.SetRateLimit(now, p.host.InstanceRateLimit())
	notifyAll(p.gate.Tick(now))
	p.mu.Unlock()
	if now.Sub(p.lastExpiry) < expireInterval {
		return
	}
	p.lastExpiry = now
	p.entry.expire(now)
	p.downstream.expire(now)
}
