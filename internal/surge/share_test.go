package surge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	shareOthers = 7
	shareEnd    = 10 * time.Second
	shareSettle = 3 * time.Second
	wantShare   = 0.9
)

// runShare returns the whole answers to each customer's requests. Customer 0
// sends ten times as much as each of the others, and all want more than their
// share of the deep service.
func runShare(t *testing.T, seed uint64, plugins []string) [shareOthers + 1]float64 {
	var answered [shareOthers + 1]float64
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, plugins)
		rng := rand.New(rand.NewPCG(seed, 9))
		demand := 1.5 * capacity(1) / (shareOthers + 1)
		total := demand * (shareOthers + 10)
		began := time.Now()
		var callers sync.WaitGroup
		var mu sync.Mutex
		for time.Since(began) < shareEnd {
			customer := max(rng.IntN(shareOthers+10)-9, 0)
			counted := time.Since(began) >= shareSettle
			callers.Go(func() {
				if f.once(fmt.Sprint("customer", customer), config.PriorityNormal) && counted {
					mu.Lock()
					answered[customer]++
					mu.Unlock()
				}
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / total * float64(time.Second)))
		}
		callers.Wait()
		close(f.stopped)
	})
	return answered
}

// once sends one request and reports whether it got a whole answer in time.
func (f *fleet) once(customer string, p config.Priority) bool {
	c := f.call(customer, p)
	ends := time.Now().Add(deadline)
	c.DeadlineMS = ends.UnixMilli()
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	n := f.fronts[f.random()%uint64(len(f.fronts))]
	r := n.entry.Serve(ctx, c)
	return r.Outcome == kernel.OutcomeAnswered && r.Status == 200 && ctx.Err() == nil
}

// Through the whole chain, early shedding included, each customer gets its
// fair share of the bottleneck within 10%.
func TestFairShareThroughTheChain(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		naive := runShare(t, seed, naiveChain)
		full := runShare(t, seed, fullChain)
		total := 0.0
		for _, n := range full {
			total += n
		}
		share := total / (shareOthers + 1)
		goodput := total / (capacity(1) * (shareEnd - shareSettle).Seconds())
		t.Logf("seed %d: naive %.0f", seed, naive)
		t.Logf("seed %d: full  %.0f, fair share %.0f, goodput %.3f of the capacity", seed, full, share, goodput)
		if goodput < wantCapacity {
			t.Errorf("seed %d: goodput %.3f of the capacity, want %v", seed, goodput, wantCapacity)
		}
		for customer, n := range full {
			if n < wantShare*share {
				t.Errorf("seed %d: customer %d got %.0f answers, fair share %.0f", seed, customer, n, share)
			}
		}
	}
}
