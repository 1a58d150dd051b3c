package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

var seeds = []uint64{1, 2, 3}

// Demand is three times the capacity for twenty seconds, and in the second half
// the service is five times slower. At least 90% of the capacity must be served
// throughout, and five seconds after the overload 95% of the offered calls.
func TestLimitPreservesCapacity(t *testing.T) {
	const slots, serviceTime = 10, 20 * time.Millisecond
	for _, seed := range seeds {
		m := newSimInstance(seed, slots, serviceTime)
		servedPerSecond := make([]float64, 40)
		longest := make([]time.Duration, 40)
		m.served = func(_ *Request, took time.Duration) {
			s := int(m.now.Sub(simStart) / time.Second)
			servedPerSecond[s]++
			longest[s] = max(longest[s], took)
		}
		normal := func() *Request { return m.call("a", config.PriorityNormal) }
		m.arrivals(3*500, 20*time.Second, normal)
		m.schedule(20*time.Second, func() { m.arrivals(450, 39*time.Second, normal) })
		m.schedule(10*time.Second, func() { m.serviceTime = 5 * serviceTime })
		m.schedule(20*time.Second, func() { m.serviceTime = serviceTime })
		m.run(39 * time.Second)
		check := func(name string, from, to int, least float64) {
			sum := 0.0
			for _, n := range servedPerSecond[from:to] {
				sum += n
			}
			mean := sum / float64(to-from)
			t.Logf("seed %d: %s: %.0f/s, want at least %.0f, limit %d", seed, name, mean, least, m.gate.limiter.Limit())
			if mean < least {
				t.Errorf("seed %d: %s: served %.0f/s, want %.0f", seed, name, mean, least)
			}
		}
		check("before", 3, 10, 0.9*500)
		check("slow", 10, 20, 0.9*100)
		check("after", 25, 39, 0.95*450)
		for s, d := range longest[3:39] {
			limit := 8 * serviceTime
			if s+3 >= 10 && s+3 <= 20 {
				limit *= 5
			}
			if d > limit {
				t.Errorf("seed %d: second %d: a call took %v at the instance, want at most %v", seed, s+3, d, limit)
			}
		}
	}
}

// While a call of a lower priority is admitted, no call of the top priority is
// refused for overload. Demand of the top priority below the capacity is served
// in full.
func TestCriticalPriorityIsRefusedLast(t *testing.T) {
	for _, seed := range seeds {
		for _, criticalPerSecond := range []float64{200, 1000} {
			t.Run(fmt.Sprint(seed, "/", criticalPerSecond), func(t *testing.T) { checkCriticalPriority(t, seed, criticalPerSecond) })
		}
	}
}

func checkCriticalPriority(t *testing.T, seed uint64, criticalPerSecond float64) {
	m := newSimInstance(seed, 10, 20*time.Millisecond)
	arrivedAt := map[*Request]time.Time{}
	var lastLower time.Time
	offered, refused := 0, 0
	m.onStatus = func(r *Request) {
		switch {
		case r.Priority != config.PriorityCritical:
			if r.Status == StatusRunning {
				lastLower = m.now
			}
		case r.Status == StatusRefused:
			refused++
			if r.Reason == kernel.ReasonOverload && lastLower.After(arrivedAt[r]) {
				t.Errorf("seed %d: call of the top priority refused although one of a lower priority was admitted %v after its arrival", seed, lastLower.Sub(arrivedAt[r]))
			}
		}
	}
	until := 10 * time.Second
	m.arrivals(criticalPerSecond, until, func() *Request {
		r := m.call("a", config.PriorityCritical)
		arrivedAt[r] = m.now
		offered++
		return r
	})
	m.arrivals(1500, until, func() *Request { return m.call("b", config.PriorityNormal) })
	m.run(until + time.Second)
	t.Logf("seed %d: top priority offered %d, refused %d", seed, offered, refused)
	if criticalPerSecond < 500 && float64(refused) > 0.05*float64(offered) {
		t.Errorf("seed %d: %d of %d calls of the top priority refused below capacity", seed, refused, offered)
	}
}

// One customer has ten times the demand of each of the others, and all want
// more than their share. Each of the others must get at least 90% of its share.
func TestCustomersGetFairShares(t *testing.T) {
	const others, capacity = 7, 500.0
	for _, seed := range seeds {
		m := newSimInstance(seed, 10, 20*time.Millisecond)
		served := map[string]float64{}
		m.served = func(r *Request, _ time.Duration) {
			if m.now.Sub(simStart) > 5*time.Second {
				served[r.Customer]++
			}
		}
		duration := 35 * time.Second
		demand := 1.5 * capacity / (others + 1)
		arrive := func(name string, rate float64) {
			m.arrivals(rate, duration, func() *Request { return m.call(name, config.PriorityNormal) })
		}
		arrive("large", 10*demand)
		for i := range others {
			arrive(fmt.Sprint("small", i), demand)
		}
		m.run(duration)
		total := 0.0
		for _, n := range served {
			total += n
		}
		share := total / (others + 1)
		for name, n := range served {
			if name != "large" && n < 0.9*share {
				t.Errorf("seed %d: %s served %.0f, fair share %.0f", seed, name, n, share)
			}
		}
		t.Logf("seed %d: total %.0f, large %.0f, small0 %.0f, share %.0f", seed, total, served["large"], served["small0"], share)
		if total < 0.9*capacity*30 {
			t.Errorf("seed %d: served %.0f in total, want at least 90%% of %.0f", seed, total, capacity*30)
		}
	}
}

func TestNestedCallsStartBeforeNewTrees(t *testing.T) {
	now := simStart
	g := NewGate(now)
	var running []*Request
	for range g.limit() {
		r := &Request{Customer: "a", Priority: config.PriorityCritical}
		g.Offer(now, r)
		running = append(running, r)
	}
	newTree := &Request{Customer: "b", Priority: config.PriorityNormal}
	nested := &Request{Customer: "a", Priority: config.PriorityNormal, Nested: true}
	g.Offer(now, newTree)
	g.Offer(now, nested)
	g.Done(now, running[0], Completion{Succeeded: true})
	if nested.Status != StatusRunning || newTree.Status != StatusWaiting {
		t.Fatalf("nested call %v, new tree %v", nested.Status, newTree.Status)
	}
}

func TestUnmeetableDeadlineIsRefusedBeforeRun(t *testing.T) {
	now := simStart
	g := NewGate(now)
	r := &Request{Route: "r"}
	g.Offer(now, r)
	now = now.Add(100 * time.Millisecond)
	g.Done(now, r, Completion{OwnTime: 100 * time.Millisecond, Succeeded: true})
	tooShort := &Request{Route: "r", Deadline: now.Add(50 * time.Millisecond)}
	g.Offer(now, tooShort)
	if tooShort.Status != StatusRefused || tooShort.Reason != kernel.ReasonDeadline {
		t.Fatalf("call that can't finish: status %v, reason %q", tooShort.Status, tooShort.Reason)
	}
	sufficient := &Request{Route: "r", Deadline: now.Add(150 * time.Millisecond)}
	g.Offer(now, sufficient)
	if sufficient.Status != StatusRunning {
		t.Fatalf("call that can finish: status %v", sufficient.Status)
	}
	g.Done(now, sufficient, Completion{})
	later := now.Add(10 * time.Second)
	again := &Request{Route: "r", Deadline: later.Add(50 * time.Millisecond)}
	g.Offer(later, again)
	if again.Status != StatusRunning {
		t.Fatal("an outdated estimate still refuses all calls of its route")
	}
}

func TestNewInstanceStartsAtInitialLimit(t *testing.T) {
	g := NewGate(simStart)
	offer := func(p config.Priority) Status {
		r := &Request{Priority: p}
		g.Offer(simStart, r)
		return r.Status
	}
	for n := range initialLimit {
		if got := offer(config.PriorityNormal); got != StatusRunning {
			t.Fatalf("call %d at a new instance: status %v", n, got)
		}
	}
	if got := offer(config.PriorityHigh); got != StatusWaiting {
		t.Errorf("call above the limit: status %v", got)
	}
	if got := offer(config.PriorityCritical); got != StatusRunning {
		t.Errorf("call in the reserved part: status %v", got)
	}
	if got := offer(config.PriorityCritical); got != StatusWaiting {
		t.Errorf("call above the reserved part: status %v", got)
	}
}

func TestRankOrdersPriorities(t *testing.T) {
	var low, high kernel.CallID
	for i := range high {
		high[i] = math.MaxUint8
	}
	for p := config.PriorityCritical; p < config.PriorityLow; p++ {
		if Rank(p, low) >= Rank(p+1, high) || Rank(p, high) >= Rank(p+1, low) {
			t.Fatalf("rank of priority %v not below that of %v", p, p+1)
		}
	}
}

// Guards against an instance getting more calls than the rate limit that it names.
// Three times the limit is offered to an instance that could run it all: the limit is
// kept in every window and used, and the top priority is refused last.
func TestRateLimitNamedByInstanceIsKept(t *testing.T) {
	const limit, seconds = 60, 20
	for _, seed := range seeds {
		m := newSimInstance(seed, 100, 20*time.Millisecond)
		m.gate.SetRateLimit(m.now, limit)
		var starts []time.Time
		var critical, criticalRan int
		m.onStatus = func(r *Request) {
			if r.Priority == config.PriorityCritical {
				critical++
			}
			if r.Status == StatusRunning {
				starts = append(starts, m.now)
				if r.Priority == config.PriorityCritical {
					criticalRan++
				}
			}
		}
		m.arrivals(2.5*limit, seconds*time.Second, func() *Request { return m.call("a", config.PriorityNormal) })
		m.arrivals(0.5*limit, seconds*time.Second, func() *Request { return m.call("a", config.PriorityCritical) })
		m.run(seconds * time.Second)
		if got := len(starts); got < 0.95*limit*seconds || got > 1.05*limit*seconds {
			t.Errorf("seed %d: %d calls started in %d s, want about %d", seed, got, seconds, limit*seconds)
		}
		for i, first := range starts {
			last := min(i+int(1.3*limit), len(starts)-1)
			if last == i+int(1.3*limit) && starts[last].Sub(first) < time.Second {
				t.Fatalf("seed %d: over %g calls started within a second", seed, 1.3*limit)
			}
		}
		if criticalRan < critical*95/100 {
			t.Errorf("seed %d: %d of %d calls of the top priority ran", seed, criticalRan, critical)
		}
		if load := m.gate.Load(m.now, "a"); load.Limit > 5 {
			t.Errorf("seed %d: concurrency limit %d is reported, 60 calls a second of 20 ms take 2", seed, load.Limit)
		}
	}
}
