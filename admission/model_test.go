package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

var modelStart = time.Unix(1_700_000_000, 0)

// instance models an upstream with a fixed number of slots and a first-in
// first-out queue inside, which the gate can't see, behind a Gate.
type instance struct {
	rng     *rand.Rand
	gate    *Gate
	noGate  bool // let everything through: the mechanism is off
	now     time.Time
	events  eventHeap
	seq     int
	slots   int
	busy    int
	inside  []*work
	service time.Duration
	seen    func(r *Request) // every final status
	served  func(r *Request, took time.Duration)
}

type work struct {
	r       *Request
	entered time.Time
}

func newInstance(seed uint64, slots int, service time.Duration) *instance {
	m := &instance{rng: rand.New(rand.NewPCG(seed, 1)), now: modelStart, slots: slots, service: service}
	m.gate = NewGate(m.now)
	m.seen = func(*Request) {}
	m.served = func(*Request, time.Duration) {}
	m.after(kernel.TickInterval, m.tick)
	return m
}

func (m *instance) tick() {
	m.gate.Tick(m.now)
	m.after(kernel.TickInterval, m.tick)
}

// arrivals offers calls of one kind at a Poisson rate per second.
func (m *instance) arrivals(rate float64, until time.Duration, make func() *Request) {
	gap := time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second))
	m.after(gap, func() {
		if m.now.Sub(modelStart) > until {
			return
		}
		m.offer(make())
		m.arrivals(rate, until, make)
	})
}

func (m *instance) offer(r *Request) {
	if m.noGate {
		r.Status = StatusRunning
		r.began = m.now
		m.seen(r)
		m.enter(r)
		return
	}
	m.settle(m.gate.Offer(m.now, r))
	if r.Status != StatusWaiting {
		m.settle([]*Request{r})
		return
	}
	m.after(r.WaitUntil.Sub(m.now), func() {
		if r.Status == StatusWaiting {
			m.settle(append([]*Request{r}, m.gate.Leave(m.now, r, kernel.ReasonOverload)...))
		}
	})
}

func (m *instance) settle(changed []*Request) {
	for _, r := range append([]*Request(nil), changed...) {
		m.seen(r)
		if r.Status == StatusRunning {
			m.enter(r)
		}
	}
}

func (m *instance) enter(r *Request) {
	m.inside = append(m.inside, &work{r, m.now})
	m.start()
}

func (m *instance) start() {
	for m.busy < m.slots && len(m.inside) > 0 {
		w := m.inside[0]
		m.inside = m.inside[1:]
		m.busy++
		// Half fixed, half exponential service time.
		took := time.Duration(float64(m.service) * (0.5 + 0.5*m.rng.ExpFloat64()))
		m.after(took, func() { m.finish(w) })
	}
}

func (m *instance) finish(w *work) {
	m.busy--
	took := m.now.Sub(w.entered)
	m.served(w.r, took)
	if !m.noGate {
		m.settle(m.gate.Done(m.now, w.r, End{Own: took, Answered: true}))
	}
	m.start()
}

func (m *instance) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at.Sub(modelStart) <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (m *instance) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, do})
}

func (m *instance) call(customer string, p config.Priority) *Request {
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
