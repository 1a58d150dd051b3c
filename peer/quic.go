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

// quicEnd listens and dials QUIC on one UDP socket.
type quicEnd struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	conf      *tls.Config
	// accepted counts the connections that peers have opened.
	accepted atomic.Int64

	mu    sync.Mutex
	conns map[string]*quicLink
}

// quicLink is the connection to one address. Its lock is held while dialling,
// so that requests that come together share one connection.
type quicLink struct {
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

func listenQUIC(address string, conf *tls.Config, accept func(io.ReadWriteCloser)) (*quicEnd, error) {
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
	e := &quicEnd{
		socket:    socket,
		transport: transport,
		listener:  listener,
		conf:      conf,
		conns:     make(map[string]*quicLink),
	}
	go e.acceptConns(accept)
	return e, nil
}

func (e *quicEnd) address() string { return e.socket.LocalAddr().String() }

func (e *quicEnd) acceptConns(accept func(io.ReadWriteCloser)) {
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

// dial opens a stream on the connection to an address.
func (e *quicEnd) dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
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

func (e *quicEnd) connect(ctx context.Context, address string) (*quic.Conn, error) {
	l := e.link(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	l.conn, err = e.transport.Dial(ctx, remote, clientConfig(e.conf, remote), quicSettings())
	return l.conn, err
}

func (e *quicEnd) link(address string) *quicLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.conns[address]
	if l == nil {
		l = &quicLink{}
		e.conns[address] = l
	}
	return l
}

func clientConfig(conf *tls.Config, remote *net.UDPAddr) *tls.Config {
	c := conf.Clone()
	c.ServerName = remote.IP.String()
	return c
}

func (e *quicEnd) close() {
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.socket.Close()
}

// quicStream closes both directions, unlike quic.Stream.
type quicStream struct{ *quic.Stream }

func (s quicStream) Close() error {
	s.CancelRead(0)
	return s.Stream.Close()
}
