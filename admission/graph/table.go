package graph

import (
	"cmp"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// levelTTL is how long a level remains valid without being renewed.
	levelTTL = 600 * time.Millisecond
	// memberExpiry is the age at which a member that sends no notices is removed.
	memberExpiry = 20 * time.Second
	// maxTreeDepth bounds the walk of the fan-out.
	maxTreeDepth = 8
)

// notice carries the admission level of a node's instance to all other nodes.
type notice struct {
	From    state.MemberID `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	// Level is in thousandths of a rank; negative when it admits all ranks.
	Level int `cbor:"3,keyasint"`
	// Capacity is the number of calls that the instance runs at once at its rate
	// limit; zero if it names none.
	Capacity int `cbor:"4,keyasint,omitempty"`
	// Collects is set if the node collects the demand on its service from entry
	// nodes.
	Collects bool          `cbor:"5,keyasint,omitempty"`
	Demand   *demandReport `cbor:"6,keyasint,omitempty"`
}

// memberLevel is the latest level received from a member.
type memberLevel struct {
	service    string
	level      float64
	capacity   int // zero: the member's slots
	admitsAll  bool
	collects   bool
	receivedAt time.Time
}

// levelTable holds the levels received from other nodes. It is not safe for
// concurrent use.
type levelTable struct {
	members map[state.MemberID]*memberLevel
}

func newLevelTable() *levelTable { return &levelTable{members: map[state.MemberID]*memberLevel{}} }

func (t *levelTable) record(n notice, now time.Time) {
	m := t.members[n.From]
	if m == nil {
		m = &memberLevel{}
		t.members[n.From] = m
	}
	m.service, m.receivedAt = n.Service, now
	m.admitsAll = n.Level < 0
	m.level = float64(n.Level) / 1000
	m.capacity = n.Capacity
	m.collects = n.Collects
}

// serviceLevel is the admission level of a service.
type serviceLevel struct {
	level float64
	// reported is the number of instances with a valid level, instances the number
	// of all instances of the service. oldestAge is the age of the oldest valid
	// level.
	reported, instances int
	oldestAge           time.Duration
}

// serviceLevel returns the mean level of a service's members, weighted by the calls
// that their instances can run at once. Members without a valid level count as
// admitting all ranks, that is, as top. Members with a rate limit count only if all have
// one: what doesn't fit there goes to the others as long as these have room.
func (t *levelTable) serviceLevel(service string, members []state.Member, top float64, now time.Time) serviceLevel {
	s := serviceLevel{instances: len(members)}
	var limited, others weightedMean
	for _, member := range members {
		level, weight := top, float64(cmp.Or(max(member.Slots, 0), defaultSlots))
		mean := &others
		if m := t.members[member.ID]; m != nil && m.service == service && now.Sub(m.receivedAt) <= levelTTL {
			s.reported++
			s.oldestAge = max(s.oldestAge, now.Sub(m.receivedAt))
			if !m.admitsAll {
				level = m.level
			}
			if m.capacity > 0 {
				weight, mean = float64(m.capacity), &limited
			}
		}
		mean.add(level, weight)
	}
	if s.reported == 0 {
		s.level = top
		return s
	}
	s.level = limited.value()
	if others.weight > 0 {
		s.level = others.value()
	}
	return s
}

// weightedMean accumulates a weighted mean.
type weightedMean struct{ sum, weight float64 }

func (m *weightedMean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
}

func (m *weightedMean) value() float64 { return m.sum / m.weight }

// expire removes members that no longer send notices.
func (t *levelTable) expire(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.receivedAt) > memberExpiry {
			delete(t.members, id)
		}
	}
}

// sameCalls reports whether every route of estimated calls the same routes in
// known. The numbers of calls are not compared.
func sameCalls(estimated, known state.Fanout) bool {
	for route, calls := range estimated {
		if len(calls) != len(known[route]) {
			return false
		}
		for call := range calls {
			if known[route][call] == 0 {
				return false
			}
		}
	}
	return true
}

// reachableServices returns, for each route, the services that its call tree
// reaches.
func reachableServices(fanout state.Fanout, serviceOf map[string]string) map[string][]string {
	out := make(map[string][]string, len(fanout))
	for route := range fanout {
		found := map[string]bool{}
		addReachable(route, fanout, serviceOf, found, maxTreeDepth)
		for service := range found {
			out[route] = append(out[route], service)
		}
	}
	return out
}

func addReachable(route string, fanout state.Fanout, serviceOf map[string]string, found map[string]bool, depth int) {
	if depth == 0 {
		return
	}
	for call := range fanout[route] {
		if service := serviceOf[call]; service != "" {
			found[service] = true
		}
		addReachable(call, fanout, serviceOf, found, depth-1)
	}
}
