package state

import (
	"sort"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// Snapshot is the state after a log prefix. It is immutable: every change creates
// a new value, published with an atomic pointer (read-copy-update).
type Snapshot struct {
	// Offset is the first log offset that has not been applied.
	Offset uint64
	// Version is the number of the configuration in force; zero means none.
	Version  uint64
	ChangeID string
	Config   *config.Config
	// File is the source text of the configuration in force.
	File []byte
	// Keys holds every issued key by ID, from the file and from key records.
	Keys map[string]config.Key
	// Withdrawn holds the IDs of withdrawn keys. IDs are never removed.
	Withdrawn map[string]bool
	// Members holds the live incarnations, Ended the ended ones.
	Members map[MemberID]Member
	Ended   map[MemberID]bool
	// LogContact is the local time just before the latest read of the log's head
	// whose records are all contained in this snapshot. Every record that is not
	// in the snapshot was appended after LogContact. Zero means that there was no
	// such read.
	LogContact time.Time
	// Events lists recent changes of the roster in log order. Seq increases by one
	// per event. A reader that finds a gap must assume that it missed changes.
	Events []RosterEvent
	// Pools holds the owners of the partitions of customers' rate pools. Nodes is
	// the number of known nodes, with and without an instance. Both are set only
	// if package directory maintains the state.
	Pools map[int]PoolOwner
	Nodes int
	// Fanout is the mean of the nodes' measurements. It holds the calls that at
	// least half of the nodes with measurements of the route have found.
	Fanout Fanout
	// Evacuations holds the failure domains to whose instances nothing may be sent. The
	// map is never changed.
	Evacuations map[string]Evacuation

	byDomain  map[string][]Member
	byService map[string][]Member
	routes    map[string][]config.Route
	customers map[string]config.Customer
}

// Evacuation is the operators' request that nothing is sent to the instances of a
// failure domain, with the position of its record in the store.
type Evacuation struct {
	Offset      uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Fanout maps a route to the nested calls that one run of it makes: for each
// called route, the number of calls in thousandths.
type Fanout map[string]map[string]int

// Term orders successive ownerships of a partition: by the incarnation of the store
// that assigned it, then by the generation, which increases within an incarnation.
type Term struct {
	Incarnation uint64
	Generation  uint64
}

// Before reports whether t was assigned before u.
func (t Term) Before(u Term) bool {
	if t.Incarnation != u.Incarnation {
		return t.Incarnation < u.Incarnation
	}
	return t.Generation < u.Generation
}

// PoolOwner is the owner of a partition of customers' rate pools.
type PoolOwner struct {
	Member Member
	// Term is the term of the ownership.
	Term Term
}

// RosterEvent is one change of the roster.
type RosterEvent struct {
	Seq    uint64
	Member Member
	// Ended is false for an announcement, true for the end of an incarnation.
	Ended bool
	// Observed is the local time at which this node applied the change.
	Observed time.Time
}

// Domain returns the members of a failure domain ordered by ID.
func (s *Snapshot) Domain(name string) []Member { return s.byDomain[name] }

// Service returns the members of a service ordered by ID.
func (s *Snapshot) Service(name string) []Member { return s.byService[name] }

// Evacuated reports whether nothing may be sent to the instances of a failure domain.
func (s *Snapshot) Evacuated(domain string) bool {
	_, evacuated := s.Evacuations[domain]
	return evacuated
}

// AvailableMembers returns the members of a service outside of evacuated failure
// domains, ordered by ID.
func (s *Snapshot) AvailableMembers(service string) []Member {
	members := s.byService[service]
	if len(s.Evacuations) == 0 {
		return members
	}
	available := make([]Member, 0, len(members))
	for _, m := range members {
		if !s.Evacuated(m.Domain) {
			available = append(available, m)
		}
	}
	return available
}

// Domains returns the names of the failure domains with members, sorted.
func (s *Snapshot) Domains() []string {
	names := make([]string, 0, len(s.byDomain))
	for name := range s.byDomain {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Routes returns the routes of a service in file order.
func (s *Snapshot) Routes(service string) []config.Route { return s.routes[service] }

// Customer returns a customer by name.
func (s *Snapshot) Customer(name string) (config.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Index returns a copy of s with its lookup tables rebuilt from its exported
// fields. Call it after the fields have been set and before publishing.
func (s *Snapshot) Index() *Snapshot {
	n := *s
	n.byDomain = make(map[string][]Member)
	n.byService = make(map[string][]Member)
	for _, m := range n.Members {
		n.byDomain[m.Domain] = append(n.byDomain[m.Domain], m)
		n.byService[m.Service] = append(n.byService[m.Service], m)
	}
	sortMembers(n.byDomain)
	sortMembers(n.byService)
	n.routes = make(map[string][]config.Route)
	n.customers = make(map[string]config.Customer)
	if n.Config == nil {
		return &n
	}
	for _, r := range n.Config.Routes {
		n.routes[r.Service] = append(n.routes[r.Service], r)
	}
	for _, c := range n.Config.Customers {
		n.customers[c.Name] = c
	}
	return &n
}

func sortMembers(groups map[string][]Member) {
	for _, g := range groups {
		sort.Slice(g, func(i, j int) bool { return g[i].ID < g[j].ID })
	}
}
