package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

const (
	streamName = "control"
	tick       = 100 * time.Millisecond
)

var errCut = errors.New("unreachable")

// fleet runs services on one thread, with a clock and a network of its own.
type fleet struct {
	t     *testing.T
	now   time.Time
	rand  *rand.Rand
	log   *standin.Service
	nodes []*testNode
	// cut reports whether messages between two nodes are lost; nil means none.
	cut func(a, b *testNode) bool
	// intervals are those of the nodes started from now on.
	intervals Intervals
	// mu guards the counts of messages, requests and answers alike.
	mu    sync.Mutex
	sent  map[string]int
	bytes int
}

func (f *fleet) count(kind string, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[kind]++
	f.bytes += bytes
}

// testNode is one service with its ends of network and log.
type testNode struct {
	*Service
	fleet    *fleet
	member   state.Member
	handlers map[string]kernel.MessageHandler
	down     bool
	noLog    bool
	ended    bool
	// beforeAppend runs once before the node's next append.
	beforeAppend func()
	due          [4]time.Time
	version      uint64
	offset       uint64
	reads        atomic.Int64
	appends      atomic.Int64
}

func newFleet(t *testing.T, seed uint64) *fleet {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	})
	return &fleet{
		t:    t,
		now:  time.UnixMilli(1_800_000_000_000),
		rand: rand.New(rand.NewPCG(seed, 7)),
		log:  standin.New(),
		sent: map[string]int{},
	}
}

func parseAny(file []byte) (*config.Config, error) {
	if string(file) == "bad" {
		return nil, errors.New("bad file")
	}
	return &config.Config{}, nil
}

// start adds a node in a failure domain that knows the first peers.
func (f *fleet) start(domain string, first ...*testNode) *testNode {
	f.t.Helper()
	n := len(f.nodes)
	addr := fmt.Sprintf("127.0.0.1:%d", 10000+n)
	node := &testNode{fleet: f, handlers: map[string]kernel.MessageHandler{}}
	node.member = state.Member{
		ID:          state.MemberID(fmt.Sprintf("0193f0a0-0000-7000-8000-%012d", n)),
		Service:     "booker",
		Domain:      domain,
		ControlAddr: addr,
		CallAddr:    addr,
		CallerAddr:  addr,
		AnnouncedMS: f.now.UnixMilli(),
	}
	var addrs []string
	for _, p := range first {
		addrs = append(addrs, p.member.ControlAddr)
	}
	s, err := New(Options{
		Self:      node.member,
		Log:       node,
		Peers:     node,
		SeedPeers: addrs,
		Parse:     parseAny,
		Now:       func() time.Time { return f.now },
		Rand:      f.rand.Uint64,
		OnEnded:   func() { node.ended = true },

		Intervals: f.intervals,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	s.async = func(work func()) { work() }
	s.heads.delay = func() {}
	node.Service = s
	f.nodes = append(f.nodes, node)
	s.join(context.Background())
	return node
}

// startAll starts nodes spread over failure domains and lets them settle.
func (f *fleet) startAll(nodes int, domains ...string) {
	f.t.Helper()
	for i := range nodes {
		f.start(domains[i%len(domains)])
	}
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		if got := len(n.Snapshot().Members); got != nodes {
			f.t.Fatalf("%s knows %d members of %d", n.member.ID, got, nodes)
		}
	}
}

// run advances the clock and calls each node's periodic work when due.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, n := range f.nodes {
			if !n.down {
				n.work()
			}
		}
	}
}

func (n *testNode) work() {
	ctx := context.Background()
	steps := [4]func(){
		func() { n.readHead(ctx) },
		func() { n.gossip(ctx) },
		func() { n.upkeep(ctx) },
		func() { n.probe(ctx) },
	}
	intervals := [4]func() time.Duration{n.pollInterval, n.gossipInterval, n.upkeepInterval, n.probeInterval}
	for i, step := range steps {
		if n.due[i].After(n.fleet.now) {
			continue
		}
		step()
		n.due[i] = n.fleet.now.Add(intervals[i]())
	}
	n.checkMonotone()
}

// checkMonotone fails the test if the node went back.
func (n *testNode) checkMonotone() {
	s := n.Snapshot()
	if s.Version < n.version || s.Offset < n.offset {
		n.fleet.t.Fatalf("%s went back from version %d, offset %d to %d, %d", n.member.ID, n.version, n.offset, s.Version, s.Offset)
	}
	n.version, n.offset = s.Version, s.Offset
}

// Request implements kernel.Peers.
func (n *testNode) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	f := n.fleet
	f.count(kind, len(body))
	for _, peer := range f.nodes {
		if peer.member.ControlAddr != to.ControlAddr {
			continue
		}
		if peer.down || n.down || f.cut != nil && f.cut(n, peer) {
			return nil, errCut
		}
		answer, err := peer.handlers[kind](ctx, n.member.ID, body)
		f.count(kind, len(answer))
		return answer, err
	}
	return nil, errCut
}

// Handle implements kernel.Peers.
func (n *testNode) Handle(kind string, h kernel.MessageHandler) { n.handlers[kind] = h }

// Append implements streamlog.Log.
func (n *testNode) Append(ctx context.Context, data []byte) (uint64, error) {
	n.appends.Add(1)
	if hook := n.beforeAppend; hook != nil {
		n.beforeAppend = nil
		hook()
	}
	if n.noLog {
		return 0, errCut
	}
	return n.fleet.log.Stream(streamName).Append(ctx, data)
}

// Read implements streamlog.Log.
func (n *testNode) Read(ctx context.Context, from uint64, limit int) (streamlog.Page, error) {
	if n.noLog {
		return streamlog.Page{}, errCut
	}
	n.reads.Add(1)
	return n.fleet.log.Stream(streamName).Read(ctx, from, limit)
}

// submit changes the configuration through a node and expects a version.
func (f *fleet) submit(n *testNode, file string, base uint64) {
	f.t.Helper()
	r := n.Submit(context.Background(), []byte(file), base, "change-"+file)
	if r.Outcome != SubmitAccepted || r.Version != base+1 {
		f.t.Fatalf("submit %s: %+v", file, r)
	}
}

// records returns the records of the log of a type.
func records[R state.Record](f *fleet) []R {
	f.t.Helper()
	var found []R
	var from uint64
	for {
		page, err := f.log.Stream(streamName).Read(context.Background(), from, 1000)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, e := range page.Entries {
			rec, err := state.Decode(e.Data)
			if err != nil {
				f.t.Fatal(err)
			}
			if r, ok := rec.(R); ok {
				found = append(found, r)
			}
			from = e.Offset + 1
		}
		if from >= page.Next || len(page.Entries) == 0 {
			return found
		}
	}
}

// appendRecord writes a record to the log past all nodes.
func (f *fleet) appendRecord(r state.Record) {
	f.t.Helper()
	data, err := state.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.log.Stream(streamName).Append(context.Background(), data); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) logNext() uint64 {
	page, err := f.log.Stream(streamName).Read(context.Background(), 0, 1)
	if err != nil {
		f.t.Fatal(err)
	}
	return page.Next
}
