package sidecar

import (
	"bytes"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryflow/gooseberryflow/coldstart"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Range of the latency histograms in microseconds, and their precision in
// significant digits.
const (
	latencyMinUS   = 100
	latencyMaxUS   = 60_000_000
	latencyDigits  = 1
	microsPerMilli = 1000
)

// metrics holds the node's gauges and its counters since the start of the
// process. The names are documented in docs/OPERATIONS.md.
type metrics struct {
	vars             *expvar.Map
	outcomes         *expvar.Map
	reasons          *expvar.Map
	crossDomainCalls *expvar.Int

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram // by route
}

func newMetrics() *metrics {
	m := &metrics{
		vars:             new(expvar.Map).Init(),
		outcomes:         new(expvar.Map).Init(),
		reasons:          new(expvar.Map).Init(),
		crossDomainCalls: new(expvar.Int),
		latencies:        map[string]*hdrhistogram.Histogram{},
	}
	m.vars.Set("outcomes_total", m.outcomes)
	m.vars.Set("reasons_total", m.reasons)
	m.vars.Set("calls_across_domains_total", m.crossDomainCalls)
	return m
}

// registerGauges publishes values that are read from the node on each request
// for metrics.
func (m *metrics) registerGauges(n *Node) {
	gauge := func(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }
	gauge("config_version", func() any { return n.Snapshot().Version })
	gauge("config_age_ms", func() any { return n.ConfigAge().Milliseconds() })
	gauge("store_incarnation", func() any { known, _ := n.directory.Incarnation(); return known })
	gauge("store_incarnation_age_ms", func() any { _, age := n.directory.Incarnation(); return age.Milliseconds() })
	gauge("invalid_records_total", func() any { return n.directory.InvalidRecords.Load() })
	gauge("members", func() any { return len(n.Snapshot().Members) })
	gauge("in_flight", func() any { return n.inFlight.Load() })
	gauge("instance_rate_limit", func() any { return n.selfReport.RateLimit() })
	gauge("instance_cold_phase", func() any { return coldstart.Phase(n.coldPhase.Load()).String() })
	gauge("evacuated_domains", func() any { return len(n.Snapshot().Evacuations) })
	gauge("instance_evacuated", func() any { return n.Snapshot().Evacuated(n.settings.Domain) })
	gauge("instance_leaving", func() any { return n.selfReport.Leaving() })
	gauge("node_bytes_sent_total", func() any { return n.network.CallTraffic.BytesSent.Load() })
	gauge("node_bytes_received_total", func() any { return n.network.CallTraffic.BytesReceived.Load() })
	m.vars.Set("node_messages_sent_total", &n.network.Sent)
	gauge("latency_ms", func() any { return m.quantiles() })
}

// observe counts a call by its result and records its latency if an instance
// answered it.
func (m *metrics) observe(c *kernel.Call, r *kernel.Result, took time.Duration) {
	m.outcomes.Add(r.Outcome.String(), 1)
	if r.Reason != "" {
		m.reasons.Add(string(r.Reason), 1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latencies[c.RouteName]
	if h == nil {
		h = hdrhistogram.New(latencyMinUS, latencyMaxUS, latencyDigits)
		m.latencies[c.RouteName] = h
	}
	// Values outside the range are counted at its nearest end.
	_ = h.RecordValue(min(max(took.Microseconds(), latencyMinUS), latencyMaxUS))
}

// quantiles holds the latency quantiles of a route in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
}

func (m *metrics) quantiles() map[string]quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]quantiles, len(m.latencies))
	for route, h := range m.latencies {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
		out[route] = quantiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99)}
	}
	return out
}

// Publish adds a variable to the node's metrics.
func (n *Node) Publish(name string, v expvar.Var) { n.metrics.vars.Set(name, v) }

// ServeMetrics writes the metrics as JSON.
func (n *Node) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	var b bytes.Buffer
	b.WriteString(n.metrics.vars.String())
	_, _ = w.Write(b.Bytes()) // fails only when the reader has disconnected
}
