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

// Cause classifies the requests that Handler.Refuse answers.
type Cause uint8

// The causes of a refusal.
const (
	// CauseMalformed is a request that can't be parsed.
	CauseMalformed Cause = iota + 1
	// CauseHeadSize is a head beyond Options.MaxHeadBytes.
	CauseHeadSize
	// CauseBodySize is a body beyond Exchange.MaxBodyBytes.
	CauseBodySize
	// CauseBodyMemory is a body that exceeds what is left of Options.BodyBudget.
	CauseBodyMemory
	// CauseResponseMemory is a response that exceeds what is left of
	// Options.ResponseBudget; the request has run.
	CauseResponseMemory
	// CausePanicked is a handler that panicked; the request may have run.
	CausePanicked
	// CauseStopping is a body that has not arrived when the server ends.
	CauseStopping
)

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close requests that the connection be closed after the response; it is closed
	// only if no later request of it has been accepted.
	Close bool
}

// Exchange describes how one request is served.
type Exchange struct {
	// Exclusive is set for a request that must not run before all earlier requests of
	// its connection are answered.
	Exclusive bool
	// MaxBodyBytes bounds the size of the body.
	MaxBodyBytes int64
	// Serve runs the request. ctx ends when the caller disconnects, or with the cause
	// given to Server.CancelRequests.
	Serve func(ctx context.Context, body []byte) *Response
}

// Handler decides on requests. Its methods are called concurrently.
type Handler interface {
	// Accept decides on a request by its head. It returns a response in place of the
	// exchange if the request is refused before its body is read.
	Accept(r *http.Request, arrived time.Time) (*Exchange, *Response)
	// Refuse returns the response to a request that can't be read or has failed. r is
	// nil unless the head could be parsed but the body could not be read.
	Refuse(r *http.Request, cause Cause) *Response
}

// Options configure a Server; all fields are required.
type Options struct {
	Handler Handler
	// MaxPipelined bounds the requests of a connection that are read and not yet
	// answered.
	MaxPipelined int
	// MaxHeadBytes bounds the head of a request.
	MaxHeadBytes int
	// BodyBudget bounds the buffered bodies of requests, ResponseBudget the bodies of
	// responses that wait to be written.
	BodyBudget, ResponseBudget *memory.Budget
	// HeadTimeout bounds the time from a request's first byte to the end of its
	// head, BodyTimeout from there to the end of its body, IdleTimeout the time
	// between the last response and the next request, WriteTimeout the writing of
	// a response.
	HeadTimeout  time.Duration
	BodyTimeout  time.Duration
	IdleTimeout  time.Duration
	WriteTimeout time.Duration
	Log          *slog.Logger
}

const (
	// sweepInterval is how often the time limits of connections are checked.
	sweepInterval = time.Second
	// lingerTime is how long a connection is read after its last response, since
	// closing it with unread bytes would reset it and lose the response.
	lingerTime = 500 * time.Millisecond
	// shutdownPollInterval is how often Shutdown checks for open requests.
	shutdownPollInterval = 10 * time.Millisecond
)

// Server serves the callers of one listener.
type Server struct {
	options Options
	http    *http.Server
	// stopAccepting closes the listener and returns when each connection accepted before
	// is closed or served here; tests replace it.
	stopAccepting func(context.Context) error

	mu       sync.Mutex
	conns    map[*conn]struct{}
	stopping bool
}

// NewServer returns a server that does not listen yet.
func NewServer(o Options) *Server {
	s := &Server{options: o, conns: map[*conn]struct{}{}}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(hijack),
		ReadHeaderTimeout: o.HeadTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeadBytes,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug),
	}
	s.stopAccepting = s.http.Shutdown
	return s
}

// Serve accepts connections until Shutdown or Close, then returns
// http.ErrServerClosed.
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
	for _, c := range s.connections() {
		if c.busy() {
			n++
		}
	}
	return n
}

// Shutdown stops accepting connections and closes every connection as soon as no
// request is open on it. If ctx ends first, it returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	accepting := make(chan struct{})
	var err error
	go func() {
		err = s.stopAccepting(ctx)
		close(accepting)
	}()
	// Connections are accepted until then, so only a later look at them counts.
	for last := false; ; {
		if open := s.closeIdle(); open == 0 && last {
			return err
		}
		select {
		case <-accepting:
			last, accepting = true, nil
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}

// closeIdle closes the connections without open requests and returns the number of the
// others.
func (s *Server) closeIdle() int {
	open := 0
	for _, c := range s.connections() {
		if !c.closeIfIdle() {
			open++
		}
	}
	return open
}

// CancelRequests ends the contexts of all requests with the given cause. The responses
// that their handlers then return are still written, so that no caller is left without
// one. Requests whose body has not arrived are refused (CauseStopping).
func (s *Server) CancelRequests(cause error) {
	for _, c := range s.connections() {
		c.cancelRequests(cause)
	}
}

// Close aborts all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	for _, c := range s.connections() {
		c.abort()
	}
	return err
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	connections := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		connections = append(connections, c)
	}
	return connections
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

// sweep aborts connections that exceed their time limits.
func (s *Server) sweep(stop <-chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			for _, c := range s.connections() {
				if c.expired(now) {
					c.abort()
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

// hijack takes over a connection whose first head net/http has read, and serves it.
func hijack(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		panic(errors.New("pipeline: connection was not accepted by the server's listener"))
	}
	_, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		c.abort()
		return
	}
	// The server may have read one byte while it watched for a disconnect.
	if buffered.Reader.Buffered() > 0 {
		err = c.in.UnreadByte()
	}
	if err != nil {
		c.abort()
		return
	}
	go c.readLoop(r)
}
