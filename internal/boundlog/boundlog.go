// Package boundlog writes log lines without ever blocking the caller and with
// a bound on their volume. Lines beyond the bound are counted, and the count
// is logged once a second.
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
	// queueLines is the number of lines that wait for a slow output.
	queueLines = 1024
	// writeBytes gathers lines into one write.
	writeBytes = 16 << 10
)

var errClosed = errors.New("the log is closed")

// Writer queues whole lines for an output.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // guards closed, and lines against being closed
	closed bool
}

// NewWriter returns a writer to out; Close flushes it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line, or drops and counts it.
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

// Close writes what is queued. Lines that come after it are not written.
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
	buf := make([]byte, 0, writeBytes)
	for line := range w.lines {
		buf = append(buf[:0], line...)
		for len(buf) < writeBytes {
			more, ok := w.next()
			if !ok {
				break
			}
			buf = append(buf, more...)
		}
		if _, err := out.Write(buf); err != nil {
			w.dropped.Add(1) // there is nowhere left to tell it
		}
	}
}

func (w *Writer) next() ([]byte, bool) {
	select {
	case line, ok := <-w.lines:
		return line, ok
	default:
		return nil, false
	}
}

// requestKey is the first attribute of a record about one request.
const requestKey = "request"

// Handler passes on at most rate records a second below the level warn, and
// four times as many at or above it. Records about the process itself, which
// don't begin with the attribute "request", have rate a second of their own
// besides, so that those about requests don't crowd them out.
type Handler struct {
	slog.Handler
	bound *bound
}

type bound struct {
	rate    int64
	second  atomic.Int64
	lines   atomic.Int64
	process atomic.Int64
	leftOut atomic.Int64
	total   atomic.Int64
	writer  *Writer
}

// NewHandler wraps a handler that writes to w.
func NewHandler(h slog.Handler, w *Writer, rate int) *Handler {
	return &Handler{Handler: h, bound: &bound{rate: int64(rate), writer: w}}
}

// Handle passes a record on or counts it as left out.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	b := h.bound
	second := r.Time.Unix()
	if old := b.second.Load(); second != old && b.second.CompareAndSwap(old, second) {
		b.lines.Store(0)
		b.process.Store(0)
		h.reportLeftOut(ctx, r.Time)
	}
	rate := b.rate
	if r.Level >= slog.LevelWarn {
		rate *= 4
	}
	if b.lines.Add(1) > rate && (aboutRequest(r) || b.process.Add(1) > b.rate) {
		b.leftOut.Add(1)
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

func (h *Handler) reportLeftOut(ctx context.Context, now time.Time) {
	n := h.bound.leftOut.Swap(0) + h.bound.writer.dropped.Swap(0)
	if n == 0 {
		return
	}
	h.bound.total.Add(n)
	r := slog.NewRecord(now, slog.LevelWarn, "log lines left out", 0)
	r.AddAttrs(slog.Int64("lines", n))
	_ = h.Handler.Handle(ctx, r) // the wrapped handler writes to memory
}

// Dropped returns the number of lines left out and reported so far.
func (h *Handler) Dropped() int64 { return h.bound.total.Load() }

// WithAttrs returns a handler with the same bound.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), bound: h.bound}
}

// WithGroup returns a handler with the same bound.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), bound: h.bound}
}
