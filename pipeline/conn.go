package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/workers"
)

// phase is what the reading goroutine of a connection waits for.
type phase uint8

const (
	phaseIdle phase = iota // the next request
	phaseHead
	phaseBody
	phaseDone // nothing is read any more
)

// idleWorkers bounds the goroutines that wait for further requests.
const idleWorkers = 16

// requestWorkers serve the requests of all connections of the process.
var requestWorkers = workers.New(idleWorkers)

// conn is one connection: first the net.Conn that net/http's server reads the
// first head from, then the pipeline of its requests.
type conn struct {
	net.Conn
	server *Server
	in     headReader
	// handed is what the server has still to read of the first head; headAt is
	// when that had arrived.
	started bool
	handed  int
	headAt  time.Time

	ctx    context.Context // ends when the caller has left
	cancel context.CancelFunc

	mu      sync.Mutex
	room    *sync.Cond // an entry has been answered, or the connection ended
	line    line
	writing bool
	phase   phase
	since   time.Time // of the phase, or of the last answer while it is idle
	left    bool
}

func newConn(nc net.Conn, s *Server) *conn {
	c := &conn{Conn: nc, server: s, in: newHeadReader(nc), since: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.room = sync.NewCond(&c.mu)
	s.add(c)
	return c
}

// Read serves net/http's server: the first head, and nothing behind it with the
// same call.
func (c *conn) Read(p []byte) (int, error) {
	if !c.started {
		head, err := c.in.next(c.server.options.MaxHeadBytes, c.beginHead)
		switch {
		case errors.Is(err, errHeadSize):
			c.handed = c.in.Buffered() // the server finds that out, too
		case err != nil:
			return 0, err
		default:
			c.handed = len(head)
		}
		c.started = true
		c.headAt = time.Now()
	}
	if c.handed > 0 {
		n, err := c.in.Read(p[:min(len(p), c.handed)])
		c.handed -= n
		return n, err
	}
	return c.in.Read(p)
}

// Close ends the connection; the server calls it before the take-over.
func (c *conn) Close() error {
	c.leave()
	return nil
}

// CloseWrite lets net/http's server end a connection so that the caller can
// read the last answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// leave closes the connection and cancels what runs for it.
func (c *conn) leave() {
	c.mu.Lock()
	again := c.left
	c.left = true
	var bodies, answers int64
	if !again {
		bodies, answers = c.line.drop()
	}
	c.mu.Unlock()
	if again {
		return
	}
	c.server.options.BodyBudget.Release(bodies)
	c.server.options.ResponseBudget.Release(answers)
	c.cancel()
	c.room.Broadcast()
	_ = c.Conn.Close()
	c.server.remove(c)
}

// read serves the first request and reads the others, until the caller or the
// server ends the connection.
func (c *conn) read(first *http.Request) {
	defer c.leave()
	defer func() {
		if cause := recover(); cause != nil {
			c.server.options.Log.Error("request failed unexpectedly", "cause", fmt.Sprint(cause))
		}
	}()
	if !c.take(first, c.headAt) {
		c.discard()
		return
	}
	for c.awaitRoom() {
		head, err := c.in.next(c.server.options.MaxHeadBytes, c.beginHead)
		if err != nil && !refusable(err) {
			return
		}
		if err == nil {
			var r *http.Request
			if r, err = parse(head); err == nil {
				_, err = c.in.Discard(len(head))
				if err == nil && c.take(r, time.Now()) {
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

// refusable reports errors that are answered; others end the connection.
func refusable(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errHeadSize) ||
		errors.Is(err, errBodySize) || errors.Is(err, errNoRoom)
}

func causeOf(err error) Cause {
	switch {
	case errors.Is(err, errHeadSize):
		return CauseHeadSize
	case errors.Is(err, errBodySize):
		return CauseBodySize
	case errors.Is(err, errNoRoom):
		return CauseBodyMemory
	}
	return CauseMalformed
}

// take reads the body of a request and puts it in line. It reports whether
// another request may follow.
func (c *conn) take(r *http.Request, arrived time.Time) bool {
	exchange, refusal := c.server.options.Handler.Accept(r, arrived)
	bodyless := r.ContentLength == 0
	if refusal != nil {
		return c.push(&entry{method: r.Method, answer: refusal, final: !bodyless || lastOf(r)})
	}
	e := &entry{exchange: exchange, method: r.Method, final: lastOf(r)}
	if !bodyless {
		c.setPhase(phaseBody)
		if !c.invite(r) {
			return false
		}
		var err error
		e.body, e.taken, err = readBody(&c.in, r, exchange.MaxBodyBytes, c.server.options.BodyBudget)
		if err != nil {
			c.server.options.BodyBudget.Release(e.taken)
			if refusable(err) {
				c.refuse(r, err)
			} else {
				c.leave()
			}
			return false
		}
	}
	return c.push(e)
}

// lastOf reports that the caller sends nothing after the request.
func lastOf(r *http.Request) bool { return r.Close || !r.ProtoAtLeast(1, 1) }

// invite tells a caller that waits for it to send the body.
func (c *conn) invite(r *http.Request) bool {
	if !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return true
	}
	c.mu.Lock()
	for len(c.line.waiting) > 0 && !c.left {
		c.room.Wait()
	}
	left := c.left
	c.mu.Unlock()
	if left {
		return false
	}
	_, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// refuse puts the answer to an unreadable request in line.
func (c *conn) refuse(r *http.Request, err error) {
	e := &entry{answer: c.server.options.Handler.Refuse(r, causeOf(err)), final: true}
	if r != nil {
		e.method = r.Method
	}
	c.push(e)
}

// push puts a request in line and starts it if its time has come. It reports
// whether another request may follow.
func (c *conn) push(e *entry) bool {
	c.mu.Lock()
	taken, starts := c.line.add(e)
	c.phase = phaseIdle
	if e.final || !taken {
		c.phase = phaseDone
	}
	c.mu.Unlock()
	switch {
	case !taken:
		c.server.options.BodyBudget.Release(e.taken)
		return false
	case starts:
		requestWorkers.Run(func() { c.run(e) })
	case e.answer != nil:
		c.flush()
	}
	return !e.final
}

// run serves one request and writes what answers are due.
func (c *conn) run(e *entry) {
	answer := c.serve(e)
	c.server.options.BodyBudget.Release(e.taken)
	c.mu.Lock()
	e.answer = c.hold(e, answer)
	c.mu.Unlock()
	c.flush()
}

// hold sets memory aside for an answer until it is written. It returns another
// answer if there is none. c.mu is held.
func (c *conn) hold(e *entry, answer *Response) *Response {
	if c.left {
		return answer // dropped with the connection
	}
	if !c.server.options.ResponseBudget.Reserve(int64(len(answer.Body))) {
		return c.server.options.Handler.Refuse(nil, CauseResponseMemory)
	}
	e.held = int64(len(answer.Body))
	return answer
}

// serve keeps a handler that panics from ending the process.
func (c *conn) serve(e *entry) (answer *Response) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.options.Log.Error("request failed unexpectedly", "cause", fmt.Sprint(cause))
			answer = c.server.options.Handler.Refuse(nil, CausePanicked)
		}
	}()
	return e.serve(c.ctx)
}

// flush writes the answers that are due, in order; one goroutine at a time.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.writing = true
	defer func() { c.writing = false }()
	for {
		e, last := c.line.due(c.server.isStopping())
		if e == nil {
			return
		}
		c.mu.Unlock()
		err := c.write(e, last)
		c.mu.Lock()
		c.server.options.ResponseBudget.Release(e.held)
		e.held = 0
		if next := c.line.written(); next != nil {
			requestWorkers.Run(func() { c.run(next) })
		}
		if c.phase == phaseIdle {
			c.since = time.Now()
		}
		c.room.Broadcast()
		if err != nil || last {
			c.finish(err)
			return
		}
	}
}

// finish ends the connection after its last answer, or an answer that could
// not be written. c.mu is held.
func (c *conn) finish(err error) {
	c.line.closed = true
	c.phase = phaseDone
	if err != nil {
		go c.leave()
		return
	}
	_ = c.CloseWrite()
	// Ends the reading goroutine's wait; see discard.
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
}

// awaitRoom waits until another request may be read ahead; false when the
// connection takes none.
func (c *conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.line.waiting) >= c.server.options.MaxPipelined && !c.line.closed {
		c.room.Wait()
	}
	return !c.line.closed
}

// discard reads what still comes, until the caller leaves or, after the last
// answer, for lingerTime.
func (c *conn) discard() { _, _ = io.Copy(io.Discard, c.in.Reader) }

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	c.phase, c.since = p, time.Now()
	c.mu.Unlock()
}

func (c *conn) beginHead() { c.setPhase(phaseHead) }

// busy reports a request that has begun to arrive and is not answered.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.line.waiting) > 0 || c.phase == phaseHead || c.phase == phaseBody
}

// endIfIdle closes a connection without open requests; it reports whether the
// connection takes no further one.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	idle := len(c.line.waiting) == 0 && c.phase == phaseIdle
	closed := c.line.closed && len(c.line.waiting) == 0
	c.mu.Unlock()
	if idle && !closed {
		c.leave()
	}
	return idle || closed
}

// expired reports that a connection is beyond the limit of its phase.
func (c *conn) expired(now time.Time) bool {
	o := c.server.options
	c.mu.Lock()
	defer c.mu.Unlock()
	took := now.Sub(c.since)
	switch c.phase {
	case phaseHead:
		return took > o.HeadTimeout
	case phaseBody:
		return took > o.BodyTimeout
	case phaseIdle:
		return len(c.line.waiting) == 0 && took > o.IdleTimeout
	}
	return false
}
