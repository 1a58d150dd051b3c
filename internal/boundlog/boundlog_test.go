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

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	written strings.Builder
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// record is one about a request.
func record(second int64, level slog.Level, msg string) slog.Record {
	r := slog.NewRecord(time.Unix(second, 0), level, msg, 0)
	r.AddAttrs(slog.String(requestKey, "9c41d07be2a35f68"))
	return r
}

// Pattern: an output that doesn't read while ten times the queue is logged.
// No call blocks, and what was left out is counted.
func TestBlockedOutputNeverBlocksTheCaller(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := NewWriter(out)
	h := NewHandler(slog.NewJSONHandler(w, nil), w, 1<<20)
	const lines = 10 * queueLines
	for range lines {
		if err := h.Handle(context.Background(), record(1, slog.LevelInfo, "line")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	dropped := w.dropped.Load()
	w.Close()
	if got := int64(strings.Count(out.written.String(), "\n")); got+dropped != lines || dropped == 0 {
		t.Errorf("%d written and %d counted of %d", got, dropped, lines)
	}
}

// checkLines compares how often texts stand in the output.
func checkLines(t *testing.T, out string, want map[string]int) {
	t.Helper()
	for text, n := range want {
		if got := strings.Count(out, text); got != n {
			t.Errorf("%s: %d lines, want %d", text, got, n)
		}
	}
}

// handle logs a record some times.
func handle(h slog.Handler, times int, r slog.Record) {
	for range times {
		_ = h.Handle(context.Background(), r)
	}
}

func TestRateOfASecond(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	h := NewHandler(slog.NewJSONHandler(w, nil), w, 10)
	handle(h, 25, record(1, slog.LevelInfo, "low"))
	handle(h, 60, record(1, slog.LevelWarn, "high"))
	handle(h, 1, record(2, slog.LevelInfo, "next second"))
	w.Close()
	checkLines(t, out.String(), map[string]int{`"low"`: 10, `"high"`: 15, `"next second"`: 1, `"lines":60`: 1})
	if h.Dropped() != 60 {
		t.Errorf("%d left out, want 60", h.Dropped())
	}
}

// Pattern: callers press a stopping node, which logs each refusal. The line of
// the stop itself is kept; lines about the process are bounded as well.
func TestLinesAboutTheProcessAreNotCrowdedOut(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	h := NewHandler(slog.NewJSONHandler(w, nil), w, 10)
	handle(h, 500, record(1, slog.LevelInfo, "refused"))
	handle(h, 25, slog.NewRecord(time.Unix(1, 0), slog.LevelInfo, "stop", 0))
	w.Close()
	checkLines(t, out.String(), map[string]int{`"refused"`: 10, `"stop"`: 10})
}

// BenchmarkUnderLoad logs from many goroutines far above the rate and reports
// how many lines were kept and left out.
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
	left := h.Dropped() + h.bound.leftOut.Load()
	b.ReportMetric(float64(b.N)-float64(left), "kept")
	b.ReportMetric(float64(left), "left-out")
	w.Close()
}

// Pattern: a goroutine that is left at the end of a process logs a line, which
// must not end the process in a panic.
func TestLinesAfterCloseAreNotWritten(t *testing.T) {
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
		t.Error("no error for a line after the end")
	}
	w.Close()
	if text := out.String(); !strings.HasPrefix(text, "before\n") || strings.Contains(text, "after") {
		t.Errorf("written: %.40q", text)
	}
}
