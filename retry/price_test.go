package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// treeWorkload is requests whose trees make sequential calls to one service.
type treeWorkload struct {
	perSecond float64
	value     float64
	calls     int
}

// rejectingLeaf is a service that rejects a random fraction of all calls, with
// the workloads that call it.
type rejectingLeaf struct {
	workloads      []treeWorkload
	rejectFraction float64
	// repeatsPerFirst is the number of repeats that a first attempt earns,
	// repeatsPerSecond the number earned by time.
	repeatsPerFirst, repeatsPerSecond float64
}

// maxValue returns the highest expected value of a tree with the given number
// of calls left, at a given price of a repeat. The first attempt at each call
// is free and earns repeats. A rejected call is repeated until it is accepted
// if the value of the rest of the tree exceeds the price.
func (l rejectingLeaf) maxValue(value float64, calls int, price float64) float64 {
	accepted := 1 - l.rejectFraction
	expected := value
	for range calls {
		expected = l.repeatsPerFirst*price + accepted*expected + l.rejectFraction*max(0, expected-price/accepted)
	}
	return expected
}

func (l rejectingLeaf) demand() float64 {
	sum := 0.0
	for _, k := range l.workloads {
		sum += k.perSecond * k.value
	}
	return sum
}

// upperBound returns the fraction of the demand that no way of spending the
// budget exceeds, by Lagrangian duality, and the price at which the budget is
// used up.
func (l rejectingLeaf) upperBound() (fraction, price float64) {
	const step, highest = 0.005, 4.0
	fraction = 2
	for p := 0.0; p < highest; p += step {
		sum := p * l.repeatsPerSecond
		for _, k := range l.workloads {
			sum += k.perSecond * l.maxValue(k.value, k.calls, p)
		}
		if got := sum / l.demand(); got < fraction {
			fraction, price = got, p
		}
	}
	return fraction, price
}

// leafCall is the next call of a tree.
type leafCall struct {
	at        float64
	workload  int
	remaining int
	repeated  bool
}

type leafCalls []leafCall

func (q leafCalls) Len() int           { return len(q) }
func (q leafCalls) Less(i, j int) bool { return q[i].at < q[j].at }
func (q leafCalls) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *leafCalls) Push(x any)        { *q = append(*q, x.(leafCall)) }
func (q *leafCalls) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulate returns the fraction of the demand that is served if spend decides
// on each repeat.
func (l rejectingLeaf) simulate(seed uint64, first func(), spend func(now time.Time, c leafCall) bool, tick func(now time.Time)) float64 {
	const duration, warmup, runTime, retryDelay = 20.0, 5.0, 0.06, 0.005
	rng := rand.New(rand.NewPCG(seed, 0))
	calls := &leafCalls{}
	for i, k := range l.workloads {
		for at := rng.ExpFloat64() / k.perSecond; at < duration; at += rng.ExpFloat64() / k.perSecond {
			heap.Push(calls, leafCall{at: at, workload: i, remaining: k.calls})
		}
	}
	start, served, nextTick := time.Unix(1_800_000_000, 0), 0.0, 0.0
	for calls.Len() > 0 {
		c := heap.Pop(calls).(leafCall)
		now := start.Add(time.Duration(c.at * float64(time.Second)))
		for ; nextTick < c.at; nextTick += kernel.TickInterval.Seconds() {
			tick(now)
		}
		if !c.repeated {
			first()
		}
		switch {
		case rng.Float64() >= l.rejectFraction:
			if c.remaining--; c.remaining > 0 {
				c.at, c.repeated = c.at+runTime, false
				heap.Push(calls, c)
			} else if c.at > warmup && c.at < duration {
				served += l.workloads[c.workload].value
			}
		case spend(now, c):
			c.at, c.repeated = c.at+retryDelay, true
			heap.Push(calls, c)
		}
	}
	return served / (duration - warmup) / l.demand()
}

// firstComeFirstServed simulates the serviceBudget of a single node that makes
// all calls to the service.
func (l rejectingLeaf) firstComeFirstServed(seed uint64, b kernel.RetryBounds) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	budget := newServiceBudget(b, 1, time.Unix(1_800_000_000, 0), rng.Uint64)
	return l.simulate(seed, budget.recordFirst, func(time.Time, leafCall) bool { return budget.spend() },
		func(now time.Time) { budget.tick(now, 1) })
}

// byPrice simulates a budget that is spent only where the value of the rest of
// the tree exceeds the price.
func (l rejectingLeaf) byPrice(seed uint64, price float64) float64 {
	tokens := 0.0
	lastRefill := time.Unix(1_800_000_000, 0)
	spend := func(now time.Time, c leafCall) bool {
		tokens = min(tokens+l.repeatsPerSecond*now.Sub(lastRefill).Seconds(), 10*l.repeatsPerSecond)
		lastRefill = now
		remainingValue := l.maxValue(l.workloads[c.workload].value, c.remaining-1, price)
		if remainingValue <= price/(1-l.rejectFraction) || tokens < 1 {
			return false
		}
		tokens--
		return true
	}
	return l.simulate(seed, func() { tokens += l.repeatsPerFirst }, spend, func(time.Time) {})
}

// All instances of the deepest service reject a fraction of all calls for
// seconds. Orders make eight calls there, catalogue views four, confirmations
// one. The value served by the budget, which repeats calls first come, first
// served, must not exceed the bound on any way of spending the full budget and
// must be at least 0.3 of the bound for the fraction of the budget that nodes
// use. docs/FURTHER.md has the figures.
func TestServiceBudgetServesValueWithinBounds(t *testing.T) {
	bounds := kernel.RetryBounds{Ratio: 0.2, Slack: 119, Window: 10 * time.Second}
	for _, rejectFraction := range []float64{0.2, 0.35, 0.45, 0.55} {
		full := rejectingLeaf{
			workloads:      []treeWorkload{{1050, 1, 4}, {375, 3, 8}, {122, 1, 1}},
			rejectFraction: rejectFraction, repeatsPerFirst: bounds.Ratio, repeatsPerSecond: bounds.Slack / bounds.Window.Seconds(),
		}
		usable := full
		usable.repeatsPerFirst, usable.repeatsPerSecond = usedBudgetFraction*full.repeatsPerFirst, usedSlackFraction*usedBudgetFraction*full.repeatsPerSecond
		fullBound, _ := full.upperBound()
		usableBound, price := usable.upperBound()
		var firstComeFirstServed, byPrice float64
		const seeds = 2
		for seed := range uint64(seeds) {
			firstComeFirstServed += full.firstComeFirstServed(seed, bounds) / seeds
			byPrice += usable.byPrice(seed, price) / seeds
		}
		t.Logf("rejects %.2f: bound %.3f of the value with the full budget, %.3f with the used fraction (price %.2f); first come, first served %.3f, by price %.3f",
			rejectFraction, fullBound, usableBound, price, firstComeFirstServed, byPrice)
		if firstComeFirstServed > fullBound || byPrice > fullBound {
			t.Errorf("rejects %.2f: %.3f and %.3f are above the bound %.3f", rejectFraction, firstComeFirstServed, byPrice, fullBound)
		}
		if firstComeFirstServed < 0.3*usableBound {
			t.Errorf("rejects %.2f: %.3f is below 0.3 of the bound %.3f", rejectFraction, firstComeFirstServed, usableBound)
		}
	}
}
