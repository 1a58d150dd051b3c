package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/internal/standin"
)

// supervisor restarts a daemon's upstream at its address whenever a request
// takes it down, and counts how often that happened.
type supervisor struct {
	d       *daemon
	options standin.Options

	mu      sync.Mutex
	crashes int
	current *standin.Upstream
	ended   bool
}

// supervise takes charge of the upstream beside a daemon.
func supervise(t *testing.T, d *daemon) *supervisor {
	t.Helper()
	s := &supervisor{
		d:       d,
		options: standin.Options{Service: d.service, Slots: 50, QueueLimit: 1000, Seed: 1},
		current: d.upstream,
	}
	s.watch(d.upstream)
	t.Cleanup(s.end)
	return s
}

func (s *supervisor) watch(u *standin.Upstream) {
	u.OnCrash = func() { go s.restart(u) }
	// Runs takes the lock that every request takes before it may crash, so
	// requests see OnCrash.
	u.RunsByKey()
}

func (s *supervisor) restart(crashed *standin.Upstream) {
	crashed.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.current != crashed {
		return
	}
	s.crashes++
	u, err := standin.StartAt(s.options, crashed.Addr())
	if err != nil {
		s.d.t.Errorf("restart the upstream: %v", err)
		return
	}
	u.SetCallerAddr(s.d.caller)
	s.current = u
	s.watch(u)
}

func (s *supervisor) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.current.Close()
}

func (s *supervisor) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// crashesAllowed is how many instances a request that is sent again and again
// may take down.
const crashesAllowed = 2

// TestPoisonRequestIsQuarantined sends a request that takes down the instance
// that runs it again and again to all nodes.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) { testPoison(t, method) })
	}
}

func testPoison(t *testing.T, method string) {
	f := newFleet(t)
	first := f.start("logbook", "a", daemonOptions{})
	o := daemonOptions{First: []string{first.control}}
	f.start("logbook", "b", o)
	var supervisors []*supervisor
	for _, domain := range []string{"a", "b", "a", "b"} {
		supervisors = append(supervisors, supervise(t, f.start("booker", domain, o)))
	}
	f.settle("a", "b")
	key, _ := f.issueKey(first, "farm")
	for _, d := range f.daemons {
		awaitBystander(t, d, method, key)
	}

	poison := func(d *daemon) reply {
		return send(d, request{
			method: method, path: "/booker/bookings/poison", key: key, idem: newKey(),
			header: http.Header{standin.HeaderPoison: {"1"}},
		})
	}
	next := 0
	eventually(t, "the request is quarantined", func() bool {
		next++
		r := poison(f.daemons[next%len(f.daemons)])
		return r.reason == "quarantine" && r.notRun()
	})
	checkQuarantined(t, f, poison)
	for _, d := range f.daemons {
		awaitBystander(t, d, method, key)
	}
	checkBystanders(t, f, method, key)
	checkQuarantined(t, f, poison)
	crashes := 0
	for _, s := range supervisors {
		crashes += s.count()
	}
	if crashes < 1 || crashes > crashesAllowed {
		t.Errorf("%d instances went down, want 1 to %d", crashes, crashesAllowed)
	}
	t.Logf("%d instances went down in %d requests", crashes, next)
}

// checkQuarantined resends the request at every node.
func checkQuarantined(t *testing.T, f *fleet, poison func(*daemon) reply) {
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

// bystander sends a harmless request.
func bystander(d *daemon, method, key, id string) reply {
	return send(d, request{method: method, path: "/booker/bookings/" + id, key: key, idem: newKey()})
}

// settledStreak is how many requests in a row must be served by a node until
// it counts as settled: some shards refuse keys for a while after the first
// configuration comes into force.
const settledStreak = 30

func awaitBystander(t *testing.T, d *daemon, method, key string) {
	t.Helper()
	streak := 0
	eventually(t, "other requests are served", func() bool {
		streak++
		if !bystander(d, method, key, "w").whole("w") {
			streak = 0
		}
		return streak >= settledStreak
	})
}

// checkBystanders makes sure that other requests are served whole.
func checkBystanders(t *testing.T, f *fleet, method, key string) {
	t.Helper()
	for i, d := range f.daemons {
		for n := range 20 {
			id := fmt.Sprintf("o%d-%d", i, n)
			if r := bystander(d, method, key, id); !r.whole(id) {
				t.Errorf("another request got %d %s %s (%v)", r.status, r.reason, r.outcome, r.err)
			}
		}
	}
}
