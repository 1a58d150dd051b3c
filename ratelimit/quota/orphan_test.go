package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// orphans plays some time in which the nodes that cut names don't reach the
// owner, and the others do.
func (w *world) orphans(rng *rand.Rand, length time.Duration, perSecond []float64, cut func(node int) bool) {
	const step = 10 * time.Millisecond
	for i, h := range w.nodes {
		if cut(i) {
			h.orphan(w.now, true, w.customer.Rate, len(w.nodes), rng.Uint64())
		}
	}
	for end := w.now.Add(length); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.boot = w.boot.Add(step)
		for i, h := range w.nodes {
			asked := rng.Float64() < perSecond[i]*step.Seconds()
			if w.now.UnixMilli()%50 < step.Milliseconds() {
				h.tick(50 * time.Millisecond)
				h.refillOwn(w.now, w.customer.Rate, len(w.nodes))
			}
			switch {
			case !asked:
			case !cut(i):
				w.request(h, w.owners[len(w.owners)-1])
			case h.spend(w.now):
				w.admitted = append(w.admitted, w.now)
			default:
				w.refused++
			}
		}
	}
}

// Pattern: a small customer at many nodes, each with less than a request a
// second, loses the owner of its pool. An even share of the rate would serve
// next to nothing; half of orphanPart of the demand at least is served.
func TestSmallCustomerWithoutOwner(t *testing.T) {
	const n, rate, demand = 80, 24.0, 18.0
	served, asked := 0, 0
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 4))
		w := newWorld(n, rate)
		w.play(rng, 15*time.Second, even(n, demand), func(int) *tenure { return w.owners[0] })
		before, refused := len(w.admitted), w.refused
		w.orphans(rng, 2500*time.Millisecond, even(n, demand), func(int) bool { return true })
		served += len(w.admitted) - before
		asked += len(w.admitted) - before + w.refused - refused
	}
	if part := float64(served) / float64(asked); part < orphanPart/2 {
		t.Errorf("%d of %d requests served without an owner, want %g", served, asked, orphanPart/2)
	}
}

// Pattern: half of the nodes are cut off from the owner, and the customer sends
// five times its rate everywhere. The bound over any five seconds allows a
// tenth and 20 more.
func TestBoundWhileNodesAreCutOff(t *testing.T) {
	const window = 5 * time.Second
	for _, n := range []int{4, 14, 80} {
		for _, rate := range []float64{10, 30, 100, 300} {
			for seed := range uint64(5) {
				rng := rand.New(rand.NewPCG(seed, 5))
				w := newWorld(n, rate)
				w.play(rng, 15*time.Second, even(n, 5*rate), func(int) *tenure { return w.owners[0] })
				w.orphans(rng, 12*time.Second, even(n, 5*rate), func(i int) bool { return i%2 == 0 })
				limit := (rate*window.Seconds()+rate)*1.1 + 20
				if got := w.most(window); float64(got) > limit {
					t.Errorf("%d nodes, rate %g, seed %d: %d requests in %s, allowed %g", n, rate, seed, got, window, limit)
				}
			}
		}
	}
}
