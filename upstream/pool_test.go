package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const idHeader = "X-Id"

// startInstance starts a server that calls answer for each request, with n
// counting the requests from 1, and returns a pool for it. If answer returns
// false, the server closes the connection.
func startInstance(t testing.TB, answer func(conn net.Conn, r *http.Request, n int) bool) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	var serving sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	// Waits for all goroutines, since another test may measure memory next.
	t.Cleanup(func() { cancel(); _ = l.Close(); serving.Wait() })
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if !answer(conn, r, int(requests.Add(1))) {
						return
					}
				}
			})
		}
	})
	p := NewPool(l.Addr().String(), Limits{MaxBodyBytes: 1 << 20})
	t.Cleanup(p.Close)
	return p
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a", Host: "h", ID: id, IDHeader: idHeader, Header: http.Header{idHeader: {id}},
	}
}

func readBody(r *http.Request) string {
	body, _ := io.ReadAll(r.Body)
	return string(body)
}

// The instance sends a second response to an earlier request before the response
// to the current one.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	p := startInstance(t, func(conn net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get(idHeader)
		if n == 2 {
			_, _ = io.WriteString(conn, response("one", "late"))
		}
		_, _ = io.WriteString(conn, response(id, "own "+id))
		return true
	})
	for _, id := range []string{"one", "two", "three"} {
		resp, err := p.Do(t.Context(), request(id))
		if err != nil || string(resp.Body) != "own "+id {
			t.Fatalf("%s: %+v %v", id, resp, err)
		}
	}
	if p.MismatchedResponses.Load() != 1 || p.Dials.Load() != 1 {
		t.Errorf("%d mismatched responses, %d connections", p.MismatchedResponses.Load(), p.Dials.Load())
	}
}

// A connection on which bytes follow a response directly is not reused.
func TestConnectionWithTrailingBytesIsNotReused(t *testing.T) {
	p := startInstance(t, func(conn net.Conn, r *http.Request, n int) bool {
		extra := ""
		if n == 1 {
			extra = "rubbish"
		}
		_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), "x")+extra)
		return true
	})
	for _, id := range []string{"one", "two"} {
		if resp, err := p.Do(t.Context(), request(id)); err != nil || string(resp.Body) != "x" {
			t.Fatalf("%s: %v", id, err)
		}
	}
	if p.Dials.Load() != 2 {
		t.Errorf("%d connections, want a second one", p.Dials.Load())
	}
}

func TestIncompleteResponses(t *testing.T) {
	cases := map[string]struct {
		answer string
		reset  bool
		err    error
	}{
		"cut body":                        {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf", false, ErrIncompleteResponse},
		"cut chunks":                      {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, ErrIncompleteResponse},
		"no response":                     {"", false, ErrIncompleteResponse},
		"not HTTP":                        {"hello\r\n\r\n", false, ErrIncompleteResponse},
		"reset without length":            {"HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nhalf", true, ErrIncompleteResponse},
		"ends with the connection":        {"HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nwhole", false, nil},
		"an interim response comes first": {"HTTP/1.1 103 Early Hints\r\n\r\n" + response("a", "whole"), false, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, c.answer)
				if c.reset {
					time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			resp, err := p.Do(t.Context(), request("a"))
			if !errors.Is(err, c.err) || c.err == nil && (err != nil || string(resp.Body) != "whole") {
				t.Fatalf("%+v %v", resp, err)
			}
			if errors.Is(err, ErrDown) || errors.Is(err, ErrNotSent) {
				t.Errorf("the instance still listens and may have run the request: %v", err)
			}
		})
	}
}

func TestErrorsDistinguishDownFromNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(l.Addr().String(), Limits{MaxBodyBytes: 10})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_ = l.Close()
		_ = conn.Close()
	}()
	if _, err := p.Do(t.Context(), request("a")); !errors.Is(err, ErrDown) || errors.Is(err, ErrNotSent) {
		t.Errorf("the instance went down with the request: %v", err)
	}
	if _, err := p.Do(t.Context(), request("b")); !errors.Is(err, ErrNotSent) {
		t.Errorf("no connection: %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.Do(ended, request("c")); !errors.Is(err, ErrNotSent) {
		t.Errorf("context cancelled before the exchange: %v", err)
	}
}

// The instance rejects a long request before it has read it and keeps the
// connection. The rest of the body must not be taken for the next request.
func TestEarlyResponseToLongRequest(t *testing.T) {
	p := startInstance(t, func(conn net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get(idHeader)
		_, _ = io.WriteString(conn, response(id, "early "+id))
		if body := readBody(r); n > 1 && body != "" {
			t.Errorf("request %d came with %d bytes of an earlier body", n, len(body))
		}
		return true
	})
	long := request("one")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("x", 8<<20))
	if resp, err := p.Do(t.Context(), long); err == nil && string(resp.Body) != "early one" {
		t.Fatalf("long request: %q", resp.Body)
	}
	if resp, err := p.Do(t.Context(), request("two")); err != nil || string(resp.Body) != "early two" {
		t.Fatalf("next request: %v", err)
	}
}

// When the caller cancels, the connection is closed, which tells the instance.
func TestCancelClosesConnection(t *testing.T) {
	began, noticed := make(chan struct{}), make(chan struct{})
	p := startInstance(t, func(conn net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			close(began)
			_, _ = conn.Read(make([]byte, 1))
			close(noticed)
		}
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	if _, err := p.Do(ctx, request("a")); !errors.Is(err, ErrIncompleteResponse) {
		t.Errorf("got %v", err)
	}
	<-noticed
}

// A non-idempotent request doesn't use a connection that the instance may have
// dropped.
func TestNonIdempotentRequestAvoidsOldConnections(t *testing.T) {
	p := startInstance(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), "x"))
		return true
	})
	for i, old := range []bool{false, false, true} {
		r := request(fmt.Sprint(i))
		r.NonIdempotent = true
		if old {
			p.idle[0].lastUsed = p.idle[0].lastUsed.Add(-2 * nonIdempotentIdle)
		}
		if _, err := p.Do(t.Context(), r); err != nil {
			t.Fatal(err)
		}
	}
	if p.Dials.Load() != 2 {
		t.Errorf("%d connections, want 2", p.Dials.Load())
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "timeout=10": 9 * time.Second, "max=5, timeout=3": 2 * time.Second, "timeout=1": 1, "timeout=x": 0,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// The response to a HEAD request has a Content-Length but no body.
func TestHeadResponseHasNoBody(t *testing.T) {
	p := startInstance(t, func(conn net.Conn, r *http.Request, _ int) bool {
		body := "whole"
		if r.Method == http.MethodHead {
			body = ""
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\n%s", r.Header.Get(idHeader), body)
		return true
	})
	head := request("a")
	head.Method = http.MethodHead
	if resp, err := p.Do(t.Context(), head); err != nil || len(resp.Body) != 0 || resp.Header.Get("Content-Length") != "5" {
		t.Fatalf("%+v %v", resp, err)
	}
	if resp, err := p.Do(t.Context(), request("b")); err != nil || string(resp.Body) != "whole" || p.Dials.Load() != 1 {
		t.Errorf("%+v %v on %d connections", resp, err, p.Dials.Load())
	}
}

// Guards against a request that waited for a connection being sent although its sender
// has withdrawn it meanwhile.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	var arrived atomic.Int64
	p := startInstance(t, func(conn net.Conn, r *http.Request, _ int) bool {
		arrived.Add(1)
		_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), "a"))
		return true
	})
	for range 2 { // on a new connection and on a kept one
		r := request("withdrawn")
		r.Permit = func() bool { return false }
		if resp, err := p.Do(t.Context(), r); !errors.Is(err, ErrNotSent) {
			t.Errorf("%v %v", resp, err)
		}
		r = request("permitted")
		r.Permit = func() bool { return true }
		if _, err := p.Do(t.Context(), r); err != nil {
			t.Error(err)
		}
	}
	if got := arrived.Load(); got != 2 {
		t.Errorf("%d requests arrived, want the two permitted ones", got)
	}
}

// Guards against a response that ends early being taken for a whole one, with an empty or
// short body: in each part of its head and body, by a close or a reset, also of the
// response to HEAD.
func TestResponseThatEndsEarlyIsIncomplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	bodies := map[string]string{
		"length":       head + "Content-Length: 4\r\n\r\nbody",
		"chunks":       head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"no length":    head + "Connection: close\r\n\r\nbody",
		"after 103":    "HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
		"after a skip": strings.ReplaceAll(head, ": a", ": b") + "Content-Length: 0\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
		"bare CR":      "HTTP/1.1 200 OK\r\nX-Id: a\rContent-Length: 0\r\n\r\n",
	}
	for name, whole := range bodies {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s reset %v", name, method, reset), func(t *testing.T) {
					var cut atomic.Int64
					p := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
						_, _ = io.WriteString(conn, whole[:cut.Load()])
						if reset {
							time.Sleep(time.Millisecond) // the bytes arrive before the reset
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					end := len(whole) - 1
					switch {
					case method == http.MethodHead:
						end = strings.LastIndex(whole, "\r\n\r\n") + 3 // the response is whole with its head
						if name == "chunks" {
							end = strings.Index(whole, "\r\n\r\n") + 3
						}
					case name == "no length" && !reset:
						end = strings.Index(whole, "\r\n\r\n") + 3 // its end is the end of the connection
					}
					for at := range end + 1 {
						cut.Store(int64(at))
						p.sent = sentIDs{} // each request counts as the first one with its ID
						r := request("a")
						r.Method = method
						if resp, err := p.Do(t.Context(), r); !errors.Is(err, ErrIncompleteResponse) || errors.Is(err, ErrNotSent) {
							t.Fatalf("cut at %d, after %q: %+v %v", at, whole[max(0, at-10):at], resp, err)
						}
					}
				})
			}
		}
	}
}
