package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// protocolName is the ALPN name; it changes with an incompatible frame format.
const protocolName = "gooseberryflow/1"

// Transport is the transport used for calls between nodes.
type Transport string

// The transports for calls.
const (
	// TransportTLS is one TLS connection over TCP for each pair of nodes.
	TransportTLS Transport = "tls"
	// TransportQUIC uses the long-lived QUIC stream of the control messages.
	TransportQUIC Transport = "quic"
	// TransportQUICStream opens a QUIC stream for each call.
	TransportQUICStream Transport = "quic-stream"
	// TransportTCP uses one TCP connection without TLS for each pair of nodes, for
	// calls and control messages.
	TransportTCP Transport = "tcp"
)

// Identity is a node's TLS material as PEM text.
type Identity struct {
	CA          string
	Certificate string
	Key         string
}

// TLSConfig returns a configuration for mutual TLS in both directions.
func (i Identity) TLSConfig() (*tls.Config, error) {
	pair, err := tls.X509KeyPair([]byte(i.Certificate), []byte(i.Key))
	if err != nil {
		return nil, fmt.Errorf("node certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(i.CA)) {
		return nil, errors.New("node CA: no certificate in PEM text")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
	}, nil
}

// Options configures a Network.
type Options struct {
	Self     state.MemberID
	Identity Identity
	// ControlAddr (UDP) and CallAddr (TCP) are IP:port; with port 0 the operating
	// system chooses the port.
	ControlAddr string
	CallAddr    string
	Transport   Transport
}

// Network sends messages to other nodes and serves theirs. It implements
// kernel.Peers and kernel.Notifier.
type Network struct {
	self      state.MemberID
	transport Transport
	quic      *quicEndpoint
	tls       *tlsEndpoint
	tcp       *tcpEndpoint
	done      chan struct{} // closed by Close, through closeOnce
	closeOnce sync.Once
	handlers  sync.Map // kind -> kernel.MessageHandler
	links     sync.Map // linkKey -> *link
	conns     sync.Map // *conn -> struct{}, accepted connections

	// ControlTraffic is the traffic over QUIC, CallTraffic the traffic over TCP.
	ControlTraffic Traffic
	CallTraffic    Traffic
	// Sent counts the messages sent by kind, without responses.
	Sent expvar.Map
}

type linkKey struct {
	transport Transport
	address   string
}

// Listen opens the listeners of the chosen transport and starts to serve.
func Listen(o Options) (*Network, error) {
	if o.Transport == TransportTCP {
		return listenWithoutTLS(o)
	}
	conf, err := o.Identity.TLSConfig()
	if err != nil {
		return nil, err
	}
	n := &Network{self: o.Self, transport: o.Transport, done: make(chan struct{})}
	go n.watchLinks()
	if n.quic, err = listenQUIC(o.ControlAddr, conf, n.acceptWith(&n.ControlTraffic)); err != nil {
		close(n.done)
		return nil, fmt.Errorf("listen for control messages on %s: %w", o.ControlAddr, err)
	}
	if n.tls, err = listenTLS(o.CallAddr, conf, n.acceptWith(&n.CallTraffic)); err != nil {
		n.quic.close()
		close(n.done)
		return nil, fmt.Errorf("listen for calls on %s: %w", o.CallAddr, err)
	}
	return n, nil
}

func listenWithoutTLS(o Options) (*Network, error) {
	n := &Network{self: o.Self, transport: o.Transport, done: make(chan struct{})}
	var err error
	if n.tcp, err = listenTCP(o.CallAddr, n.acceptWith(&n.CallTraffic)); err != nil {
		return nil, fmt.Errorf("listen for nodes on %s: %w", o.CallAddr, err)
	}
	go n.watchLinks()
	return n, nil
}

// ControlAddr returns the bound address for control messages: a UDP address, or
// the address for calls with TransportTCP.
func (n *Network) ControlAddr() string {
	if n.tcp != nil {
		return n.tcp.address()
	}
	return n.quic.address()
}

// CallAddr returns the bound TCP address for calls.
func (n *Network) CallAddr() string {
	if n.tcp != nil {
		return n.tcp.address()
	}
	return n.tls.address()
}

// Handle sets the handler for a kind of message.
func (n *Network) Handle(kind string, h kernel.MessageHandler) { n.handlers.Store(kind, h) }

// Request sends a control message over QUIC, or over the connection for calls
// with TransportTCP.
func (n *Network) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	if n.tcp != nil {
		return n.send(ctx, TransportTCP, to.CallAddr, kind, body, nil)
	}
	return n.send(ctx, TransportQUIC, to.ControlAddr, kind, body, nil)
}

// Call sends a message over the call transport.
func (n *Network) Call(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	return n.CallWithTail(ctx, to, kind, body, nil)
}

// CallWithTail is Call for a message in two parts, which the receiver gets as one
// body. A long tail is not copied.
func (n *Network) CallWithTail(ctx context.Context, to state.Member, kind string, body, tail []byte) ([]byte, error) {
	address := to.ControlAddr
	if n.transport == TransportTLS || n.transport == TransportTCP {
		address = to.CallAddr
	}
	return n.send(ctx, n.transport, address, kind, body, tail)
}

// Notify sends a one-way message over the call transport. If there is no open
// connection, the message is dropped, and a connection is opened for later ones.
func (n *Network) Notify(to state.Member, kind string, body []byte) {
	transport, address := n.transport, to.CallAddr
	if transport != TransportTLS && transport != TransportTCP {
		transport, address = TransportQUIC, to.ControlAddr
	}
	n.Sent.Add(kind, 1)
	l := n.link(transport, address)
	go func() {
		if c, _, err := l.currentOrDial(); c != nil && err == nil {
			c.notify(kind, body)
		}
	}()
}

func (n *Network) send(ctx context.Context, transport Transport, address, kind string, body, tail []byte) ([]byte, error) {
	n.Sent.Add(kind, 1)
	if transport == TransportQUICStream {
		return n.sendOnStream(ctx, address, kind, body, tail)
	}
	return n.link(transport, address).request(ctx, func(c *conn) ([]byte, error) {
		return c.request(ctx, kind, n.self, body, tail)
	})
}

func (n *Network) sendOnStream(ctx context.Context, address, kind string, body, tail []byte) ([]byte, error) {
	stream, err := n.quic.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: dial %s: %w", kernel.ErrNotSent, address, err)
	}
	c := newConn(stream, n.handleMessage, &n.ControlTraffic)
	defer c.close()
	return c.request(ctx, kind, n.self, body, tail)
}

func (n *Network) link(transport Transport, address string) *link {
	key := linkKey{transport, address}
	if l, ok := n.links.Load(key); ok {
		return l.(*link)
	}
	created := &link{address: address, handle: n.handleMessage, traffic: &n.CallTraffic}
	switch transport {
	case TransportTLS:
		created.dial = n.tls.dial
	case TransportTCP:
		created.dial = n.tcp.dial
	default:
		created.dial = n.quic.dial
		created.traffic = &n.ControlTraffic
	}
	l, _ := n.links.LoadOrStore(key, created)
	return l.(*link)
}

// acceptWith returns a function that serves a stream opened by a peer and counts
// its traffic.
func (n *Network) acceptWith(traffic *Traffic) func(io.ReadWriteCloser) {
	return func(stream io.ReadWriteCloser) {
		c := newConn(stream, n.handleMessage, traffic)
		n.conns.Store(c, struct{}{})
		go func() {
			<-c.done
			n.conns.Delete(c)
		}()
	}
}

func (n *Network) handleMessage(ctx context.Context, kind string, from state.MemberID, body []byte) ([]byte, error) {
	h, ok := n.handlers.Load(kind)
	if !ok {
		return nil, fmt.Errorf("no handler for message kind %q", kind)
	}
	return h.(kernel.MessageHandler)(ctx, from, body)
}

// watchLinks runs the liveness checks of all links until the network closes.
func (n *Network) watchLinks() {
	t := time.NewTicker(livenessCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-n.done:
			return
		case <-t.C:
			n.links.Range(func(_, l any) bool {
				l.(*link).checkLiveness()
				return true
			})
		}
	}
}

// CancelRequests cancels the requests of other nodes that are being served, with the
// given cause. Their responses are still sent.
func (n *Network) CancelRequests(cause error) {
	n.links.Range(func(_, l any) bool {
		if c := l.(*link).open(); c != nil {
			c.cancelRequests(cause)
		}
		return true
	})
	n.conns.Range(func(c, _ any) bool {
		c.(*conn).cancelRequests(cause)
		return true
	})
}

// Close closes all connections and listeners.
func (n *Network) Close() {
	n.closeOnce.Do(func() { close(n.done) })
	n.links.Range(func(_, l any) bool {
		l.(*link).close()
		return true
	})
	n.conns.Range(func(c, _ any) bool {
		c.(*conn).close()
		return true
	})
	if n.tcp != nil {
		n.tcp.close()
		return
	}
	n.quic.close()
	n.tls.close()
}

// tlsEndpoint accepts and dials TLS connections over TCP.
type tlsEndpoint struct {
	listener net.Listener
	conf     *tls.Config
}

func listenTLS(address string, conf *tls.Config, accept func(io.ReadWriteCloser)) (*tlsEndpoint, error) {
	listener, err := tls.Listen("tcp", address, conf)
	if err != nil {
		return nil, err
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
	return &tlsEndpoint{listener: listener, conf: conf}, nil
}

func (e *tlsEndpoint) address() string { return e.listener.Addr().String() }

func (e *tlsEndpoint) dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	d := tls.Dialer{Config: e.conf}
	return d.DialContext(ctx, "tcp", address)
}

func (e *tlsEndpoint) close() { _ = e.listener.Close() }
