package surge

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	_ "github.com/gooseberryflow/gooseberryflow/admission"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	_ "github.com/gooseberryflow/gooseberryflow/quarantine"
	"github.com/gooseberryflow/gooseberryflow/retry"
	_ "github.com/gooseberryflow/gooseberryflow/routing"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const hopLatency = 500 * time.Microsecond

// service is a fake upstream service; next is the one that it calls.
type service struct {
	name        string
	next        string
	instances   int
	slots       int
	connections int
	own         time.Duration
}

var graph = []service{
	{name: "front", next: "middle", instances: 2, slots: 180, connections: 1200, own: 5 * time.Millisecond},
	{name: "middle", next: "deep", instances: 2, slots: 180, connections: 1200, own: 5 * time.Millisecond},
	{name: "deep", instances: 2, slots: 10, connections: 150, own: 20 * time.Millisecond},
}

// capacity is what the deep service can do, in calls per second.
func capacity(slowdown float64) float64 {
	deep := graph[2]
	return float64(deep.instances*deep.slots) / (deep.own.Seconds() * slowdown)
}

// fleet is one node with its instance for each member of the graph.
type fleet struct {
	t       testing.TB
	rngMu   sync.Mutex
	rng     *rand.Rand
	nodes   map[state.MemberID]*node
	fronts  []*node
	snap    *state.Snapshot
	slowMu  sync.Mutex
	slow    float64
	stopped chan struct{}
}

type node struct {
	fleet *fleet
	spec  service
	entry kernel.Handler
	owner kernel.Handler
	slots chan struct{}
	conns chan struct{}
}

func newFleet(t testing.TB, seed uint64, plugins []string) *fleet {
	f := &fleet{
		t: t, slow: 1, rng: rand.New(rand.NewPCG(seed, 7)),
		nodes: map[state.MemberID]*node{}, stopped: make(chan struct{}),
	}
	members := map[state.MemberID]state.Member{}
	for _, s := range graph {
		for i := range s.instances {
			id := state.MemberID(fmt.Sprint(s.name, i))
			members[id] = state.Member{ID: id, Service: s.name, Domain: "a"}
		}
	}
	f.snap = (&state.Snapshot{Members: members}).Index()
	for _, s := range graph {
		for _, m := range f.snap.Service(s.name) {
			f.add(m, s, plugins)
		}
	}
	return f
}

func (f *fleet) add(m state.Member, s service, plugins []string) {
	n := &node{fleet: f, spec: s, slots: make(chan struct{}, s.slots), conns: make(chan struct{}, s.connections)}
	set, err := kernel.NewSet(&kernel.Host{
		Self: m, Now: time.Now, Rand: f.random, Peers: noPeers{}, Forward: f.forward,
		Snapshot: func() *state.Snapshot { return f.snap },
		Log:      slog.New(slog.DiscardHandler),
		Go:       func(do func()) { go do() },
	}, plugins)
	if err != nil {
		f.t.Fatal(err)
	}
	n.entry = set.Entry(nil)
	n.owner = set.Owner(kernel.HandlerFunc(n.upstream))
	f.nodes[m.ID] = n
	if s.name == graph[0].name {
		f.fronts = append(f.fronts, n)
	}
	go f.tick(set)
}

func (f *fleet) tick(set *kernel.Set) {
	ticker := time.NewTicker(kernel.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			set.Tick(now)
		case <-f.stopped:
			return
		}
	}
}

func (f *fleet) random() uint64 {
	f.rngMu.Lock()
	defer f.rngMu.Unlock()
	return f.rng.Uint64()
}

func (f *fleet) exponential() float64 {
	f.rngMu.Lock()
	defer f.rngMu.Unlock()
	return f.rng.ExpFloat64()
}

func (f *fleet) slowDown(factor float64) {
	f.slowMu.Lock()
	defer f.slowMu.Unlock()
	f.slow = factor
}

func (f *fleet) forward(ctx context.Context, m state.Member, c *kernel.Call) *kernel.Result {
	time.Sleep(hopLatency)
	r := f.nodes[m.ID].owner.Serve(ctx, c)
	time.Sleep(hopLatency)
	return r
}

// upstream is the instance: a listen queue of connections, slots, its own
// work, and one nested call through its own node.
func (n *node) upstream(ctx context.Context, c *kernel.Call) *kernel.Result {
	select {
	case n.conns <- struct{}{}:
		defer func() { <-n.conns }()
	default:
		return answer(503)
	}
	select {
	case n.slots <- struct{}{}:
		defer func() { <-n.slots }()
	case <-ctx.Done():
		return kernel.Unknown(kernel.ReasonDeadline, "")
	}
	n.work()
	if n.spec.next == "" {
		return n.finish(ctx, c, answer(200), 0)
	}
	budget := retry.NewBudget(c.Allowance)
	below := *c
	below.Service, below.RouteName = n.spec.next, n.spec.next
	below.Depth++
	below.Allowance = budget.Lend()
	r := n.entry.Serve(ctx, &below)
	budget.Return(retry.UnusedRetries(below.Allowance, r))
	if r.Outcome != kernel.OutcomeAnswered || r.Status != 200 {
		return n.finish(ctx, c, answer(502), budget.Close())
	}
	return n.finish(ctx, c, r, budget.Close())
}

func (n *node) finish(ctx context.Context, _ *kernel.Call, r *kernel.Result, unused int) *kernel.Result {
	if ctx.Err() != nil {
		return kernel.Unknown(kernel.ReasonDeadline, "")
	}
	r = answer(r.Status)
	r.UnusedAllowance = unused
	return r
}

// work takes half a fixed and half an exponential time.
func (n *node) work() {
	own := float64(n.spec.own)
	if n.spec.next == "" {
		n.fleet.slowMu.Lock()
		own *= n.fleet.slow
		n.fleet.slowMu.Unlock()
	}
	time.Sleep(time.Duration(own * (0.5 + 0.5*n.fleet.exponential())))
}

func answer(status int) *kernel.Result {
	return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: status}
}

func (f *fleet) call(customer string, p config.Priority) *kernel.Call {
	var root kernel.CallID
	for i := range root {
		root[i] = byte(f.random())
	}
	return &kernel.Call{
		ID: root, Root: root, Customer: customer, Service: graph[0].name, RouteName: graph[0].name,
		Priority: p, Idempotent: true, Allowance: 3, Fingerprint: f.random(),
	}
}

// noPeers drops control messages; none of the plug-ins needs them here.
type noPeers struct{}

func (noPeers) Request(context.Context, state.Member, string, []byte) ([]byte, error) {
	return nil, kernel.ErrNotSent
}

func (noPeers) Handle(string, kernel.MessageHandler) {}
