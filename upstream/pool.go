package upstream

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrDown means that the exchange failed and the instance accepts no new
	// connection either.
	ErrDown = errors.New("instance is down")
	// ErrAmbiguous means that a request with the same ID was sent to the instance lately
	// and that the instance sends responses on other connections than the request's. It
	// comes with ErrNotSent.
	ErrAmbiguous = errors.New("response could not be told from an earlier one")
	// ErrIncompleteResponse means that no complete, well-formed response arrived.
	ErrIncompleteResponse = errors.New("response was incomplete")
)

const (
	dialTimeout = 500 * time.Millisecond
	// TCP keep-alive probes detect a connection whose other end has vanished.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if the instance
	// sends no Keep-Alive timeout. idleMargin is subtracted from a timeout that it
	// sends.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = time.Second
	// nonIdempotentIdle bounds the idle time of a connection that is reused for a
	// non-idempotent request: the instance may have dropped an older connection,
	// and a request that fails on it can't be retried.
	nonIdempotentIdle = 300 * time.Millisecond
	// freshIdle is the idle time within which a connection is reused for an
	// idempotent request without checking whether it is still open.
	freshIdle = 50 * time.Millisecond
)

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	limits  Limits
	dialer  net.Dialer

	opened atomic.Int64 // number of connections opened so far
	sent   sentIDs

	mu   sync.Mutex
	idle []*conn // most recently used last

	// Requests counts the requests that were sent, Dials attempts to connect, MismatchedResponses the skipped responses
	// to other requests.
	Requests            atomic.Int64
	Dials               atomic.Int64
	MismatchedResponses atomic.Int64
	// SkippedResponses counts the skipped responses by the Origin that they have,
	// FailedExchanges the exchanges that failed after their request may have been sent by
	// Cause, ClosedConns the connections that the pool closed by reason.
	SkippedResponses, FailedExchanges, ClosedConns expvar.Map
	// OnMismatch is called with each skipped response and OnFailure with each exchange
	// that the instance failed, if they are set before the first request. They must not
	// block.
	OnMismatch func(Mismatch)
	OnFailure  func(Failure)
}

// NewPool returns a pool without connections.
func NewPool(address string, limits Limits) *Pool {
	return &Pool{
		address: address,
		limits:  limits,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// Do sends a request and returns the response. It ends with ctx at the latest;
// the connection is then closed, which tells the instance to cancel the request.
// An error is either ErrNotSent, which may also be ErrAmbiguous, or ErrIncompleteResponse,
// which may also be ErrDown.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	if r.ID != "" && !r.NonIdempotent && p.sent.ambiguous(hashID(r.ID), time.Now()) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrAmbiguous)
	}
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if r.Permit != nil && !r.Permit() {
		p.closeConn(c, closeWithdrawn)
		return nil, fmt.Errorf("%w: the sender has withdrawn it", ErrNotSent)
	}
	p.Requests.Add(1)
	if r.ID != "" {
		p.sent.add(hashID(r.ID), time.Now())
	}
	resp, err := c.exchange(ctx, r, p)
	if err != nil {
		p.recordFailure(c.failure(ctx, r, err))
		p.closeConn(c, closeFailed)
		return nil, p.classify(ctx, err)
	}
	p.release(c, r, resp)
	return resp, nil
}

// classify tells an instance that is down from a broken connection, by opening
// a new one. The new connection is kept for the next request.
func (p *Pool) classify(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, errMalformed) {
		return fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
	}
	if c, dialErr := p.dial(ctx); dialErr != nil {
		return fmt.Errorf("%w: %w: %w", ErrIncompleteResponse, ErrDown, err)
	} else {
		p.pushIdle(c)
	}
	return fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
}

// acquire returns an idle connection that can be used for the request, or else a
// new one. It closes the idle connections that it rejects. A request without an ID, whose
// response can't be told from others, gets a new connection.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	if r.ID == "" {
		return p.dial(ctx)
	}
	now := time.Now()
	for {
		c := p.popIdle(r.ID)
		if c == nil {
			return p.dial(ctx)
		}
		idle := now.Sub(c.lastUsed)
		fresh := idle < freshIdle && !r.NonIdempotent && c.reader.Buffered() == 0
		switch {
		case idle > c.idleTimeout, r.NonIdempotent && idle > nonIdempotentIdle:
			p.closeConn(c, closeIdle)
		case !fresh && c.dead():
			p.closeConn(c, closeDead)
		default:
			return c, nil
		}
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.Dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConn(nc.(*net.TCPConn), p.opened.Add(1)), nil
}

// popIdle returns the idle connection used last among those that have not carried the
// ID, or nil. An empty ID stands for any.
func (p *Pool) popIdle(id string) *conn {
	hash := hashID(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; id == "" || !c.history.holds(hash) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) recordMismatch(m Mismatch) {
	p.MismatchedResponses.Add(1)
	p.SkippedResponses.Add(string(m.Origin()), 1)
	if m.Origin() == OriginOther {
		p.sent.recordCrossed(time.Now())
	}
	if p.OnMismatch != nil {
		p.OnMismatch(m)
	}
}

func (p *Pool) pushIdle(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// release makes a connection available again, or closes it if it can't be reused.
func (p *Pool) release(c *conn, req *Request, r *Response) {
	switch {
	case r.connClosing:
		p.closeConn(c, closeAsked)
		return
	case req.ID == "":
		p.closeConn(c, closeUnnamed) // a second response would name no request
		return
	case c.reader.Buffered() > 0:
		p.closeConn(c, closeTrailing)
		return
	case c.history.full():
		p.closeConn(c, closeFull)
		return
	}
	if r.idleTimeout > 0 {
		c.idleTimeout = r.idleTimeout
	}
	p.pushIdle(c)
}

// Trim closes the connections that have been idle for too long.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	kept := p.idle[:0]
	var old []*conn
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) > c.idleTimeout {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.closeConn(c, closeIdle)
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	for c := p.popIdle(""); c != nil; c = p.popIdle("") {
		c.close()
	}
}
