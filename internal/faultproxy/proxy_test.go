package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// testDeadline ends a test that hangs.
const testDeadline = 20 * time.Second

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func dial(t *testing.T, network string, p *Proxy) net.Conn {
	t.Helper()
	t.Cleanup(p.Close)
	conn, err := net.Dial(network, p.Addr())
	must(t, err)
	t.Cleanup(func() { conn.Close() })
	must(t, conn.SetDeadline(time.Now().Add(testDeadline)))
	return conn
}

func tcpEcho(t *testing.T) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	p, err := ListenTCP(l.Addr().String(), 1)
	must(t, err)
	return p
}

func udpEcho(t *testing.T, seed uint64) *Proxy {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buf := make([]byte, chunkBytes)
		for {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(buf[:n], from)
		}
	}()
	p, err := ListenUDP(conn.LocalAddr().String(), seed)
	must(t, err)
	return p
}

// exchange sends text and requires the same back.
func exchange(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	must(t, err)
	expect(t, conn, text)
}

func expect(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	must(t, err)
	if string(got) != text {
		t.Fatalf("got %q, want %q", got, text)
	}
}

func TestDelayAndBandwidthSlowARoundTrip(t *testing.T) {
	for name, p := range map[string]*Proxy{"tcp": tcpEcho(t), "udp": udpEcho(t, 1)} {
		c := dial(t, name, p)
		exchange(t, c, "at once")
		p.SetFaults(Faults{Delay: 20 * time.Millisecond, Jitter: time.Millisecond, Bandwidth: 1000})
		start := time.Now()
		exchange(t, c, "ten bytes.")
		if took := time.Since(start); took < 60*time.Millisecond {
			t.Errorf("%s: round trip took %v, want at least 60ms", name, took)
		}
	}
}

// Nothing may arrive during a cut or freeze, and everything after it.
func TestHeldDataArrivesAfterTheFault(t *testing.T) {
	for _, c := range []struct {
		network string
		proxy   *Proxy
		fault   Faults
	}{
		{"tcp", tcpEcho(t), Faults{Freeze: true}},
		{"tcp", tcpEcho(t), Faults{Cut: true}},
		{"udp", udpEcho(t, 1), Faults{Freeze: true}},
	} {
		conn := dial(t, c.network, c.proxy)
		c.proxy.SetFaults(c.fault, ToTarget)
		_, err := conn.Write([]byte("held"))
		must(t, err)
		must(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		if n, err := conn.Read(make([]byte, 4)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s %+v: read %d bytes, error %v; want none and a timeout", c.network, c.fault, n, err)
		}
		must(t, conn.SetReadDeadline(time.Now().Add(testDeadline)))
		c.proxy.SetFaults(Faults{})
		expect(t, conn, "held")
	}
}

// A seed must give the same losses each time and independently of draws in the
// other direction, and a cut must drop every datagram.
func TestLossDependsOnlyOnSeedAndDirection(t *testing.T) {
	first, again, other := losses(1, 0), losses(1, 5), losses(2, 0)
	if first != again || first == other {
		t.Errorf("losses with seed 1: %s, then %s; with seed 2: %s", first, again, other)
	}
	p := newProxy(1)
	p.SetFaults(Faults{Cut: true}, ToTarget)
	for range 100 {
		if _, lost := p.drawFaults(ToTarget); !lost {
			t.Fatal("a datagram passed the cut direction")
		}
		if _, lost := p.drawFaults(ToClient); lost {
			t.Fatal("a datagram was lost in the direction without faults")
		}
	}
}

// losses draws the fate of 64 datagrams at a loss of one half, after some draws
// in the opposite direction. A lost datagram is an x, any other a dot.
func losses(seed uint64, oppositeDraws int) string {
	p := newProxy(seed)
	for range oppositeDraws {
		p.drawFaults(ToClient)
	}
	p.SetFaults(Faults{Loss: 0.5})
	got := ""
	for range 64 {
		_, lost := p.drawFaults(ToTarget)
		got += map[bool]string{true: "x", false: "."}[lost]
	}
	return got
}

func TestResetAbortsConnections(t *testing.T) {
	p := tcpEcho(t)
	c := dial(t, "tcp", p)
	exchange(t, c, "open")
	p.Reset()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after reset: %v, want ECONNRESET", err)
	}
	exchange(t, dial(t, "tcp", p), "new connection")
}
