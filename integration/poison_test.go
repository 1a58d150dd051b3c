package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/internal/standin"
)

// supervisor restarts a daemon's upstream at the same address whenever a request
// crashes it, and counts the crashes.
type supervisor struct {
	d       *daemon
	options standin.Options

	mu      sync.Mutex
	crashes int
	current *standin.Upstream
	stopped bool
}

// supervise starts supervising the upstream of a daemon.
func supervise(t *testing.T, d *daemon) *supervisor {
	t.Helper()
	s := &supervisor{
		d:       d,
		options: standin.Options{Service: d.service, Slots: 50, QueueLimit: 1000, Seed: 1},
		current: d.upstream,
	}
	s.restartOnCrash(d.upstream)
	t.Cleanup(s.stop)
	return s
}

// restartOnCrash makes a crash of the upstream restart it.
func (s *supervisor) restartOnCrash(u *standin.Upstream) {
	u.OnCrash = func() { go s.restart(u) }
	// RunsByKey takes the lock that every request takes before it may crash, so
	// that requests observe OnCrash.
	u.RunsByKey()
}

func (s *supervisor) restart(crashed *standin.Upstream) {
	crashed.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.current != crashed {
		return
	}
	s.crashes++
	u, err := standin.StartAt(s.options, crashed.Addr())
	if err != nil {
		s.d.t.Errorf("restart the upstream: %v", err)
		return
	}
	u.SetCallerAddr(s.d.callerAddr)
	s.current = u
	s.restartOnCrash(u)
}

func (s *supervisor) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.current.Close()
}

func (s *supervisor) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// maxCrashes is the number of instances that a repeatedly sent request may crash.
const maxCrashes = 2

// TestPoisonRequestIsQuarantined repeatedly sends a request that crashes the
// instance that runs it to all nodes, until it is quarantined. Other requests must
// still be served.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) { testPoisonRequest(t, method) })
	}
}

func testPoisonRequest(t *testing.T, method string) {
	f := newFleet(t)
	first := f.start("logbook", "a", daemonOptions{})
	o := daemonOptions{SeedPeers: []string{first.controlAddr}}
	f.start("logbook", "b", o)
	var supervisors []*supervisor
	for _, domain := range []string{"a", "b", "a", "b"} {
		supervisors = append(supervisors, supervise(t, f.start("booker", domain, o)))
	}
	f.applyDefaultConfig("a", "b")
	key, _ := f.issueKey(first, "farm")
	for _, d := range f.daemons {
		awaitHarmlessServed(t, d, method, key)
	}

	poison := func(d *daemon) response {
		return send(d, request{
			method: method, path: "/booker/bookings/poison", key: key, idempotencyKey: newIdempotencyKey(),
			header: http.Header{standin.HeaderPoison: {"1"}},
		})
	}
	sent := 0
	eventually(t, "the request is quarantined", func() bool {
		sent++
		r := poison(f.daemons[sent%len(f.daemons)])
		return r.reason == "quarantine" && r.notRun()
	})
	checkQuarantined(t, f, poison)
	for _, d := range f.daemons {
		awaitHarmlessServed(t, d, method, key)
	}
	checkHarmlessServed(t, f, method, key)
	checkQuarantined(t, f, poison)
	crashes := 0
	for _, s := range supervisors {
		crashes += s.crashCount()
	}
	if crashes < 1 || crashes > maxCrashes {
		t.Errorf("%d instances crashed, want 1 to %d", crashes, maxCrashes)
	}
	t.Logf("%d instances crashed in %d requests", crashes, sent)
}

// checkQuarantined checks that every node refuses the request as quarantined.
func checkQuarantined(t *testing.T, f *fleet, poison func(*daemon) response) {
	t.Helper()
	for range 5 {
		for _, d := range f.daemons {
			r := poison(d)
			if r.status != http.StatusServiceUnavailable || r.reason != "quarantine" || !r.notRun() {
				t.Errorf("a node of %s in %s answered %d %s %s, want 503 quarantine not-run",
					d.service, d.domain, r.status, r.reason, r.outcome)
			}
		}
	}
}

// sendHarmless sends a request that crashes no instance.
func sendHarmless(d *daemon, method, key, id string) response {
	return send(d, request{method: method, path: "/booker/bookings/" + id, key: key, idempotencyKey: newIdempotencyKey()})
}

// settledStreak is the number of consecutive requests that a node must serve to
// count as settled: some shards refuse keys for a while after the first
// configuration comes into force.
const settledStreak = 30

func awaitHarmlessServed(t *testing.T, d *daemon, method, key string) {
	t.Helper()
	streak := 0
	eventually(t, "harmless requests are served", func() bool {
		streak++
		if !sendHarmless(d, method, key, "w").complete("w") {
			streak = 0
		}
		return streak >= settledStreak
	})
}

// checkHarmlessServed checks that harmless requests get complete responses.
func checkHarmlessServed(t *testing.T, f *fleet, method, key string) {
	t.Helper()
	for i, d := range f.daemons {
		for n := range 20 {
			id := fmt.Sprintf("o%d-%d", i, n)
			if r := sendHarmless(d, method, key, id); !r.complete(id) {
				t.Errorf("harmless request got %d %s %s (%v)", r.status, r.reason, r.outcome, r.err)
			}
		}
	}
}
