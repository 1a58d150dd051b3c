package faultproxy

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is a way through the proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToClient
	directions
)

// Faults are the faults of one direction; the zero value passes everything.
type Faults struct {
	// Delay holds back each chunk or datagram; Jitter adds a random time up
	// to its value.
	Delay, Jitter time.Duration
	// Loss is the probability in [0, 1] that a datagram is dropped.
	Loss float64
	// Bandwidth is in bytes per second; zero means no limit.
	Bandwidth int
	Cut       bool
	Freeze    bool
}

// queueLen is the number of chunks or datagrams held in each direction.
const queueLen = 1024

// chunkBytes is the largest read from a connection; it holds any datagram.
const chunkBytes = 64 << 10

// Proxy carries the traffic of one listening address to one target.
type Proxy struct {
	addr string
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	rngs    [directions]*rand.Rand
	faults  [directions]Faults
	changed chan struct{}
	open    map[io.Closer]struct{}
	closed  bool
}

func newProxy(seed uint64) *Proxy {
	p := &Proxy{
		done:    make(chan struct{}),
		changed: make(chan struct{}),
		open:    make(map[io.Closer]struct{}),
	}
	for way := range p.rngs {
		p.rngs[way] = rand.New(rand.NewPCG(seed, uint64(way)))
	}
	return p
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.addr }

// SetFaults replaces the faults of the given directions, or of both.
func (p *Proxy) SetFaults(f Faults, ways ...Direction) {
	if len(ways) == 0 {
		ways = []Direction{ToTarget, ToClient}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, way := range ways {
		p.faults[way] = f
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close stops the proxy and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	for c := range p.open {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// track registers c to be closed with the proxy; it reports false and closes
// c if that has happened.
func (p *Proxy) track(c io.Closer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.open[c] = struct{}{}
	return true
}

func (p *Proxy) release(c io.Closer) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	c.Close()
}

// begin starts f on a goroutine that Close waits for.
func (p *Proxy) begin(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

func (p *Proxy) current(way Direction) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[way], p.changed
}

// passable waits until held reports false; it reports whether the proxy is
// still open.
func (p *Proxy) passable(way Direction, held func(Faults) bool) bool {
	for {
		f, changed := p.current(way)
		if !held(f) {
			return true
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

// draw returns the delay of a chunk and whether a datagram is lost.
func (p *Proxy) draw(way Direction) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[way]
	delay := f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(p.rngs[way].Int64N(int64(f.Jitter)))
	}
	return delay, f.Cut || p.rngs[way].Float64() < f.Loss
}

// sleep reports whether the proxy is still open after d.
func (p *Proxy) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	}
}

// transmit waits for the time that n bytes take at the bandwidth.
func (p *Proxy) transmit(way Direction, n int) bool {
	f, _ := p.current(way)
	if f.Bandwidth <= 0 {
		return true
	}
	return p.sleep(time.Duration(n) * time.Second / time.Duration(f.Bandwidth))
}

// chunk is data on its way: of a stream due at a time, or a datagram held
// back for a delay after its transmission.
type chunk struct {
	data  []byte
	due   time.Time
	delay time.Duration
}
