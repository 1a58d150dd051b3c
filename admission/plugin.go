package admission

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Order is the place of admission in both chains.
const Order = 300

// forgetInterval is the period at which learned thresholds are cleaned up.
const forgetInterval = time.Second

func init() {
	kernel.Register(kernel.Info{Name: "admission", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the admission plug-in of one node.
type Plugin struct {
	host  *kernel.Host
	trees *trees
	// entry holds thresholds for new trees; below those of the services that
	// this node's instance calls.
	entry, below learnedThresholds
	forgotten    time.Time

	mu   sync.Mutex // guards gate
	gate *Gate
}

// Provision keeps the host.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.trees = newTrees()
	p.gate = NewGate(h.Now())
	return nil
}

// Validate accepts every configuration.
func (p *Plugin) Validate() error { return nil }

// Cleanup releases nothing.
func (p *Plugin) Cleanup() error { return nil }

// Tick does the periodic work of both parts.
func (p *Plugin) Tick(now time.Time) {
	p.mu.Lock()
	p.gate.Tick(now)
	p.mu.Unlock()
	if now.Sub(p.forgotten) < forgetInterval {
		return
	}
	p.forgotten = now
	p.entry.forget(now)
	p.below.forget(now)
}
