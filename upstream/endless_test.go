package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

const (
	endlessBytes = 64 << 20
	// maxAllocBytes bounds the memory that an endless response may cost: the
	// largest body with the growth of its buffer, and heads. The test's instance
	// allocates next to nothing.
	maxAllocBytes = 6 << 20
	// maxReadBytes bounds the bytes read from the instance: a body in chunks of one
	// byte, a head, and the socket buffers.
	maxReadBytes = chunkOverhead<<20 + maxHeadBytes + 12<<20
)

// The instance sends bytes without end, in the head or body of a response, until
// the connection is closed. The exchange must end before its deadline with an
// error that says that the request may have run, and use no more memory than a
// response within the limits.
func TestResponseWithoutEndIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	cases := map[string]struct {
		first, again string
		chunk        int // size of a chunk; zero if not chunked
	}{
		"not HTTP":                  {"", "rubbish ", 0},
		"lines that are not HTTP":   {"", "rubbish\r\n", 0},
		"status line":               {"HTTP/1.1 200 ", "fine ", 0},
		"one header line":           {head + "X-Long: ", "long", 0},
		"header fields":             {head, "X-More: more\r\n", 0},
		"one folded header line":    {head + "X-Long: a\r\n", " folded\r\n", 0},
		"interim responses":         {"", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		"interim response's fields": {"HTTP/1.1 103 Early Hints\r\n", "Link: more\r\n", 0},
		"chunks":                    {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", 4},
		"chunks of one byte":        {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 1},
		"chunk extension":           {head + "Transfer-Encoding: chunked\r\n\r\n4;", "more", 0},
		"trailer":                   {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n", 0},
		"trailer line":              {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ", "more", 0},
		"body without a length":     {head + "Connection: close\r\n\r\n", "more", 0},
		"body beyond the bound":     {head + "Content-Length: 60000000\r\n\r\n", "more", 0},
		"responses to other requests": {"", strings.ReplaceAll(head, ": a", ": b") +
			"Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			ended := make(chan struct{})
			block := []byte(strings.Repeat(c.again, 1+(32<<10)/len(c.again)))
			p := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				defer close(ended)
				_, _ = io.WriteString(conn, c.first)
				for read.Load() < endlessBytes {
					n, err := conn.Write(block)
					read.Add(int64(n))
					if err != nil {
						break
					}
				}
				return false
			})
			p.limits.BodyBudget = memory.NewBudget(2 << 20)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, err := p.Do(ctx, request("a"))
			runtime.ReadMemStats(&after)
			if !errors.Is(err, ErrIncompleteResponse) || errors.Is(err, ErrNotSent) || ctx.Err() != nil {
				t.Fatalf("%v %v", resp, err)
			}
			maxAlloc := uint64(maxAllocBytes)
			if c.chunk > 0 {
				maxAlloc += uint64(raceChunkBytes * (1 << 20) / c.chunk) // for the chunks of the largest body
			}
			if cost := after.TotalAlloc - before.TotalAlloc; cost > maxAlloc {
				t.Errorf("%d KB allocated", cost>>10)
			}
			<-ended // the connection is closed, not drained
			if n := read.Load(); n > maxReadBytes {
				t.Errorf("%d KB read from the instance", n>>10)
			}
			if held := p.limits.BodyBudget.Reserved(); held != 0 {
				t.Errorf("%d bytes are still held", held)
			}
		})
	}
}

// A response that arrives too slowly ends with the call's deadline.
func TestSlowResponseEndsWithDeadline(t *testing.T) {
	ended := make(chan struct{})
	p := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		defer close(ended)
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return false
			}
			time.Sleep(time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if resp, err := p.Do(ctx, request("a")); !errors.Is(err, ErrIncompleteResponse) {
		t.Errorf("%v %v", resp, err)
	}
	<-ended
}

// A response that doesn't fit into the memory budget is an error, but doesn't mean
// that the instance is down.
func TestResponsesAreBoundedByMemoryBudget(t *testing.T) {
	p := startInstance(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), strings.Repeat("x", 1000)))
		return true
	})
	p.limits.BodyBudget = memory.NewBudget(1500)
	p.limits.BodyBudget.Reserve(1000)
	if resp, err := p.Do(t.Context(), request("a")); !errors.Is(err, ErrIncompleteResponse) || errors.Is(err, ErrDown) {
		t.Errorf("beyond the budget: %v %v", resp, err)
	}
	p.limits.BodyBudget.Release(1000)
	if _, err := p.Do(t.Context(), request("b")); err != nil || p.limits.BodyBudget.Reserved() != 0 {
		t.Errorf("within the budget: %v, %d held", err, p.limits.BodyBudget.Reserved())
	}
}
