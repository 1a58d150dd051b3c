package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/standin"
)

// bookerWorks makes a booking call on to the logbook, through its own node.
var bookerWorks = []standin.Operation{{Prefix: "/bookings/", MeanServiceTime: 2 * time.Millisecond, NestedCalls: []string{"POST /logbook/entries/{id}"}}}

// TestWholePathAcrossProcesses sends requests into a node that has neither
// service beside it the caller asks for, and checks header hygiene on the way.
func TestWholePathAcrossProcesses(t *testing.T) {
	f := newFleet(t)
	logbook := f.start("logbook", "a", daemonOptions{})
	booker := f.start("booker", "a", daemonOptions{Operations: bookerWorks, First: []string{logbook.control}})
	f.settle("a")
	key, _ := f.issueKey(logbook, "farm")
	book := request{method: http.MethodPost, path: "/booker/bookings/b1", key: key, header: http.Header{
		"Gooseberry-Customer":   {"forged"},
		"Gooseberry-Call-Token": nil,
		"Connection":            {"X-Hop"},
		"X-Hop":                 {"1"},
		"X-Kept":                {"1"},
	}}
	eventually(t, "a whole answer", func() bool {
		book.idem = newKey()
		return send(logbook, book).whole("b1")
	})
	checkUpstreamHeaders(t, booker, key)
	checkUpstreamHeaders(t, logbook, key)
	checkRefusals(t, logbook, key)
	for _, d := range f.daemons {
		secret := key[strings.LastIndex(key, "_")+1:]
		if strings.Contains(d.logText(), secret) {
			t.Errorf("the key stands in the log of %s", d.service)
		}
		if vars := send(&daemon{caller: d.admin}, request{method: http.MethodGet, path: "/debug/vars"}); strings.Contains(string(vars.body), secret) {
			t.Errorf("the key stands in the metrics of %s", d.service)
		}
	}
}

// checkUpstreamHeaders makes sure that no upstream saw a key or a forged header.
func checkUpstreamHeaders(t *testing.T, d *daemon, key string) {
	t.Helper()
	seen := d.upstream.RequestHeaders()
	if len(seen) == 0 {
		t.Errorf("%s saw no request", d.service)
	}
	for _, h := range seen {
		text := fmt.Sprint(h)
		if strings.Contains(text, key) || h.Get("Authorization") != "" {
			t.Errorf("%s saw a caller's key: %v", d.service, h)
		}
		if h.Get("Gooseberry-Customer") != "farm" || h.Get("X-Hop") != "" || h.Get("Gooseberry-Call-Token") == "" {
			t.Errorf("%s saw wrong headers: %v", d.service, h)
		}
	}
}

// checkRefusals makes sure that each refusal has its status and promises
// "not run" only for requests that no upstream saw.
func checkRefusals(t *testing.T, d *daemon, key string) {
	t.Helper()
	cases := []struct {
		name   string
		q      request
		status int
		reason string
	}{
		{"no key", request{method: "POST", path: "/booker/bookings/r1", idem: newKey()}, 401, "no-key"},
		{"unknown key", request{method: "POST", path: "/booker/bookings/r1", key: "gbf_0000000000000000_00", idem: newKey()}, 403, "bad-key"},
		{"no route", request{method: "GET", path: "/booker/nothing", key: key}, 404, "no-route"},
		{"no service", request{method: "GET", path: "/", key: key}, 404, "no-route"},
		{"no idempotency key", request{method: "POST", path: "/booker/bookings/r1", key: key}, 400, "idempotency-key-missing"},
		{"malformed idempotency key", request{method: "POST", path: "/booker/bookings/r1", key: key, idem: "r1"}, 400, "bad-request"},
		{"dead call token", request{method: "POST", path: "/booker/bookings/r1", header: http.Header{"Gooseberry-Call-Token": {"00"}}}, 403, "parent-ended"},
	}
	for _, c := range cases {
		r := send(d, c.q)
		if r.status != c.status || r.reason != c.reason || !r.notRun() {
			t.Errorf("%s: got %d %s %s (%v), want %d %s not-run", c.name, r.status, r.reason, r.outcome, r.err, c.status, c.reason)
		}
	}
	if r := send(d, request{method: http.MethodGet, path: "/logbook/tides/o1"}); !r.whole("o1") {
		t.Errorf("open route without a key: %+v", r)
	}
	http2 := &http.Client{Transport: &http.Transport{Protocols: new(http.Protocols)}}
	http2.Transport.(*http.Transport).Protocols.SetUnencryptedHTTP2(true)
	if r := send(d, request{method: http.MethodGet, path: "/logbook/tides/o2", client: http2}); !r.whole("o2") {
		t.Errorf("open route over HTTP/2: %+v", r)
	}
}

// TestPlannedStopCutsNothing stops nodes with SIGTERM one after the other while
// bookings run; every request must end with a whole answer or a true "not run".
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	slow := []standin.Operation{{Prefix: "/", MeanServiceTime: 100 * time.Millisecond}}
	entry := f.start("logbook", "a", daemonOptions{})
	stays := f.start("booker", "a", daemonOptions{Operations: slow, First: []string{entry.control}})
	leaves := f.start("booker", "a", daemonOptions{Operations: slow, First: []string{entry.control}})
	f.settle("a")
	key, _ := f.issueKey(entry, "farm")
	eventually(t, "bookings are served", func() bool {
		return send(entry, request{method: "POST", path: "/booker/bookings/w", key: key, idem: newKey()}).whole("w")
	})
	var stopLoad atomic.Bool
	var answered, refused atomic.Int64
	var reasons sync.Map
	var wg sync.WaitGroup
	for worker := range 16 {
		wg.Go(func() {
			for i := 0; !stopLoad.Load(); i++ {
				id := fmt.Sprintf("p%d-%d", worker, i)
				idem := newKey()
				r := send(entry, request{method: "POST", path: "/booker/bookings/" + id, key: key, idem: idem})
				switch {
				case r.whole(id):
					answered.Add(1)
				case r.notRun():
					refused.Add(1)
					n, _ := reasons.LoadOrStore(r.reason, new(atomic.Int64))
					n.(*atomic.Int64).Add(1)
					if n := stays.upstream.RunsByKey()[idem] + leaves.upstream.RunsByKey()[idem]; n != 0 {
						t.Errorf("%s was called not run but ran %d times", id, n)
					}
				default:
					t.Errorf("%s was cut: %d %s %s %v %s", id, r.status, r.outcome, r.reason, r.err, r.body)
				}
			}
		})
	}
	eventually(t, "load runs on both", func() bool {
		return len(leaves.upstream.RequestHeaders()) > 20 && len(stays.upstream.RequestHeaders()) > 20
	})
	leaves.signal(syscall.SIGTERM)
	if code := leaves.awaitExit(); code != 0 {
		t.Errorf("planned stop ended with %d:\n%s", code, leaves.logText())
	}
	before := len(leaves.upstream.RequestHeaders())
	done := answered.Load()
	eventually(t, "load goes on elsewhere", func() bool { return answered.Load() > done+20 })
	stopLoad.Store(true)
	wg.Wait()
	if after := len(leaves.upstream.RequestHeaders()); after != before {
		t.Errorf("%d requests reached the upstream of the stopped node", after-before)
	}
	t.Logf("answered %d, refused %d", answered.Load(), refused.Load())
	reasons.Range(func(reason, n any) bool {
		t.Logf("refused for %s: %d", reason, n.(*atomic.Int64).Load())
		return true
	})
}

// TestWithdrawnKeyStopsOnLiveConnection withdraws a key at one node while a
// caller keeps its connection to another one open, with and without the log.
func TestWithdrawnKeyStopsOnLiveConnection(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("log-down=%t", down), func(t *testing.T) {
			f := newFleet(t)
			a := f.start("logbook", "a", daemonOptions{})
			b := f.start("booker", "b", daemonOptions{First: []string{a.control}})
			f.settle("a", "b")
			key, id := f.issueKey(a, "farm")
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			look := request{method: http.MethodGet, path: "/booker/bookings/k1", key: key, client: client}
			eventually(t, "the key works", func() bool { return send(b, look).whole("k1") })
			f.log.SetFaults(logFaults(down))
			if code := f.admin(a, http.MethodDelete, "/v1/keys/"+id, nil, nil); code >= 300 {
				t.Fatalf("withdraw: status %d", code)
			}
			eventually(t, "the key is refused on the open connection", func() bool {
				r := send(b, look)
				return r.status == http.StatusForbidden && r.reason == "bad-key" && r.notRun()
			})
			for range 20 {
				if r := send(b, look); r.status != http.StatusForbidden {
					t.Fatalf("the withdrawn key works again: %d", r.status)
				}
			}
		})
	}
}
