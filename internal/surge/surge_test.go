package surge

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// The timeline of a run. From surgeStart to surgeEnd, the demand is surgeFactor
// times the normal demand and the deep service is slower by slowFactor.
const (
	surgeStart = 5 * time.Second
	surgeEnd   = 13 * time.Second
	runEnd     = 20 * time.Second

	normalRate    = 200.0 // root requests per second
	surgeFactor   = 3
	slowFactor    = 5
	criticalShare = 0.1

	deadline             = time.Second
	callerAttempts       = 11 // the first attempt and ten retries
	callerBackoff        = 50 * time.Millisecond
	recoveryTime         = 5 * time.Second // from the end of the surge
	minCriticalAnswered  = 0.95
	minGoodputOfCapacity = 0.9
	minGoodputOfDemand   = 0.95
)

var (
	fullChain  = []string{"quarantine", "admission", "retry", "routing"}
	naiveChain = []string{"naive-retry", "naive-routing"}
)

// runCounts counts requests and successful responses per second of the run.
type runCounts struct {
	mu                   sync.Mutex
	offered              [2][int(runEnd/time.Second) + 1]float64 // class 0: critical, 1: others
	answeredByArrival    [2][int(runEnd/time.Second) + 1]float64 // successful requests by time of arrival, per class
	answeredByCompletion [int(runEnd/time.Second) + 10]float64   // successful requests by time of the response
	attempts             int
}

func (t *runCounts) sum(counts []float64, from, to time.Duration) float64 {
	sum := 0.0
	for _, n := range counts[from/time.Second : to/time.Second] {
		sum += n
	}
	return sum
}

func runSurge(t *testing.T, seed uint64, plugins []string) *runCounts {
	result := &runCounts{}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, plugins)
		rng := rand.New(rand.NewPCG(seed, 8))
		started := time.Now()
		var requests sync.WaitGroup
		for {
			elapsed := time.Since(started)
			if elapsed >= runEnd {
				break
			}
			rate := normalRate
			switch {
			case elapsed >= surgeEnd:
				f.setSlowdown(1)
			case elapsed >= surgeStart:
				f.setSlowdown(slowFactor)
				rate *= surgeFactor
			}
			priority := config.PriorityNormal
			if rng.Float64() < criticalShare {
				priority = config.PriorityCritical
			}
			requests.Go(func() { result.sendRequest(f, started, priority) })
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		requests.Wait()
		close(f.stop)
	})
	return result
}

// sendRequest simulates a caller that retries one request until it succeeds or
// has used up callerAttempts.
func (t *runCounts) sendRequest(f *fleet, started time.Time, p config.Priority) {
	class := 1
	if p == config.PriorityCritical {
		class = 0
	}
	second := int(time.Since(started) / time.Second)
	t.mu.Lock()
	t.offered[class][second]++
	t.mu.Unlock()
	for range callerAttempts {
		if t.attempt(f, p) {
			t.mu.Lock()
			t.answeredByArrival[class][second]++
			t.answeredByCompletion[min(int(time.Since(started)/time.Second), len(t.answeredByCompletion)-1)]++
			t.mu.Unlock()
			return
		}
		time.Sleep(callerBackoff/2 + time.Duration(f.random()%uint64(callerBackoff)))
	}
}

func (t *runCounts) attempt(f *fleet, p config.Priority) bool {
	t.mu.Lock()
	t.attempts++
	t.mu.Unlock()
	return f.sendOnce("a", p)
}

// measures are the results of one run.
type measures struct {
	criticalAnswered  float64 // fraction of critical requests that succeeded during the surge
	goodputOfCapacity float64 // goodput divided by the capacity during the surge
	goodputOfDemand   float64 // goodput divided by the demand from recoveryTime after the surge on
}

func (t *runCounts) measure() measures {
	from, to := surgeStart, surgeEnd
	after := surgeEnd + recoveryTime
	offered := t.sum(t.offered[0][:], after, runEnd) + t.sum(t.offered[1][:], after, runEnd)
	answeredByArrival := t.sum(t.answeredByArrival[0][:], after, runEnd) + t.sum(t.answeredByArrival[1][:], after, runEnd)
	answeredByCompletion := min(answeredByArrival, t.sum(t.answeredByCompletion[:], after, runEnd))
	return measures{
		criticalAnswered:  t.sum(t.answeredByArrival[0][:], from, to) / t.sum(t.offered[0][:], from, to),
		goodputOfCapacity: t.sum(t.answeredByCompletion[:], from, to) / (bottleneckCapacity(slowFactor) * (to - from).Seconds()),
		goodputOfDemand:   answeredByCompletion / offered,
	}
}

// During the surge, demand triples, the deep service is five times as slow and
// callers retry up to ten times. With the full chain, 95% of the critical
// requests must succeed and goodput must reach 90% of the capacity. From five
// seconds after the surge on, goodput must be 95% of the demand.
func TestFullChainKeepsGoodputDuringSurge(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		naive := runSurge(t, seed, naiveChain)
		full := runSurge(t, seed, fullChain)
		m := full.measure()
		t.Logf("seed %d: naive %+.3f, %d attempts, by second %v", seed, naive.measure(), naive.attempts, naive.answeredByCompletion)
		t.Logf("seed %d: full  %+.3f, %d attempts, by second %v", seed, m, full.attempts, full.answeredByCompletion)
		if m.criticalAnswered < minCriticalAnswered {
			t.Errorf("seed %d: %.3f of the critical requests answered, want %v", seed, m.criticalAnswered, minCriticalAnswered)
		}
		if m.goodputOfCapacity < minGoodputOfCapacity {
			t.Errorf("seed %d: goodput %.3f of the capacity, want %v", seed, m.goodputOfCapacity, minGoodputOfCapacity)
		}
		if m.goodputOfDemand < minGoodputOfDemand {
			t.Errorf("seed %d: goodput %.3f of the demand after the surge, want %v", seed, m.goodputOfDemand, minGoodputOfDemand)
		}
	}
}
