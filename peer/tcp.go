package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// tcpDialTimeout bounds a TCP handshake within one deployment.
	tcpDialTimeout = 600 * time.Millisecond
	// TCP keep-alive probes close a connection whose peer is gone.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// keepAlive is applied to every TCP connection between nodes without TLS.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// tcpEndpoint accepts and dials TCP connections without TLS, for private networks
// whose nodes have no certificates.
type tcpEndpoint struct {
	listener net.Listener
}

func listenTCP(address string, accept func(io.ReadWriteCloser)) (*tcpEndpoint, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	go func() {
		for {
			stream, err := listener.Accept()
			if err != nil {
				return
			}
			accept(stream)
		}
	}()
	return &tcpEndpoint{listener: listener}, nil
}

func (e *tcpEndpoint) address() string { return e.listener.Addr().String() }

func (e *tcpEndpoint) dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	d := net.Dialer{Timeout: tcpDialTimeout, KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

func (e *tcpEndpoint) close() { _ = e.listener.Close() }
