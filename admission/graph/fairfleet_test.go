package graph

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// fairCustomer is a customer of a fairFleet.
type fairCustomer struct {
	name   string
	demand float64 // requests per second
	rate   float64 // configured; zero: none
	route  string
	domain string // where the customer enters; empty: everywhere
}

// fairFleet is a fleet of plug-ins in virtual time. The leaf service's nodes have a fixed
// level; messages arrive a tick later.
type fairFleet struct {
	rng       *rand.Rand
	now       time.Time
	plugins   []*Plugin
	entries   []kernel.Handler
	domains   map[string][]int // entry nodes
	messages  []fairMessage
	cutOff    string // failure domain that exchanges no messages with others
	sent      int
	bytes     int
	logs      bytes.Buffer
	customers []fairCustomer
	level     float64
	offered   map[string]float64 // requests
	admitted  map[string]float64
	// offeredIn and admittedIn hold the requests by the failure domain of the entry node.
	offeredIn, admittedIn map[string]float64
}

type fairMessage struct {
	to   int
	body []byte
}

// fairPeers delivers the messages of one node.
type fairPeers struct {
	fleet *fairFleet
	self  state.Member
	index map[state.MemberID]int
}

func (p *fairPeers) Request(context.Context, state.Member, string, []byte) ([]byte, error) {
	return nil, kernel.ErrNotSent
}
func (p *fairPeers) Handle(string, kernel.MessageHandler) {}

func (p *fairPeers) Notify(to state.Member, _ string, body []byte) {
	f := p.fleet
	if f.cutOff != "" && (to.Domain == f.cutOff) != (p.self.Domain == f.cutOff) {
		return
	}
	f.sent++
	f.bytes += len(body)
	f.messages = append(f.messages, fairMessage{p.index[to.ID], body})
}

// Routes of a fairFleet: a read calls the leaf once, a batch eight times, and an alert, which
// is more urgent, once.
var fairRoutes = []config.HostRoute{
	{Route: config.Route{Name: "read", Service: "front", Priority: 1}, Host: "h", Prefix: "/read/"},
	{Route: config.Route{Name: "batch", Service: "front", Priority: 1}, Host: "h", Prefix: "/batch/"},
	{Route: config.Route{Name: "alert", Service: "front", Priority: 0}, Host: "h", Prefix: "/alert/"},
	{Route: config.Route{Name: "leaf", Service: "leaf", Open: true}, Host: "h", Prefix: "/leaf/"},
}

var fairCosts = map[string]float64{"read": 1, "batch": 8, "alert": 1}

const fairDomains = 3

// newFairFleet returns a fleet in three failure domains, a fifth of whose nodes are
// beside instances of the leaf service.
func newFairFleet(seed uint64, nodes int, level float64, customers []fairCustomer) *fairFleet {
	f := &fairFleet{
		rng: rand.New(rand.NewPCG(seed, 7)), now: start, domains: map[string][]int{}, customers: customers, level: level,
		offered: map[string]float64{}, admitted: map[string]float64{},
		offeredIn: map[string]float64{}, admittedIn: map[string]float64{},
	}
	c := &config.Config{Hosts: config.NewHostTable(fairRoutes)}
	for _, customer := range customers {
		c.Customers = append(c.Customers, config.Customer{Name: customer.name, Rate: customer.rate})
	}
	members, index := map[state.MemberID]state.Member{}, map[state.MemberID]int{}
	var order []state.Member
	for i := range nodes {
		m := state.Member{ID: state.MemberID(fmt.Sprintf("n%04d#1", i)), Service: "front", Domain: string(rune('a' + i%fairDomains)), Slots: 8}
		if i/fairDomains%5 == 0 {
			m.Service = "leaf"
		}
		members[m.ID], index[m.ID] = m, i
		order = append(order, m)
		f.domains[m.Domain] = append(f.domains[m.Domain], i)
		f.domains[""] = append(f.domains[""], i)
	}
	s := (&state.Snapshot{
		Version: 1, Config: c, Members: members,
		Fanout: state.Fanout{"read": {"leaf": 1000}, "batch": {"leaf": 8000}, "alert": {"leaf": 1000}},
	}).Index()
	log := slog.New(slog.NewJSONHandler(&f.logs, nil))
	for _, m := range order {
		p := &Plugin{}
		err := p.Provision(&kernel.Host{
			Self: m, Now: func() time.Time { return f.now }, Rand: f.rng.Uint64, Snapshot: func() *state.Snapshot { return s },
			Peers: &fairPeers{f, m, index}, Log: log,
		})
		if err != nil {
			panic(err)
		}
		f.plugins = append(f.plugins, p)
		f.entries = append(f.entries, p.WrapEntry(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result { return &kernel.Result{} })))
	}
	return f
}

func (f *fairFleet) tick() {
	f.now = f.now.Add(kernel.TickInterval)
	messages := f.messages
	f.messages = nil
	for _, m := range messages {
		if _, err := f.plugins[m.to].onNotice(context.Background(), "", m.body); err != nil {
			panic(err)
		}
	}
	for _, p := range f.plugins {
		if p.host.Self.Service == "leaf" {
			p.level.value, p.level.updated = f.level, f.now
		}
		p.Tick(f.now)
	}
	for _, c := range f.customers {
		for range poisson(f.rng, c.demand*kernel.TickInterval.Seconds()) {
			f.request(c)
		}
	}
}

func (f *fairFleet) request(c fairCustomer) {
	nodes := f.domains[c.domain]
	call := &kernel.Call{Customer: c.name, Service: "front", RouteName: c.route, DeadlineMS: f.now.Add(time.Second).UnixMilli()}
	if c.route != "alert" {
		call.Priority = 1
	}
	node := nodes[f.rng.IntN(len(nodes))]
	domain := f.plugins[node].host.Self.Domain
	f.offered[c.name]++
	f.offeredIn[domain]++
	if r := f.entries[node].Serve(context.Background(), call); r.Reason == "" {
		f.admitted[c.name]++
		f.admittedIn[domain]++
	}
}

// run runs the fleet and counts the requests after the warm-up.
func (f *fairFleet) run(warmup, length time.Duration) {
	for end := f.now.Add(warmup); f.now.Before(end); {
		f.tick()
	}
	clear(f.offered)
	clear(f.admitted)
	clear(f.offeredIn)
	clear(f.admittedIn)
	f.sent, f.bytes = 0, 0
	for end := f.now.Add(length); f.now.Before(end); {
		f.tick()
	}
}

func (f *fairFleet) served(name string) float64 { return f.admitted[name] / f.offered[name] }

// admittedFraction returns the admitted fraction of the load at the leaf.
func (f *fairFleet) admittedFraction() float64 {
	offered, admitted := 0.0, 0.0
	for _, c := range f.customers {
		offered += f.offered[c.name] * fairCosts[c.route]
		admitted += f.admitted[c.name] * fairCosts[c.route]
	}
	return admitted / offered
}

func poisson(rng *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for product := rng.Float64(); product > limit; product *= rng.Float64() {
		n++
	}
	return n
}

// usualDemand returns the usual requests per second of 72 customers whose sizes spread by
// two orders of magnitude, all together perSecond.
func usualDemand(perSecond float64) []float64 {
	sizes := make([]float64, 72)
	sum := 0.0
	for i := range sizes {
		sizes[i] = math.Pow(100, float64(i)/float64(len(sizes)-1))
		sum += sizes[i]
	}
	for i := range sizes {
		sizes[i] *= perSecond / sum
	}
	return sizes
}

// exactShare returns the load for each unit of rate at which the customers' exact demands
// are admitted with the target load.
func exactShare(customers []fairCustomer, target float64) float64 {
	low, high := 0.0, 1e6
	for range 100 {
		middle := (low + high) / 2
		sum := 0.0
		for _, c := range customers {
			sum += min(c.demand*fairCosts[c.route], middle*c.rate)
		}
		if sum > target {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

func totalLoad(customers []fairCustomer) float64 {
	sum := 0.0
	for _, c := range customers {
		sum += c.demand * fairCosts[c.route]
	}
	return sum
}

// checkInShare fails the test for customers within their share that are served less than
// 0.95 of their demand, and if the admitted load is not within 5% of the target.
func (f *fairFleet) checkInShare(t *testing.T, label string, fraction float64) {
	t.Helper()
	share := exactShare(f.customers, fraction*totalLoad(f.customers))
	worst, name, within := 2.0, "", 0
	for _, c := range f.customers {
		if c.demand*fairCosts[c.route] <= share*c.rate {
			within++
			if served := f.served(c.name); served < worst {
				worst, name = served, c.name
			}
		}
	}
	admitted := f.admittedFraction() / fraction
	t.Logf("%s: %d of %d customers within their share, the worst-served (%s) got %.3f; admitted %.3f of what the level asks",
		label, within, len(f.customers), name, worst, admitted)
	if within == 0 || worst < 0.95 {
		t.Errorf("%s: %s is within its share and was served %.3f of its demand", label, name, worst)
	}
	if math.Abs(admitted-1) > 0.05 {
		t.Errorf("%s: admitted load is %.3f of what the level asks", label, admitted)
	}
}
