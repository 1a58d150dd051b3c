// Package boundlog writes log lines without blocking the caller and limits their
// rate. Dropped lines are counted; at most once a second, their number is logged.
package boundlog

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait for a slow output.
	maxQueuedLines = 1024
	// maxWriteBytes is the size up to which queued lines are joined into one
	// write.
	maxWriteBytes = 16 << 10
)

var errClosed = errors.New("write to a closed log")

// Writer queues lines for an output, which a goroutine writes.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // guards closed; held for reading while sending on lines
	closed bool
}

// NewWriter returns a writer to out. Close flushes it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line. If the queue is full, it drops and counts the line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, errClosed
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines. Later calls of Write fail.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	buf := make([]byte, 0, maxWriteBytes)
	for line := range w.lines {
		buf = append(buf[:0], line...)
		for len(buf) < maxWriteBytes {
			more, ok := w.tryNext()
			if !ok {
				break
			}
			buf = append(buf, more...)
		}
		if _, err := out.Write(buf); err != nil {
			w.dropped.Add(1) // the error can't be logged: the log's output failed
		}
	}
}

func (w *Writer) tryNext() ([]byte, bool) {
	select {
	case line, ok := <-w.lines:
		return line, ok
	default:
		return nil, false
	}
}

// requestKey is the key of the first attribute of a record about a request.
const requestKey = "request"

// Handler limits the rate of records: rate per second below level warn, four
// times rate per second from warn on. Records about the process itself, whose
// first attribute is not "request", have a reserve of rate per second beyond
// these limits, so that records about requests can't displace them.
type Handler struct {
	slog.Handler
	limiter *limiter
}

type limiter struct {
	rate         int64
	second       atomic.Int64
	allLines     atomic.Int64
	processLines atomic.Int64
	rateLimited  atomic.Int64
	reported     atomic.Int64
	writer       *Writer
}

// NewHandler wraps a handler that writes to w.
func NewHandler(h slog.Handler, w *Writer, rate int) *Handler {
	return &Handler{Handler: h, limiter: &limiter{rate: int64(rate), writer: w}}
}

// Handle passes a record on, or drops and counts it if it exceeds the rate.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	l := h.limiter
	second := r.Time.Unix()
	if previous := l.second.Load(); second != previous && l.second.CompareAndSwap(previous, second) {
		l.allLines.Store(0)
		l.processLines.Store(0)
		h.reportDropped(ctx, r.Time)
	}
	rate := l.rate
	if r.Level >= slog.LevelWarn {
		rate *= 4
	}
	if l.allLines.Add(1) > rate && (aboutRequest(r) || l.processLines.Add(1) > l.rate) {
		l.rateLimited.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

func aboutRequest(r slog.Record) bool {
	about := false
	r.Attrs(func(a slog.Attr) bool {
		about = a.Key == requestKey
		return false
	})
	return about
}

func (h *Handler) reportDropped(ctx context.Context, now time.Time) {
	n := h.limiter.rateLimited.Swap(0) + h.limiter.writer.dropped.Swap(0)
	if n == 0 {
		return
	}
	h.limiter.reported.Add(n)
	r := slog.NewRecord(now, slog.LevelWarn, "log lines left out", 0)
	r.AddAttrs(slog.Int64("lines", n))
	_ = h.Handler.Handle(ctx, r) // the wrapped handler only queues the line
}

// Dropped returns the number of dropped lines that have been reported in the log.
func (h *Handler) Dropped() int64 { return h.limiter.reported.Load() }

// WithAttrs returns a handler that shares the rate limit.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a handler that shares the rate limit.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}
