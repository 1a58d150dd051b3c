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
	smallCustomers = 7
	shareRunTime   = 10 * time.Second
	shareWarmUp    = 3 * time.Second
	minFairShare   = 0.9
)

// runShare returns the number of requests of each customer that succeed between the warm-up
// and the end of the load, whenever they were sent. Customer 0 sends ten times as many
// requests as each of the others. The demand of every customer exceeds its fair share of
// the deep service.
func runShare(t *testing.T, seed uint64, plugins []string) [smallCustomers + 1]float64 {
	var answered [smallCustomers + 1]float64
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, plugins)
		rng := rand.New(rand.NewPCG(seed, 9))
		demand := 1.5 * bottleneckCapacity(1) / (smallCustomers + 1)
		total := demand * (smallCustomers + 10)
		started := time.Now()
		var requests sync.WaitGroup
		var mu sync.Mutex
		for time.Since(started) < shareRunTime {
			customer := max(rng.IntN(smallCustomers+10)-9, 0)
			requests.Go(func() {
				succeeded := f.sendOnce(fmt.Sprint("customer", customer), config.PriorityNormal)
				if at := time.Since(started); succeeded && at >= shareWarmUp && at < shareRunTime {
					mu.Lock()
					answered[customer]++
					mu.Unlock()
				}
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / total * float64(time.Second)))
		}
		requests.Wait()
		close(f.stop)
	})
	return answered
}

// sendOnce sends one request and reports whether it succeeded before its deadline.
func (f *fleet) sendOnce(customer string, p config.Priority) bool {
	c := f.newCall(customer, p)
	expiresAt := time.Now().Add(deadline)
	c.DeadlineMS = expiresAt.UnixMilli()
	ctx, cancel := context.WithDeadline(context.Background(), expiresAt)
	defer cancel()
	n := f.frontNodes[f.random()%uint64(len(f.frontNodes))]
	r := n.entry.Serve(ctx, c)
	return r.Outcome == kernel.OutcomeAnswered && r.Status == 200 && ctx.Err() == nil
}

// With the full chain, which also sheds at the entry node, each customer must
// get at least 90% of its fair share of the bottleneck, although one customer
// sends ten times as much as each of the others.
func TestFullChainGivesEachCustomerItsFairShare(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		naive := runShare(t, seed, naiveChain)
		full := runShare(t, seed, fullChain)
		total := 0.0
		for _, n := range full {
			total += n
		}
		share := total / (smallCustomers + 1)
		goodput := total / (bottleneckCapacity(1) * (shareRunTime - shareWarmUp).Seconds())
		t.Logf("seed %d: naive %.0f", seed, naive)
		t.Logf("seed %d: full  %.0f, fair share %.0f, goodput %.3f of the capacity", seed, full, share, goodput)
		if goodput < minGoodputOfCapacity {
			t.Errorf("seed %d: goodput %.3f of the capacity, want %v", seed, goodput, minGoodputOfCapacity)
		}
		for customer, n := range full {
			if n < minFairShare*share {
				t.Errorf("seed %d: customer %d got %.0f answers, too few for a fair share of %.0f", seed, customer, n, share)
			}
		}
	}
}
