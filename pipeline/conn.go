package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/workers"
)

// phase is the state of a connection's reading goroutine.
type phase uint8

const (
	phaseIdle phase = iota // waits for the next request
	phaseHead
	phaseBody
	phaseDone // reads no further request
)

// errStopping is the error of a body that has not arrived when the requests of its
// connection are cancelled.
var errStopping = errors.New("the server is stopping")

// maxIdleWorkers bounds the idle goroutines kept for further requests.
const maxIdleWorkers = 16

// requestWorkers serves the requests of all connections of the process.
var requestWorkers = workers.New(maxIdleWorkers)

// conn is one connection: first the net.Conn from which net/http's server reads the
// first head, then the pipeline of its requests.
type conn struct {
	net.Conn
	server *Server
	in     headReader
	// headRead is set once the first head has been buffered, headRemaining is the
	// number of its bytes that net/http's server has still to read, and headArrivedAt
	// is when it had arrived.
	headRead      bool
	headRemaining int
	headArrivedAt time.Time

	ctx    context.Context // ends when the connection is aborted or its requests are cancelled
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	progress *sync.Cond // signalled when a response has been written or the connection has ended
	queue    queue
	writing  bool
	// writeFailed is set when a response could not be written whole. Nothing may follow it.
	writeFailed bool
	phase       phase
	phaseSince  time.Time // start of the phase; while idle, time of the last response
	aborted     bool
	cancelled   bool // cancelRequests has been called
}

func newConn(nc net.Conn, s *Server) *conn {
	c := &conn{Conn: nc, server: s, in: newHeadReader(nc), phaseSince: time.Now()}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.progress = sync.NewCond(&c.mu)
	s.add(c)
	return c
}

// Read returns the first head to net/http's server, without later bytes in the same
// call.
func (c *conn) Read(p []byte) (int, error) {
	if !c.headRead {
		head, err := c.in.readHead(c.server.options.MaxHeadBytes, c.beginHead)
		switch {
		case errors.Is(err, errHeadSize):
			c.headRemaining = c.in.Buffered() // the server detects and refuses the oversized head
		case err != nil:
			return 0, err
		default:
			c.headRemaining = len(head)
		}
		c.headRead = true
		c.headArrivedAt = time.Now()
	}
	if c.headRemaining > 0 {
		n, err := c.in.Read(p[:min(len(p), c.headRemaining)])
		c.headRemaining -= n
		return n, err
	}
	return c.in.Read(p)
}

// Close aborts the connection; net/http's server calls it before the hijack.
func (c *conn) Close() error {
	c.abort()
	return nil
}

// CloseWrite lets net/http's server end a connection such that the caller can still
// read the last response.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// abort closes the connection, cancels its running requests and drops the others.
func (c *conn) abort() {
	c.mu.Lock()
	alreadyAborted := c.aborted
	c.aborted = true
	var bodies, responses int64
	if !alreadyAborted {
		bodies, responses = c.queue.drop()
	}
	c.mu.Unlock()
	if alreadyAborted {
		return
	}
	c.server.options.BodyBudget.Release(bodies)
	c.server.options.ResponseBudget.Release(responses)
	c.cancel(nil)
	c.progress.Broadcast()
	_ = c.Conn.Close()
	c.server.remove(c)
}

// cancelRequests ends the contexts of the running and waiting requests, whose responses
// are still written, and refuses a request whose body is still arriving.
func (c *conn) cancelRequests(cause error) {
	c.cancel(cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.phase == phaseBody {
		_ = c.SetReadDeadline(time.Now()) // ends the read of the body
	}
}

// readLoop accepts the first request, then reads and accepts further ones until the
// caller or the server ends the connection.
func (c *conn) readLoop(first *http.Request) {
	defer c.abort()
	defer func() {
		if cause := recover(); cause != nil {
			c.server.options.Log.Error("request failed unexpectedly", "cause", fmt.Sprint(cause))
		}
	}()
	if !c.acceptRequest(first, c.headArrivedAt) {
		c.discard()
		return
	}
	for c.awaitQueueSpace() {
		head, err := c.in.readHead(c.server.options.MaxHeadBytes, c.beginHead)
		if err != nil && !refusable(err) {
			return
		}
		if err == nil {
			var r *http.Request
			if r, err = parseHead(head); err == nil {
				_, err = c.in.Discard(len(head))
				if err == nil && c.acceptRequest(r, time.Now()) {
					continue
				}
				break
			}
		}
		c.refuse(nil, err)
		break
	}
	c.discard()
}

// refusable reports whether an error is answered with a refusal; other errors end the
// connection.
func refusable(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errHeadSize) ||
		errors.Is(err, errBodySize) || errors.Is(err, errBodyMemory) || errors.Is(err, errStopping)
}

// causeOf returns the cause of a refusable error.
func causeOf(err error) Cause {
	switch {
	case errors.Is(err, errHeadSize):
		return CauseHeadSize
	case errors.Is(err, errBodySize):
		return CauseBodySize
	case errors.Is(err, errBodyMemory):
		return CauseBodyMemory
	case errors.Is(err, errStopping):
		return CauseStopping
	}
	return CauseMalformed
}

// acceptRequest passes a head to the handler, reads the body and enqueues the request.
// It reports whether another request may follow.
func (c *conn) acceptRequest(r *http.Request, arrived time.Time) bool {
	exchange, refusal := c.server.options.Handler.Accept(r, arrived)
	emptyBody := r.ContentLength == 0
	if refusal != nil {
		return c.enqueue(&queuedRequest{method: r.Method, response: refusal, final: !emptyBody || isLastRequest(r)})
	}
	queued := &queuedRequest{exchange: exchange, method: r.Method, final: isLastRequest(r)}
	if !emptyBody {
		c.setPhase(phaseBody)
		if !c.sendContinue(r) {
			return false
		}
		var err error
		queued.body, queued.bodyReserved, err = readBody(&c.in, r, exchange.MaxBodyBytes, c.server.options.BodyBudget)
		if err != nil {
			c.server.options.BodyBudget.Release(queued.bodyReserved)
			if c.bodyCancelled(err) {
				err = errStopping
				_ = c.SetReadDeadline(time.Time{}) // the rest is discarded until the response has been written
			}
			if refusable(err) {
				c.refuse(r, err)
			} else {
				c.abort()
			}
			return false
		}
	}
	return c.enqueue(queued)
}

// bodyCancelled reports whether cancelRequests has ended the read of a body.
func (c *conn) bodyCancelled(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled && errors.Is(err, os.ErrDeadlineExceeded)
}

// isLastRequest reports whether the caller sends nothing after the request.
func isLastRequest(r *http.Request) bool { return r.Close || !r.ProtoAtLeast(1, 1) }

// sendContinue sends 100 Continue to a caller that expects it, once all earlier
// requests are answered. It reports whether the body can be read.
func (c *conn) sendContinue(r *http.Request) bool {
	if !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return true
	}
	c.mu.Lock()
	for len(c.queue.pending) > 0 && !c.aborted {
		c.progress.Wait()
	}
	aborted := c.aborted
	c.mu.Unlock()
	if aborted {
		return false
	}
	_, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// refuse enqueues the refusal of an unreadable request.
func (c *conn) refuse(r *http.Request, err error) {
	queued := &queuedRequest{response: c.server.options.Handler.Refuse(r, causeOf(err)), final: true}
	if r != nil {
		queued.method = r.Method
	}
	c.enqueue(queued)
}

// enqueue adds a request to the queue and starts it if it may run now. It reports
// whether another request may follow.
func (c *conn) enqueue(queued *queuedRequest) bool {
	c.mu.Lock()
	accepted, starts := c.queue.add(queued)
	answered := queued.response != nil // once unlocked, the request may run at any time
	c.phase = phaseIdle
	if queued.final || !accepted {
		c.phase = phaseDone
	}
	c.mu.Unlock()
	switch {
	case !accepted:
		c.server.options.BodyBudget.Release(queued.bodyReserved)
		return false
	case starts:
		requestWorkers.Run(func() { c.runRequest(queued) })
	case answered:
		c.writeDue()
	}
	return !queued.final
}

// runRequest serves one request and writes the responses that are due.
func (c *conn) runRequest(queued *queuedRequest) {
	response := c.serve(queued)
	c.server.options.BodyBudget.Release(queued.bodyReserved)
	c.mu.Lock()
	queued.response = c.reserveResponse(queued, response)
	c.mu.Unlock()
	c.writeDue()
}

// reserveResponse reserves memory for a response until it is written. If none is left,
// it returns a refusal in place of the response. c.mu is held.
func (c *conn) reserveResponse(queued *queuedRequest, response *Response) *Response {
	if c.aborted {
		return response // the response is dropped with the connection
	}
	if !c.server.options.ResponseBudget.Reserve(int64(len(response.Body))) {
		return c.server.options.Handler.Refuse(nil, CauseResponseMemory)
	}
	queued.responseReserved = int64(len(response.Body))
	return response
}

// serve runs a request and recovers from panics of its handler.
func (c *conn) serve(queued *queuedRequest) (response *Response) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.options.Log.Error("request failed unexpectedly", "cause", fmt.Sprint(cause))
			response = c.server.options.Handler.Refuse(nil, CausePanicked)
		}
	}()
	return queued.serve(c.ctx)
}

// writeDue writes the responses that are due, in order; one goroutine at a time.
func (c *conn) writeDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.writeFailed {
		return
	}
	c.writing = true
	defer func() { c.writing = false }()
	for {
		queued, last := c.queue.due(c.server.isStopping())
		if queued == nil {
			return
		}
		c.mu.Unlock()
		err := c.writeResponse(queued, last)
		c.mu.Lock()
		c.server.options.ResponseBudget.Release(queued.responseReserved)
		queued.responseReserved = 0
		if err != nil {
			c.finish(err)
			return
		}
		if next := c.queue.pop(); next != nil {
			requestWorkers.Run(func() { c.runRequest(next) })
		}
		if c.phase == phaseIdle {
			c.phaseSince = time.Now()
		}
		c.progress.Broadcast()
		if last {
			c.finish(nil)
			return
		}
	}
}

// finish ends the connection after its last response, or after a response that could
// not be written, behind which neither a response nor a request may follow. c.mu is held.
func (c *conn) finish(err error) {
	c.queue.closed = true
	c.phase = phaseDone
	if err != nil {
		c.writeFailed = true
		c.progress.Broadcast()
		go c.abort()
		return
	}
	_ = c.CloseWrite()
	// The deadline ends the reading goroutine's read; see discard.
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
}

// awaitQueueSpace waits until another request may be read ahead. It returns false if
// the connection accepts no further request.
func (c *conn) awaitQueueSpace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue.pending) >= c.server.options.MaxPipelined && !c.queue.closed {
		c.progress.Wait()
	}
	return !c.queue.closed
}

// discard reads and drops further bytes until the caller disconnects or, after the
// last response, for lingerTime.
func (c *conn) discard() { _, _ = io.Copy(io.Discard, c.in.Reader) }

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	c.phase, c.phaseSince = p, time.Now()
	if p == phaseBody && c.cancelled {
		_ = c.SetReadDeadline(c.phaseSince)
	}
	c.mu.Unlock()
}

func (c *conn) beginHead() { c.setPhase(phaseHead) }

// busy reports whether a request has begun to arrive and is not answered.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue.pending) > 0 || c.phase == phaseHead || c.phase == phaseBody
}

// closeIfIdle closes a connection without open requests. It reports whether no request
// is open and the connection accepts no further one.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	idle := len(c.queue.pending) == 0 && c.phase == phaseIdle
	closed := c.queue.closed && len(c.queue.pending) == 0
	c.mu.Unlock()
	if idle && !closed {
		c.abort()
	}
	return idle || closed
}

// expired reports whether a connection has exceeded the time limit of its phase.
func (c *conn) expired(now time.Time) bool {
	o := c.server.options
	c.mu.Lock()
	defer c.mu.Unlock()
	took := now.Sub(c.phaseSince)
	switch c.phase {
	case phaseHead:
		return took > o.HeadTimeout
	case phaseBody:
		return took > o.BodyTimeout
	case phaseIdle:
		return len(c.queue.pending) == 0 && took > o.IdleTimeout
	}
	return false
}
