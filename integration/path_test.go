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

// bookerOperations makes each booking call the logbook through the booker's node.
var bookerOperations = []standin.Operation{{Prefix: "/bookings/", MeanServiceTime: 2 * time.Millisecond, NestedCalls: []string{"POST /logbook/entries/{id}"}}}

// TestCallAcrossProcesses sends a booking to the logbook's node. The booker's node
// runs it and calls the logbook. Neither upstream may see the API key or headers
// that the caller forged.
func TestCallAcrossProcesses(t *testing.T) {
	f := newFleet(t)
	logbook := f.start("logbook", "a", daemonOptions{})
	booker := f.start("booker", "a", daemonOptions{Operations: bookerOperations, SeedPeers: []string{logbook.controlAddr}})
	f.applyDefaultConfig("a")
	key, _ := f.issueKey(logbook, "farm")
	book := request{method: http.MethodPost, path: "/booker/bookings/b1", key: key, header: http.Header{
		"Gooseberry-Customer":   {"forged"},
		"Gooseberry-Call-Token": nil,
		"Connection":            {"X-Hop"},
		"X-Hop":                 {"1"},
		"X-Kept":                {"1"},
	}}
	eventually(t, "the booking gets a complete response", func() bool {
		book.idempotencyKey = newIdempotencyKey()
		return send(logbook, book).complete("b1")
	})
	checkUpstreamHeaders(t, booker, key)
	checkUpstreamHeaders(t, logbook, key)
	checkRefusals(t, logbook, key)
	for _, d := range f.daemons {
		secret := key[strings.LastIndex(key, "_")+1:]
		if strings.Contains(d.logText(), secret) {
			t.Errorf("the log of %s contains the key", d.service)
		}
		if vars := send(&daemon{callerAddr: d.adminAddr}, request{method: http.MethodGet, path: "/debug/vars"}); strings.Contains(string(vars.body), secret) {
			t.Errorf("the metrics of %s contain the key", d.service)
		}
	}
}

// checkUpstreamHeaders checks that an upstream saw no API key and no forged or
// hop-by-hop header.
func checkUpstreamHeaders(t *testing.T, d *daemon, key string) {
	t.Helper()
	seen := d.upstream.RequestHeaders()
	if len(seen) == 0 {
		t.Errorf("the upstream of %s received no request", d.service)
	}
	for _, h := range seen {
		text := fmt.Sprint(h)
		if strings.Contains(text, key) || h.Get("Authorization") != "" {
			t.Errorf("the upstream of %s received the API key: %v", d.service, h)
		}
		if h.Get("Gooseberry-Customer") != "farm" || h.Get("X-Hop") != "" || h.Get("Gooseberry-Call-Token") == "" {
			t.Errorf("the upstream of %s received wrong headers: %v", d.service, h)
		}
	}
}

// checkRefusals checks status, reason and outcome of each refusal, and that open
// routes need no key.
func checkRefusals(t *testing.T, d *daemon, key string) {
	t.Helper()
	cases := []struct {
		name   string
		q      request
		status int
		reason string
	}{
		{"no key", request{method: "POST", path: "/booker/bookings/r1", idempotencyKey: newIdempotencyKey()}, 401, "no-key"},
		{"unknown key", request{method: "POST", path: "/booker/bookings/r1", key: "gbf_0000000000000000_00", idempotencyKey: newIdempotencyKey()}, 403, "bad-key"},
		{"no route", request{method: "GET", path: "/booker/nothing", key: key}, 404, "no-route"},
		{"no service", request{method: "GET", path: "/", key: key}, 404, "no-route"},
		{"no idempotency key", request{method: "POST", path: "/booker/bookings/r1", key: key}, 400, "idempotency-key-missing"},
		{"malformed idempotency key", request{method: "POST", path: "/booker/bookings/r1", key: key, idempotencyKey: "r1"}, 400, "bad-request"},
		{"call token of an ended parent", request{method: "POST", path: "/booker/bookings/r1", header: http.Header{"Gooseberry-Call-Token": {"00"}}}, 403, "parent-ended"},
	}
	for _, c := range cases {
		r := send(d, c.q)
		if r.status != c.status || r.reason != c.reason || !r.notRun() {
			t.Errorf("%s: got %d %s %s (%v), want %d %s not-run", c.name, r.status, r.reason, r.outcome, r.err, c.status, c.reason)
		}
	}
	if r := send(d, request{method: http.MethodGet, path: "/logbook/tides/o1"}); !r.complete("o1") {
		t.Errorf("open route without a key: %+v", r)
	}
	http2 := &http.Client{Transport: &http.Transport{Protocols: new(http.Protocols)}}
	http2.Transport.(*http.Transport).Protocols.SetUnencryptedHTTP2(true)
	if r := send(d, request{method: http.MethodGet, path: "/logbook/tides/o2", client: http2}); !r.complete("o2") {
		t.Errorf("open route over HTTP/2: %+v", r)
	}
}

// TestPlannedStopLosesNoRequest stops a node with SIGTERM while bookings run. Every
// request must get a complete response or a correct not-run.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	f := newFleet(t)
	slow := []standin.Operation{{Prefix: "/", MeanServiceTime: 100 * time.Millisecond}}
	entry := f.start("logbook", "a", daemonOptions{})
	remaining := f.start("booker", "a", daemonOptions{Operations: slow, SeedPeers: []string{entry.controlAddr}})
	stopping := f.start("booker", "a", daemonOptions{Operations: slow, SeedPeers: []string{entry.controlAddr}})
	f.applyDefaultConfig("a")
	key, _ := f.issueKey(entry, "farm")
	eventually(t, "bookings are served", func() bool {
		return send(entry, request{method: "POST", path: "/booker/bookings/w", key: key, idempotencyKey: newIdempotencyKey()}).complete("w")
	})
	var stopLoad atomic.Bool
	var answered, refused atomic.Int64
	var reasons sync.Map
	var wg sync.WaitGroup
	for worker := range 16 {
		wg.Go(func() {
			for i := 0; !stopLoad.Load(); i++ {
				id := fmt.Sprintf("p%d-%d", worker, i)
				idempotencyKey := newIdempotencyKey()
				r := send(entry, request{method: "POST", path: "/booker/bookings/" + id, key: key, idempotencyKey: idempotencyKey})
				switch {
				case r.complete(id):
					answered.Add(1)
				case r.notRun():
					refused.Add(1)
					n, _ := reasons.LoadOrStore(r.reason, new(atomic.Int64))
					n.(*atomic.Int64).Add(1)
					if n := remaining.upstream.RunsByKey()[idempotencyKey] + stopping.upstream.RunsByKey()[idempotencyKey]; n != 0 {
						t.Errorf("%s was answered not-run but ran %d times", id, n)
					}
				default:
					t.Errorf("%s got neither a complete response nor not-run: %d %s %s %v %s", id, r.status, r.outcome, r.reason, r.err, r.body)
				}
			}
		})
	}
	eventually(t, "bookings run at both nodes", func() bool {
		return len(stopping.upstream.RequestHeaders()) > 20 && len(remaining.upstream.RequestHeaders()) > 20
	})
	stopping.signal(syscall.SIGTERM)
	if code := stopping.awaitExit(); code != 0 {
		t.Errorf("planned stop ended with exit code %d:\n%s", code, stopping.logText())
	}
	runsAtStop := len(stopping.upstream.RequestHeaders())
	answeredBefore := answered.Load()
	eventually(t, "bookings continue at the other node", func() bool { return answered.Load() > answeredBefore+20 })
	stopLoad.Store(true)
	wg.Wait()
	if runsAtEnd := len(stopping.upstream.RequestHeaders()); runsAtEnd != runsAtStop {
		t.Errorf("%d requests reached the upstream of the stopped node after its stop", runsAtEnd-runsAtStop)
	}
	t.Logf("answered %d, refused %d", answered.Load(), refused.Load())
	reasons.Range(func(reason, n any) bool {
		t.Logf("refused with reason %s: %d", reason, n.(*atomic.Int64).Load())
		return true
	})
}

// TestWithdrawnKeyStopsOnLiveConnection withdraws a key at one node while a caller
// keeps its connection to another node open, with the log up and down.
func TestWithdrawnKeyStopsOnLiveConnection(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("log-down=%t", logDown), func(t *testing.T) {
			f := newFleet(t)
			a := f.start("logbook", "a", daemonOptions{})
			b := f.start("booker", "b", daemonOptions{SeedPeers: []string{a.controlAddr}})
			f.applyDefaultConfig("a", "b")
			key, id := f.issueKey(a, "farm")
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			lookup := request{method: http.MethodGet, path: "/booker/bookings/k1", key: key, client: client}
			eventually(t, "the key is accepted", func() bool { return send(b, lookup).complete("k1") })
			f.log.SetFaults(logOutage(logDown))
			if code := f.requestAdmin(a, http.MethodDelete, "/v1/keys/"+id, nil, nil); code >= 300 {
				t.Fatalf("withdraw: status %d", code)
			}
			eventually(t, "the key is refused on the open connection", func() bool {
				r := send(b, lookup)
				return r.status == http.StatusForbidden && r.reason == "bad-key" && r.notRun()
			})
			for range 20 {
				if r := send(b, lookup); r.status != http.StatusForbidden {
					t.Fatalf("the withdrawn key is accepted again: status %d", r.status)
				}
			}
		})
	}
}
