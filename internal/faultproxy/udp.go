package faultproxy

import (
	"fmt"
	"net"
	"time"
)

// ListenUDP starts a proxy for UDP on a free loopback port.
func ListenUDP(target string, seed uint64) (*Proxy, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := newProxy(seed)
	p.addr = conn.LocalAddr().String()
	p.track(conn)
	p.begin(func() { p.relay(conn, to) })
	return p, nil
}

// relay gives every client a socket of its own towards the target.
func (p *Proxy) relay(conn *net.UDPConn, target *net.UDPAddr) {
	flows := make(map[string]chan<- chunk)
	defer func() {
		for _, queue := range flows {
			close(queue)
		}
	}()
	buf := make([]byte, chunkBytes)
	for {
		n, client, err := conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		queue := flows[client.String()]
		if queue == nil {
			queue = p.flow(conn, client, target)
		}
		if queue != nil {
			flows[client.String()] = queue
			p.offer(ToTarget, queue, buf[:n])
		}
	}
}

func (p *Proxy) flow(conn *net.UDPConn, client, target *net.UDPAddr) chan<- chunk {
	server, err := net.DialUDP("udp", nil, target)
	if err != nil || !p.track(server) {
		return nil
	}
	forth := make(chan chunk, queueLen)
	back := make(chan chunk, queueLen)
	p.begin(func() {
		p.deliver(ToTarget, forth, func(b []byte) { _, _ = server.Write(b) })
		p.release(server)
	})
	p.begin(func() {
		p.deliver(ToClient, back, func(b []byte) { _, _ = conn.WriteToUDP(b, client) })
	})
	p.begin(func() {
		defer close(back)
		p.receive(server, back)
	})
	return forth
}

func (p *Proxy) receive(server *net.UDPConn, back chan<- chunk) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := server.Read(buf)
		if n > 0 {
			p.offer(ToClient, back, buf[:n])
		}
		if err != nil && p.sleep(time.Millisecond) {
			continue // the target's port may be closed for a while
		}
		if err != nil {
			return
		}
	}
}

// offer queues a datagram unless it is lost or the queue is full.
func (p *Proxy) offer(way Direction, queue chan<- chunk, data []byte) {
	delay, lost := p.draw(way)
	if lost {
		return
	}
	c := chunk{data: append([]byte(nil), data...), delay: delay}
	select {
	case queue <- c:
	default:
	}
}

// deliver sends datagrams as they fall due; later ones may overtake those
// that are delayed or frozen.
func (p *Proxy) deliver(way Direction, queue <-chan chunk, send func([]byte)) {
	for c := range queue {
		if !p.transmit(way, len(c.data)) {
			continue
		}
		if f, _ := p.current(way); !f.Freeze && c.delay == 0 {
			send(c.data)
			continue
		}
		p.begin(func() {
			if p.sleep(c.delay) && p.passable(way, frozen) {
				send(c.data)
			}
		})
	}
}

func frozen(f Faults) bool { return f.Freeze }
