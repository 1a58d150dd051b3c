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
	p.startGoroutine(func() { p.accept(l, target) })
	return p, nil
}

// Reset aborts all open TCP connections with RST.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.closers {
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
		p.startGoroutine(func() { p.serve(conn.(*net.TCPConn), target) })
	}
}

func (p *Proxy) serve(client *net.TCPConn, target string) {
	if !p.track(client) {
		return
	}
	defer p.release(client)
	if !p.waitWhile(ToTarget, blocked) {
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
	backDone := make(chan struct{})
	p.startGoroutine(func() {
		defer close(backDone)
		p.pump(ToClient, server, client)
	})
	p.pump(ToTarget, client, server)
	<-backDone
}

func blocked(f Faults) bool { return f.Cut || f.Freeze }

// pump forwards one direction of a connection.
func (p *Proxy) pump(direction Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queueLen)
	ended := make(chan error, 1)
	p.startGoroutine(func() { ended <- p.read(direction, from, queue) })
	for c := range queue {
		open := p.sleep(time.Until(c.due)) && p.throttle(direction, len(c.data)) && p.waitWhile(direction, blocked)
		if !open {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			abort(from)
			break
		}
	}
	for range queue {
		// Drain the queue so that the reader can't block; it ends once its
		// connection is closed.
	}
	if errors.Is(<-ended, io.EOF) {
		_ = to.CloseWrite()
		return
	}
	abort(to)
}

// abort closes a connection with RST.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// read queues the data of a connection until a read fails. It returns that
// error, which is io.EOF for an orderly end.
func (p *Proxy) read(direction Direction, from *net.TCPConn, queue chan<- chunk) error {
	defer close(queue)
	var last time.Time
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			delay, _ := p.drawFaults(direction)
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
