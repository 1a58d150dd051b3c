package node

import (
	"expvar"
	"sync/atomic"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/peer"
)

// metrics holds the node's own metrics; the names are documented in
// docs/OPERATIONS.md. All except the gauge inFlight count since the start of the
// process.
type metrics struct {
	vars             *expvar.Map
	requests         *expvar.Int
	outcomes         *expvar.Map
	reasons          *expvar.Map
	upstreamCalls    *expvar.Int
	upstreamFailures *expvar.Int
	forwarded        *expvar.Int
	inFlight         *expvar.Int
	panics           *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{
		vars:             new(expvar.Map).Init(),
		requests:         new(expvar.Int),
		outcomes:         new(expvar.Map).Init(),
		reasons:          new(expvar.Map).Init(),
		upstreamCalls:    new(expvar.Int),
		upstreamFailures: new(expvar.Int),
		forwarded:        new(expvar.Int),
		inFlight:         new(expvar.Int),
		panics:           new(expvar.Int),
	}
	m.vars.Set("requests_total", m.requests)
	m.vars.Set("outcomes_total", m.outcomes)
	m.vars.Set("refusals_total", m.reasons)
	m.vars.Set("upstream_calls_total", m.upstreamCalls)
	m.vars.Set("upstream_failures_total", m.upstreamFailures)
	m.vars.Set("forwarded_calls_total", m.forwarded)
	m.vars.Set("owner_calls_in_flight", m.inFlight)
	m.vars.Set("recovered_panics_total", m.panics)
	return m
}

// addTraffic publishes the counts of bytes and frames between nodes.
func (m *metrics) addTraffic(name string, t *peer.Traffic) {
	counters := map[string]*atomic.Int64{
		"_frames_sent_total":     &t.FramesSent,
		"_frames_received_total": &t.FramesReceived,
		"_bytes_sent_total":      &t.BytesSent,
		"_bytes_received_total":  &t.BytesReceived,
	}
	for suffix, c := range counters {
		m.vars.Set(name+suffix, expvar.Func(func() any { return c.Load() }))
	}
}

// count counts a request by the outcome and reason of its result.
func (m *metrics) count(r *kernel.Result) {
	m.requests.Add(1)
	m.outcomes.Add(r.Outcome.String(), 1)
	if r.Reason != "" {
		m.reasons.Add(string(r.Reason), 1)
	}
}
