package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

func rejected() *kernel.Result {
	r := kernel.Refuse(kernel.ReasonOverload, "the instance rejected the request", 0)
	r.Dispatched = true
	return r
}

// Pattern: the only instance of the own failure domain rejects 55% of its calls
// though it has room (raiosul-alertas-grown trouble-1, 9.7 s to 15.2 s). Most
// calls go to instances elsewhere; when it has recovered it gets them again.
// Where all instances reject, calls stay at home.
func TestRejectingInstanceGetsFewCalls(t *testing.T) {
	const perSecond, rejects = 188, 0.55
	for _, seed := range seeds {
		b := newBench(t, seed, "x", "a1", "b1", "b2", "c1", "c2")
		rng := rand.New(rand.NewPCG(seed, 9))
		var rejecting []state.MemberID
		b.answer = func(m state.Member) *kernel.Result {
			r := good()
			r.Dispatched = true
			if slices.Contains(rejecting, m.ID) && rng.Float64() < rejects {
				r = rejected()
			}
			r.Load = &kernel.Load{Limit: 65, InFlight: 40}
			return r
		}
		home := func(length time.Duration) float64 {
			clear(b.calls)
			n := int(length.Seconds() * perSecond)
			for range n {
				b.now = b.now.Add(time.Second / perSecond)
				b.send(t.Context(), 1)
			}
			return float64(b.calls["a1"]) / float64(n)
		}
		home(time.Second)
		rejecting = []state.MemberID{"a1"}
		home(time.Second)
		if got := home(4 * time.Second); got > 0.3 {
			t.Errorf("seed %d: %.2f of the calls go to the instance that rejects", seed, got)
		}
		rejecting = nil
		home(5 * time.Second)
		if got := home(time.Second); got < 0.95 {
			t.Errorf("seed %d: %.2f of the calls are at home after its recovery", seed, got)
		}
		rejecting = []state.MemberID{"a1", "b1", "b2", "c1", "c2"}
		home(4 * time.Second)
		if got := home(4 * time.Second); got < 0.5 {
			t.Errorf("seed %d: %.2f of the calls are at home though all reject", seed, got)
		}
	}
}
