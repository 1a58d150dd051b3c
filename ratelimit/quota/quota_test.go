package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const partitions = 8

// world plays one customer's requests at some nodes against the owner of its
// pool, in virtual time.
type world struct {
	now      time.Time
	boot     boottime.Instant
	customer config.Customer
	owners   []*tenure // the last one is asked
	nodes    []*holding
	admitted []time.Time
	refused  int
}

func newWorld(nodes int, rate float64) *world {
	w := &world{
		now:      time.Unix(1_700_000_000, 0),
		boot:     1,
		customer: config.Customer{Name: "golf", Rate: rate, Burst: rate},
	}
	for range nodes {
		w.nodes = append(w.nodes, &holding{})
	}
	w.newOwner()
	return w
}

func renewalOf(partitions []int, generation uint64, sent boottime.Instant, now time.Time, length time.Duration) renewal {
	return renewal{
		Assignment: kernel.Assignment{Partitions: partitions, Term: state.Term{Generation: generation}},
		sent:       sent, now: now, length: length,
	}
}

func (w *world) newOwner() {
	t := newTenure(partitions)
	t.renew(renewalOf([]int{partitionOf(w.customer.Name, partitions)}, uint64(len(w.owners)+1), w.boot, w.now, time.Hour))
	w.owners = append(w.owners, t)
}

func (w *world) lease(h *holding, waiting float64, owner *tenure) {
	want := h.want(w.now, waiting)
	if want <= 0 || w.now.Before(h.dryUntil) {
		return
	}
	got, _ := owner.grant(w.customer, want, w.boot, w.now)
	if got > 0 {
		h.leases = append(h.leases, lease{tokens: got, expires: w.now.Add(leaseTerm)})
	} else {
		h.dryUntil = w.now.Add(dryPause)
	}
}

func (w *world) request(h *holding, owner *tenure) {
	h.arrived++
	if !h.spend(w.now) {
		w.lease(h, 1, owner)
		if !h.spend(w.now) {
			w.refused++
			return
		}
	}
	w.admitted = append(w.admitted, w.now)
}

// most returns the most requests admitted in any span.
func (w *world) most(span time.Duration) int {
	most, first := 0, 0
	for i, at := range w.admitted {
		for at.Sub(w.admitted[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// play sends requests at a rate for each node for some time.
func (w *world) play(rng *rand.Rand, length time.Duration, perSecond []float64, owner func(node int) *tenure) {
	const step = 10 * time.Millisecond
	for end := w.now.Add(length); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.boot = w.boot.Add(step)
		for i, h := range w.nodes {
			if rng.Float64() < perSecond[i]*step.Seconds() {
				w.request(h, owner(i))
			}
			if w.now.UnixMilli()%50 < step.Milliseconds() {
				h.tick(50 * time.Millisecond)
				w.lease(h, 0, owner(i))
			}
		}
	}
}

func even(n int, total float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = total / float64(n)
	}
	return out
}

// Patterns: demand spread evenly, all at one node, and moving between nodes,
// each a little below the rate. Fewer than 2% are refused.
func TestDemandBelowTheRateIsServed(t *testing.T) {
	const n, rate = 14, 100.0
	skewed := make([]float64, n)
	skewed[3] = 60
	for seed := range uint64(5) {
		for name, demand := range map[string][]float64{"even": even(n, 60), "skewed": skewed} {
			rng := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(n, rate)
			w.play(rng, time.Second, even(n, 0), func(int) *tenure { return w.owners[0] })
			w.play(rng, 20*time.Second, demand, func(int) *tenure { return w.owners[0] })
			checkRefused(t, fmt.Sprint(name, seed), w)
		}
		rng := rand.New(rand.NewPCG(seed, 2))
		w := newWorld(n, rate)
		w.play(rng, time.Second, even(n, 0), func(int) *tenure { return w.owners[0] })
		for i := range 10 {
			demand := make([]float64, n)
			demand[i%n], demand[(i+5)%n] = 30, 30
			w.play(rng, 2*time.Second, demand, func(int) *tenure { return w.owners[0] })
		}
		checkRefused(t, fmt.Sprint("moving", seed), w)
	}
}

func checkRefused(t *testing.T, name string, w *world) {
	t.Helper()
	total := w.refused + len(w.admitted)
	if part := float64(w.refused) / float64(total); part > 0.02 {
		t.Errorf("%s: %d of %d requests below the rate were refused", name, w.refused, total)
	}
}

// Pattern: a customer sends five times its rate while its pool changes hands
// and the old owner grants on for a joinInterval, as when partitions are dealt
// anew at once. The bound over any five seconds allows a tenth and 20 more.
func TestBoundWhilePoolsChangeHands(t *testing.T) {
	const n, window = 14, 5 * time.Second
	for _, rate := range []float64{10, 30, 100, 300} {
		for seed := range uint64(10) {
			rng := rand.New(rand.NewPCG(seed, 3))
			w := newWorld(n, rate)
			demand := even(n, 5*rate)
			w.play(rng, 6*time.Second, demand, func(int) *tenure { return w.owners[0] })
			w.newOwner()
			w.play(rng, joinInterval, demand, func(i int) *tenure { return w.owners[i%2] })
			w.play(rng, 6*time.Second, demand, func(int) *tenure { return w.owners[1] })
			limit := (rate*window.Seconds()+rate)*1.1 + 20
			if got := w.most(window); float64(got) > limit {
				t.Errorf("rate %g seed %d: %d requests in %s, allowed %g", rate, seed, got, window, limit)
			}
		}
	}
}

func TestOwnerGrantsOnlyWithinItsTerm(t *testing.T) {
	w := newWorld(1, 100)
	term := 2 * time.Second
	own := []int{partitionOf(w.customer.Name, partitions)}
	o := newTenure(partitions)
	o.renew(renewalOf(own, 1, w.boot, w.now, term))
	later := w.now.Add(time.Second)
	if got, ok := o.grant(w.customer, 5, w.boot.Add(time.Second), later); !ok || got != 5 {
		t.Fatalf("granted %g, %t within the term", got, ok)
	}
	if _, ok := o.grant(w.customer, 5, w.boot.Add(term), later); ok {
		t.Error("granted after the term")
	}
	// A tenure that has lapsed begins with an empty pool again.
	back := later.Add(time.Minute)
	o.renew(renewalOf(own, 2, w.boot.Add(time.Minute), back, term))
	if got, _ := o.grant(w.customer, 5, w.boot.Add(time.Minute), back); got != 0 {
		t.Errorf("granted %g from a pool that should be empty", got)
	}
	if _, ok := o.grant(config.Customer{Name: "else"}, 1, w.boot.Add(time.Minute), back); ok && partitionOf("else", partitions) != own[0] {
		t.Error("granted from a partition that it doesn't hold")
	}
}

// Pattern: several first requests of a customer come to a node at once. The
// tokens asked for the first one do not do for the others; the pool has enough.
func TestRequestsAtOnceAllGetTokens(t *testing.T) {
	const at, rate = 8, 100.0
	now := time.Unix(1_700_000_000, 0)
	c := config.Customer{Name: "golf", Rate: rate, Burst: rate}
	self := state.Member{ID: "n1#1"}
	s := &state.Snapshot{
		Config: &config.Config{Customers: []config.Customer{c}},
		Pools:  map[int]state.PoolOwner{partitionOf(c.Name, partitions): {Member: self, Term: state.Term{Generation: 1}}},
	}
	p := &Plugin{
		host: &kernel.Host{
			Self: self, Now: func() time.Time { return now }, Rand: func() uint64 { return 0 },
			Pools: kernel.PoolSettings{GroupCoordinator: &group{}},
		},
		tenure:   newTenure(partitions),
		holdings: map[string]*holding{},
	}
	p.tenure.renew(renewalOf([]int{partitionOf(c.Name, partitions)}, 1, boottime.Now(), now.Add(-time.Second), time.Hour))
	h := p.holding(c)
	h.waiting, h.asking = at, make(chan struct{})
	p.ask(h, c, s, 1)
	for i := range at {
		if !h.spend(now) {
			t.Fatalf("request %d of %d got no token", i+1, at)
		}
	}
}

// customerOf returns a customer of a partition.
func customerOf(partition int) config.Customer {
	for i := 0; ; i++ {
		if name := fmt.Sprint("c", i); partitionOf(name, partitions) == partition {
			return config.Customer{Name: name, Rate: 100, Burst: 100}
		}
	}
}
