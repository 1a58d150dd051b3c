package boundlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output that takes nothing until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	content strings.Builder
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

// requestRecord is one about a request.
func requestRecord(second int64, level slog.Level, msg string) slog.Record {
	r := slog.NewRecord(time.Unix(second, 0), level, msg, 0)
	r.AddAttrs(slog.String(requestKey, "9c41d07be2a35f68"))
	return r
}

// The output blocks while ten times as many lines as fit into the queue are
// logged. No call may block, and every dropped line must be counted.
func TestBlockedOutputNeverBlocksTheCaller(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	h := NewHandler(slog.NewJSONHandler(w, nil), w, 1<<20)
	const lines = 10 * maxQueuedLines
	for range lines {
		if err := h.Handle(context.Background(), requestRecord(1, slog.LevelInfo, "line")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	dropped := w.dropped.Load()
	w.Close()
	if got := int64(strings.Count(out.content.String(), "\n")); got+dropped != lines || dropped == 0 {
		t.Errorf("%d lines written and %d counted as dropped, want %d in all and some dropped", got, dropped, lines)
	}
}

// checkLines checks how often each text occurs in the output.
func checkLines(t *testing.T, out string, want map[string]int) {
	t.Helper()
	for text, n := range want {
		if got := strings.Count(out, text); got != n {
			t.Errorf("%s: %d lines, want %d", text, got, n)
		}
	}
}

// handleTimes logs a record some times.
func handleTimes(h slog.Handler, times int, r slog.Record) {
	for range times {
		_ = h.Handle(context.Background(), r)
	}
}

func TestRateLimitPerSecondAndLevel(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	h := NewHandler(slog.NewJSONHandler(w, nil), w, 10)
	handleTimes(h, 25, requestRecord(1, slog.LevelInfo, "low"))
	handleTimes(h, 60, requestRecord(1, slog.LevelWarn, "high"))
	handleTimes(h, 1, requestRecord(2, slog.LevelInfo, "next second"))
	w.Close()
	checkLines(t, out.String(), map[string]int{`"low"`: 10, `"high"`: 15, `"next second"`: 1, `"lines":60`: 1})
	if h.Dropped() != 60 {
		t.Errorf("%d lines dropped, want 60", h.Dropped())
	}
}

// A stopping node logs the refusal of each request. These lines must not displace
// the line about the stop itself; lines about the process are limited as well.
func TestRequestLinesDoNotDisplaceProcessLines(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	h := NewHandler(slog.NewJSONHandler(w, nil), w, 10)
	handleTimes(h, 500, requestRecord(1, slog.LevelInfo, "refused"))
	handleTimes(h, 25, slog.NewRecord(time.Unix(1, 0), slog.LevelInfo, "stop", 0))
	w.Close()
	checkLines(t, out.String(), map[string]int{`"refused"`: 10, `"stop"`: 10})
}

// BenchmarkUnderLoad logs from many goroutines far above the rate limit and
// reports how many lines were kept and dropped.
func BenchmarkUnderLoad(b *testing.B) {
	w := NewWriter(io.Discard)
	h := NewHandler(slog.NewJSONHandler(w, nil), w, 60)
	log := slog.New(h)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			log.Info("request not answered by an instance", "request", "9c41d07be2a35f68", "status", 503, "reason", "overload")
		}
	})
	b.StopTimer()
	total := h.Dropped() + h.limiter.rateLimited.Load()
	b.ReportMetric(float64(b.N)-float64(total), "kept")
	b.ReportMetric(float64(total), "left-out")
	w.Close()
}

// A goroutine that outlives Close may still log a line when the process ends.
// This must not panic.
func TestWriteAfterCloseFails(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	if _, err := w.Write([]byte("before\n")); err != nil {
		t.Fatal(err)
	}
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 1000 {
				_, _ = w.Write([]byte("beside\n"))
			}
		})
	}
	w.Close()
	writers.Wait()
	if _, err := w.Write([]byte("after\n")); err == nil {
		t.Error("no error for a write after Close")
	}
	w.Close()
	if text := out.String(); !strings.HasPrefix(text, "before\n") || strings.Contains(text, "after") {
		t.Errorf("written: %.40q, want a start of \"before\" and no \"after\"", text)
	}
}
