package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

var simStart = time.Unix(1_700_000_000, 0)

// simInstance simulates an upstream behind a Gate. The upstream has a fixed
// number of slots and an internal first-in first-out queue that the gate can't
// see.
type simInstance struct {
	rng           *rand.Rand
	gate          *Gate
	gateDisabled  bool // admits all calls
	now           time.Time
	events        eventHeap
	seq           int
	slots         int
	running       int
	internalQueue []*queuedCall
	serviceTime   time.Duration
	onStatus      func(r *Request) // called with every final status
	served        func(r *Request, took time.Duration)
}

type queuedCall struct {
	r          *Request
	enqueuedAt time.Time
}

func newSimInstance(seed uint64, slots int, serviceTime time.Duration) *simInstance {
	m := &simInstance{rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, slots: slots, serviceTime: serviceTime}
	m.gate = NewGate(m.now)
	m.onStatus = func(*Request) {}
	m.served = func(*Request, time.Duration) {}
	m.schedule(kernel.TickInterval, m.tick)
	return m
}

func (m *simInstance) tick() {
	m.applyStatus(m.gate.Tick(m.now))
	m.schedule(kernel.TickInterval, m.tick)
}

// arrivals offers calls of one kind at a Poisson rate per second.
func (m *simInstance) arrivals(rate float64, until time.Duration, make func() *Request) {
	gap := time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second))
	m.schedule(gap, func() {
		if m.now.Sub(simStart) > until {
			return
		}
		m.offer(make())
		m.arrivals(rate, until, make)
	})
}

func (m *simInstance) offer(r *Request) {
	if m.gateDisabled {
		r.Status = StatusRunning
		r.startedAt = m.now
		m.onStatus(r)
		m.enqueue(r)
		return
	}
	m.applyStatus(m.gate.Offer(m.now, r))
	if r.Status != StatusWaiting {
		m.applyStatus([]*Request{r})
		return
	}
	m.schedule(r.WaitUntil.Sub(m.now), func() {
		if r.Status == StatusWaiting {
			m.applyStatus(append([]*Request{r}, m.gate.Cancel(m.now, r, kernel.ReasonOverload)...))
		}
	})
}

func (m *simInstance) applyStatus(changed []*Request) {
	for _, r := range append([]*Request(nil), changed...) {
		m.onStatus(r)
		if r.Status == StatusRunning {
			m.enqueue(r)
		}
	}
}

func (m *simInstance) enqueue(r *Request) {
	m.internalQueue = append(m.internalQueue, &queuedCall{r, m.now})
	m.start()
}

func (m *simInstance) start() {
	for m.running < m.slots && len(m.internalQueue) > 0 {
		queued := m.internalQueue[0]
		m.internalQueue = m.internalQueue[1:]
		m.running++
		// Half fixed, half exponential service time.
		runTime := time.Duration(float64(m.serviceTime) * (0.5 + 0.5*m.rng.ExpFloat64()))
		m.schedule(runTime, func() { m.finish(queued) })
	}
}

func (m *simInstance) finish(queued *queuedCall) {
	m.running--
	elapsed := m.now.Sub(queued.enqueuedAt)
	m.served(queued.r, elapsed)
	if !m.gateDisabled {
		m.applyStatus(m.gate.Done(m.now, queued.r, Completion{OwnTime: elapsed, Succeeded: true}))
	}
	m.start()
}

func (m *simInstance) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at.Sub(simStart) <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (m *simInstance) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, do})
}

func (m *simInstance) call(customer string, p config.Priority) *Request {
	var root kernel.CallID
	for i := range root {
		root[i] = byte(m.rng.Uint32())
	}
	return &Request{Customer: customer, Route: "r", Priority: p, Rank: Rank(p, root)}
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
