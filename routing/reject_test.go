package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

func rejectedByInstance() *kernel.Result {
	r := kernel.Refuse(kernel.ReasonOverload, "the instance rejected the request", 0)
	r.Dispatched = true
	return r
}

// The only instance of the node's own failure domain rejects 55% of its calls
// although it has capacity. Most calls must go to other domains, and return
// after the instance has recovered. If all instances reject, calls must stay in
// the own domain.
func TestRejectingInstanceGetsFewCalls(t *testing.T) {
	const perSecond, rejects = 188, 0.55
	for _, seed := range seeds {
		b := newTestPlugin(t, seed, "x", "a1", "b1", "b2", "c1", "c2")
		rng := rand.New(rand.NewPCG(seed, 9))
		var rejecting []state.MemberID
		b.answer = func(m state.Member) *kernel.Result {
			r := succeeded()
			r.Dispatched = true
			if slices.Contains(rejecting, m.ID) && rng.Float64() < rejects {
				r = rejectedByInstance()
			}
			r.Load = &kernel.Load{Limit: 65, InFlight: 40}
			return r
		}
		ownDomainShare := func(duration time.Duration) float64 {
			clear(b.calls)
			n := int(duration.Seconds() * perSecond)
			for range n {
				b.now = b.now.Add(time.Second / perSecond)
				b.sendCalls(t.Context(), 1)
			}
			return float64(b.calls["a1"]) / float64(n)
		}
		ownDomainShare(time.Second)
		rejecting = []state.MemberID{"a1"}
		ownDomainShare(time.Second)
		if got := ownDomainShare(4 * time.Second); got > 0.3 {
			t.Errorf("seed %d: %.2f of the calls go to the rejecting instance", seed, got)
		}
		rejecting = nil
		ownDomainShare(5 * time.Second)
		if got := ownDomainShare(time.Second); got < 0.95 {
			t.Errorf("seed %d: %.2f of the calls go to the instance after its recovery", seed, got)
		}
		rejecting = []state.MemberID{"a1", "b1", "b2", "c1", "c2"}
		ownDomainShare(4 * time.Second)
		if got := ownDomainShare(4 * time.Second); got < 0.5 {
			t.Errorf("seed %d: %.2f of the calls stay in the own domain although all instances reject", seed, got)
		}
	}
}
