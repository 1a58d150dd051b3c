package experiment

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/standin"
	"github.com/gooseberryflow/gooseberryflow/peer"
)

const (
	callsPerSecond = 330
	latencyRounds  = 3
	callsPerRound  = 1000 // per round and path
	maxLatencyUS   = 10_000_000
)

// pairDeployment has one instance of each of two services, so that a call that
// enters at the first service's node always crosses to the other node.
func pairDeployment() Deployment {
	return Deployment{
		Name:    "pair",
		Domains: []string{"a"},
		Services: []Service{
			{Name: "front", Instances: 1, Slots: 10, QueueLimit: 10},
			{Name: "echo", Instances: 1, Slots: 100, QueueLimit: 100, Operations: []standin.Operation{{Prefix: "/"}}},
		},
		Routes:    []Route{{"echo", "echo", "GET", "/echo/{id}", true, config.PriorityNormal}},
		Requests:  []Request{{Route: "echo", Share: 1, TreeSize: 1}},
		Customers: []Customer{{Name: "customer-1", Demand: callsPerSecond, Rate: 1e5, Burst: 1e5}},
		Deadline:  5 * time.Second,
	}
}

// BenchmarkAddedLatency compares direct calls of the upstream with calls through
// nodes over each transport, in interleaved rounds.
func BenchmarkAddedLatency(b *testing.B) {
	transports := []peer.Transport{peer.TransportTLS, peer.TransportQUIC, peer.TransportQUICStream}
	fleets := make(map[peer.Transport]*Fleet)
	for _, transport := range transports {
		fleet, err := Start(context.Background(), FleetOptions{
			Deployment: pairDeployment(),
			Chain:      FullChain,
			Transport:  transport,
			Logger:     slog.New(slog.DiscardHandler),
		})
		if err != nil {
			b.Fatal(err)
		}
		defer fleet.Stop()
		if err := fleet.warmUp(context.Background()); err != nil {
			b.Fatal(err)
		}
		fleets[transport] = fleet
	}
	histograms := make(map[string]*hdrhistogram.Histogram)
	record := func(name, url, key string) {
		if histograms[name] == nil {
			histograms[name] = hdrhistogram.New(1, maxLatencyUS, 3)
		}
		timeCalls(b, url, key, histograms[name])
	}
	for b.Loop() {
		for range latencyRounds {
			for _, transport := range transports {
				fleet := fleets[transport]
				key := fleet.Keys["customer-1"]
				record("direct", "http://"+fleet.InstancesOf("echo")[0].Upstream.Addr()+"/echo/1", key)
				record(string(transport), "http://"+fleet.InstancesOf("front")[0].Node.Member().CallerAddr+"/echo/echo/1", key)
				record(string(transport)+"-same-node", "http://"+fleet.InstancesOf("echo")[0].Node.Member().CallerAddr+"/echo/echo/1", key)
			}
		}
	}
	direct := histograms["direct"]
	for name, h := range histograms {
		b.ReportMetric(float64(h.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), name+"-added-p50-us")
		b.ReportMetric(float64(h.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), name+"-added-p99-us")
	}
	b.ReportMetric(float64(direct.ValueAtQuantile(99)), "direct-p99-us")
}

// timeCalls sends calls at random times with a fixed mean rate and records their
// latencies.
func timeCalls(b *testing.B, url, key string, h *hdrhistogram.Histogram) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callsPerRound {
		time.Sleep(exponential(rng, callsPerSecond))
		wg.Go(func() {
			took, ok := timeCall(client, url, key)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				b.Errorf("a call of %s failed or got no status 200", url)
				return
			}
			_ = h.RecordValue(took.Microseconds())
		})
	}
	wg.Wait()
}

func timeCall(client *http.Client, url, key string) (time.Duration, bool) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(started), err == nil && resp.StatusCode == http.StatusOK
}
