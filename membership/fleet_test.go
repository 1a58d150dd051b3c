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

var errUnreachable = errors.New("unreachable")

// fleet runs services on one goroutine, with a simulated clock and network.
type fleet struct {
	t     *testing.T
	now   time.Time
	rand  *rand.Rand
	log   *standin.Service
	nodes []*testNode
	// partitioned reports whether messages from one node to another are lost; nil
	// means that none are.
	partitioned func(a, b *testNode) bool
	// intervals apply to nodes started later.
	intervals Intervals
	// mu guards sent and bytes, which count both requests and responses.
	mu    sync.Mutex
	sent  map[string]int
	bytes int
}

func (f *fleet) countMessage(kind string, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[kind]++
	f.bytes += bytes
}

// testNode is one service with its connections to the network and the log.
type testNode struct {
	*Service
	fleet    *fleet
	member   state.Member
	handlers map[string]kernel.MessageHandler
	down     bool
	logDown  bool
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

// startNode adds a node in a failure domain with the given seed peers.
func (f *fleet) startNode(domain string, seeds ...*testNode) *testNode {
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
	for _, p := range seeds {
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
	s.headBatcher.wait = func() {}
	node.Service = s
	f.nodes = append(f.nodes, node)
	s.loadInitialState(context.Background())
	return node
}

// startNodes starts nodes spread over failure domains and waits until they know
// each other.
func (f *fleet) startNodes(nodes int, domains ...string) {
	f.t.Helper()
	for i := range nodes {
		f.startNode(domains[i%len(domains)])
	}
	f.advance(10 * time.Second)
	for _, n := range f.nodes {
		if got := len(n.Snapshot().Members); got != nodes {
			f.t.Fatalf("%s knows %d members of %d", n.member.ID, got, nodes)
		}
	}
}

// advance advances the clock and runs each node's periodic work when due.
func (f *fleet) advance(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, n := range f.nodes {
			if !n.down {
				n.runDue()
			}
		}
	}
}

func (n *testNode) runDue() {
	ctx := context.Background()
	steps := [4]func(){
		func() { n.refreshHead(ctx) },
		func() { n.gossip(ctx) },
		func() { n.maintain(ctx) },
		func() { n.probe(ctx) },
	}
	intervals := [4]func() time.Duration{n.pollInterval, n.gossipInterval, n.maintenanceInterval, n.probeInterval}
	for i, step := range steps {
		if n.due[i].After(n.fleet.now) {
			continue
		}
		step()
		n.due[i] = n.fleet.now.Add(intervals[i]())
	}
	n.checkMonotonic()
}

// checkMonotonic fails the test if the node's version or offset decreased.
func (n *testNode) checkMonotonic() {
	s := n.Snapshot()
	if s.Version < n.version || s.Offset < n.offset {
		n.fleet.t.Fatalf("%s went back from version %d, offset %d to %d, %d", n.member.ID, n.version, n.offset, s.Version, s.Offset)
	}
	n.version, n.offset = s.Version, s.Offset
}

// Request implements kernel.Peers.
func (n *testNode) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	f := n.fleet
	f.countMessage(kind, len(body))
	for _, peer := range f.nodes {
		if peer.member.ControlAddr != to.ControlAddr {
			continue
		}
		if peer.down || n.down || f.partitioned != nil && f.partitioned(n, peer) {
			return nil, errUnreachable
		}
		response, err := peer.handlers[kind](ctx, n.member.ID, body)
		f.countMessage(kind, len(response))
		return response, err
	}
	return nil, errUnreachable
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
	if n.logDown {
		return 0, errUnreachable
	}
	return n.fleet.log.Stream(streamName).Append(ctx, data)
}

// Read implements streamlog.Log.
func (n *testNode) Read(ctx context.Context, from uint64, limit int) (streamlog.Page, error) {
	if n.logDown {
		return streamlog.Page{}, errUnreachable
	}
	n.reads.Add(1)
	return n.fleet.log.Stream(streamName).Read(ctx, from, limit)
}

// mustSubmit submits a configuration through a node and requires that it becomes
// version base+1.
func (f *fleet) mustSubmit(n *testNode, file string, base uint64) {
	f.t.Helper()
	r := n.Submit(context.Background(), []byte(file), base, "change-"+file)
	if r.Outcome != SubmitAccepted || r.Version != base+1 {
		f.t.Fatalf("submit %s: %+v", file, r)
	}
}

// logRecords returns all records of one type in the log.
func logRecords[R state.Record](f *fleet) []R {
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

// appendRecord writes a record to the log directly, not through a node.
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
