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

// markHeader carries the mark that identifies a request at the upstreams.
const markHeader = "X-Mark"

const (
	rateCallers = 2 // for each node
	// ratePause lets each caller send several times the customer's rate without
	// taking all CPU time.
	ratePause = 10 * time.Millisecond
)

// sentRequest records a request of the customer. It was admitted or refused
// between sent and ended.
type sentRequest struct {
	mark string
	node *daemon
	sent time.Time
	// ended is the end of the test if there was no response.
	ended    time.Time
	answered bool // with a complete response
	notRun   bool
}

// sendContinuously sends requests, whose marks begin with the prefix, to every
// node until stop is closed.
func sendContinuously(nodes []*daemon, key, prefix string, stop <-chan struct{}) []sentRequest {
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
		header: http.Header{markHeader: {mark}}, timeout: 2 * time.Second,
	})
	s.answered = r.complete(mark)
	s.notRun = r.notRun()
	if r.err == nil {
		s.ended = time.Now()
	}
	return s
}

// executedMarks returns the marks of all requests that reached an upstream.
func (f *fleet) executedMarks() map[string]bool {
	marks := make(map[string]bool)
	for _, d := range f.daemons {
		for _, h := range d.upstream.RequestHeaders() {
			marks[h.Get(markHeader)] = true
		}
	}
	return marks
}

// checkRateWindows checks the bound for every window of time. A request counts for
// a window only if it was sent and answered within the window, so the check is
// valid however slow the machine is.
func checkRateWindows(t *testing.T, executed []sentRequest) {
	t.Helper()
	slices.SortFunc(executed, func(a, b sentRequest) int { return a.ended.Compare(b.ended) })
	worstExcess := 0.0
	for _, earliest := range executed {
		admitted := 0.0
		for _, r := range executed {
			if r.sent.Before(earliest.sent) {
				continue
			}
			admitted++
			bound := clubBurst + clubRate*r.ended.Sub(earliest.sent).Seconds()
			worstExcess = max(worstExcess, admitted-bound)
		}
	}
	if worstExcess > 0 {
		t.Errorf("worst window has %.1f requests more than burst and rate allow", worstExcess)
	}
}

// TestRateHoldsWhileNodesFail has one customer send several times its rate to
// nodes of two failure domains while one node is frozen until its leases have
// expired and another is killed and replaced.
func TestRateHoldsWhileNodesFail(t *testing.T) {
	f := newFleet(t)
	first := f.start("booker", "a", daemonOptions{})
	o := daemonOptions{SeedPeers: []string{first.controlAddr}}
	for _, domain := range []string{"b", "a", "b", "a", "b"} {
		f.start("booker", domain, o)
	}
	f.applyDefaultConfig("a", "b")
	key, _ := f.issueKey(first, "club")
	stop := make(chan struct{})
	done := make(chan []sentRequest)
	begin := time.Now()
	nodes := slices.Clone(f.daemons)
	go func() { done <- sendContinuously(nodes, key, "m", stop) }()

	frozen, killed := nodes[2], nodes[3]
	awaitRunsOnAny(t, f, 40)
	frozen.signal(syscall.SIGSTOP)
	killed.signal(syscall.SIGKILL)
	killed.awaitExit()
	time.Sleep(freezeDuration)
	frozen.signal(syscall.SIGCONT)
	awaitRunsOnAny(t, f, 40)
	replacement := f.start("booker", killed.domain, o)
	go func() { done <- sendContinuously([]*daemon{replacement}, key, "r", stop) }()
	replaced := time.Now()
	awaitRunsOnAny(t, f, 80)
	close(stop)
	sent := append(<-done, <-done...)
	end := time.Now()

	checkExecuted(t, f, sent, begin, end)
	checkServedAfterFaults(t, sent, replaced)
}

// awaitRunsOnAny waits until the upstreams together have run more requests.
func awaitRunsOnAny(t *testing.T, f *fleet, more int) {
	t.Helper()
	before := len(f.executedMarks())
	eventually(t, "requests of the customer run", func() bool { return len(f.executedMarks()) >= before+more })
}

// checkExecuted compares the executed requests with the customer's limits and with
// the responses.
func checkExecuted(t *testing.T, f *fleet, sent []sentRequest, begin, end time.Time) {
	t.Helper()
	executed := f.executedMarks()
	var ran []sentRequest
	for _, s := range sent {
		if s.answered && !executed[s.mark] {
			t.Errorf("%s got a complete response but did not run", s.mark)
		}
		if !executed[s.mark] {
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
	checkRateWindows(t, ran)
}

// checkServedAfterFaults checks that the customer is served in every failure domain
// after the faults.
func checkServedAfterFaults(t *testing.T, sent []sentRequest, since time.Time) {
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
