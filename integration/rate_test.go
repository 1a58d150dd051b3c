package integration

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The limits of customer club in defaultFile.
const (
	clubRate  = 20.0 // requests per second
	clubBurst = 10.0 // requests
)

// headerMark names a request of a test to the upstreams.
const headerMark = "X-Mark"

const (
	rateCallers = 2 // for each node
	// ratePause keeps each caller at several times the customer's rate
	// without taking the processor.
	ratePause = 10 * time.Millisecond
)

// sentRequest is a request of the customer and the time that encloses the
// decision on it.
type sentRequest struct {
	mark string
	node *daemon
	sent time.Time
	// ended is the end of the test for a request without an answer.
	ended    time.Time
	answered bool
	notRun   bool
}

// hammer sends requests, whose marks begin with the prefix, to every node until
// stop is closed.
func hammer(nodes []*daemon, key, prefix string, stop <-chan struct{}) []sentRequest {
	var wg sync.WaitGroup
	logs := make([][]sentRequest, len(nodes)*rateCallers)
	for i := range logs {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(ratePause):
					logs[i] = append(logs[i], sendMarked(nodes[i%len(nodes)], key, fmt.Sprintf("%s%d-%d", prefix, i, n)))
				}
			}
		})
	}
	wg.Wait()
	return slices.Concat(logs...)
}

func sendMarked(d *daemon, key, mark string) sentRequest {
	s := sentRequest{mark: mark, node: d, sent: time.Now()}
	r := send(d, request{
		method: http.MethodGet, path: "/booker/bookings/" + mark, key: key,
		header: http.Header{headerMark: {mark}}, limit: 2 * time.Second,
	})
	s.answered = r.whole(mark)
	s.notRun = r.notRun()
	if r.err == nil {
		s.ended = time.Now()
	}
	return s
}

// ranMarks returns the marks of all requests that reached an upstream.
func (f *fleet) ranMarks() map[string]bool {
	marks := make(map[string]bool)
	for _, d := range f.daemons {
		for _, h := range d.upstream.RequestHeaders() {
			marks[h.Get(headerMark)] = true
		}
	}
	return marks
}

// checkRate checks the bound for every window of time. A request counts for a
// window only if it was sent and answered within, so the check holds however
// slow the machine is.
func checkRate(t *testing.T, ran []sentRequest) {
	t.Helper()
	slices.SortFunc(ran, func(a, b sentRequest) int { return a.ended.Compare(b.ended) })
	worst := 0.0
	for _, first := range ran {
		admitted := 0.0
		for _, r := range ran {
			if r.sent.Before(first.sent) {
				continue
			}
			admitted++
			bound := clubBurst + clubRate*r.ended.Sub(first.sent).Seconds()
			worst = max(worst, admitted-bound)
		}
	}
	if worst > 0 {
		t.Errorf("in the worst window %.1f requests more than burst and rate allow", worst)
	}
}

// TestRateHoldsWhileNodesFail has one customer send several times its rate to
// nodes of two failure domains while one is frozen across its leases and
// another is killed and replaced.
func TestRateHoldsWhileNodesFail(t *testing.T) {
	f := newFleet(t)
	first := f.start("booker", "a", daemonOptions{})
	o := daemonOptions{First: []string{first.control}}
	for _, domain := range []string{"b", "a", "b", "a", "b"} {
		f.start("booker", domain, o)
	}
	f.settle("a", "b")
	key, _ := f.issueKey(first, "club")
	stop := make(chan struct{})
	done := make(chan []sentRequest)
	begin := time.Now()
	nodes := slices.Clone(f.daemons)
	go func() { done <- hammer(nodes, key, "m", stop) }()

	frozen, killed := nodes[2], nodes[3]
	ranOnAny(t, f, 40)
	frozen.signal(syscall.SIGSTOP)
	killed.signal(syscall.SIGKILL)
	killed.awaitExit()
	time.Sleep(freezeFor)
	frozen.signal(syscall.SIGCONT)
	ranOnAny(t, f, 40)
	replacement := f.start("booker", killed.domain, o)
	go func() { done <- hammer([]*daemon{replacement}, key, "r", stop) }()
	back := time.Now()
	ranOnAny(t, f, 80)
	close(stop)
	sent := append(<-done, <-done...)
	end := time.Now()

	checkSent(t, f, sent, begin, end)
	checkServed(t, sent, back)
}

// ranOnAny waits until the upstreams together have run n more requests.
func ranOnAny(t *testing.T, f *fleet, n int) {
	t.Helper()
	before := len(f.ranMarks())
	eventually(t, "requests of the customer run", func() bool { return len(f.ranMarks()) >= before+n })
}

// checkSent compares what ran with the customer's limits.
func checkSent(t *testing.T, f *fleet, sent []sentRequest, begin, end time.Time) {
	t.Helper()
	marks := f.ranMarks()
	var ran []sentRequest
	for _, s := range sent {
		if s.answered && !marks[s.mark] {
			t.Errorf("%s was answered but did not run", s.mark)
		}
		if !marks[s.mark] {
			continue
		}
		if s.notRun {
			t.Errorf("%s ran although it was answered not-run", s.mark)
		}
		if s.ended.IsZero() {
			s.ended = end
		}
		ran = append(ran, s)
	}
	bound := clubBurst + clubRate*end.Sub(begin).Seconds()
	t.Logf("sent %d, ran %d, bound %.1f", len(sent), len(ran), bound)
	if float64(len(ran)) > bound {
		t.Errorf("%d requests ran, want at most %.1f", len(ran), bound)
	}
	checkRate(t, ran)
}

// checkServed makes sure that the customer is served in every failure domain
// after the faults.
func checkServed(t *testing.T, sent []sentRequest, since time.Time) {
	t.Helper()
	served := make(map[string]int)
	for _, s := range sent {
		if s.answered && s.sent.After(since) {
			served[s.node.domain]++
		}
	}
	for _, domain := range []string{"a", "b"} {
		if served[domain] == 0 {
			t.Errorf("nothing was served in failure domain %s after the faults", domain)
		}
	}
}
