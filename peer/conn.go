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

// Errors returned to the requesting side.
var (
	// ErrConnLost means that the connection ended before the response arrived.
	// The peer may have acted on the request.
	ErrConnLost = errors.New("connection to peer lost")
	// ErrRemote wraps an error text returned by the peer's handler.
	ErrRemote = errors.New("peer returned an error")
	// errHandlerPanicked is sent to the sender of a message whose handler
	// panicked.
	errHandlerPanicked = errors.New("internal error")
)

const (
	readBufferBytes = 4 << 10
	// maxIdleWorkers bounds the idle goroutines kept for further messages.
	maxIdleWorkers = 16

	// frameTimeout bounds the time from a frame's length prefix to its end: the
	// largest frame takes 1.2 s on the slowest link of the deployments, 120 Mbit/s.
	frameTimeout = 10 * time.Second

	// A connection with outstanding requests on which nothing has arrived for
	// silentChecksBeforePing checks gets a ping; it is closed after
	// maxSilentChecks checks. Checks are counted instead of measuring time, so
	// that a node short of CPU time does not mistake its own delay for the peer's.
	livenessCheckInterval  = 250 * time.Millisecond
	silentChecksBeforePing = 1
	maxSilentChecks        = 4
)

// kindOverdue is the kind of the notification that the request with the frame's ID is
// overdue (kernel.ReportOverdue). It is no frame type of its own because earlier builds
// close a connection on which an unknown type arrives, and ignore an unknown kind.
const kindOverdue = "overdue"

// workerPool handles the messages of all connections of the process.
var workerPool = workers.New(maxIdleWorkers)

// handlerFunc handles the message of one frame.
type handlerFunc func(ctx context.Context, kind string, from state.MemberID, body []byte) ([]byte, error)

// Traffic counts frames and bytes in both directions, without the overhead of TLS
// and the network.
type Traffic struct {
	FramesSent, FramesReceived atomic.Int64
	BytesSent, BytesReceived   atomic.Int64
}

// conn multiplexes the requests of both sides over one byte stream.
type conn struct {
	stream  io.ReadWriteCloser
	handle  handlerFunc
	traffic *Traffic
	nextID  atomic.Uint64
	// received counts the frames read, to distinguish a silent peer from a slow
	// response.
	received atomic.Uint64
	// lastReceived and silentChecks are used by checkLiveness only: the frames
	// received at the last check, and the consecutive checks without a new frame.
	lastReceived uint64
	silentChecks int

	writeMu sync.Mutex

	mu sync.Mutex
	// pending holds the requests waiting for a response, cancels the requests
	// being served; both are keyed by request ID.
	pending map[uint64]pendingRequest
	cancels map[uint64]context.CancelCauseFunc
	closed  bool

	done chan struct{}
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	response chan *frame
	overdue  func() // called when the peer reports that the request is overdue; may be nil
}

// newConn returns a conn that reads from the stream on its own goroutine.
func newConn(stream io.ReadWriteCloser, handle handlerFunc, traffic *Traffic) *conn {
	c := &conn{
		stream:  stream,
		handle:  handle,
		traffic: traffic,
		pending: make(map[uint64]pendingRequest),
		cancels: make(map[uint64]context.CancelCauseFunc),
		done:    make(chan struct{}),
	}
	go c.readLoop()
	return c
}

// request sends one message, whose tail may be nil, and waits for the response.
// The error wraps kernel.ErrNotSent only if no byte of the message was written.
func (c *conn) request(ctx context.Context, kind string, from state.MemberID, body, tail []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	buf, err := encodeFrame(&frame{Type: frameRequest, ID: id, Kind: kind, From: from, Body: body, Tail: tail})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", kernel.ErrNotSent, err)
	}
	response, err := c.addPending(id, kernel.OverdueHandler(ctx))
	if err != nil {
		return nil, err
	}
	defer c.removePending(id)
	if err := c.writeWithTail(buf, tail); err != nil {
		c.close()
		return nil, fmt.Errorf("%w: %w", ErrConnLost, err)
	}
	select {
	case f := <-response:
		if f.ErrorText != "" {
			return nil, fmt.Errorf("%w: %s", ErrRemote, f.ErrorText)
		}
		return f.Body, nil
	case <-c.done:
		return nil, ErrConnLost
	case <-ctx.Done():
		c.sendCancel(id)
		return nil, ctx.Err()
	}
}

func (c *conn) addPending(id uint64, overdue func()) (chan *frame, error) {
	response := make(chan *frame, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("%w: %w", kernel.ErrNotSent, ErrConnLost)
	}
	c.pending[id] = pendingRequest{response, overdue}
	return response, nil
}

func (c *conn) removePending(id uint64) {
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

// writeWithTail writes a frame and its tail, unless the frame already contains the
// tail.
func (c *conn) writeWithTail(buf, tail []byte) error {
	if len(tail) <= maxCopiedTailBytes {
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

// readFrame reads the next frame. A frame whose length prefix has arrived must be
// complete within frameTimeout.
func (c *conn) readFrame(r *bufio.Reader) (*frame, int, error) {
	header, err := r.Peek(frameHeaderBytes)
	if err != nil {
		return nil, 0, err
	}
	stream, hasDeadline := c.stream.(interface{ SetReadDeadline(time.Time) error })
	if hasDeadline && r.Buffered() < frameHeaderBytes+int(binary.BigEndian.Uint32(header)) {
		_ = stream.SetReadDeadline(time.Now().Add(frameTimeout))
		defer func() { _ = stream.SetReadDeadline(time.Time{}) }()
	}
	return readFrame(r)
}

func (c *conn) dispatch(f *frame) {
	switch f.Type {
	case frameRequest:
		c.serveRequest(f)
	case frameResponse:
		c.deliverResponse(f)
	case frameCancel:
		c.cancelRequest(f.ID)
	case framePing:
		c.sendPong()
	case framePong:
	case frameNotification:
		if f.Kind == kindOverdue {
			c.deliverOverdue(f.ID)
			return
		}
		// Notifications are handled in order, on the reading goroutine; their
		// handlers must not block.
		_, _ = c.handleRecovering(context.Background(), f)
	}
}

// handleRecovering calls the handler and recovers from a panic, so that a message
// cannot end the process; the sender gets an error.
func (c *conn) handleRecovering(ctx context.Context, f *frame) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("message handling panicked", "kind", f.Kind, "from", string(f.From), "cause", fmt.Sprint(cause))
			body, err = nil, errHandlerPanicked
		}
	}()
	return c.handle(ctx, f.Kind, f.From, f.Body)
}

// notify sends a one-way message.
func (c *conn) notify(kind string, body []byte) {
	buf, err := encodeFrame(&frame{Type: frameNotification, Kind: kind, Body: body})
	if err != nil {
		return
	}
	_ = c.write(buf)
}

// sendPong responds to a ping.
func (c *conn) sendPong() {
	buf, err := encodeFrame(&frame{Type: framePong})
	if err != nil {
		return
	}
	go func() { _ = c.write(buf) }()
}

// checkLiveness sends a ping if requests are outstanding but nothing arrives, and
// closes the connection if nothing arrives after the pings either.
func (c *conn) checkLiveness() {
	c.mu.Lock()
	waiting := len(c.pending) > 0
	c.mu.Unlock()
	received := c.received.Load()
	if !waiting || received != c.lastReceived {
		c.lastReceived, c.silentChecks = received, 0
		return
	}
	c.silentChecks++
	if c.silentChecks >= maxSilentChecks {
		c.close()
		return
	}
	if c.silentChecks < silentChecksBeforePing {
		return
	}
	if buf, err := encodeFrame(&frame{Type: framePing}); err == nil {
		go func() { _ = c.write(buf) }()
	}
}

// deliverResponse passes a response to the waiting request. A late or duplicate
// response, for which no request waits, is dropped.
func (c *conn) deliverResponse(f *frame) {
	c.mu.Lock()
	request, waiting := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if waiting {
		request.response <- f
	}
}

// deliverOverdue passes on the peer's report that a request is overdue.
func (c *conn) deliverOverdue(id uint64) {
	c.mu.Lock()
	overdue := c.pending[id].overdue
	c.mu.Unlock()
	if overdue != nil {
		overdue()
	}
}

// sendOverdue reports to the peer that one of its requests is overdue.
func (c *conn) sendOverdue(id uint64) {
	if buf, err := encodeFrame(&frame{Type: frameNotification, ID: id, Kind: kindOverdue}); err == nil {
		go func() { _ = c.write(buf) }()
	}
}

func (c *conn) cancelRequest(id uint64) {
	c.mu.Lock()
	cancel := c.cancels[id]
	c.mu.Unlock()
	if cancel != nil {
		cancel(nil)
	}
}

// cancelRequests cancels all requests being served. Their responses are still sent.
func (c *conn) cancelRequests(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel(cause)
	}
}

func (c *conn) serveRequest(f *frame) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx = kernel.WithOverdueHandler(ctx, func() { c.sendOverdue(f.ID) })
	c.mu.Lock()
	_, duplicate := c.cancels[f.ID]
	if duplicate || c.closed {
		c.mu.Unlock()
		cancel(nil)
		return
	}
	c.cancels[f.ID] = cancel
	c.mu.Unlock()
	workerPool.Run(func() {
		defer c.finishRequest(f.ID, cancel)
		body, err := c.handleRecovering(ctx, f)
		if !c.isClosed() {
			c.respond(f.ID, body, err)
		}
	})
}

func (c *conn) finishRequest(id uint64, cancel context.CancelCauseFunc) {
	cancel(nil)
	c.mu.Lock()
	delete(c.cancels, id)
	c.mu.Unlock()
}

func (c *conn) respond(id uint64, body []byte, err error) {
	f := &frame{Type: frameResponse, ID: id, Body: body}
	if err != nil {
		f.Body = nil
		f.ErrorText = err.Error()
	}
	buf, err := encodeFrame(f)
	if err != nil {
		buf, _ = encodeFrame(&frame{Type: frameResponse, ID: id, ErrorText: err.Error()})
	}
	if err := c.write(buf); err != nil {
		c.close()
	}
}

// close closes the connection and cancels all requests being served on it.
func (c *conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	toCancel := c.cancels
	c.cancels = make(map[uint64]context.CancelCauseFunc)
	c.mu.Unlock()
	for _, cancel := range toCancel {
		cancel(nil)
	}
	close(c.done)
	_ = c.stream.Close()
}

// isClosed reports whether the connection has been closed. Handlers cancelled by
// the close must not respond any more.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
