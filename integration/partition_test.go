package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/faultproxy"
	"github.com/gooseberryflow/gooseberryflow/internal/standin"
	logstandin "github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// faultLinks are the fault proxies between one daemon and its peers and the log.
type faultLinks struct {
	control *faultproxy.Proxy
	call    *faultproxy.Proxy
	log     *faultproxy.Proxy
}

func (l *faultLinks) all() []*faultproxy.Proxy { return []*faultproxy.Proxy{l.control, l.call, l.log} }

// startBehindProxies starts a daemon whose links to its peers and to the log lead
// through fault proxies.
func (f *fleet) startBehindProxies(service, domain string, seed uint64, o daemonOptions) (*daemon, *faultLinks) {
	f.t.Helper()
	up, err := standin.Start(standin.Options{
		Service: service, Slots: 50, QueueLimit: 1000, Operations: o.Operations, RecordHeaders: true, Seed: seed,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(up.Close)
	d := &daemon{
		t: f.t, service: service, domain: domain, upstream: up,
		callerAddr: freeTCP(f.t), controlAddr: freeUDP(f.t), callAddr: freeTCP(f.t), adminAddr: freeTCP(f.t),
	}
	up.SetCallerAddr(d.callerAddr)
	l := &faultLinks{
		control: f.startProxy(faultproxy.ListenUDP, d.controlAddr, seed),
		call:    f.startProxy(faultproxy.ListenTCP, d.callAddr, seed),
		log:     f.startProxy(faultproxy.ListenTCP, f.logServer.Listener.Addr().String(), seed),
	}
	o.AnnouncedControl = l.control.Addr()
	o.AnnouncedCall = l.call.Addr()
	o.LogAddr = l.log.Addr()
	f.startProcess(d, o)
	f.daemons = append(f.daemons, d)
	return d, l
}

func (f *fleet) startProxy(listen func(string, uint64) (*faultproxy.Proxy, error), target string, seed uint64) *faultproxy.Proxy {
	f.t.Helper()
	p, err := listen(target, seed)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func setFaults(faults faultproxy.Faults, proxies ...*faultproxy.Proxy) {
	for _, p := range proxies {
		p.SetFaults(faults)
	}
}

// refusedForHomeDomain reports whether the request was refused, with outcome
// not-run, because the failure domain that owns its key is unreachable.
func (r response) refusedForHomeDomain(domain string) bool {
	var problem struct{ Detail string }
	return r.notRun() && r.status == http.StatusServiceUnavailable && r.reason == "key-owner-unreachable" &&
		json.Unmarshal(r.body, &problem) == nil && strings.Contains(problem.Detail, fmt.Sprintf("%q", domain))
}

// bookingRecorder sends bookings and records their idempotency keys for
// checkAtMostOnce.
type bookingRecorder struct {
	key      string
	attempts []keyAttempts
}

// send sends a booking with a fresh idempotency key to each daemon in turn until
// one gives a complete response, and returns the first daemon's response.
func (b *bookingRecorder) send(first *daemon, others ...*daemon) response {
	a := keyAttempts{idempotencyKey: newIdempotencyKey()}
	id := fmt.Sprintf("n%d", len(b.attempts))
	var response response
	for i, d := range append([]*daemon{first}, others...) {
		r := send(d, request{method: http.MethodPost, path: "/booker/bookings/" + id, key: b.key, idempotencyKey: a.idempotencyKey})
		if i == 0 {
			response = r
		}
		if !r.notRun() {
			a.mayHaveRun = true
		}
		if r.complete(id) {
			a.completed++
			break
		}
	}
	b.attempts = append(b.attempts, a)
	return response
}

// awaitStreak waits until the condition holds length times in a row.
func awaitStreak(t *testing.T, description string, length int, condition func() bool) {
	t.Helper()
	n := 0
	eventually(t, description, func() bool {
		n++
		if !condition() {
			n = 0
		}
		return n >= length
	})
}

// stableStreak is the number of consecutive expected responses after which the
// state counts as stable.
const stableStreak = 20

// TestPartitionBetweenFailureDomains partitions failure domain b from domain a
// and from the log, and heals the partition. Meanwhile lookups are served,
// bookings whose key is owned by the other domain are refused, and b keeps its
// configuration version.
func TestPartitionBetweenFailureDomains(t *testing.T) {
	f := newFleet(t)
	a, aLinks := f.startBehindProxies("booker", "a", 1, daemonOptions{})
	b, bLinks := f.startBehindProxies("booker", "b", 2, daemonOptions{SeedPeers: []string{aLinks.control.Addr()}})
	f.applyDefaultConfig("a", "b")
	key, _ := f.issueKey(a, "farm")
	recorder := &bookingRecorder{key: key}
	awaitServed := func(d, other *daemon, version uint64) {
		t.Helper()
		awaitStreak(t, "bookings are served in "+d.domain, stableStreak, func() bool {
			if v := f.version(d); v != version {
				t.Errorf("version %d is in force in %s, want %d", v, d.domain, version)
			}
			return recorder.send(d, other).status == http.StatusOK
		})
	}
	awaitServed(a, b, 1)
	awaitServed(b, a, 1)

	proxies := append(bLinks.all(), aLinks.control, aLinks.call)
	setFaults(faultproxy.Faults{Cut: true}, proxies...)
	for _, d := range f.daemons {
		awaitStreak(t, "lookups are served in "+d.domain, stableStreak, func() bool {
			return send(d, request{method: http.MethodGet, path: "/booker/bookings/l", key: key}).complete("l")
		})
	}
	checkBookingsDuringPartition(t, recorder, a, b, true)
	checkBookingsDuringPartition(t, recorder, b, a, false)
	f.apply(a, defaultConfig("a", "b")+"# applied during the cut\n", 1)
	eventually(t, "the change is in force in a", func() bool { return f.version(a) == 2 })
	if v := f.version(b); v != 1 {
		t.Errorf("version %d is in force in b during the partition, want 1", v)
	}

	setFaults(faultproxy.Faults{}, proxies...)
	eventually(t, "the change is in force in b", func() bool { return f.version(b) == 2 })
	awaitServed(a, b, 2)
	awaitServed(b, a, 2)
	checkAtMostOnce(t, f, recorder.attempts)
}

// version returns the configuration version in force at a daemon.
func (f *fleet) version(d *daemon) uint64 {
	s, _ := f.status(d)
	return s.Version
}

// checkBookingsDuringPartition checks that a node refuses bookings whose key is
// owned by the unreachable failure domain and, if it reaches the log, serves the
// others.
func checkBookingsDuringPartition(t *testing.T, recorder *bookingRecorder, d, unreachable *daemon, logReachable bool) {
	t.Helper()
	refused, served := 0, 0
	awaitStreak(t, "bookings are served or refused in "+d.domain, stableStreak, func() bool {
		r := recorder.send(d, unreachable)
		switch {
		case r.refusedForHomeDomain(unreachable.domain):
			refused++
			return true
		case r.status == http.StatusOK:
			served++
			return true
		}
		return !logReachable && r.refusedForHomeDomain(d.domain)
	})
	t.Logf("in %s: %d served, %d refused because their home domain is unreachable", d.domain, served, refused)
	if refused == 0 {
		t.Errorf("no booking was refused in %s because its home domain is unreachable", d.domain)
	}
	if logReachable && served == 0 {
		t.Errorf("no booking was served in %s", d.domain)
	}
}

// TestSlowLogWhileBooking makes the log slow and lose responses and requests
// while bookings run and an owner of keys is killed and replaced.
func TestSlowLogWhileBooking(t *testing.T) {
	f, entryNodes, bookers, key := newBookingFleet(t)
	attempts := runUnderBookings(entryNodes, key, func() {
		awaitRuns(t, bookers[0], 10)
		f.log.SetFaults(logstandin.Faults{DelayMS: 300, DropResponses: 3, DropRequests: 2})
		bookers[0].signal(syscall.SIGKILL)
		bookers[0].awaitExit()
		awaitRuns(t, bookers[1], 20)
		f.start("booker", bookers[0].domain, daemonOptions{SeedPeers: []string{entryNodes[0].controlAddr}})
		time.Sleep(freezeDuration)
		awaitRuns(t, bookers[1], 20)
	})
	checkAtMostOnce(t, f, attempts)
}

// responseCount counts responses by kind.
type responseCount struct{ complete, notRun, other int }

// sendLookups sends lookups from several callers until stop is closed. It checks
// that each response with status 200 is the complete response to its own request.
func sendLookups(t *testing.T, nodes []*daemon, key string, stop <-chan struct{}) responseCount {
	const callers = 8
	counts := make([]responseCount, callers)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("k%d-%d", c, i)
				r := send(nodes[i%len(nodes)], request{method: http.MethodGet, path: "/booker/bookings/" + id, key: key})
				counts[c].add(t, r, id)
			}
		})
	}
	wg.Wait()
	var sum responseCount
	for _, c := range counts {
		sum.complete += c.complete
		sum.notRun += c.notRun
		sum.other += c.other
	}
	return sum
}

func (c *responseCount) add(t *testing.T, r response, id string) {
	switch {
	case r.complete(id):
		c.complete++
	case r.err == nil && r.status == http.StatusOK:
		t.Errorf("response to %s is incomplete or belongs to another request: %s", id, r.body)
	case r.notRun():
		c.notRun++
	default:
		c.other++
	}
}

// linkSeed seeds the faults on call links.
const linkSeed = 7

// TestFaultyCallLinks delays, throttles and resets the call connections between
// nodes while bookings and lookups run.
func TestFaultyCallLinks(t *testing.T) {
	f := newFleet(t)
	operations := []standin.Operation{{Prefix: "/", MeanServiceTime: 5 * time.Millisecond}}
	first, l := f.startBehindProxies("booker", "a", linkSeed, daemonOptions{Operations: operations})
	all := []*faultLinks{l}
	for i, domain := range []string{"b", "a", "b"} {
		o := daemonOptions{Operations: operations, SeedPeers: []string{first.controlAddr}}
		_, l := f.startBehindProxies("booker", domain, linkSeed+1+uint64(i), o)
		all = append(all, l)
	}
	f.applyDefaultConfig("a", "b")
	key, _ := f.issueKey(first, "farm")
	for _, d := range f.daemons {
		eventually(t, "bookings are served", func() bool {
			return send(d, request{method: http.MethodPost, path: "/booker/bookings/w", key: key, idempotencyKey: newIdempotencyKey()}).complete("w")
		})
	}
	stop := make(chan struct{})
	lookupCount := make(chan responseCount)
	go func() { lookupCount <- sendLookups(t, f.daemons, key, stop) }()
	attempts := runUnderBookings(f.daemons, key, func() {
		disruptCallLinks(t, f, all)
		setCallFaults(all, faultproxy.Faults{})
		for _, d := range f.daemons {
			awaitRuns(t, d, 20)
		}
	})
	close(stop)
	count := <-lookupCount
	t.Logf("lookups: %d complete, %d not-run, %d other", count.complete, count.notRun, count.other)
	if count.complete == 0 {
		t.Error("no lookup got a complete response")
	}
	checkAtMostOnce(t, f, attempts)
}

// disruptCallLinks resets the call connections several times under each kind of
// fault. With little bandwidth the resets truncate frames.
func disruptCallLinks(t *testing.T, f *fleet, all []*faultLinks) {
	t.Helper()
	const resets = 8
	for _, faults := range []faultproxy.Faults{
		{Delay: 2 * time.Millisecond, Jitter: 20 * time.Millisecond},
		{Bandwidth: 200_000, Jitter: 5 * time.Millisecond},
		{Bandwidth: 40_000},
	} {
		setCallFaults(all, faults)
		for i := range resets {
			awaitRuns(t, f.daemons[i%len(f.daemons)], 5)
			for _, l := range all {
				l.call.Reset()
			}
		}
	}
}

func setCallFaults(all []*faultLinks, faults faultproxy.Faults) {
	for _, l := range all {
		l.call.SetFaults(faults)
	}
}
