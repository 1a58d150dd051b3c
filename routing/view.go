package routing

import (
	"sync"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// group is the members of a service.
type group struct {
	domain string   // the node's own failure domain
	local  []*owner // in the node's own failure domain
	remote []*owner
	self   *owner // this node's own instance, if it is of the service
	shift  *shift

	mu sync.Mutex // held while a member is being ejected
}

// view is the membership as routing needs it. It is immutable except for the
// stats, which the next view reuses.
type view struct {
	snapshot *state.Snapshot
	groups   map[string]*group
	owners   map[state.MemberID]*owner
	// customersNameRegions is set if the configuration allows a customer only some
	// regions.
	customersNameRegions bool
	reach                map[string]*reachability // by failure domain
}

// newView builds the view of a snapshot. It reuses the stats of members that
// the previous view contains.
func newView(s *state.Snapshot, self state.Member, previous *view, known memories) *view {
	v := &view{
		snapshot: s,
		groups:   map[string]*group{},
		owners:   make(map[state.MemberID]*owner, len(s.Members)),

		customersNameRegions: customersNameRegions(s.Config),
		reach:                map[string]*reachability{},
	}
	for _, domain := range s.Domains() {
		for _, m := range s.Domain(domain) {
			v.add(m, self, previous, known)
		}
	}
	return v
}

func (v *view) add(m state.Member, self state.Member, previous *view, known memories) {
	o := &owner{stats: previousStats(previous, m), member: m, self: m.ID == self.ID, reach: v.reachOf(m, previous)}
	if len(known) > 0 && o.memory.Load() == nil {
		o.memory.Store(known[m.ID.NodeName()])
	}
	v.owners[m.ID] = o
	if v.snapshot.Evacuated(m.Domain) {
		return
	}
	g := v.groups[m.Service]
	if g == nil {
		g = &group{domain: self.Domain, shift: previousShift(previous, m.Service)}
		v.groups[m.Service] = g
	}
	if o.self {
		g.self = o
	}
	if m.Domain == self.Domain {
		g.local = append(g.local, o)
		return
	}
	g.remote = append(g.remote, o)
}

// previousStats returns a member's stats in the previous view, or empty stats. That
// the former instance beside the member was draining doesn't hold for the next one.
func previousStats(previous *view, m state.Member) *stats {
	if previous == nil || previous.owners[m.ID] == nil {
		return &stats{}
	}
	old := previous.owners[m.ID]
	if !m.Instance.Same(old.member.Instance) {
		old.drainUntil.Store(0)
	}
	return old.stats
}

// previousShift returns the state of a service's shift in the previous view, or the
// initial one.
func previousShift(previous *view, service string) *shift {
	if previous == nil || previous.groups[service] == nil {
		return &shift{}
	}
	return previous.groups[service].shift
}
