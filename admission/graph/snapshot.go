package graph

import (
	"maps"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// applySnapshot applies the changes of a new snapshot. p.mu is held.
func (p *Plugin) applySnapshot(s *state.Snapshot) {
	if s == p.snapshot {
		return
	}
	p.snapshot = s
	p.reachableServices = nil
	clear(p.fair.costs)
	if s.Config != nil && s.Version != p.configVersion {
		p.applyConfig(s)
	}
	p.restoreFanout(s)
	if s.Config != nil {
		p.level.SetDrainTime(affordableWait(p.host.Self.Service, s.Config.Hosts.Routes(), s.Fanout, p.services))
	}
	p.anticipateEvacuation(s)
}

// anticipateEvacuation lowers the level for the load that this instance takes over when
// other failure domains are evacuated, before that load arrives. p.mu is held.
func (p *Plugin) anticipateEvacuation(s *state.Snapshot) {
	available := 0
	for _, m := range s.AvailableMembers(p.host.Self.Service) {
		available += max(m.Slots, 0)
	}
	evacuations, before := s.Evacuations, p.evacuations
	p.evacuations = evacuations
	if len(evacuations) == 0 || available == 0 || s.Evacuated(p.host.Self.Domain) {
		return
	}
	taken := 0
	for _, m := range s.Service(p.host.Self.Service) {
		if _, known := before[m.Domain]; !known && s.Evacuated(m.Domain) {
			taken += max(m.Slots, 0)
		}
	}
	if taken == 0 {
		return
	}
	growth := 1 + float64(taken)/float64(available)
	p.level.Anticipate(p.host.Now(), growth)
	p.host.Log.Info("load of evacuated failure domains expected", "growth", growth, "level", p.level.Value(), "load", p.level.Load())
}

// applyConfig reads services and ranks from the routes of a new configuration.
// p.mu is held.
func (p *Plugin) applyConfig(s *state.Snapshot) {
	p.configVersion = s.Version
	before := p.services
	p.services = map[string]string{}
	top := 1
	for _, r := range s.Config.Hosts.Routes() {
		p.services[r.Name] = r.Service
		if !r.Open {
			top = max(top, int(r.Priority)+1)
		}
	}
	p.fair.setCustomers(s.Config.Customers)
	if !maps.Equal(before, p.services) {
		p.fair.meter.Reset(p.host.Now())
	}
	p.top = float64(top)
	p.level.SetTop(p.top)
	if p.rateLevel != nil {
		p.rateLevel.SetTop(p.top)
	}
}

// restoreFanout restores the fan-out that was announced for the routes of this
// node's service before this process started. p.mu is held.
func (p *Plugin) restoreFanout(s *state.Snapshot) {
	own := state.Fanout{}
	for route, calls := range s.Fanout {
		if p.services[route] == p.host.Self.Service {
			own[route] = calls
		}
	}
	p.fanout.Restore(own)
}
