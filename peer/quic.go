package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
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

	mu    sync.Mutex
	conns map[string]*quic.Conn
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
		conns:     make(map[string]*quic.Conn),
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
	if qc := e.open(address); qc != nil {
		return qc, nil
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	qc, err := e.transport.Dial(ctx, remote, clientConfig(e.conf, remote), quicSettings())
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.conns[address] = qc
	e.mu.Unlock()
	return qc, nil
}

func clientConfig(conf *tls.Config, remote *net.UDPAddr) *tls.Config {
	c := conf.Clone()
	c.ServerName = remote.IP.String()
	return c
}

func (e *quicEnd) open(address string) *quic.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	qc := e.conns[address]
	if qc == nil || qc.Context().Err() != nil {
		delete(e.conns, address)
		return nil
	}
	return qc
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
