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

// service is a simulated upstream service. Slots and connections are per
// instance; nestedService is the service that it calls, if any.
type service struct {
	name            string
	nestedService   string
	instances       int
	slots           int
	connections     int
	meanServiceTime time.Duration
}

var graph = []service{
	{name: "front", nestedService: "middle", instances: 2, slots: 180, connections: 1200, meanServiceTime: 5 * time.Millisecond},
	{name: "middle", nestedService: "deep", instances: 2, slots: 180, connections: 1200, meanServiceTime: 5 * time.Millisecond},
	{name: "deep", instances: 2, slots: 10, connections: 150, meanServiceTime: 20 * time.Millisecond},
}

// bottleneckCapacity is the capacity of the deep service in calls per second.
func bottleneckCapacity(slowdown float64) float64 {
	bottleneck := graph[2]
	return float64(bottleneck.instances*bottleneck.slots) / (bottleneck.meanServiceTime.Seconds() * slowdown)
}

// fleet has one node, with an instance beside it, for each instance of the graph.
type fleet struct {
	t          testing.TB
	rngMu      sync.Mutex
	rng        *rand.Rand
	nodes      map[state.MemberID]*node
	frontNodes []*node
	snap       *state.Snapshot
	slowdownMu sync.Mutex
	slowdown   float64
	stop       chan struct{}
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
		t: t, slowdown: 1, rng: rand.New(rand.NewPCG(seed, 7)),
		nodes: map[state.MemberID]*node{}, stop: make(chan struct{}),
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
			f.addNode(m, s, plugins)
		}
	}
	return f
}

func (f *fleet) addNode(m state.Member, s service, plugins []string) {
	n := &node{fleet: f, spec: s, slots: make(chan struct{}, s.slots), conns: make(chan struct{}, s.connections)}
	set, err := kernel.NewPluginSet(&kernel.Host{
		Self: m, Now: time.Now, Rand: f.random, Peers: droppingPeers{}, Forward: f.forward,
		Snapshot: func() *state.Snapshot { return f.snap },
		Log:      slog.New(slog.DiscardHandler),
		Go:       func(do func()) { go do() },
	}, plugins)
	if err != nil {
		f.t.Fatal(err)
	}
	n.entry = set.Entry(nil)
	n.owner = set.Owner(kernel.HandlerFunc(n.serveUpstream))
	f.nodes[m.ID] = n
	if s.name == graph[0].name {
		f.frontNodes = append(f.frontNodes, n)
	}
	go f.runTicks(set)
}

func (f *fleet) runTicks(set *kernel.PluginSet) {
	ticker := time.NewTicker(kernel.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			set.Tick(now)
		case <-f.stop:
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

func (f *fleet) setSlowdown(factor float64) {
	f.slowdownMu.Lock()
	defer f.slowdownMu.Unlock()
	f.slowdown = factor
}

func (f *fleet) forward(ctx context.Context, m state.Member, c *kernel.Call) *kernel.Result {
	time.Sleep(hopLatency)
	r := f.nodes[m.ID].owner.Serve(ctx, c)
	time.Sleep(hopLatency)
	return r
}

// serveUpstream simulates the instance: a limit of connections, slots, a service
// time, and one nested call through the node beside it.
func (n *node) serveUpstream(ctx context.Context, c *kernel.Call) *kernel.Result {
	select {
	case n.conns <- struct{}{}:
		defer func() { <-n.conns }()
	default:
		return newResponse(503)
	}
	select {
	case n.slots <- struct{}{}:
		defer func() { <-n.slots }()
	case <-ctx.Done():
		return kernel.Unknown(kernel.ReasonDeadline, "")
	}
	n.spendServiceTime()
	if n.spec.nestedService == "" {
		return n.finish(ctx, c, newResponse(200), 0)
	}
	budget := retry.NewBudget(c.Allowance)
	nested := *c
	nested.Service, nested.RouteName = n.spec.nestedService, n.spec.nestedService
	nested.Depth++
	nested.Allowance = budget.Lend()
	r := n.entry.Serve(ctx, &nested)
	budget.Return(retry.UnusedRetries(nested.Allowance, r))
	if r.Outcome != kernel.OutcomeAnswered || r.Status != 200 {
		return n.finish(ctx, c, newResponse(502), budget.Close())
	}
	return n.finish(ctx, c, r, budget.Close())
}

func (n *node) finish(ctx context.Context, _ *kernel.Call, r *kernel.Result, unused int) *kernel.Result {
	if ctx.Err() != nil {
		return kernel.Unknown(kernel.ReasonDeadline, "")
	}
	r = newResponse(r.Status)
	r.UnusedAllowance = unused
	return r
}

// spendServiceTime sleeps for a service time of which half is constant and half
// is exponentially distributed.
func (n *node) spendServiceTime() {
	meanServiceTime := float64(n.spec.meanServiceTime)
	if n.spec.nestedService == "" {
		n.fleet.slowdownMu.Lock()
		meanServiceTime *= n.fleet.slowdown
		n.fleet.slowdownMu.Unlock()
	}
	time.Sleep(time.Duration(meanServiceTime * (0.5 + 0.5*n.fleet.exponential())))
}

func newResponse(status int) *kernel.Result {
	return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: status}
}

func (f *fleet) newCall(customer string, p config.Priority) *kernel.Call {
	var root kernel.CallID
	for i := range root {
		root[i] = byte(f.random())
	}
	return &kernel.Call{
		ID: root, Root: root, Customer: customer, Service: graph[0].name, RouteName: graph[0].name,
		Priority: p, Idempotent: true, Allowance: 3, Fingerprint: f.random(),
	}
}

// droppingPeers drops control messages, which no plug-in needs in these tests.
type droppingPeers struct{}

func (droppingPeers) Request(context.Context, state.Member, string, []byte) ([]byte, error) {
	return nil, kernel.ErrNotSent
}

func (droppingPeers) Handle(string, kernel.MessageHandler) {}
