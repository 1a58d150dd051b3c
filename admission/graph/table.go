package graph

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// levelTerm is how long a level holds without being renewed.
	levelTerm = 600 * time.Millisecond
	// forgetAfter is the age at which a member that tells nothing is forgotten.
	forgetAfter = 20 * time.Second
	// maxDepth bounds the walk of the needs.
	maxDepth = 8
)

// notice is what a node tells all others of its instance.
type notice struct {
	From    state.MemberID `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	// Level is in thousandths of a rank; negative when it admits all.
	Level int `cbor:"3,keyasint"`
}

type heard struct {
	service string
	level   float64
	open    bool
	at      time.Time
}

// table holds what other nodes have told. It is not safe for concurrent use.
type table struct {
	members map[state.MemberID]*heard
}

func newTable() *table { return &table{members: map[state.MemberID]*heard{}} }

func (t *table) take(n notice, now time.Time) {
	h := t.members[n.From]
	if h == nil {
		h = &heard{}
		t.members[n.From] = h
	}
	h.service, h.at = n.Service, now
	h.open = n.Level < 0
	h.level = float64(n.Level) / 1000
}

// standing is what is known of the level of a service.
type standing struct {
	level float64
	// told of its instances have told a level of late, the oldest of them age ago.
	told, instances int
	age             time.Duration
}

// standing returns the mean level of a service's instances; instances that have
// told nothing of late admit all, that is top.
func (t *table) standing(service string, instances int, top float64, now time.Time) standing {
	s := standing{instances: instances}
	sum := 0.0
	for _, h := range t.members {
		if h.service != service || now.Sub(h.at) > levelTerm {
			continue
		}
		s.told++
		s.age = max(s.age, now.Sub(h.at))
		if h.open {
			sum += top
		} else {
			sum += h.level
		}
	}
	if s.told == 0 {
		s.level = top
		return s
	}
	silent := max(instances-s.told, 0)
	s.level = (sum + float64(silent)*top) / float64(s.told+silent)
	return s
}

// forget drops members that tell nothing any more.
func (t *table) forget(now time.Time) {
	for id, h := range t.members {
		if now.Sub(h.at) > forgetAfter {
			delete(t.members, id)
		}
	}
}

// sameCalls reports whether all routes of some needs make the calls that are
// known of them, whatever their numbers.
func sameCalls(own, known state.Fanout) bool {
	for route, calls := range own {
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

// trees returns the services that the trees of each route reach.
func trees(needs state.Fanout, serviceOf map[string]string) map[string][]string {
	out := make(map[string][]string, len(needs))
	for route := range needs {
		found := map[string]bool{}
		walk(route, needs, serviceOf, found, maxDepth)
		for service := range found {
			out[route] = append(out[route], service)
		}
	}
	return out
}

func walk(route string, needs state.Fanout, serviceOf map[string]string, found map[string]bool, depth int) {
	if depth == 0 {
		return
	}
	for call := range needs[route] {
		if service := serviceOf[call]; service != "" {
			found[service] = true
		}
		walk(call, needs, serviceOf, found, depth-1)
	}
}
