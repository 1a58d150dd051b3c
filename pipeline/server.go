package pipeline

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

// Cause classifies requests that are refused before they are handled.
type Cause uint8

// The causes of a refusal.
const (
	// CauseMalformed is a request that can't be read.
	CauseMalformed Cause = iota + 1
	// CauseHeadSize is a head beyond Options.MaxHeadBytes.
	CauseHeadSize
	// CauseBodySize is a body beyond Exchange.MaxBodyBytes.
	CauseBodySize
	// CauseBodyMemory is a body for which Options.BodyBudget has no room.
	CauseBodyMemory
	// CauseResponseMemory is an answer for which Options.ResponseBudget has no room; the
	// request has run.
	CauseResponseMemory
	// CausePanicked is a handler that panicked; the request may have run.
	CausePanicked
)

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close asks for the end of the connection. It is done if no other request
	// waits on it.
	Close bool
}

// Exchange is how one request is served.
type Exchange struct {
	// Exclusive is set for a request that must not run while an earlier one of its
	// connection is not answered.
	Exclusive bool
	// MaxBodyBytes bounds the body.
	MaxBodyBytes int64
	// Serve answers the request. ctx ends when the caller leaves.
	Serve func(ctx context.Context, body []byte) *Response
}

// Handler decides on requests. Its methods are called concurrently.
type Handler interface {
	// Accept looks at a head that arrived at a time. It returns an answer in
	// place of the exchange if the request is refused before its body is read.
	Accept(r *http.Request, arrived time.Time) (*Exchange, *Response)
	// Refuse answers a request that Accept has not seen, or that failed after it;
	// r is nil if there is no readable head.
	Refuse(r *http.Request, cause Cause) *Response
}

// Options configure a Server; all fields are required.
type Options struct {
	Handler Handler
	// MaxPipelined is the number of requests of a connection that are read and not
	// yet answered.
	MaxPipelined int
	MaxHeadBytes int
	// BodyBudget bounds the bodies of requests that are held, ResponseBudget those of answers
	// that wait to be written.
	BodyBudget, ResponseBudget *memory.Budget
	// HeadTimeout bounds the time from a request's first byte to the end of its
	// head, BodyTimeout from there to the end of its body, IdleTimeout the time
	// between the last answer and the next request, WriteTimeout the writing of
	// an answer.
	HeadTimeout  time.Duration
	BodyTimeout  time.Duration
	IdleTimeout  time.Duration
	WriteTimeout time.Duration
	Log          *slog.Logger
}

const (
	// sweepInterval is how often the time limits of connections are checked.
	sweepInterval = time.Second
	// lingerTime is how long a connection is read after its last answer, since
	// closing it with unread bytes would take the answer from the caller.
	lingerTime = 500 * time.Millisecond
	// pollInterval is how often Shutdown looks for open requests.
	pollInterval = 10 * time.Millisecond
)

// Server serves the callers of one listener.
type Server struct {
	options Options
	http    *http.Server

	mu       sync.Mutex
	conns    map[*conn]struct{}
	stopping bool
}

// NewServer returns a server that does not listen yet.
func NewServer(o Options) *Server {
	s := &Server{options: o, conns: map[*conn]struct{}{}}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(takeOver),
		ReadHeaderTimeout: o.HeadTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeadBytes,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve accepts connections until Shutdown or Close; it returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	stop := make(chan struct{})
	defer close(stop)
	go s.sweep(stop)
	return s.http.Serve(&listener{Listener: l, server: s})
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// BusyConns returns the number of connections with a request that has begun to
// arrive and is not answered.
func (s *Server) BusyConns() int {
	n := 0
	for _, c := range s.all() {
		if c.busy() {
			n++
		}
	}
	return n
}

// Shutdown stops accepting and ends every connection as soon as no request is
// open on it. It returns ctx's error if requests are left then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- s.http.Shutdown(ctx) }()
	for {
		open := 0
		for _, c := range s.all() {
			if !c.endIfIdle() {
				open++
			}
		}
		if open == 0 {
			return <-done
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// Close ends all connections at once.
func (s *Server) Close() error {
	err := s.http.Close()
	for _, c := range s.all() {
		c.leave()
	}
	return err
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// sweep ends connections that are beyond their time limits.
func (s *Server) sweep(stop <-chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			for _, c := range s.all() {
				if c.expired(now) {
					c.leave()
				}
			}
		}
	}
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(nc, l.server), nil
}

type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// takeOver continues a connection whose first head net/http has read.
func takeOver(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		panic(errors.New("pipeline: a connection that the listener has not accepted"))
	}
	_, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		c.leave()
		return
	}
	// The server may have read one byte in wait for the caller's leaving.
	if buffered.Reader.Buffered() > 0 {
		err = c.in.UnreadByte()
	}
	if err != nil {
		c.leave()
		return
	}
	go c.read(r)
}
