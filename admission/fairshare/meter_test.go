package fairshare

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

var start = time.Unix(1_700_000_000, 0)

func oneCall(string) float64 { return 1 }

// loads returns the total load by customer.
func loads(m *Meter, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, d := range m.Demands(nil, now, oneCall) {
		out[d.Customer] = d.Total()
	}
	return out
}

// Two customers ask for three times the room each until one of them stops. Guards against a
// share that stays reserved for longer than the window.
func TestShareOfStoppedCustomerIsFreeAfterWindow(t *testing.T) {
	const tick, perTick = 50 * time.Millisecond, 150
	now := start
	m := NewMeter(now)
	stop := now.Add(5 * time.Second)
	free := stop.Add(slotCount*slotLength + tick)
	for now.Before(free) {
		for range perTick {
			m.Offered("a", "read", 0)
			if now.Before(stop) {
				m.Offered("b", "read", 0)
			}
		}
		now = now.Add(tick)
		m.Advance(now)
		if now.Equal(stop) {
			demands := m.Demands(nil, now, oneCall)
			for i := range demands {
				demands[i].Weight = 1
			}
			if got := Divide(demands, Demand{}, 1.0/6).Fraction("a"); math.Abs(got-1.0/6) > 0.01 {
				t.Errorf("two equal customers: fraction %.3f, want %.3f", got, 1.0/6)
			}
		}
	}
	demands := m.Demands(nil, now, oneCall)
	if len(demands) != 1 || math.Abs(demands[0].Load[0]-3000) > 60 {
		t.Fatalf("demands %v after the window, want 3000 a second of the remaining customer", demands)
	}
	demands[0].Weight = 1
	if got := Divide(demands, Demand{}, 1.0/3).Fraction("a"); math.Abs(got-1.0/3) > 0.01 {
		t.Errorf("fraction of the remaining customer %.3f, want all of what the level admits, %.3f", got, 1.0/3)
	}
}

// Guards against loads that don't follow the costs of routes and the priorities, and
// against counting customers that don't need the service.
func TestDemandIsWeightedByCost(t *testing.T) {
	m := NewMeter(start)
	now := start.Add(time.Second)
	for range 10 {
		m.Admitted(m.Offered("a", "batch", 1))
		m.Offered("a", "read", 0)
		m.Offered("b", "static", 0)
	}
	demands := m.Demands(nil, now, func(route string) float64 {
		return map[string]float64{"batch": 8, "read": 1}[route]
	})
	want := Demand{Customer: "a", Requests: 20, Load: [config.PriorityCount]float64{10, 80}}
	if len(demands) != 1 || demands[0] != want {
		t.Errorf("demands %v, want %v", demands, want)
	}
	if offered, admitted := m.Rates("a", now); offered != 20 || admitted != 10 {
		t.Errorf("offered %g, admitted %g, want 20 and 10", offered, admitted)
	}
}

// 10,000 customers send requests, then only others do. Guards against memory that grows with
// the number of customers and against customers that are never removed.
func TestMeterIsBounded(t *testing.T) {
	now := start
	m := NewMeter(now)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for round := range 20 {
		for i := range 10_000 {
			m.Offered(fmt.Sprint("customer-", i), fmt.Sprint("route-", round), 0)
		}
		now = now.Add(slotLength)
		m.Advance(now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if len(m.customers) > maxCustomers {
		t.Errorf("%d customers are followed", len(m.customers))
	}
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d customers with %d routes: %d KB", len(m.customers), len(m.routes), grown/1024)
	if grown > 4<<20 {
		t.Errorf("memory has grown by %d KB", grown/1024)
	}
	for range expirySlots + slotCount + 1 {
		now = now.Add(slotLength)
		m.Advance(now)
	}
	if len(m.customers) != 0 {
		t.Errorf("%d customers remain without requests", len(m.customers))
	}
	if m.Offered("new", "route-0", 0) == nil {
		t.Error("a new customer is not followed")
	}
	for i := range 2 * maxRoutes {
		m.Offered("new", fmt.Sprint("other-", i), config.Priority(i))
	}
	if len(m.routes) > maxRoutes || len(m.customers["new"].routes) > maxRoutes*config.PriorityCount {
		t.Errorf("%d routes, %d counters of a customer", len(m.routes), len(m.customers["new"].routes))
	}
}

// Guards against demand that jumps because the first requests of a new process are divided
// by a very short time.
func TestFirstRequestsAreNoHighRate(t *testing.T) {
	m := NewMeter(start)
	m.Offered("a", "read", 0)
	if got := loads(m, start.Add(time.Millisecond))["a"]; got > 1/slotLength.Seconds() {
		t.Errorf("one request counts as %.0f a second", got)
	}
}

// The request path must not allocate once customers and routes are known.
func TestCountingDoesNotAllocate(t *testing.T) {
	m := NewMeter(start)
	s := Divide([]Demand{demandOf("a", 100, 1)}, Demand{}, 0.5)
	random := 0.0
	allocs := testing.AllocsPerRun(1000, func() {
		c := m.Offered("a", "read", 0)
		random = math.Mod(random+0.001, 1)
		if s.Rank("a", 0, random) < 0.5 {
			m.Admitted(c)
		}
	})
	if allocs > 0 {
		t.Errorf("%g allocations for each request", allocs)
	}
}

func BenchmarkRequest(b *testing.B) {
	m := NewMeter(start)
	var names []string
	var demands []Demand
	for i := range 72 {
		names = append(names, fmt.Sprint("customer-", i))
		demands = append(demands, demandOf(names[i], float64(1+i), 1))
	}
	s := Divide(demands, Demand{}, 0.5)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i = (i + 1) % len(names)
		c := m.Offered(names[i], "read", 0)
		if s.Rank(names[i], 0, float64(i)/72) < 0.5 {
			m.Admitted(c)
		}
	}
}

func BenchmarkDemands(b *testing.B) {
	m := NewMeter(start)
	for i := range 72 {
		for r := range 4 {
			m.Offered(fmt.Sprint("customer-", i), fmt.Sprint("route-", r), 0)
		}
	}
	var buf []Demand
	b.ReportAllocs()
	for b.Loop() {
		buf = m.Demands(buf[:0], start.Add(time.Second), oneCall)
	}
}
