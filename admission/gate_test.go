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

// Demand is three times the capacity for twenty seconds, and in the second
// half of them the service is slowed down fivefold. Served calls must be at
// least 90% of the capacity throughout, and five seconds after the end 95% of
// the offered ones.
func TestLimitKeepsCapacity(t *testing.T) {
	const slots, service = 10, 20 * time.Millisecond
	for _, seed := range seeds {
		m := newInstance(seed, slots, service)
		counts := make([]float64, 40)
		longest := make([]time.Duration, 40)
		m.served = func(_ *Request, took time.Duration) {
			s := int(m.now.Sub(modelStart) / time.Second)
			counts[s]++
			longest[s] = max(longest[s], took)
		}
		normal := func() *Request { return m.call("a", config.PriorityNormal) }
		m.arrivals(3*500, 20*time.Second, normal)
		m.after(20*time.Second, func() { m.arrivals(450, 39*time.Second, normal) })
		m.after(10*time.Second, func() { m.service = 5 * service })
		m.after(20*time.Second, func() { m.service = service })
		m.run(39 * time.Second)
		check := func(name string, from, to int, least float64) {
			sum := 0.0
			for _, n := range counts[from:to] {
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
			limit := 8 * service
			if s+3 >= 10 && s+3 <= 20 {
				limit *= 5
			}
			if d > limit {
				t.Errorf("seed %d: second %d: a call took %v at the instance, want at most %v", seed, s+3, d, limit)
			}
		}
	}
}

// While a lower priority is admitted, no call of the top priority is refused
// for overload, and its own demand below capacity is served whole.
func TestTopPriorityRefusedLast(t *testing.T) {
	for _, seed := range seeds {
		for _, critical := range []float64{200, 1000} {
			t.Run(fmt.Sprint(seed, "/", critical), func(t *testing.T) { topPriority(t, seed, critical) })
		}
	}
}

func topPriority(t *testing.T, seed uint64, critical float64) {
	m := newInstance(seed, 10, 20*time.Millisecond)
	arrived := map[*Request]time.Time{}
	var lastLower time.Time
	offered, refused := 0, 0
	m.seen = func(r *Request) {
		switch {
		case r.Priority != config.PriorityCritical:
			if r.Status == StatusRunning {
				lastLower = m.now
			}
		case r.Status == StatusRefused:
			refused++
			if r.Reason == kernel.ReasonOverload && lastLower.After(arrived[r]) {
				t.Errorf("seed %d: top priority refused although a lower one was admitted %v after it came", seed, lastLower.Sub(arrived[r]))
			}
		}
	}
	until := 10 * time.Second
	m.arrivals(critical, until, func() *Request {
		r := m.call("a", config.PriorityCritical)
		arrived[r] = m.now
		offered++
		return r
	})
	m.arrivals(1500, until, func() *Request { return m.call("b", config.PriorityNormal) })
	m.run(until + time.Second)
	t.Logf("seed %d: top priority offered %d, refused %d", seed, offered, refused)
	if critical < 500 && float64(refused) > 0.05*float64(offered) {
		t.Errorf("seed %d: %d of %d calls of the top priority refused below capacity", seed, refused, offered)
	}
}

// One customer has ten times the demand of each of the others, all want more
// than their share: each of the others gets its share within 10%.
func TestFairShare(t *testing.T) {
	const others, capacity = 7, 500.0
	for _, seed := range seeds {
		m := newInstance(seed, 10, 20*time.Millisecond)
		served := map[string]float64{}
		m.served = func(r *Request, _ time.Duration) {
			if m.now.Sub(modelStart) > 5*time.Second {
				served[r.Customer]++
			}
		}
		until := 35 * time.Second
		demand := 1.5 * capacity / (others + 1)
		arrive := func(name string, rate float64) {
			m.arrivals(rate, until, func() *Request { return m.call(name, config.PriorityNormal) })
		}
		arrive("large", 10*demand)
		for i := range others {
			arrive(fmt.Sprint("small", i), demand)
		}
		m.run(until)
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
			t.Errorf("seed %d: total %.0f of %.0f", seed, total, capacity*30)
		}
	}
}

func TestNestedBeforeNewTrees(t *testing.T) {
	now := modelStart
	g := NewGate(now)
	var running []*Request
	for range g.limit() {
		r := &Request{Customer: "a", Priority: config.PriorityCritical}
		g.Offer(now, r)
		running = append(running, r)
	}
	fresh := &Request{Customer: "b", Priority: config.PriorityNormal}
	nested := &Request{Customer: "a", Priority: config.PriorityNormal, Nested: true}
	g.Offer(now, fresh)
	g.Offer(now, nested)
	g.Done(now, running[0], End{Answered: true})
	if nested.Status != StatusRunning || fresh.Status != StatusWaiting {
		t.Fatalf("nested call %v, new tree %v", nested.Status, fresh.Status)
	}
}

func TestDeadlineRefusedBeforeRun(t *testing.T) {
	now := modelStart
	g := NewGate(now)
	r := &Request{Route: "r"}
	g.Offer(now, r)
	now = now.Add(100 * time.Millisecond)
	g.Done(now, r, End{Own: 100 * time.Millisecond, Answered: true})
	short := &Request{Route: "r", Deadline: now.Add(50 * time.Millisecond)}
	g.Offer(now, short)
	if short.Status != StatusRefused || short.Reason != kernel.ReasonDeadline {
		t.Fatalf("call that can't finish: status %v, reason %q", short.Status, short.Reason)
	}
	long := &Request{Route: "r", Deadline: now.Add(150 * time.Millisecond)}
	g.Offer(now, long)
	if long.Status != StatusRunning {
		t.Fatalf("call that can finish: status %v", long.Status)
	}
	g.Done(now, long, End{})
	later := now.Add(10 * time.Second)
	again := &Request{Route: "r", Deadline: later.Add(50 * time.Millisecond)}
	g.Offer(later, again)
	if again.Status != StatusRunning {
		t.Fatal("an old estimate still refuses all calls of its route")
	}
}

func TestColdInstanceStartsLow(t *testing.T) {
	g := NewGate(modelStart)
	offer := func(p config.Priority) Status {
		r := &Request{Priority: p}
		g.Offer(modelStart, r)
		return r.Status
	}
	for n := range initialLimit {
		if got := offer(config.PriorityNormal); got != StatusRunning {
			t.Fatalf("call %d at a cold instance: status %v", n, got)
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
