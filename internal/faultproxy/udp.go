package faultproxy

import (
	"fmt"
	"net"
	"time"
)

// ListenUDP starts a proxy for UDP on a free loopback port.
func ListenUDP(target string, seed uint64) (*Proxy, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
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
	p.startGoroutine(func() { p.relay(conn, targetAddr) })
	return p, nil
}

// relay forwards datagrams, with one socket towards the target per client.
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
			queue = p.startFlow(conn, client, target)
		}
		if queue != nil {
			flows[client.String()] = queue
			p.enqueue(ToTarget, queue, buf[:n])
		}
	}
}

func (p *Proxy) startFlow(conn *net.UDPConn, client, target *net.UDPAddr) chan<- chunk {
	server, err := net.DialUDP("udp", nil, target)
	if err != nil || !p.track(server) {
		return nil
	}
	toServer := make(chan chunk, queueLen)
	toClient := make(chan chunk, queueLen)
	p.startGoroutine(func() {
		p.deliver(ToTarget, toServer, func(b []byte) { _, _ = server.Write(b) })
		p.release(server)
	})
	p.startGoroutine(func() {
		p.deliver(ToClient, toClient, func(b []byte) { _, _ = conn.WriteToUDP(b, client) })
	})
	p.startGoroutine(func() {
		defer close(toClient)
		p.receiveReplies(server, toClient)
	})
	return toServer
}

func (p *Proxy) receiveReplies(server *net.UDPConn, toClient chan<- chunk) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := server.Read(buf)
		if n > 0 {
			p.enqueue(ToClient, toClient, buf[:n])
		}
		if err != nil && p.sleep(time.Millisecond) {
			continue // the target's port may be closed temporarily
		}
		if err != nil {
			return
		}
	}
}

// enqueue queues a datagram unless it is drawn as lost or the queue is full.
func (p *Proxy) enqueue(direction Direction, queue chan<- chunk, data []byte) {
	delay, lost := p.drawFaults(direction)
	if lost {
		return
	}
	c := chunk{data: append([]byte(nil), data...), delay: delay}
	select {
	case queue <- c:
	default:
	}
}

// deliver sends queued datagrams. Delayed and frozen ones are sent from
// goroutines of their own, so later datagrams may overtake them.
func (p *Proxy) deliver(direction Direction, queue <-chan chunk, send func([]byte)) {
	for c := range queue {
		if !p.throttle(direction, len(c.data)) {
			continue
		}
		if f, _ := p.faultsOf(direction); !f.Freeze && c.delay == 0 {
			send(c.data)
			continue
		}
		p.startGoroutine(func() {
			if p.sleep(c.delay) && p.waitWhile(direction, frozen) {
				send(c.data)
			}
		})
	}
}

func frozen(f Faults) bool { return f.Freeze }
