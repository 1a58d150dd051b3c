package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	endlessBytes = 64 << 20
	// maxAllocBytes bounds the memory that a response without end may cost: a head or a body
	// at its limit, with the growth of its buffers, and errors that quote it.
	maxAllocBytes = 8 << 20
	// maxDetailBytes bounds what the result tells of a response.
	maxDetailBytes = 1 << 10
)

// Guards against a node that runs out of memory since an instance sends bytes without end,
// and against callers that are sent these bytes in the description of the failure.
func TestResponseWithoutEndIsBounded(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	for what, c := range map[string]struct{ first, again, last string }{
		"not HTTP":                   {"", "rubbish ", ""},
		"lines that are not HTTP":    {"", "rubbish\r\n", ""},
		"status line":                {ok[:13], "fine ", ""},
		"one header line":            {ok + "X-Long: ", "long", ""},
		"header fields":              {ok, "X-More: more\r\n", ""},
		"one folded header line":     {ok + "X-Long: a\r\n", " folded\r\n", ""},
		"interim responses":          {"", "HTTP/1.1 103 Early Hints\r\nLink: more\r\n\r\n", ""},
		"interim response's fields":  {"HTTP/1.1 103 Early Hints\r\n", "Link: more\r\n", ""},
		"chunks":                     {chunked, "400\r\n" + strings.Repeat("x", 1024) + "\r\n", ""},
		"chunks of one byte":         {chunked, "1\r\nx\r\n", ""},
		"chunk extension":            {chunked + "4;", "more", ""},
		"trailer":                    {chunked + "0\r\n", "X-More: more\r\n", ""},
		"trailer line":               {chunked + "0\r\nX-More: ", "more", ""},
		"body without a length":      {ok + "Connection: close\r\n\r\n", "more", ""},
		"body beyond the bound":      {ok + "Content-Length: 60000000\r\n\r\n", "more", ""},
		"long line that is not HTTP": {strings.Repeat("\x01", 60<<10) + "\r\n\r\n", "", "end"},
	} {
		t.Run(what, func(t *testing.T) {
			var read atomic.Int64
			ended := make(chan struct{})
			block := []byte(strings.Repeat(c.again, (32<<10)/max(len(c.again), 1)))
			u := instance(t, func(conn *net.TCPConn, in *bufio.Reader) {
				defer close(ended)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, err := io.WriteString(conn, c.first)
				for c.last == "" && err == nil && read.Load() < endlessBytes {
					var n int
					n, err = conn.Write(block)
					read.Add(int64(n))
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			r := exchangeWithin(t, u, http.MethodGet, nil)
			runtime.ReadMemStats(&after)
			if r.Outcome != kernel.OutcomeUnknown || r.Reason != kernel.ReasonUpstream {
				t.Errorf("%s %s", r.Outcome, r.Reason)
			}
			if cost := after.TotalAlloc - before.TotalAlloc; cost > maxAllocBytes {
				t.Errorf("%d KB allocated", cost>>10)
			}
			if len(r.Detail) > maxDetailBytes || len(r.Body) > 0 {
				t.Errorf("%d bytes of detail, %d of body", len(r.Detail), len(r.Body))
			}
			<-ended // the connection is closed, not drained
			if n := read.Load(); n >= endlessBytes {
				t.Errorf("%d KB read", n>>10)
			}
		})
	}
}
