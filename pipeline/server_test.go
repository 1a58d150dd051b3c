package pipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

// waitLimit bounds every wait; no test asserts how long one takes.
const waitLimit = 20 * time.Second

// scriptedHandler serves a request as its path says: /wait/N ends when the path is
// released, /exclusive/... is exclusive, /refuse is refused, /close/... closes the
// connection, /panic panics; other responses hold method, path and body.
type scriptedHandler struct {
	started   chan string
	cancelled chan string
	mu        sync.Mutex
	gates     map[string]chan struct{}
}

func (s *scriptedHandler) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *scriptedHandler) Accept(r *http.Request, _ time.Time) (*Exchange, *Response) {
	if r.URL.Path == "/panic-at-head" {
		panic("unexpected")
	}
	if r.URL.Path == "/refuse" {
		return nil, text(http.StatusServiceUnavailable, "refused", true)
	}
	serve := func(ctx context.Context, body []byte) *Response {
		s.started <- r.RequestURI
		switch {
		case strings.Contains(r.URL.Path, "/wait/"):
			select {
			case <-s.gate(r.RequestURI):
			case <-ctx.Done():
				s.cancelled <- r.RequestURI
			}
		case r.URL.Path == "/panic":
			panic("unexpected")
		case r.Method == http.MethodHead:
			return &Response{Status: http.StatusOK, Header: http.Header{"Content-Length": {"10"}}}
		}
		return text(http.StatusOK, r.Method+" "+r.RequestURI+" "+string(body), strings.HasPrefix(r.URL.Path, "/close"))
	}
	return &Exchange{Exclusive: strings.HasPrefix(r.URL.Path, "/exclusive"), MaxBodyBytes: 1 << 10, Serve: serve}, nil
}

func (s *scriptedHandler) Refuse(_ *http.Request, cause Cause) *Response {
	status := map[Cause]int{
		CauseMalformed: 400, CauseHeadSize: 431, CauseBodySize: 413, CauseBodyMemory: 503, CausePanicked: 502, CauseResponseMemory: 504,
	}[cause]
	return text(status, "", true)
}

func text(status int, body string, closing bool) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(body), Close: closing}
}

// harness is a running server with a scripted handler.
type harness struct {
	*testing.T
	*scriptedHandler
	server  *Server
	address string
}

// responseBudgetBytes bounds the responses that wait to be written.
const responseBudgetBytes = 4000

func newHarness(t *testing.T) *harness { return newHarnessWith(t, 4<<10) }

func newHarnessWith(t *testing.T, bodyBytes int64) *harness {
	s := &scriptedHandler{started: make(chan string, 100), cancelled: make(chan string, 100), gates: map[string]chan struct{}{}}
	h := &harness{T: t, scriptedHandler: s, server: NewServer(Options{
		Handler: s, MaxPipelined: 4, MaxHeadBytes: 4 << 10, BodyBudget: memory.NewBudget(bodyBytes), ResponseBudget: memory.NewBudget(responseBudgetBytes),
		HeadTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute,
		Log: slog.New(slog.DiscardHandler),
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = l.Addr().String()
	ended := make(chan error, 1)
	go func() { ended <- h.server.Serve(l) }()
	t.Cleanup(func() {
		_ = h.server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return h
}

// caller is a raw client connection.
type caller struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func (h *harness) dial() *caller {
	h.Helper()
	nc, err := net.Dial("tcp", h.address)
	if err != nil {
		h.Fatal(err)
	}
	_ = nc.SetDeadline(time.Now().Add(waitLimit))
	h.Cleanup(func() { _ = nc.Close() })
	return &caller{h.T, nc, bufio.NewReader(nc)}
}

func (c *caller) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// expect reads a response and compares its status and body; a body of "*" is
// not compared.
func (c *caller) expect(status int, body string) *http.Response {
	c.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.Fatalf("want %d %q: %v", status, body, err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || body != "*" && string(got) != body {
		c.Fatalf("got %d %q (%v), want %d %q", resp.StatusCode, got, err, status, body)
	}
	return resp
}

func (c *caller) expectEnd() {
	c.Helper()
	if b, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		c.Fatalf("byte %q, error %v, want the end of the connection", b, err)
	}
}

func (h *harness) await(what chan string, want ...string) {
	h.Helper()
	missing := map[string]bool{}
	for _, w := range want {
		missing[w] = true
	}
	for len(missing) > 0 {
		select {
		case got := <-what:
			if !missing[got] {
				h.Fatalf("%s, want one of %v", got, missing)
			}
			delete(missing, got)
		case <-time.After(waitLimit):
			h.Fatalf("missing: %v", missing)
		}
	}
}

func (h *harness) release(path string) { close(h.gate(path)) }

func (h *harness) eventually(what string, f func() bool) {
	h.Helper()
	for limit := time.Now().Add(waitLimit); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			h.Fatal("not in time: ", what)
		}
	}
}

// Pipelined requests run concurrently, and their responses keep the order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	for _, together := range []bool{true, false} {
		h := newHarness(t)
		c := h.dial()
		if together {
			c.send(get("/wait/0") + get("/wait/1") + get("/2"))
		} else {
			c.send(get("/wait/0"))
			h.await(h.started, "/wait/0")
			c.send("GET /wait/1 HTTP/1.1\r\nHo")
			c.send("st: h\r\n\r\n" + get("/2"))
		}
		want := []string{"/wait/0", "/wait/1", "/2"}
		if !together {
			want = want[1:]
		}
		h.await(h.started, want...)
		h.release("/wait/1")
		h.release("/wait/0")
		c.expect(200, "GET /wait/0 ")
		c.expect(200, "GET /wait/1 ")
		c.expect(200, "GET /2 ")
	}
}

// An exclusive request waits for all earlier ones; later requests don't wait for it.
func TestExclusiveRequestWaitsForEarlierOnes(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send(get("/wait/0") + get("/exclusive/1") + get("/2"))
	h.await(h.started, "/wait/0", "/2")
	select {
	case p := <-h.started:
		t.Fatalf("%s started concurrently with an earlier request", p)
	default:
	}
	h.release("/wait/0")
	h.await(h.started, "/exclusive/1")
	for _, want := range []string{"GET /wait/0 ", "GET /exclusive/1 ", "GET /2 "} {
		c.expect(200, want)
	}
}

// A caller disconnects while bytes of a further request, complete or not, have arrived:
// its running requests are cancelled, and those that wait never run.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	for _, more := range []string{"", "GET /half HT", get("/wait/1"), get("/exclusive/1")} {
		h := newHarness(t)
		c := h.dial()
		c.send(get("/wait/0") + more)
		want := []string{"/wait/0"}
		if more == get("/wait/1") {
			want = append(want, "/wait/1")
		}
		h.await(h.started, want...)
		_ = c.Close()
		h.await(h.cancelled, want...)
		h.eventually("the connection is removed", func() bool { return h.server.OpenConns() == 0 })
		if len(h.started) > 0 {
			t.Errorf("%q: %s ran after the caller had disconnected", more, <-h.started)
		}
	}
}

// A refusal closes the connection only if no later request of it was accepted.
func TestOnlyLastResponseClosesConnection(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send(get("/wait/0") + get("/refuse") + get("/wait/2"))
	h.await(h.started, "/wait/0", "/wait/2")
	h.release("/wait/0")
	c.expect(200, "GET /wait/0 ")
	if resp := c.expect(503, "refused"); resp.Close {
		t.Error("the refusal closes a connection on which a request runs")
	}
	h.release("/wait/2")
	c.expect(200, "GET /wait/2 ")
	c.send(get("/refuse") + get("/3"))
	c.expect(503, "refused")
	if resp, err := http.ReadResponse(c.in, nil); err == nil && resp.StatusCode != 200 {
		t.Errorf("status %d after a refusal", resp.StatusCode)
	}
}

// No request runs after a response that has closed the connection.
func TestNoRequestRunsAfterClosingResponse(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send("GET /close HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp := c.expect(200, "GET /close "); !resp.Close {
		t.Error("the response doesn't close the connection")
	}
	h.await(h.started, "/close")
	_, _ = io.WriteString(c.Conn, get("/behind"))
	c.expectEnd()
	h.eventually("the connection is removed", func() bool { return h.server.OpenConns() == 0 })
	if len(h.started) > 0 {
		t.Error("a request ran after the last response")
	}
}

func TestPipelinedRequestsAreBounded(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	for i := range 6 {
		c.send(get(fmt.Sprintf("/wait/%d", i)))
	}
	h.await(h.started, "/wait/0", "/wait/1", "/wait/2", "/wait/3")
	if len(h.started) > 0 {
		t.Error("more requests than MaxPipelined are open")
	}
	for i := range 6 {
		h.release(fmt.Sprintf("/wait/%d", i))
		c.expect(200, fmt.Sprintf("GET /wait/%d ", i))
	}
}

// A handler that panics fails only its own request.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send(get("/wait/0") + get("/panic") + get("/2"))
	h.await(h.started, "/wait/0", "/panic", "/2")
	h.release("/wait/0")
	c.expect(200, "GET /wait/0 ")
	c.expect(502, "")
	c.expect(200, "GET /2 ")
	for _, path := range []string{"/panic-at-head", "/before"} {
		c = h.dial()
		c.send(get(path))
		if path == "/before" {
			c.expect(200, "GET /before ")
			c.send(get("/panic-at-head"))
		}
		c.expectEnd()
	}
}

// During a shutdown every request that was read is served, including those that were
// pipelined behind it.
func TestShutdownServesAcceptedRequests(t *testing.T) {
	h := newHarness(t)
	idle, waiting := h.dial(), h.dial()
	idle.send(get("/before"))
	idle.expect(200, "GET /before ")
	waiting.send(get("/wait/0") + get("/wait/1"))
	h.await(h.started, "/before", "/wait/0", "/wait/1")
	done := make(chan error, 1)
	go func() { done <- h.server.Shutdown(t.Context()) }()
	idle.expectEnd()
	waiting.send(get("/wait/2"))
	h.await(h.started, "/wait/2")
	for i := range 3 {
		h.release(fmt.Sprintf("/wait/%d", i))
		resp := waiting.expect(200, fmt.Sprintf("GET /wait/%d ", i))
		if resp.Close != (i == 2) {
			t.Errorf("response %d closes: %v", i, resp.Close)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Many callers pipeline requests while the server shuts down: if a response doesn't
// close its connection, the request pipelined behind it is answered.
func TestShutdownUnderLoadDropsNoRequest(t *testing.T) {
	h := newHarness(t)
	go func() {
		for range h.started {
		}
	}()
	var served, cut atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				nc, err := net.Dial("tcp", h.address)
				if err != nil {
					return
				}
				in := bufio.NewReader(nc)
				for range 5 {
					if _, err := io.WriteString(nc, get("/a")+get("/b")); err != nil {
						break
					}
					first, err := http.ReadResponse(in, nil)
					if err != nil {
						break // the request was not read
					}
					_, _ = io.Copy(io.Discard, first.Body)
					served.Add(1)
					if first.Close {
						break
					}
					if second, err := http.ReadResponse(in, nil); err != nil {
						cut.Add(1)
					} else {
						_, _ = io.Copy(io.Discard, second.Body)
					}
				}
				_ = nc.Close()
			}
		})
	}
	h.eventually("there is load", func() bool { return served.Load() > 200 })
	if err := h.server.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if cut.Load() > 0 {
		t.Errorf("%d requests were dropped after a response that doesn't close", cut.Load())
	}
	close(h.started)
}

func TestPhaseTimeouts(t *testing.T) {
	now := time.Now()
	limit := time.Second
	cases := map[string]struct {
		phase   phase
		pending int
		after   time.Duration
		want    bool
	}{
		"idle":                 {phaseIdle, 0, 2 * limit, true},
		"idle for less":        {phaseIdle, 0, limit / 2, false},
		"a request is running": {phaseIdle, 1, 2 * limit, false},
		"slow head":            {phaseHead, 1, 2 * limit, true},
		"slow body":            {phaseBody, 0, 2 * limit, true},
		"last response due":    {phaseDone, 1, 2 * limit, false},
	}
	for name, tc := range cases {
		c := &conn{server: &Server{options: Options{HeadTimeout: limit, BodyTimeout: limit, IdleTimeout: limit}}}
		c.phase, c.phaseSince = tc.phase, now
		c.queue.pending = make([]*queuedRequest, tc.pending)
		if got := c.expired(now.Add(tc.after)); got != tc.want {
			t.Errorf("%s: expired %v", name, got)
		}
	}
}
