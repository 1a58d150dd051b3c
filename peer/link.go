package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	// dialTimeout bounds the connection set-up including the TLS handshake.
	dialTimeout = 2 * time.Second
	// redialDelay is how long requests fail immediately after a failed dial,
	// before the peer is dialled again.
	redialDelay = 250 * time.Millisecond
)

// dialFunc opens a byte stream to an address.
type dialFunc func(ctx context.Context, address string) (io.ReadWriteCloser, error)

// link maintains one connection to an address and opens it on demand.
type link struct {
	address string
	dial    dialFunc
	handle  handlerFunc
	traffic *Traffic

	mu      sync.Mutex
	current *conn
	// dialing is closed when the dial in progress ends; nil if there is none.
	dialing      chan struct{}
	dialErr      error
	dialFailedAt time.Time
}

// get returns the open connection, or dials and waits for one.
func (l *link) get(ctx context.Context) (*conn, error) {
	for {
		c, dialing, err := l.currentOrDial()
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: dial %s: %w", kernel.ErrNotSent, l.address, ctx.Err())
		}
	}
}

func (l *link) currentOrDial() (*conn, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && !l.current.isClosed() {
		return l.current, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if l.dialErr != nil && time.Since(l.dialFailedAt) < redialDelay {
		return nil, nil, fmt.Errorf("%w: dial %s: %w", kernel.ErrNotSent, l.address, l.dialErr)
	}
	l.dialing = make(chan struct{})
	go l.openConn(l.dialing)
	return nil, l.dialing, nil
}

func (l *link) openConn(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	stream, err := l.dial(ctx, l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialing = nil
	l.dialErr = err
	l.dialFailedAt = time.Now()
	if err == nil {
		l.current = newConn(stream, l.handle, l.traffic)
	}
}

// retire makes later requests use a new connection. Requests already sent on c
// may still get their responses.
func (l *link) retire(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == c {
		l.current = nil
	}
}

// open returns the latest connection, which may be closed, or nil.
func (l *link) open() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *link) close() {
	if c := l.open(); c != nil {
		c.close()
	}
}

// request sends a message over the link. If nothing has arrived from the peer
// until ctx expired, the connection is retired, since it may be half-open.
func (l *link) request(ctx context.Context, send func(*conn) ([]byte, error)) ([]byte, error) {
	c, err := l.get(ctx)
	if err != nil {
		return nil, err
	}
	receivedBefore := c.received.Load()
	body, err := send(c)
	if errors.Is(err, context.DeadlineExceeded) && c.received.Load() == receivedBefore {
		l.retire(c)
	}
	return body, err
}

// checkLiveness runs a liveness check on the open connection, if there is one.
func (l *link) checkLiveness() {
	if c := l.open(); c != nil && !c.isClosed() {
		c.checkLiveness()
	}
}
