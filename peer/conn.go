package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/workers"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Errors seen by the requesting side.
var (
	// ErrConnLost means that the connection ended before the answer came; the
	// peer may have acted on the request.
	ErrConnLost = errors.New("connection to peer lost")
	// ErrRemote wraps an error text returned by the peer's handler.
	ErrRemote = errors.New("peer refused message")
	// errHandler is told to the sender of a message whose handler panicked.
	errHandler = errors.New("internal error")
)

const (
	readBufferBytes = 4 << 10
	// idleWorkers bounds the goroutines that wait for further messages.
	idleWorkers = 16

	// frameTimeout bounds the time from a frame's length to its end: the largest
	// takes 1.2 s on the narrowest link of the deployments, 120 Mbit/s.
	frameTimeout = 10 * time.Second

	// A connection on which answers are due and nothing has arrived for
	// silentProbe checks is probed, and ended after silentLimit checks. Checks
	// are counted, not timed, so that a node short of processor time does not
	// take its own delay for the peer's.
	watchInterval = 250 * time.Millisecond
	silentProbe   = 1
	silentLimit   = 4
)

// messageWorkers serves the messages of all connections of the process.
var messageWorkers = workers.New(idleWorkers)

// handlerFunc serves one request frame.
type handlerFunc func(ctx context.Context, kind string, from state.MemberID, body []byte) ([]byte, error)

// Traffic counts the frames and bytes of one carrier, in both directions and
// without what TLS and the network add.
type Traffic struct {
	FramesSent, FramesReceived atomic.Int64
	BytesSent, BytesReceived   atomic.Int64
}

// conn multiplexes requests of both directions over one byte stream.
type conn struct {
	stream  io.ReadWriteCloser
	handle  handlerFunc
	traffic *Traffic
	nextID  atomic.Uint64
	// received counts frames read, to tell a silent peer from a slow answer.
	received atomic.Uint64
	// seen and silent belong to watch: frames received at the last check, and
	// checks in a row without a new one.
	seen   uint64
	silent int

	writeMu sync.Mutex

	mu      sync.Mutex
	pending map[uint64]chan *frame
	serving map[uint64]context.CancelFunc
	closed  bool

	done chan struct{}
}

// newConn starts reading from the stream.
func newConn(stream io.ReadWriteCloser, handle handlerFunc, traffic *Traffic) *conn {
	c := &conn{
		stream:  stream,
		handle:  handle,
		traffic: traffic,
		pending: make(map[uint64]chan *frame),
		serving: make(map[uint64]context.CancelFunc),
		done:    make(chan struct{}),
	}
	go c.readLoop()
	return c
}

// request sends one message, whose tail may be nil, and waits for its answer.
// An error wraps kernel.ErrNotSent only when no byte of the message was written.
func (c *conn) request(ctx context.Context, kind string, from state.MemberID, body, tail []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	buf, err := encodeFrame(&frame{Type: frameRequest, ID: id, Kind: kind, From: from, Body: body, Tail: tail})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", kernel.ErrNotSent, err)
	}
	answer, err := c.expect(id)
	if err != nil {
		return nil, err
	}
	defer c.forget(id)
	if err := c.writeWith(buf, tail); err != nil {
		c.close()
		return nil, fmt.Errorf("%w: %w", ErrConnLost, err)
	}
	select {
	case f := <-answer:
		if f.Fault != "" {
			return nil, fmt.Errorf("%w: %s", ErrRemote, f.Fault)
		}
		return f.Body, nil
	case <-c.done:
		return nil, ErrConnLost
	case <-ctx.Done():
		c.sendCancel(id)
		return nil, ctx.Err()
	}
}

func (c *conn) expect(id uint64) (chan *frame, error) {
	answer := make(chan *frame, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("%w: %w", kernel.ErrNotSent, ErrConnLost)
	}
	c.pending[id] = answer
	return answer, nil
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

func (c *conn) sendCancel(id uint64) {
	buf, err := encodeFrame(&frame{Type: frameCancel, ID: id})
	if err != nil {
		return
	}
	go func() { _ = c.write(buf) }()
}

func (c *conn) write(buf []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.stream.Write(buf)
	c.traffic.FramesSent.Add(1)
	c.traffic.BytesSent.Add(int64(n))
	return err
}

// writeWith writes a frame and its tail, unless that is in the frame already.
func (c *conn) writeWith(buf, tail []byte) error {
	if len(tail) <= copiedTailBytes {
		return c.write(buf)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.traffic.FramesSent.Add(1)
	for _, part := range [][]byte{buf, tail} {
		n, err := c.stream.Write(part)
		c.traffic.BytesSent.Add(int64(n))
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) readLoop() {
	defer c.close()
	r := bufio.NewReaderSize(c.stream, readBufferBytes)
	for {
		f, size, err := c.readFrame(r)
		if err != nil {
			return
		}
		c.traffic.FramesReceived.Add(1)
		c.traffic.BytesReceived.Add(int64(size))
		c.received.Add(1)
		c.dispatch(f)
	}
}

// readFrame reads the next frame. One that has begun ends within frameTimeout.
func (c *conn) readFrame(r *bufio.Reader) (*frame, int, error) {
	header, err := r.Peek(frameHeaderBytes)
	if err != nil {
		return nil, 0, err
	}
	stream, limited := c.stream.(interface{ SetReadDeadline(time.Time) error })
	if limited && r.Buffered() < frameHeaderBytes+int(binary.BigEndian.Uint32(header)) {
		_ = stream.SetReadDeadline(time.Now().Add(frameTimeout))
		defer func() { _ = stream.SetReadDeadline(time.Time{}) }()
	}
	return readFrame(r)
}

func (c *conn) dispatch(f *frame) {
	switch f.Type {
	case frameRequest:
		c.serve(f)
	case frameAnswer:
		c.deliver(f)
	case frameCancel:
		c.cancel(f.ID)
	case frameProbe:
		c.reply()
	case frameAlive:
	case frameNotice:
		// Notices are handled in order, on the reading goroutine; their handlers
		// must not block.
		_, _ = c.handleSafely(context.Background(), f)
	}
}

// handleSafely keeps a handler that panics on a message from ending the
// process; the sender gets an error.
func (c *conn) handleSafely(ctx context.Context, f *frame) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("message handling panicked", "kind", f.Kind, "from", string(f.From), "cause", fmt.Sprint(cause))
			body, err = nil, errHandler
		}
	}()
	return c.handle(ctx, f.Kind, f.From, f.Body)
}

// notify sends a message that has no answer.
func (c *conn) notify(kind string, body []byte) {
	buf, err := encodeFrame(&frame{Type: frameNotice, Kind: kind, Body: body})
	if err != nil {
		return
	}
	_ = c.write(buf)
}

// reply tells a probing peer that the connection works.
func (c *conn) reply() {
	buf, err := encodeFrame(&frame{Type: frameAlive})
	if err != nil {
		return
	}
	go func() { _ = c.write(buf) }()
}

// watch probes a connection on which answers are due but nothing arrives, and
// ends it when probes are not answered either.
func (c *conn) watch() {
	c.mu.Lock()
	due := len(c.pending) > 0
	c.mu.Unlock()
	received := c.received.Load()
	if !due || received != c.seen {
		c.seen, c.silent = received, 0
		return
	}
	c.silent++
	if c.silent >= silentLimit {
		c.close()
		return
	}
	if c.silent < silentProbe {
		return
	}
	if buf, err := encodeFrame(&frame{Type: frameProbe}); err == nil {
		go func() { _ = c.write(buf) }()
	}
}

// deliver hands an answer to its request; an answer nobody waits for, late or
// repeated, is dropped.
func (c *conn) deliver(f *frame) {
	c.mu.Lock()
	answer := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if answer != nil {
		answer <- f
	}
}

func (c *conn) cancel(id uint64) {
	c.mu.Lock()
	stop := c.serving[id]
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (c *conn) serve(f *frame) {
	ctx, stop := context.WithCancel(context.Background())
	c.mu.Lock()
	_, repeated := c.serving[f.ID]
	if repeated || c.closed {
		c.mu.Unlock()
		stop()
		return
	}
	c.serving[f.ID] = stop
	c.mu.Unlock()
	messageWorkers.Run(func() {
		defer c.served(f.ID, stop)
		body, err := c.handleSafely(ctx, f)
		if !c.ended() {
			c.answer(f.ID, body, err)
		}
	})
}

func (c *conn) served(id uint64, stop context.CancelFunc) {
	stop()
	c.mu.Lock()
	delete(c.serving, id)
	c.mu.Unlock()
}

func (c *conn) answer(id uint64, body []byte, err error) {
	f := &frame{Type: frameAnswer, ID: id, Body: body}
	if err != nil {
		f.Body = nil
		f.Fault = err.Error()
	}
	buf, err := encodeFrame(f)
	if err != nil {
		buf, _ = encodeFrame(&frame{Type: frameAnswer, ID: id, Fault: err.Error()})
	}
	if err := c.write(buf); err != nil {
		c.close()
	}
}

// close ends the connection and cancels everything it serves.
func (c *conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	stops := c.serving
	c.serving = make(map[uint64]context.CancelFunc)
	c.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	close(c.done)
	_ = c.stream.Close()
}

// ended reports that the connection has been closed. Handlers cancelled by the
// closing must not answer any more.
func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
