package soak

import (
	"testing"
	"time"
)

const (
	// coldFor and coldPerS describe the cold start of all services. An instance falls over
	// well above the rate, as standin.Instance.ColdBound says.
	coldFor  = 3 * time.Second
	coldPerS = 7.5
	// evacuateWithin is the time from the acknowledgement of an evacuation, or from the
	// end of a fault that keeps a node from learning of it, until nothing more may reach
	// the failure domain.
	evacuateWithin = 5 * time.Second
)

// overload records that a cold instance got more than it bears.
type overload struct {
	node, arrivals int
	at             time.Time
}

// evacuation records the evacuation of a failure domain by the operator.
type evacuation struct {
	domain string
	interval
}

// recordOutage records a fault that keeps nodes from learning of changes: one node or,
// if it is negative, any.
func (x *faultInjector) recordOutage(node int, from, to time.Time) {
	x.recordFault(node, from, to)
	h := x.f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outages[node] = append(h.outages[node], interval{from, to})
}

// restartInstance ends an instance, which comes back cold under its ID.
func (x *faultInjector) restartInstance(e event, n *node) {
	from := time.Now()
	n.instance.Restart()
	time.Sleep(e.duration)
	x.recordFault(-1, from, time.Now())
}

// evacuate evacuates the failure domain of a node for the time allowed and that of the
// event. Evacuations of one domain don't overlap.
func (x *faultInjector) evacuate(e event, n *node) {
	mu := x.evacuateMu[n.domain]
	mu.Lock()
	defer mu.Unlock()
	x.setEvacuated(n.domain, true)
	written := time.Now()
	time.Sleep(evacuateWithin + e.duration)
	h := x.f.history
	h.mu.Lock()
	h.evacuations = append(h.evacuations, evacuation{n.domain, interval{written, time.Now()}})
	h.mu.Unlock()
	x.setEvacuated(n.domain, false)
}

// setEvacuated writes or deletes the record of an evacuation. The operator does so only
// while the store acknowledges writes.
func (x *faultInjector) setEvacuated(domain string, evacuated bool) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
	x.evacuated[domain] = evacuated
	x.writeEvacuations()
}

// writeEvacuations writes the records of all failure domains. x.configMu is held.
func (x *faultInjector) writeEvacuations() {
	for domain, evacuated := range x.evacuated {
		if evacuated {
			x.f.store.Evacuate(domain)
		} else {
			x.f.store.EndEvacuation(domain)
		}
	}
}

// checkEvacuations finds requests that reached an instance of an evacuated failure
// domain later than allowed.
func (h *history) checkEvacuations(report reportFunc) {
	for _, e := range h.evacuations {
		for node, times := range h.nodeArrivals {
			if h.domains[node] != e.domain {
				continue
			}
			for _, at := range times {
				if at.After(e.to) || !at.After(e.from.Add(evacuateWithin+harnessSlack)) || h.outage(node, at.Add(-evacuateWithin-harnessSlack), at) {
					continue
				}
				report("evacuated", "a request reached node %d %s after the evacuation of %s was acknowledged", node, at.Sub(e.from), e.domain)
			}
		}
	}
}

// outage reports whether a fault has kept a node from learning of changes.
func (h *history) outage(node int, from, to time.Time) bool {
	for _, n := range []int{-1, node} {
		for _, f := range h.outages[n] {
			if f.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

func (h *history) recordOverload(o overload) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overloads = append(h.overloads, o)
}

// checkCold reports the seconds in which a cold instance got more than it bears.
func (h *history) checkCold(report reportFunc) {
	for _, o := range h.overloads {
		report("cold", "%d requests in a second at the cold instance of node %d at %s", o.arrivals, o.node, o.at.Format(time.StampMilli))
	}
}

// Guards against a cold instance being overloaded, and an evacuation not being kept, when
// other faults overlap with them.
func TestSoakColdReturnsAndEvacuations(t *testing.T) {
	const start = time.Second
	cold := func(node int, at time.Duration) event {
		return event{kind: "cold-return", node: node, start: at, duration: coldFor}
	}
	evacuated := func(node int, at time.Duration) event {
		return event{kind: "evacuate", node: node, start: at, duration: maxFaultDuration}
	}
	cases := map[string][]event{
		"kills": {
			cold(0, start), cold(1, start), {kind: "kill", node: 0, start: 1500 * time.Millisecond, duration: time.Second},
			{kind: "kill", node: 1, start: 2 * time.Second, duration: time.Second}, {kind: "stop", node: 0, start: 3 * time.Second},
		},
		"cuts": {
			cold(2, start), cold(3, 2*time.Second), {kind: "link-cut", node: 2, start: start, duration: maxFaultDuration},
			{kind: "link-reset", node: 3, start: 2500 * time.Millisecond}, {kind: "pause", node: 2, start: 1200 * time.Millisecond, duration: time.Second},
		},
		"store away": {
			{kind: "store-silent", start: start, duration: maxFaultDuration}, cold(0, 1500*time.Millisecond), cold(5, 2*time.Second),
			{kind: "kill", node: 0, start: 2 * time.Second, duration: time.Second},
		},
		"emptied domain": {
			evacuated(0, start), cold(0, 2*time.Second), cold(3, 3*time.Second), {kind: "kill", node: 0, start: 7 * time.Second, duration: time.Second},
			{kind: "change", start: 3 * time.Second}, {kind: "kill", node: 2, start: 3 * time.Second, duration: time.Second},
		},
		"two emptied domains": {
			evacuated(0, start), evacuated(2, 2*time.Second), {kind: "store-cut", node: 0, start: 500 * time.Millisecond, duration: maxFaultDuration},
			{kind: "store-restored", start: 6 * time.Second, duration: maxFaultDuration}, cold(4, 4*time.Second),
		},
	}
	slots := make(chan struct{}, *maxParallel)
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			reportViolations(t, runSchedule(t, 1, defaultOptions(), events))
		})
	}
}
