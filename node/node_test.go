package node

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/peer"
	"github.com/gooseberryflow/gooseberryflow/retry"
	"github.com/gooseberryflow/gooseberryflow/selfreport"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const testBodyLimit = 1 << 16

// rawUpstream starts a server that handles connections with serveRaw. It counts
// the requests read.
func rawUpstream(t *testing.T, answer string) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, answer, requests)
		}
	}()
	return l.Addr().String(), requests
}

// serveRaw sends a valid response to the first request, so that the connection is
// reused, the given bytes to the second, and then closes the connection.
func serveRaw(c net.Conn, answer string, requests *atomic.Int64) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", answer} {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		_, _ = io.WriteString(c, text)
	}
}

func testCall(method string) *kernel.Call {
	return &kernel.Call{
		ID: newID(), Root: newID(), Method: method, Path: "/x", Service: "s",
		IdempotencyKey: "018f0000-0000-7000-8000-000000000000",
		DeadlineMS:     time.Now().Add(time.Minute).UnixMilli(),
	}
}

// An incomplete or malformed response must not be passed on, must not give the
// outcome "not run", and the request must not be sent again: by default net/http
// retries a request with an idempotency key on a reused connection.
func TestIncompleteResponseIsUnknownAndNotRetried(t *testing.T) {
	cases := map[string]string{
		"no answer":           "",
		"truncated header":    "HTTP/1.1 200 OK\r\nConte",
		"truncated body":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"truncated chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"not HTTP":            "gibberish\r\n\r\n",
		"over the body limit": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
	}
	for name, answer := range cases {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(method+" "+name, func(t *testing.T) {
				address, requests := rawUpstream(t, answer)
				u := newUpstream(address, testBodyLimit, time.Now, newMetrics())
				if r := u.Serve(context.Background(), testCall(method)); r.Outcome != kernel.OutcomeAnswered {
					t.Fatalf("first answer: %+v", r)
				}
				r := u.Serve(context.Background(), testCall(method))
				if r.Outcome != kernel.OutcomeUnknown || len(r.Body) != 0 {
					t.Errorf("got outcome %s with %d bytes, want unknown", r.Outcome, len(r.Body))
				}
				if n := requests.Load(); n != 2 {
					t.Errorf("the upstream got %d requests for 2 calls", n)
				}
			})
		}
	}
}

func TestCallToUnreachableUpstreamIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	u := newUpstream(l.Addr().String(), testBodyLimit, time.Now, newMetrics())
	if r := u.Serve(context.Background(), testCall(http.MethodPost)); r.Outcome != kernel.OutcomeNotRun {
		t.Errorf("got %s, want not-run", r.Outcome)
	}
}

// A nested call is cancelled with its parent, and the parent's token is refused
// afterwards.
func TestNestedCallIsCancelledWithParent(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan error, 1)
	n := &Node{
		settings: Settings{BodyLimitBytes: testBodyLimit},
		metrics:  newMetrics(),
		upstream: newUpstream("127.0.0.1:1", testBodyLimit, time.Now, newMetrics()),
	}
	n.entry = kernel.HandlerFunc(func(ctx context.Context, _ *kernel.Call) *kernel.Result {
		close(started)
		<-ctx.Done()
		ended <- ctx.Err()
		return kernel.Unknown(kernel.ReasonCancelled, "")
	})
	ctx, cancel := context.WithCancel(context.Background())
	parent := &runningCall{call: testCall(http.MethodPost), ctx: ctx, budget: newTestBudget()}
	token := n.upstream.tokens.add(parent)
	c := testCall(http.MethodGet)
	go n.serveCall(httptest.NewRequest(http.MethodGet, "/s/x", nil), c, parent)
	<-started
	cancel()
	if err := <-ended; err != context.Canceled {
		t.Errorf("the nested call ended with %v", err)
	}
	n.upstream.tokens.remove(token)
	again := httptest.NewRequest(http.MethodGet, "/s/x", nil)
	again.Header.Set(headerToken, token)
	if _, r := n.parentOf(again); r == nil || r.Reason != kernel.ReasonParentEnded || r.Outcome != kernel.OutcomeNotRun {
		t.Errorf("the token of an ended call gave %+v", r)
	}
}

func TestFindRoute(t *testing.T) {
	routes := []config.Route{
		{Name: "one", Method: "GET", Pattern: "/slots/{id}"},
		{Name: "free", Method: "GET", Pattern: "/slots/free"},
		{Name: "post", Method: "POST", Pattern: "/slots/{id}"},
		{Name: "deep", Method: "GET", Pattern: "/slots/{id}/boats"},
		{Name: "root", Method: "GET", Pattern: "/"},
	}
	cases := map[string]string{
		"GET /slots/7":       "one",
		"GET /slots/free":    "free",
		"POST /slots/free":   "post",
		"GET /slots/7/boats": "deep",
		"GET /":              "root",
		"GET /slots/":        "",
		"GET /slots/7/":      "",
		"GET /slots":         "",
		"PUT /slots/7":       "",
	}
	for request, want := range cases {
		method, path, _ := strings.Cut(request, " ")
		got := ""
		if r, ok := findRoute(routes, method, path); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", request, got, want)
		}
	}
}

func TestReservedHeadersAreRemovedFromRequests(t *testing.T) {
	in := http.Header{
		"Authorization":         {"Bearer secret"},
		"Idempotency-Key":       {"k"},
		"Gooseberry-Customer":   {"forged"},
		"gooseberry-call-token": {"forged"},
		"Connection":            {"X-One, x-two"},
		"X-One":                 {"1"},
		"X-Two":                 {"2"},
		"Te":                    {"trailers"},
		"Accept":                {"*/*"},
	}
	out := stripRequestHeader(in)
	if len(out) != 1 || out.Get("Accept") != "*/*" {
		t.Errorf("kept %v", out)
	}
}

func newTestBudget() *retry.Budget { return retry.NewBudget(1) }

// Only a lost connection counts as the loss of the owner, and only a call that
// was never sent counts as not run.
func TestLostCallResults(t *testing.T) {
	cases := []struct {
		err     error
		outcome kernel.Outcome
		lost    bool
	}{
		{kernel.ErrNotSent, kernel.OutcomeNotRun, false},
		{peer.ErrConnLost, kernel.OutcomeUnknown, true},
		{peer.ErrRemote, kernel.OutcomeUnknown, false},
	}
	for _, c := range cases {
		r := lostCallResult(context.Background(), state.Member{ID: "owner"}, c.err)
		if r.Outcome != c.outcome || r.InstanceLost != c.lost || r.Owner != "owner" {
			t.Errorf("%v: outcome %s, lost %t", c.err, r.Outcome, r.InstanceLost)
		}
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if r := lostCallResult(ended, state.Member{}, context.Canceled); r.Outcome != kernel.OutcomeUnknown || r.InstanceLost {
		t.Errorf("cancelled call: %+v", r)
	}
}

// Every metric must be described in the operators' documentation.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	m := newMetrics()
	m.addTraffic("control", new(peer.Traffic))
	m.addTraffic("call", new(peer.Traffic))
	m.vars.Do(func(kv expvar.KeyValue) {
		if !strings.Contains(string(page), "`"+kv.Key+"`") {
			t.Errorf("%s is not in docs/OPERATIONS.md", kv.Key)
		}
	})
}

// Guards against an instance's word on itself not reaching the decisions: its rate
// limit and that it leaves.
func TestInstanceReportsReachDecisions(t *testing.T) {
	limit := "20"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRateLimit, limit)
		if limit == "" {
			w.Header().Set(headerLeaving, "1")
		}
	}))
	defer server.Close()
	u := newUpstream(strings.TrimPrefix(server.URL, "http://"), testBodyLimit, time.Now, newMetrics())
	var got selfreport.Response
	u.observe = func(r selfreport.Response) { got = r }
	call := &kernel.Call{Method: http.MethodGet, Path: "/", DeadlineMS: time.Now().Add(time.Minute).UnixMilli()}
	if r := u.Serve(t.Context(), call); r.Outcome != kernel.OutcomeAnswered || got.RateLimit != 20 || got.Leaving {
		t.Errorf("result %+v, report %+v", r, got)
	}
	limit = ""
	if u.Serve(t.Context(), call); got.RateLimitError == nil || !got.Leaving {
		t.Errorf("report %+v of an empty limit and a leaving instance", got)
	}
	n := &Node{selfReport: selfreport.NewTracker(), self: state.Member{ID: "m"}}
	n.selfReport.Observe(n.incarnation(), selfreport.Response{HeadAt: time.Now(), Leaving: true})
	n.host = &kernel.Host{Now: time.Now}
	n.metrics = newMetrics()
	if r := n.serveAsOwner(t.Context(), call); r.Reason != kernel.ReasonDraining || !r.Load.Report.Leaving {
		t.Errorf("a call to a leaving instance: %+v", r)
	}
}
