package faultproxy

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is a direction of traffic through the proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToClient
	directionCount
)

// Faults are the faults of one direction; the zero value passes everything.
type Faults struct {
	// Delay holds back each chunk or datagram; Jitter adds a random time below
	// its value.
	Delay, Jitter time.Duration
	// Loss is the probability in [0, 1] that a datagram is dropped.
	Loss float64
	// Bandwidth is in bytes per second; zero means no limit.
	Bandwidth int
	// Cut drops datagrams and holds streams; Freeze holds both.
	Cut    bool
	Freeze bool
}

// queueLen is the number of chunks or datagrams held in each direction.
const queueLen = 1024

// chunkBytes is the size of a read buffer; any datagram fits into it.
const chunkBytes = 64 << 10

// Proxy forwards the traffic of one listening address to one target.
type Proxy struct {
	addr string
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	rngs    [directionCount]*rand.Rand
	faults  [directionCount]Faults
	changed chan struct{}
	closers map[io.Closer]struct{}
	closed  bool
}

func newProxy(seed uint64) *Proxy {
	p := &Proxy{
		done:    make(chan struct{}),
		changed: make(chan struct{}),
		closers: make(map[io.Closer]struct{}),
	}
	for direction := range p.rngs {
		p.rngs[direction] = rand.New(rand.NewPCG(seed, uint64(direction)))
	}
	return p
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.addr }

// SetFaults replaces the faults of the given directions, or of both directions
// if none is given.
func (p *Proxy) SetFaults(f Faults, only ...Direction) {
	if len(only) == 0 {
		only = []Direction{ToTarget, ToClient}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, direction := range only {
		p.faults[direction] = f
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
	for c := range p.closers {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// track registers c to be closed with the proxy. If the proxy is closed
// already, it closes c and reports false.
func (p *Proxy) track(c io.Closer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.closers[c] = struct{}{}
	return true
}

func (p *Proxy) release(c io.Closer) {
	p.mu.Lock()
	delete(p.closers, c)
	p.mu.Unlock()
	c.Close()
}

// startGoroutine runs f on a goroutine that Close waits for.
func (p *Proxy) startGoroutine(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

func (p *Proxy) faultsOf(direction Direction) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[direction], p.changed
}

// waitWhile blocks as long as held reports true for the direction's faults. It
// reports false if the proxy is closed meanwhile.
func (p *Proxy) waitWhile(direction Direction, held func(Faults) bool) bool {
	for {
		f, changed := p.faultsOf(direction)
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

// drawFaults returns the delay of the next chunk and whether it is lost if it
// is a datagram.
func (p *Proxy) drawFaults(direction Direction) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[direction]
	delay := f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(p.rngs[direction].Int64N(int64(f.Jitter)))
	}
	return delay, f.Cut || p.rngs[direction].Float64() < f.Loss
}

// sleep waits for d. It reports false if the proxy is closed meanwhile.
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

// throttle waits for the transmission time of n bytes at the set bandwidth. It
// reports false if the proxy is closed meanwhile.
func (p *Proxy) throttle(direction Direction, n int) bool {
	f, _ := p.faultsOf(direction)
	if f.Bandwidth <= 0 {
		return true
	}
	return p.sleep(time.Duration(n) * time.Second / time.Duration(f.Bandwidth))
}

// chunk is queued data: a part of a stream, to be written at due, or a
// datagram, to be sent after delay.
type chunk struct {
	data  []byte
	due   time.Time
	delay time.Duration
}
