package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// ListenTCP starts a proxy for TCP on a free loopback port.
func ListenTCP(target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := newProxy(seed)
	p.addr = l.Addr().String()
	p.track(l)
	p.begin(func() { p.accept(l, target) })
	return p, nil
}

// Reset ends all TCP connections with RST.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if conn, ok := c.(*net.TCPConn); ok {
			abort(conn)
		}
	}
}

func (p *Proxy) accept(l net.Listener, target string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.begin(func() { p.serve(conn.(*net.TCPConn), target) })
	}
}

func (p *Proxy) serve(client *net.TCPConn, target string) {
	if !p.track(client) {
		return
	}
	defer p.release(client)
	if !p.passable(ToTarget, blocked) {
		return
	}
	conn, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	if !p.track(server) {
		return
	}
	defer p.release(server)
	back := make(chan struct{})
	p.begin(func() {
		defer close(back)
		p.pump(ToClient, server, client)
	})
	p.pump(ToTarget, client, server)
	<-back
}

func blocked(f Faults) bool { return f.Cut || f.Freeze }

// pump carries one direction of a connection.
func (p *Proxy) pump(way Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queueLen)
	ended := make(chan error, 1)
	p.begin(func() { ended <- p.read(way, from, queue) })
	for c := range queue {
		open := p.sleep(time.Until(c.due)) && p.transmit(way, len(c.data)) && p.passable(way, blocked)
		if !open {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			abort(from)
			break
		}
	}
	for range queue {
		// The reader ends once its connection is closed.
	}
	if errors.Is(<-ended, io.EOF) {
		_ = to.CloseWrite()
		return
	}
	abort(to)
}

// abort ends a connection with RST.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// read queues what it reads until the connection ends, and returns why it
// has: io.EOF for an orderly end.
func (p *Proxy) read(way Direction, from *net.TCPConn, queue chan<- chunk) error {
	defer close(queue)
	var last time.Time
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			delay, _ := p.draw(way)
			due := time.Now().Add(delay)
			if due.Before(last) {
				due = last
			}
			last = due
			queue <- chunk{data: append([]byte(nil), buf[:n]...), due: due}
		}
		if err != nil {
			return err
		}
	}
}
