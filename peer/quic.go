package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	quicIdleTimeout = 10 * time.Second
	quicKeepAlive   = 3 * time.Second
	quicMaxStreams  = 1 << 16
)

// quicEndpoint accepts and dials QUIC connections on one UDP socket.
type quicEndpoint struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	conf      *tls.Config
	// accepted counts the connections that peers have opened.
	accepted atomic.Int64

	mu    sync.Mutex
	conns map[string]*quicConn
}

// quicConn is the connection to one address. Its lock is held while dialling, so
// that concurrent first requests share one connection.
type quicConn struct {
	mu   sync.Mutex
	conn *quic.Conn
}

func quicSettings() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:     quicIdleTimeout,
		KeepAlivePeriod:    quicKeepAlive,
		MaxIncomingStreams: quicMaxStreams,
	}
}

func listenQUIC(address string, conf *tls.Config, accept func(io.ReadWriteCloser)) (*quicEndpoint, error) {
	bind, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", bind)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(conf, quicSettings())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	e := &quicEndpoint{
		socket:    socket,
		transport: transport,
		listener:  listener,
		conf:      conf,
		conns:     make(map[string]*quicConn),
	}
	go e.acceptConns(accept)
	return e, nil
}

func (e *quicEndpoint) address() string { return e.socket.LocalAddr().String() }

func (e *quicEndpoint) acceptConns(accept func(io.ReadWriteCloser)) {
	for {
		qc, err := e.listener.Accept(context.Background())
		if err != nil {
			return
		}
		e.accepted.Add(1)
		go acceptStreams(qc, accept)
	}
}

func acceptStreams(qc *quic.Conn, accept func(io.ReadWriteCloser)) {
	for {
		stream, err := qc.AcceptStream(context.Background())
		if err != nil {
			return
		}
		accept(quicStream{stream})
	}
}

// dial opens a stream on the connection to an address, connecting if necessary.
func (e *quicEndpoint) dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	qc, err := e.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := qc.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	return quicStream{stream}, nil
}

func (e *quicEndpoint) connect(ctx context.Context, address string) (*quic.Conn, error) {
	c := e.connFor(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, nil
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.conn, err = e.transport.Dial(ctx, remote, clientConfig(e.conf, remote), quicSettings())
	return c.conn, err
}

func (e *quicEndpoint) connFor(address string) *quicConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.conns[address]
	if c == nil {
		c = &quicConn{}
		e.conns[address] = c
	}
	return c
}

func clientConfig(conf *tls.Config, remote *net.UDPAddr) *tls.Config {
	c := conf.Clone()
	c.ServerName = remote.IP.String()
	return c
}

func (e *quicEndpoint) close() {
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.socket.Close()
}

// quicStream is a quic.Stream whose Close closes both directions.
type quicStream struct{ *quic.Stream }

func (s quicStream) Close() error {
	s.CancelRead(0)
	return s.Stream.Close()
}
