package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/standin"
)

// attemptLog is what the callers were told about one idempotency key.
type attemptLog struct {
	idem string
	// open is set once any attempt's outcome may be that it ran.
	open     bool
	answered int
}

// bookings sends bookings from several callers until stop is closed. A caller
// resends a key at other nodes until it gets a final answer or runs out of
// tries, also after "unknown" and broken connections.
func bookings(entries []*daemon, key string, seed uint64, stop <-chan struct{}) []attemptLog {
	const callers = 12
	logs := make([][]attemptLog, callers)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				logs[c] = append(logs[c], book(entries, key, fmt.Sprintf("c%d-%d", c, i), rng))
			}
		})
	}
	wg.Wait()
	var all []attemptLog
	for _, l := range logs {
		all = append(all, l...)
	}
	return all
}

const bookingTries = 4

func book(entries []*daemon, key, id string, rng *rand.Rand) attemptLog {
	l := attemptLog{idem: newKey()}
	for range bookingTries {
		r := send(entries[rng.IntN(len(entries))], request{
			method: http.MethodPost, path: "/booker/bookings/" + id, key: key, idem: l.idem, limit: 4 * time.Second,
		})
		if !r.notRun() {
			l.open = true
		}
		if r.whole(id) {
			l.answered++
			break
		}
	}
	return l
}

// checkAtMostOnce checks every key against what the upstreams ran.
func checkAtMostOnce(t *testing.T, f *fleet, logs []attemptLog) {
	t.Helper()
	runs := make(map[string]int)
	for _, d := range f.daemons {
		if d.service != "booker" {
			continue
		}
		for k, n := range d.upstream.RunsByKey() {
			runs[k] += n
		}
	}
	answered := 0
	for _, l := range logs {
		answered += l.answered
		if runs[l.idem] > 1 {
			t.Errorf("key %s ran %d times", l.idem, runs[l.idem])
		}
		if !l.open && runs[l.idem] > 0 {
			t.Errorf("key %s ran although every attempt was answered not-run", l.idem)
		}
		if l.answered > 0 && runs[l.idem] != 1 {
			t.Errorf("key %s was answered whole after %d runs", l.idem, runs[l.idem])
		}
	}
	t.Logf("%d keys, %d answered whole", len(logs), answered)
	if answered == 0 {
		t.Error("no booking was answered at all")
	}
}

// bookingFleet has two logbook nodes as entries and four booker nodes in two
// failure domains.
func bookingFleet(t *testing.T) (f *fleet, entries, bookers []*daemon, key string) {
	t.Helper()
	f = newFleet(t)
	works := []standin.Operation{{Prefix: "/", MeanServiceTime: 20 * time.Millisecond}}
	first := f.start("logbook", "a", daemonOptions{})
	o := daemonOptions{Operations: works, First: []string{first.control}}
	entries = []*daemon{first, f.start("logbook", "b", o)}
	for i := range 4 {
		bookers = append(bookers, f.start("booker", string(rune('a'+i%2)), o))
	}
	f.settle("a", "b")
	key, _ = f.issueKey(first, "farm")
	for _, e := range entries {
		eventually(t, "bookings are served", func() bool {
			return send(e, request{method: http.MethodPost, path: "/booker/bookings/w", key: key, idem: newKey()}).whole("w")
		})
	}
	return f, entries, bookers, key
}

// during runs the load while act breaks things, then ends the load.
func during(entries []*daemon, key string, act func()) []attemptLog {
	stop := make(chan struct{})
	done := make(chan []attemptLog)
	go func() { done <- bookings(entries, key, 1, stop) }()
	act()
	close(stop)
	return <-done
}

// ranOn waits until an upstream has run n more requests.
func ranOn(t *testing.T, d *daemon, n int) {
	t.Helper()
	before := len(d.upstream.RunsByKey())
	eventually(t, "bookings reach "+d.service, func() bool { return len(d.upstream.RunsByKey()) >= before+n })
}

// TestKillOwnersWhileBooking kills nodes, among them owners of keys, with
// SIGKILL while bookings run and callers resend at other nodes; one of them
// comes back at the same addresses.
func TestKillOwnersWhileBooking(t *testing.T) {
	f, entries, bookers, key := bookingFleet(t)
	logs := during(entries, key, func() {
		ranOn(t, bookers[0], 20)
		bookers[0].signal(syscall.SIGKILL)
		bookers[0].awaitExit()
		ranOn(t, bookers[1], 20)
		bookers[1].signal(syscall.SIGKILL)
		bookers[1].awaitExit()
		ranOn(t, bookers[2], 20)
		f.run(bookers[0], daemonOptions{First: []string{entries[0].control}})
		ranOn(t, bookers[0], 20)
	})
	checkAtMostOnce(t, f, logs)
}

// TestFreezeOwnersWhileBooking freezes nodes with SIGSTOP for longer than the
// contact margin and lets them go on.
func TestFreezeOwnersWhileBooking(t *testing.T) {
	f, entries, bookers, key := bookingFleet(t)
	logs := during(entries, key, func() {
		for _, d := range bookers[:2] {
			ranOn(t, d, 10)
			d.signal(syscall.SIGSTOP)
			time.Sleep(freezeFor)
			d.signal(syscall.SIGCONT)
		}
		ranOn(t, bookers[3], 20)
	})
	checkAtMostOnce(t, f, logs)
}

// freezeFor is longer than the margins of claims and rate leases.
const freezeFor = 8 * time.Second

// TestLogOutageWhileBooking takes the log down, lets it lose answers, and
// brings it back.
func TestLogOutageWhileBooking(t *testing.T) {
	f, entries, bookers, key := bookingFleet(t)
	logs := during(entries, key, func() {
		ranOn(t, bookers[0], 10)
		f.log.SetFaults(logFaults(true))
		bookers[0].signal(syscall.SIGKILL)
		bookers[0].awaitExit()
		time.Sleep(freezeFor)
		f.log.SetFaults(logFaults(false))
		ranOn(t, bookers[1], 20)
	})
	checkAtMostOnce(t, f, logs)
}
