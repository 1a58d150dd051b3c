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

// Transport names the transport that carries calls.
type Transport string

// The carriers of calls.
const (
	// TransportTLS is one TLS connection over TCP for each pair of nodes.
	TransportTLS Transport = "tls"
	// TransportQUIC shares the long-lived QUIC stream of the control messages.
	TransportQUIC Transport = "quic"
	// TransportQUICStream opens a QUIC stream for each call.
	TransportQUICStream Transport = "quic-stream"
	// TransportTCP carries calls and control messages over one TCP connection for
	// each pair of nodes, without TLS.
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

// Options configure a Network.
type Options struct {
	Self     state.MemberID
	Identity Identity
	// ControlAddr (UDP) and CallAddr (TCP) are IP:port; port 0 lets the
	// kernel choose.
	ControlAddr string
	CallAddr    string
	Transport   Transport
}

// Network is a node's end of the transport between nodes. It implements
// kernel.Peers.
type Network struct {
	self     state.MemberID
	carrier  Transport
	control  *quicEnd
	calls    *tlsEnd
	plain    *tcpEnd
	watching chan struct{} // closed by stopOnce when the network closes
	stopOnce sync.Once
	handlers sync.Map // kind -> kernel.MessageHandler
	links    sync.Map // linkKey -> *link
	conns    sync.Map // *conn -> struct{}, accepted connections

	// ControlTraffic is what QUIC carries, CallTraffic what TLS over TCP does.
	ControlTraffic Traffic
	CallTraffic    Traffic
	// Sent counts the messages sent by kind, without answers.
	Sent expvar.Map
}

type linkKey struct {
	carrier Transport
	address string
}

// Listen opens both listeners and starts to serve.
func Listen(o Options) (*Network, error) {
	if o.Transport == TransportTCP {
		return listenPlain(o)
	}
	conf, err := o.Identity.TLSConfig()
	if err != nil {
		return nil, err
	}
	n := &Network{self: o.Self, carrier: o.Transport, watching: make(chan struct{})}
	go n.watch()
	if n.control, err = listenQUIC(o.ControlAddr, conf, n.acceptFor(&n.ControlTraffic)); err != nil {
		close(n.watching)
		return nil, fmt.Errorf("listen for control messages on %s: %w", o.ControlAddr, err)
	}
	if n.calls, err = listenTLS(o.CallAddr, conf, n.acceptFor(&n.CallTraffic)); err != nil {
		n.control.close()
		close(n.watching)
		return nil, fmt.Errorf("listen for calls on %s: %w", o.CallAddr, err)
	}
	return n, nil
}

func listenPlain(o Options) (*Network, error) {
	n := &Network{self: o.Self, carrier: o.Transport, watching: make(chan struct{})}
	var err error
	if n.plain, err = listenTCP(o.CallAddr, n.acceptFor(&n.CallTraffic)); err != nil {
		return nil, fmt.Errorf("listen for nodes on %s: %w", o.CallAddr, err)
	}
	go n.watch()
	return n, nil
}

// ControlAddr returns the bound address for control messages: UDP, or the one
// for calls with TransportTCP.
func (n *Network) ControlAddr() string {
	if n.plain != nil {
		return n.plain.address()
	}
	return n.control.address()
}

// CallAddr returns the bound TCP address.
func (n *Network) CallAddr() string {
	if n.plain != nil {
		return n.plain.address()
	}
	return n.calls.address()
}

// Handle sets the handler for a kind of message.
func (n *Network) Handle(kind string, h kernel.MessageHandler) { n.handlers.Store(kind, h) }

// Request sends a control message over QUIC, or over the connection for calls
// with TransportTCP.
func (n *Network) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	if n.plain != nil {
		return n.send(ctx, TransportTCP, to.CallAddr, kind, body, nil)
	}
	return n.send(ctx, TransportQUIC, to.ControlAddr, kind, body, nil)
}

// Call sends a message over the carrier for calls.
func (n *Network) Call(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	return n.CallWithTail(ctx, to, kind, body, nil)
}

// CallWithTail is Call for a message in two parts, which arrive as one; a long
// tail isn't copied.
func (n *Network) CallWithTail(ctx context.Context, to state.Member, kind string, body, tail []byte) ([]byte, error) {
	address := to.ControlAddr
	if n.carrier == TransportTLS || n.carrier == TransportTCP {
		address = to.CallAddr
	}
	return n.send(ctx, n.carrier, address, kind, body, tail)
}

// Notify sends a message without an answer over the carrier for calls. A
// connection that isn't open yet is opened for the next one.
func (n *Network) Notify(to state.Member, kind string, body []byte) {
	carrier, address := n.carrier, to.CallAddr
	if carrier != TransportTLS && carrier != TransportTCP {
		carrier, address = TransportQUIC, to.ControlAddr
	}
	n.Sent.Add(kind, 1)
	l := n.link(carrier, address)
	go func() {
		if c, _, err := l.state(); c != nil && err == nil {
			c.notify(kind, body)
		}
	}()
}

func (n *Network) send(ctx context.Context, carrier Transport, address, kind string, body, tail []byte) ([]byte, error) {
	n.Sent.Add(kind, 1)
	if carrier == TransportQUICStream {
		return n.sendOnStream(ctx, address, kind, body, tail)
	}
	return n.link(carrier, address).request(ctx, func(c *conn) ([]byte, error) {
		return c.request(ctx, kind, n.self, body, tail)
	})
}

func (n *Network) sendOnStream(ctx context.Context, address, kind string, body, tail []byte) ([]byte, error) {
	stream, err := n.control.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: dial %s: %w", kernel.ErrNotSent, address, err)
	}
	c := newConn(stream, n.serve, &n.ControlTraffic)
	defer c.close()
	return c.request(ctx, kind, n.self, body, tail)
}

func (n *Network) link(carrier Transport, address string) *link {
	key := linkKey{carrier, address}
	if l, ok := n.links.Load(key); ok {
		return l.(*link)
	}
	fresh := &link{address: address, handle: n.serve, traffic: &n.CallTraffic}
	switch carrier {
	case TransportTLS:
		fresh.dial = n.calls.dial
	case TransportTCP:
		fresh.dial = n.plain.dial
	default:
		fresh.dial = n.control.dial
		fresh.traffic = &n.ControlTraffic
	}
	l, _ := n.links.LoadOrStore(key, fresh)
	return l.(*link)
}

// acceptFor returns a function that serves a stream opened by a peer.
func (n *Network) acceptFor(traffic *Traffic) func(io.ReadWriteCloser) {
	return func(stream io.ReadWriteCloser) {
		c := newConn(stream, n.serve, traffic)
		n.conns.Store(c, struct{}{})
		go func() {
			<-c.done
			n.conns.Delete(c)
		}()
	}
}

func (n *Network) serve(ctx context.Context, kind string, from state.MemberID, body []byte) ([]byte, error) {
	h, ok := n.handlers.Load(kind)
	if !ok {
		return nil, fmt.Errorf("no handler for message kind %q", kind)
	}
	return h.(kernel.MessageHandler)(ctx, from, body)
}

// watch looks after the connections on which answers are due.
func (n *Network) watch() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-n.watching:
			return
		case <-t.C:
			n.links.Range(func(_, l any) bool {
				l.(*link).watch()
				return true
			})
		}
	}
}

// Close ends all connections and listeners.
func (n *Network) Close() {
	n.stopOnce.Do(func() { close(n.watching) })
	n.links.Range(func(_, l any) bool {
		l.(*link).close()
		return true
	})
	n.conns.Range(func(c, _ any) bool {
		c.(*conn).close()
		return true
	})
	if n.plain != nil {
		n.plain.close()
		return
	}
	n.control.close()
	n.calls.close()
}

// tlsEnd listens and dials TLS over TCP.
type tlsEnd struct {
	listener net.Listener
	conf     *tls.Config
}

func listenTLS(address string, conf *tls.Config, accept func(io.ReadWriteCloser)) (*tlsEnd, error) {
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
	return &tlsEnd{listener: listener, conf: conf}, nil
}

func (e *tlsEnd) address() string { return e.listener.Addr().String() }

func (e *tlsEnd) dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	d := tls.Dialer{Config: e.conf}
	return d.DialContext(ctx, "tcp", address)
}

func (e *tlsEnd) close() { _ = e.listener.Close() }
