package ratelimit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// testNetwork connects plug-ins in one process on a shared manual clock.
type testNetwork struct {
	mu    sync.Mutex
	now   time.Time
	snap  atomic.Pointer[state.Snapshot]
	nodes map[state.MemberID]*testPeers
	work  sync.WaitGroup
}

type testPeers struct {
	net      *testNetwork
	self     state.MemberID
	handlers map[string]kernel.MessageHandler
}

func (p *testPeers) Handle(kind string, h kernel.MessageHandler) { p.handlers[kind] = h }

func (p *testPeers) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	return p.net.nodes[to.ID].handlers[kind](ctx, p.self, body)
}

func (n *testNetwork) clock() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

func (n *testNetwork) advance(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now = n.now.Add(d)
}

var pluginCustomer = config.Customer{Name: "c", Rate: 10, Burst: 30}

func newTestNetwork(t *testing.T, plugin func() kernel.Plugin) (*testNetwork, []kernel.Plugin) {
	n := &testNetwork{now: t0, nodes: map[state.MemberID]*testPeers{}}
	members := map[state.MemberID]state.Member{}
	for _, id := range []state.MemberID{"a", "b", "c"} {
		members[id] = state.Member{ID: id, Domain: "domain-" + string(id)}
	}
	cfg := &config.Config{Customers: []config.Customer{pluginCustomer}, FailureDomains: []string{"domain-a", "domain-b", "domain-c"}}
	n.snap.Store((&state.Snapshot{Config: cfg, Members: members, LogContact: t0}).Index())
	var plugins []kernel.Plugin
	for _, id := range []state.MemberID{"a", "b", "c"} {
		peers := &testPeers{net: n, self: id, handlers: map[string]kernel.MessageHandler{}}
		n.nodes[id] = peers
		p := plugin()
		err := p.Provision(&kernel.Host{
			Self:     members[id],
			Now:      n.clock,
			Rand:     func() uint64 { return 7 },
			Snapshot: n.snap.Load,
			Peers:    peers,
			Log:      slog.New(slog.DiscardHandler),
			Go: func(f func()) {
				n.work.Add(1)
				go func() {
					defer n.work.Done()
					f()
				}()
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		plugins = append(plugins, p)
	}
	return n, plugins
}

// runFor advances the clock, with ticks and reads of the log's head.
func (n *testNetwork) runFor(plugins []kernel.Plugin, d time.Duration) {
	for range d / (10 * kernel.TickInterval) {
		n.advance(10 * kernel.TickInterval)
		s := *n.snap.Load()
		s.LogContact = n.clock()
		n.snap.Store(&s)
		for _, p := range plugins {
			if t, ok := p.(kernel.Ticker); ok {
				t.Tick(n.clock())
			}
		}
		n.work.Wait()
	}
}

var served = kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
	return &kernel.Result{Outcome: kernel.OutcomeAnswered}
})

func TestPluginAdmitsAtMostBurst(t *testing.T) {
	n, plugins := newTestNetwork(t, func() kernel.Plugin { return &Plugin{} })
	n.runFor(plugins, 20*time.Second)
	var admitted, refused atomic.Int32
	var callers sync.WaitGroup
	for _, p := range plugins {
		h := p.(*Plugin).WrapEntry(served)
		for range 20 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				r := h.Serve(context.Background(), &kernel.Call{Customer: "c"})
				if r.Outcome == kernel.OutcomeAnswered {
					admitted.Add(1)
					return
				}
				refused.Add(1)
				if r.Outcome != kernel.OutcomeNotRun || r.Reason != kernel.ReasonRate || r.RetryAfter <= 0 {
					t.Errorf("unexpected refusal %+v", r)
				}
			}()
		}
	}
	callers.Wait()
	n.work.Wait()
	// The clock stands still, so at most the burst may be admitted.
	if admitted.Load() > int32(pluginCustomer.Burst) || admitted.Load() == 0 {
		t.Fatalf("%d of 60 requests admitted, want at most the burst of %.0f", admitted.Load(), pluginCustomer.Burst)
	}
}

func TestPluginLimitsRootRequestsOnly(t *testing.T) {
	n, plugins := newTestNetwork(t, func() kernel.Plugin { return &Plugin{} })
	h := plugins[0].(*Plugin).WrapEntry(served)
	for _, c := range []*kernel.Call{{}, {Customer: "c", Depth: 1}} {
		if r := h.Serve(context.Background(), c); r.Outcome != kernel.OutcomeAnswered {
			t.Errorf("call %+v refused: %+v", c, r)
		}
	}
	if r := h.Serve(context.Background(), &kernel.Call{Customer: "unknown"}); r.Reason != kernel.ReasonRate {
		t.Errorf("unknown customer not refused for its rate: %+v", r)
	}
	n.work.Wait()
}

func TestNaiveSplitsBurstByMembers(t *testing.T) {
	_, plugins := newTestNetwork(t, func() kernel.Plugin { return &Naive{} })
	h := plugins[0].(*Naive).WrapEntry(served)
	admitted := 0
	for range 60 {
		if h.Serve(context.Background(), &kernel.Call{Customer: "c"}).Outcome == kernel.OutcomeAnswered {
			admitted++
		}
	}
	if want := int(pluginCustomer.Burst) / 3; admitted != want {
		t.Fatalf("%d requests admitted, want %d", admitted, want)
	}
}
