package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/retry"
	"github.com/gooseberryflow/gooseberryflow/routing"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const poison = 666

// fleet simulates nodes that exchange messages by function calls.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[state.MemberID]*node
	snap  *state.Snapshot
	// killsNode makes a crash of an instance end its node for good as well.
	killsNode         bool
	deaths            int
	reports           int
	withoutQuarantine bool // leaves out the plug-in under test
}

type node struct {
	*Plugin
	fleet    *fleet
	member   state.Member
	handlers map[string]kernel.MessageHandler
	entry    kernel.Handler
	owner    kernel.Handler
	running  map[uint64]int
	block    chan struct{} // calls wait for it if set
	crashed  chan struct{} // closed when the instance dies
}

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 5)), nodes: map[state.MemberID]*node{}}
	for i := range size {
		f.start(fmt.Sprint("n", i))
	}
	return f
}

func (f *fleet) rand() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Uint64()
}

func (f *fleet) start(name string) *node { return f.startFor("s", name) }

func (f *fleet) startFor(service, name string) *node {
	id := state.MemberID(name)
	n := &node{
		Plugin:   &Plugin{},
		fleet:    f,
		member:   state.Member{ID: id, Service: service, Domain: "a"},
		handlers: map[string]kernel.MessageHandler{},
		running:  map[uint64]int{},
		crashed:  make(chan struct{}),
	}
	h := &kernel.Host{
		Self: n.member, Now: time.Now, Rand: f.rand, Peers: n, Forward: f.forward,
		Snapshot: func() *state.Snapshot { f.mu.Lock(); defer f.mu.Unlock(); return f.snap },
		Log:      slog.New(slog.DiscardHandler),
		Go:       func(do func()) { go do() },
	}
	retries, routes := &retry.Plugin{}, &routing.Plugin{}
	for _, p := range []kernel.Plugin{n.Plugin, retries, routes} {
		if err := p.Provision(h); err != nil {
			f.t.Fatal(err)
		}
	}
	n.entry = retries.WrapEntry(routes.WrapEntry(nil))
	n.owner = kernel.HandlerFunc(n.serveInstance)
	if !f.withoutQuarantine {
		n.entry, n.owner = n.WrapEntry(n.entry), n.WrapOwner(n.owner)
	}
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	f.publish()
	return n
}

func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := map[state.MemberID]state.Member{}
	for id, n := range f.nodes {
		members[id] = n.member
	}
	f.snap = (&state.Snapshot{Members: members}).Index()
}

func (f *fleet) node(id state.MemberID) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

func (f *fleet) forward(ctx context.Context, m state.Member, c *kernel.Call) *kernel.Result {
	n := f.node(m.ID)
	if n == nil {
		return kernel.Refuse(kernel.ReasonNoUpstream, "", 0)
	}
	r := n.owner.Serve(ctx, c)
	if r.InstanceLost && f.killsNode {
		return &kernel.Result{Outcome: kernel.OutcomeUnknown, InstanceLost: true}
	}
	return r
}

// serveInstance simulates the upstream instance: the poison request crashes it
// with all its calls.
func (n *node) serveInstance(_ context.Context, c *kernel.Call) *kernel.Result {
	n.fleet.mu.Lock()
	n.running[c.Fingerprint]++
	crashed, block := n.crashed, n.block
	n.fleet.mu.Unlock()
	defer func() {
		n.fleet.mu.Lock()
		n.running[c.Fingerprint]--
		n.fleet.mu.Unlock()
	}()
	if c.Fingerprint == poison {
		n.crash()
	}
	if block != nil {
		select {
		case <-block:
		case <-crashed:
		}
	}
	select {
	case <-crashed:
		return &kernel.Result{Outcome: kernel.OutcomeUnknown, InstanceLost: true, Reason: kernel.ReasonUpstream}
	default:
		return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
	}
}

func (n *node) crash() {
	f := n.fleet
	f.mu.Lock()
	f.deaths++
	close(n.crashed)
	n.crashed = make(chan struct{})
	if f.killsNode {
		delete(f.nodes, n.member.ID)
	}
	f.mu.Unlock()
	f.publish()
}

// Request implements kernel.Peers.
func (n *node) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	n.fleet.mu.Lock()
	if kind == kindReport {
		n.fleet.reports++
	}
	n.fleet.mu.Unlock()
	peer, self := n.fleet.node(to.ID), n.fleet.node(n.member.ID)
	if peer == nil || self == nil {
		return nil, kernel.ErrNotSent
	}
	time.Sleep(time.Millisecond)
	return peer.handlers[kind](ctx, n.member.ID, body)
}

// Handle implements kernel.Peers.
func (n *node) Handle(kind string, h kernel.MessageHandler) { n.handlers[kind] = h }

// entryNode returns a random node. Where nodes end with their instances, it
// returns one that has an instance of another service.
func (f *fleet) entryNode() *node {
	ids := slices.Sorted(maps.Keys(f.nodes))
	if f.killsNode {
		ids = slices.DeleteFunc(ids, func(id state.MemberID) bool { return f.nodes[id].member.Service == "s" })
	}
	return f.nodes[ids[f.rand()%uint64(len(ids))]]
}

func call(fingerprint uint64) *kernel.Call {
	return &kernel.Call{Service: "s", Fingerprint: fingerprint, Idempotent: true, Allowance: 3}
}

// A request sent repeatedly, through any node and with retries, may crash at most
// two instances.
func TestPoisonRequestCrashesAtMostTwoInstances(t *testing.T) {
	for _, killsNode := range []bool{false, true} {
		for seed := range uint64(20) {
			deaths, last := resend(t, seed, killsNode, false)
			if deaths > 2 {
				t.Errorf("seed %d, kills nodes %v: %d instances lost, want at most 2", seed, killsNode, deaths)
			}
			if last.Reason != kernel.ReasonQuarantine || last.Outcome != kernel.OutcomeNotRun {
				t.Errorf("seed %d, kills nodes %v: last answer %v %q", seed, killsNode, last.Outcome, last.Reason)
			}
		}
	}
}

func TestPoisonRequestCrashesMoreWithoutQuarantine(t *testing.T) {
	if deaths, _ := resend(t, 1, false, true); deaths <= 2 {
		t.Errorf("%d instances lost without quarantine, want more than 2", deaths)
	}
}

func resend(t *testing.T, seed uint64, killsNode, withoutQuarantine bool) (deaths int, last *kernel.Result) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, 0)
		f.withoutQuarantine = withoutQuarantine
		for i := range 10 {
			f.start(fmt.Sprint("n", i))
			f.startFor("front", fmt.Sprint("f", i))
		}
		f.killsNode = killsNode
		for range 30 {
			last = f.entryNode().entry.Serve(t.Context(), call(poison))
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		deaths = f.deaths
	})
	return deaths, last
}

// Calls in flight together with the poison request become suspects, run one at a
// time, and are cleared at all nodes once they have run.
func TestInnocentSuspectsAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		n := f.nodes["n0"]
		n.block = make(chan struct{})
		for i := range uint64(5) {
			go n.owner.Serve(t.Context(), call(i))
		}
		synctest.Wait()
		n.owner.Serve(t.Context(), call(poison))
		time.Sleep(time.Second)
		for i := range uint64(5) {
			for id, other := range f.nodes {
				if rec := other.table.get(i, time.Now()); !rec.suspect() {
					t.Errorf("fingerprint %d at %s: %+v, want a suspect", i, id, rec)
				}
			}
		}
		other := f.nodes["n1"]
		other.block = make(chan struct{})
		for i := range uint64(5) {
			go other.owner.Serve(t.Context(), call(i))
		}
		for range 5 {
			synctest.Wait()
			if n := other.runningCalls(); n > 1 {
				t.Errorf("%d suspects running concurrently, want at most 1", n)
			}
			other.block <- struct{}{}
		}
		time.Sleep(time.Second)
		for i := range uint64(5) {
			for id, other := range f.nodes {
				if rec := other.table.get(i, time.Now()); rec.unclearedDeaths() != 0 {
					t.Errorf("fingerprint %d at %s: %+v, want it cleared", i, id, rec)
				}
			}
		}
		if rec := other.table.get(poison, time.Now()); !rec.suspect() {
			t.Errorf("poison: %+v, want a suspect", rec)
		}
	})
}

func (n *node) runningCalls() int {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	sum := 0
	for _, c := range n.running {
		sum += c
	}
	return sum
}

// A call that was already running when it became a suspect keeps other suspects
// from running.
func TestRunningSuspectExcludesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		n := f.nodes["n0"]
		n.block = make(chan struct{})
		go n.owner.Serve(t.Context(), call(1))
		synctest.Wait()
		n.table.addDeath(1, "x", time.Now())
		n.table.addDeath(2, "x", time.Now())
		if r := n.owner.Serve(t.Context(), call(2)); r.Outcome != kernel.OutcomeNotRun {
			t.Errorf("a suspect ran concurrently with another: outcome %v", r.Outcome)
		}
		close(n.block)
		synctest.Wait()
	})
}

// Several copies of a call lost in one death count as one death.
func TestOneDeathCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		n := f.nodes["n0"]
		n.block = make(chan struct{})
		for range 4 {
			go n.owner.Serve(t.Context(), call(1))
		}
		synctest.Wait()
		n.crash()
		synctest.Wait()
		if rec := n.table.get(1, time.Now()); rec.unclearedDeaths() != 1 {
			t.Errorf("%d deaths counted, want 1", rec.unclearedDeaths())
		}
		time.Sleep(sendTimeout)
	})
}

// Where instances outlive their nodes, losing nodes is not losing their
// instances. Otherwise, when all nodes were killed while links were down, a
// request sent by many callers would be quarantined.
func TestNodeLossIsNoInstanceLossIfInstancesOutliveNodes(t *testing.T) {
	for _, outlive := range []bool{false, true} {
		f := newFleet(t, 1, 3)
		entry := f.nodes["n2"]
		entry.host.InstancesOutliveNodes = outlive
		for _, owner := range []state.MemberID{"n0", "n1"} {
			entry.observe(call(7), &kernel.Result{Outcome: kernel.OutcomeUnknown, InstanceLost: true, Owner: owner})
		}
		if refused := entry.refuse(call(7)) != nil; refused == outlive {
			t.Errorf("instances outlive nodes %t: refused %t", outlive, refused)
		}
	}
}

// Calls lost at the same time at one entry node are reported in one message to
// each node.
func TestLostCallsShareOneReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 5)
		entry := f.startFor("front", "f")
		f.killsNode = true
		for i := range uint64(50) {
			go entry.observe(call(i), &kernel.Result{Outcome: kernel.OutcomeUnknown, InstanceLost: true, Owner: "n0"})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.reports > 5 {
			t.Errorf("%d reports to 5 nodes, want one to each", f.reports)
		}
		for i := range uint64(50) {
			if rec := f.nodes["n4"].table.get(i, time.Now()); !rec.suspect() {
				t.Fatalf("fingerprint %d not known at another node", i)
			}
		}
	})
}

func TestNewNodeFetchesTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		for _, d := range []deathID{"x", "y"} {
			f.nodes["n0"].table.addDeath(poison, d, time.Now())
		}
		n := f.start("n2")
		n.Tick(time.Now())
		time.Sleep(time.Second)
		if r := n.owner.Serve(t.Context(), call(poison)); r.Reason != kernel.ReasonQuarantine {
			t.Errorf("new node did not refuse the poison request: %v %q", r.Outcome, r.Reason)
		}
	})
}

func TestQuarantineEnds(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := newTable()
	table.addDeath(1, "x", now)
	rec := table.addDeath(1, "y", now)
	if !rec.quarantined() {
		t.Fatal("two deaths don't quarantine")
	}
	for range 10 { // a repeated report must not extend it, even at a new node
		now = now.Add(quarantineDuration / 20)
		table.merge(rec, now)
		fresh := newTable()
		if got := fresh.merge(rec, now); got.ExpiresMS != rec.ExpiresMS {
			t.Fatalf("expiry at a new node %d, want %d", got.ExpiresMS, rec.ExpiresMS)
		}
	}
	now = now.Add(quarantineDuration / 2)
	if rec := table.get(1, now); rec.quarantined() {
		t.Fatal("still quarantined after the expiry")
	}
	table.dropExpired(now)
	if n := table.size.Load(); n != 0 {
		t.Fatalf("%d records left after the expiry", n)
	}
}

// Merging the same reports in any order and number gives the same sets.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 6))
		var reports []record
		for range 6 {
			d := deathID(fmt.Sprint(rng.IntN(3)))
			r := record{Fingerprint: 1, Deaths: []deathID{d}, ExpiresMS: now.UnixMilli() + 1 + rng.Int64N(50_000)}
			if rng.IntN(3) == 0 {
				r.Cleared = r.Deaths
			}
			reports = append(reports, r)
		}
		a, b := newTable(), newTable()
		for _, r := range reports {
			a.merge(r, now)
		}
		for _, i := range append(rng.Perm(6), rng.Perm(6)...) {
			b.merge(reports[i], now)
		}
		x, y := a.get(1, now), b.get(1, now)
		for _, r := range []record{x, y} {
			slices.Sort(r.Deaths)
			slices.Sort(r.Cleared)
		}
		if !reflect.DeepEqual(x.Deaths, y.Deaths) || !reflect.DeepEqual(x.Cleared, y.Cleared) {
			t.Fatalf("seed %d: %+v and %+v", seed, x, y)
		}
	}
}

func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := newTable()
	for i := range uint64(maxRecords + 100) {
		table.addDeath(i, "x", now.Add(time.Duration(i)*time.Millisecond))
	}
	if n := len(table.all()); n > maxRecords {
		t.Fatalf("%d records, want at most %d", n, maxRecords)
	}
}

func BenchmarkOwner(b *testing.B) {
	p := &Plugin{table: newTable(), inflightCalls: newInflightCalls(), isolation: newIsolation()}
	p.host = &kernel.Host{Now: time.Now}
	answer := &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
	h := p.WrapOwner(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result { return answer }))
	c := call(1)
	b.ReportAllocs()
	for b.Loop() {
		h.Serve(context.Background(), c)
	}
}
