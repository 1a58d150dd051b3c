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

// links are the fault proxies before one daemon and between it and the log.
type links struct {
	control *faultproxy.Proxy
	call    *faultproxy.Proxy
	log     *faultproxy.Proxy
}

func (l *links) all() []*faultproxy.Proxy { return []*faultproxy.Proxy{l.control, l.call, l.log} }

// startBehind runs a daemon that its peers reach only through fault proxies and
// that reaches the log only through one.
func (f *fleet) startBehind(service, domain string, seed uint64, o daemonOptions) (*daemon, *links) {
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
		caller: freeTCP(f.t), control: freeUDP(f.t), call: freeTCP(f.t), admin: freeTCP(f.t),
	}
	up.SetCallerAddr(d.caller)
	l := &links{
		control: f.proxy(faultproxy.ListenUDP, d.control, seed),
		call:    f.proxy(faultproxy.ListenTCP, d.call, seed),
		log:     f.proxy(faultproxy.ListenTCP, f.logServer.Listener.Addr().String(), seed),
	}
	o.AnnouncedControl = l.control.Addr()
	o.AnnouncedCall = l.call.Addr()
	o.Platform = l.log.Addr()
	f.run(d, o)
	f.daemons = append(f.daemons, d)
	return d, l
}

func (f *fleet) proxy(listen func(string, uint64) (*faultproxy.Proxy, error), target string, seed uint64) *faultproxy.Proxy {
	f.t.Helper()
	p, err := listen(target, seed)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func setAll(faults faultproxy.Faults, proxies ...*faultproxy.Proxy) {
	for _, p := range proxies {
		p.SetFaults(faults)
	}
}

// refusedForHome reports a refusal, not-run, that names a home failure domain.
func (r reply) refusedForHome(domain string) bool {
	var problem struct{ Detail string }
	return r.notRun() && r.status == http.StatusServiceUnavailable && r.reason == "key-owner-unreachable" &&
		json.Unmarshal(r.body, &problem) == nil && strings.Contains(problem.Detail, fmt.Sprintf("%q", domain))
}

// bookingLog collects the keys that were sent, for checkAtMostOnce.
type bookingLog struct {
	key  string
	logs []attemptLog
}

// send sends a booking with a fresh key to each daemon in turn until one
// answers it, and returns the first daemon's reply.
func (b *bookingLog) send(first *daemon, others ...*daemon) reply {
	l := attemptLog{idem: newKey()}
	id := fmt.Sprintf("n%d", len(b.logs))
	var reply reply
	for i, d := range append([]*daemon{first}, others...) {
		r := send(d, request{method: http.MethodPost, path: "/booker/bookings/" + id, key: b.key, idem: l.idem})
		if i == 0 {
			reply = r
		}
		if !r.notRun() {
			l.open = true
		}
		if r.whole(id) {
			l.answered++
			break
		}
	}
	b.logs = append(b.logs, l)
	return reply
}

// streak waits until the condition holds that many times in a row.
func streak(t *testing.T, what string, length int, condition func() bool) {
	t.Helper()
	n := 0
	eventually(t, what, func() bool {
		n++
		if !condition() {
			n = 0
		}
		return n >= length
	})
}

// cutStreak is how many answers in a row count as a settled state.
const cutStreak = 20

// TestCutBetweenDomains cuts a failure domain off from the other one and from
// the log, and heals the cut.
func TestCutBetweenDomains(t *testing.T) {
	f := newFleet(t)
	a, aLinks := f.startBehind("booker", "a", 1, daemonOptions{})
	b, bLinks := f.startBehind("booker", "b", 2, daemonOptions{First: []string{aLinks.control.Addr()}})
	f.settle("a", "b")
	key, _ := f.issueKey(a, "farm")
	log := &bookingLog{key: key}
	served := func(d, other *daemon, version uint64) {
		t.Helper()
		streak(t, "bookings are served in "+d.domain, cutStreak, func() bool {
			if v := f.version(d); v != version {
				t.Errorf("version %d is in force in %s, want %d", v, d.domain, version)
			}
			return log.send(d, other).status == http.StatusOK
		})
	}
	served(a, b, 1)
	served(b, a, 1)

	cut := append(bLinks.all(), aLinks.control, aLinks.call)
	setAll(faultproxy.Faults{Cut: true}, cut...)
	for _, d := range f.daemons {
		streak(t, "lookups are served in "+d.domain, cutStreak, func() bool {
			return send(d, request{method: http.MethodGet, path: "/booker/bookings/l", key: key}).whole("l")
		})
	}
	checkRefusedAcross(t, log, a, b, true)
	checkRefusedAcross(t, log, b, a, false)
	f.apply(a, defaultFile("a", "b")+"# applied during the cut\n", 1)
	eventually(t, "the change is in force in a", func() bool { return f.version(a) == 2 })
	if v := f.version(b); v != 1 {
		t.Errorf("version %d is in force in b during the cut, want 1", v)
	}

	setAll(faultproxy.Faults{}, cut...)
	eventually(t, "the change is in force in b", func() bool { return f.version(b) == 2 })
	served(a, b, 2)
	served(b, a, 2)
	checkAtMostOnce(t, f, log.logs)
}

func (f *fleet) version(d *daemon) uint64 {
	s, _ := f.status(d)
	return s.Version
}

// checkRefusedAcross makes sure that bookings whose home is beyond the cut are
// refused, and that others are served if the node has the log.
func checkRefusedAcross(t *testing.T, log *bookingLog, d, beyond *daemon, hasLog bool) {
	t.Helper()
	across, own := 0, 0
	streak(t, "bookings are served or refused in "+d.domain, cutStreak, func() bool {
		r := log.send(d, beyond)
		switch {
		case r.refusedForHome(beyond.domain):
			across++
			return true
		case r.status == http.StatusOK:
			own++
			return true
		}
		return !hasLog && r.refusedForHome(d.domain)
	})
	t.Logf("in %s: %d served, %d refused for their home", d.domain, own, across)
	if across == 0 {
		t.Errorf("no booking was refused in %s for its home beyond the cut", d.domain)
	}
	if hasLog && own == 0 {
		t.Errorf("no booking was served in %s", d.domain)
	}
}

// TestSlowLogWhileBooking has a slow log that loses answers and requests while
// bookings run and an owner of keys is killed and replaced.
func TestSlowLogWhileBooking(t *testing.T) {
	f, entries, bookers, key := bookingFleet(t)
	logs := during(entries, key, func() {
		ranOn(t, bookers[0], 10)
		f.log.SetFaults(logstandin.Faults{DelayMS: 300, DropResponses: 3, DropRequests: 2})
		bookers[0].signal(syscall.SIGKILL)
		bookers[0].awaitExit()
		ranOn(t, bookers[1], 20)
		f.start("booker", bookers[0].domain, daemonOptions{First: []string{entries[0].control}})
		time.Sleep(freezeFor)
		ranOn(t, bookers[1], 20)
	})
	checkAtMostOnce(t, f, logs)
}

// answerCount sums up how requests were answered.
type answerCount struct{ whole, notRun, other int }

// lookups sends lookups from several callers until stop is closed; a 200 must
// be the whole answer to its own request.
func lookups(t *testing.T, nodes []*daemon, key string, stop <-chan struct{}) answerCount {
	const callers = 8
	counts := make([]answerCount, callers)
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
	var sum answerCount
	for _, c := range counts {
		sum.whole += c.whole
		sum.notRun += c.notRun
		sum.other += c.other
	}
	return sum
}

func (c *answerCount) add(t *testing.T, r reply, id string) {
	switch {
	case r.whole(id):
		c.whole++
	case r.err == nil && r.status == http.StatusOK:
		t.Errorf("the answer to %s is not its own whole one: %s", id, r.body)
	case r.notRun():
		c.notRun++
	default:
		c.other++
	}
}

// linkSeed is the seed of the faults on call links.
const linkSeed = 7

// TestFaultyCallLinks delays, reorders, resets and truncates what nodes send
// each other while bookings and lookups run.
func TestFaultyCallLinks(t *testing.T) {
	f := newFleet(t)
	works := []standin.Operation{{Prefix: "/", MeanServiceTime: 5 * time.Millisecond}}
	first, l := f.startBehind("booker", "a", linkSeed, daemonOptions{Operations: works})
	all := []*links{l}
	for i, domain := range []string{"b", "a", "b"} {
		o := daemonOptions{Operations: works, First: []string{first.control}}
		_, l := f.startBehind("booker", domain, linkSeed+1+uint64(i), o)
		all = append(all, l)
	}
	f.settle("a", "b")
	key, _ := f.issueKey(first, "farm")
	for _, d := range f.daemons {
		eventually(t, "bookings are served", func() bool {
			return send(d, request{method: http.MethodPost, path: "/booker/bookings/w", key: key, idem: newKey()}).whole("w")
		})
	}
	stop := make(chan struct{})
	looked := make(chan answerCount)
	go func() { looked <- lookups(t, f.daemons, key, stop) }()
	logs := during(f.daemons, key, func() {
		breakLinks(t, f, all)
		setCalls(all, faultproxy.Faults{})
		for _, d := range f.daemons {
			ranOn(t, d, 20)
		}
	})
	close(stop)
	count := <-looked
	t.Logf("lookups: %d whole, %d not-run, %d other", count.whole, count.notRun, count.other)
	if count.whole == 0 {
		t.Error("no lookup was answered whole")
	}
	checkAtMostOnce(t, f, logs)
}

// breakLinks resets the connections that carry calls several times under each
// kind of fault; with little bandwidth the resets cut frames in two.
func breakLinks(t *testing.T, f *fleet, all []*links) {
	t.Helper()
	const resets = 8
	for _, faults := range []faultproxy.Faults{
		{Delay: 2 * time.Millisecond, Jitter: 20 * time.Millisecond},
		{Bandwidth: 200_000, Jitter: 5 * time.Millisecond},
		{Bandwidth: 40_000},
	} {
		setCalls(all, faults)
		for i := range resets {
			ranOn(t, f.daemons[i%len(f.daemons)], 5)
			for _, l := range all {
				l.call.Reset()
			}
		}
	}
}

func setCalls(all []*links, faults faultproxy.Faults) {
	for _, l := range all {
		l.call.SetFaults(faults)
	}
}
