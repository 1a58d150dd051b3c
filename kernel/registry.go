package kernel

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"
)

// Plugin is the life cycle of a plug-in: Provision and Validate are called before
// its use, Cleanup after it. One value serves one node.
type Plugin interface {
	// Provision stores the host and registers message handlers. It does no I/O.
	Provision(h *Host) error
	// Validate checks the plug-in's own settings.
	Validate() error
	// Cleanup releases what Provision acquired.
	Cleanup() error
}

// EntryPlugin is implemented by plug-ins that take part in the entry chain.
type EntryPlugin interface {
	WrapEntry(next Handler) Handler
}

// OwnerPlugin is implemented by plug-ins that take part in the owner chain.
type OwnerPlugin interface {
	WrapOwner(next Handler) Handler
}

// Ticker is implemented by plug-ins with periodic work. Tick is called every
// TickInterval from one goroutine and must not block.
type Ticker interface {
	Tick(now time.Time)
}

// Resigner is implemented by plug-ins that hand their state over to other nodes
// at a planned stop, after the last call has ended.
type Resigner interface {
	Resign(ctx context.Context)
}

// TickInterval is the period of Ticker.Tick.
const TickInterval = 50 * time.Millisecond

// PluginInfo describes a registered plug-in.
type PluginInfo struct {
	Name string
	// Order is the position in the chains; the smallest value is outermost.
	Order int
	New   func() Plugin
}

var (
	registryMu sync.Mutex
	registry   = map[string]PluginInfo{}
)

// Register adds a plug-in. It is called from init; a second plug-in with the
// same name is a programming error and panics.
func Register(i PluginInfo) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, dup := registry[i.Name]; dup {
		panic("kernel: plug-in registered twice: " + i.Name)
	}
	registry[i.Name] = i
}

// Registered returns the registered plug-ins in chain order.
func Registered() []PluginInfo {
	registryMu.Lock()
	defer registryMu.Unlock()
	infos := make([]PluginInfo, 0, len(registry))
	for _, i := range registry {
		infos = append(infos, i)
	}
	sort.Slice(infos, func(a, b int) bool {
		if infos[a].Order != infos[b].Order {
			return infos[a].Order < infos[b].Order
		}
		return infos[a].Name < infos[b].Name
	})
	return infos
}

// PluginSet holds the provisioned plug-ins of one node.
type PluginSet struct {
	plugins []Plugin
}

// NewPluginSet provisions and validates the named plug-ins in chain order. It returns
// an error if a name is not registered.
func NewPluginSet(h *Host, names []string) (*PluginSet, error) {
	wanted := map[string]bool{}
	for _, n := range names {
		wanted[n] = true
	}
	s := &PluginSet{}
	for _, info := range Registered() {
		if !wanted[info.Name] {
			continue
		}
		delete(wanted, info.Name)
		p := info.New()
		if err := p.Provision(h); err != nil {
			return nil, fmt.Errorf("provision %s: %w", info.Name, err)
		}
		if err := p.Validate(); err != nil {
			return nil, fmt.Errorf("validate %s: %w", info.Name, err)
		}
		s.plugins = append(s.plugins, p)
	}
	for n := range wanted {
		return nil, fmt.Errorf("no plug-in named %q", n)
	}
	return s, nil
}

// Entry builds the entry chain; last is its innermost handler.
func (s *PluginSet) Entry(last Handler) Handler {
	h := last
	for i := len(s.plugins) - 1; i >= 0; i-- {
		if p, ok := s.plugins[i].(EntryPlugin); ok {
			h = p.WrapEntry(h)
		}
	}
	return h
}

// Owner builds the owner chain; last is its innermost handler.
func (s *PluginSet) Owner(last Handler) Handler {
	h := last
	for i := len(s.plugins) - 1; i >= 0; i-- {
		if p, ok := s.plugins[i].(OwnerPlugin); ok {
			h = p.WrapOwner(h)
		}
	}
	return h
}

// Tick calls Tick of every plug-in that implements Ticker.
func (s *PluginSet) Tick(now time.Time) {
	for _, p := range s.plugins {
		if t, ok := p.(Ticker); ok {
			t.Tick(now)
		}
	}
}

// Resign calls Resign of every plug-in that implements Resigner.
func (s *PluginSet) Resign(ctx context.Context) {
	for _, p := range s.plugins {
		if r, ok := p.(Resigner); ok {
			r.Resign(ctx)
		}
	}
}

// Cleanup releases all plug-ins in reverse order of their provisioning and
// returns the first error.
func (s *PluginSet) Cleanup() error {
	var first error
	for i := len(s.plugins) - 1; i >= 0; i-- {
		if err := s.plugins[i].Cleanup(); err != nil && first == nil {
			first = err
		}
	}
	return first
}
