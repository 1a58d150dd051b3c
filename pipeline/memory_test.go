package pipeline

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

// idleConnections is the number of connections that BenchmarkIdleConnection keeps.
const idleConnections = 1000

// BenchmarkIdleConnection measures the memory of an idle connection after one request,
// of both its ends without the caller's read buffer, in this package's server and in
// net/http's.
func BenchmarkIdleConnection(b *testing.B) {
	handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	servers := map[string]interface {
		Serve(net.Listener) error
		Close() error
	}{
		"net/http": &http.Server{Handler: http.HandlerFunc(handler)},
		"pipeline": NewServer(Options{
			Handler: &scriptedHandler{started: make(chan string, 2*idleConnections)}, MaxPipelined: 4, MaxHeadBytes: 4 << 10,
			BodyBudget: memory.NewBudget(4 << 10), ResponseBudget: memory.NewBudget(responseBudgetBytes),
			HeadTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute,
			Log: slog.New(slog.DiscardHandler),
		}),
	}
	for name, s := range servers {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(l) }()
			before := heapBytes()
			conns := make([]net.Conn, 0, idleConnections)
			for range idleConnections {
				conns = append(conns, dialAndRequest(b, l.Addr().String()))
			}
			b.ReportMetric(float64(heapBytes()-before)/idleConnections, "B/connection")
			for _, c := range conns {
				_ = c.Close()
			}
			_ = s.Close()
		})
	}
}

func dialAndRequest(b *testing.B, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.WriteString(c, get("/a")); err != nil {
		b.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return c
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
