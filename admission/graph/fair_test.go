package graph

import (
	"expvar"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/admission/fairshare"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// rivals returns 72 customers with together 2,000 usual requests per second, of which
// the given ones have a multiple of their usual demand.
func rivals(factors map[int]float64) []fairCustomer {
	var customers []fairCustomer
	for i, usual := range usualDemand(2000) {
		factor := 1.0
		if f := factors[i]; f > 0 {
			factor = f
		}
		customers = append(customers, fairCustomer{name: fmt.Sprintf("customer-%02d", i), demand: usual * factor, rate: 1.5 * usual, route: "read"})
	}
	return customers
}

// 72 customers whose sizes spread by two orders of magnitude, 2,000 usual requests per
// second at 60 nodes, so that a node sees half a request per second of the mean customer.
// Three customers come at 4 to 7 times their usual at once; the demand is 1.5 to 2 times
// the capacity. Guards against customers within their share being refused for the excess
// of others, and against a total that differs from the level's.
func TestRivalCustomersGetTheirShares(t *testing.T) {
	t.Parallel()
	for _, load := range []struct {
		name     string
		factors  map[int]float64
		capacity float64 // in units of the usual load
	}{
		{"large rivals", map[int]float64{71: 7, 70: 6, 69: 5}, 1.1},
		{"large, middle and small rivals", map[int]float64{71: 7, 65: 7, 30: 7}, 1.05},
		{"rivals at four times", map[int]float64{71: 4, 70: 4, 67: 4}, 1},
	} {
		for seed := range uint64(2) {
			customers := rivals(load.factors)
			fraction := load.capacity * 2000 / totalLoad(customers)
			if 1/fraction < 1.5 || 1/fraction > 2 {
				t.Fatalf("%s: demand is %.2f of the capacity", load.name, 1/fraction)
			}
			f := newFairFleet(seed, 60, 1+fraction, customers)
			f.run(2*time.Second, 12*time.Second)
			f.checkInShare(t, fmt.Sprintf("%s, demand %.2f, seed %d", load.name, 1/fraction, seed), fraction)
		}
	}
}

// Every sixth customer enters at one failure domain only, so nodes there see three times
// its part of the demand. Guards against nodes that take such a customer for one beyond
// its share, and against failure domains that refuse more or less than needed together.
func TestCustomersAtOneFailureDomain(t *testing.T) {
	t.Parallel()
	const capacity = 1.05
	customers := rivals(map[int]float64{71: 7, 70: 6, 60: 5})
	for i := range customers {
		if i%6 == 0 {
			customers[i].domain = string(rune('a' + i/6%fairDomains))
		}
	}
	fraction := capacity * 2000 / totalLoad(customers)
	f := newFairFleet(3, 60, 1+fraction, customers)
	f.run(2*time.Second, 12*time.Second)
	f.checkInShare(t, "one failure domain", fraction)
}

// A failure domain is cut off. Its collector tells its nodes of its own demand, the others
// know theirs. Guards against a side that stops shedding or refuses customers within their
// share because reports of the other side are missing or old.
func TestCutOffFailureDomainDecidesWithWhatItKnows(t *testing.T) {
	t.Parallel()
	customers := rivals(map[int]float64{71: 7, 70: 6, 69: 5})
	fraction := 1.1 * 2000 / totalLoad(customers)
	f := newFairFleet(4, 60, 1+fraction, customers)
	f.run(2*time.Second, time.Second)
	f.cutOff = "a"
	f.run(2*time.Second, 12*time.Second)
	// Members whose level is not known count as admitting all, so the level of the
	// service is another one on each side.
	inside := (fraction + fairDomains - 1) / fairDomains
	outside := (fraction*(fairDomains-1) + 1) / fairDomains
	f.checkInShare(t, "while cut off", (inside+outside*(fairDomains-1))/fairDomains)
	for domain, want := range map[string]float64{"a": inside, "b": outside, "c": outside} {
		if got := f.admittedIn[domain] / f.offeredIn[domain] / want; math.Abs(got-1) > 0.05 {
			t.Errorf("domain %s: admitted load is %.3f of what the level asks", domain, got)
		}
	}
	for _, node := range f.domains["a"] {
		for collector := range f.plugins[node].fair.tables["leaf"] {
			if f.plugins[0].snapshot.Members[collector].Domain != "a" {
				t.Fatalf("a node of the cut-off domain still uses the report of %s", collector)
			}
		}
	}
	f.cutOff = ""
	f.run(2*time.Second, 8*time.Second)
	f.checkInShare(t, "after the cut", fraction)
}

// No node collects demand, as in a fleet of earlier builds around one new node. Guards
// against a node that needs reports to shed what the level asks for. Its own few requests
// don't tell customers apart as well, so their shares aren't checked.
func TestTotalHoldsWithoutCollectors(t *testing.T) {
	t.Parallel()
	customers := rivals(map[int]float64{71: 7, 70: 6, 69: 5})
	fraction := 1.1 * 2000 / totalLoad(customers)
	f := newFairFleet(5, 60, 1+fraction, customers)
	f.tick()
	for _, p := range f.plugins {
		if p.host.Self.Service == "leaf" {
			p.fair.setCustomers(nil)
		}
	}
	f.run(2*time.Second, 10*time.Second)
	for _, p := range f.plugins {
		if len(p.fair.tables)+len(p.fair.reports) > 0 {
			t.Fatal("demand was reported")
		}
	}
	if got := f.admittedFraction() / fraction; math.Abs(got-1) > 0.05 {
		t.Errorf("admitted load is %.3f of what the level asks", got)
	}
}

// A customer sends half a request per second at each of 60 nodes, less than one for each
// interval of notices, and is within its share. Two others send 20 times what they may.
// Guards against a small customer that is refused for single requests.
func TestSmallCustomerIsKeptWhole(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		customers := []fairCustomer{
			{name: "small", demand: 30, rate: 30, route: "read"},
			{name: "large-1", demand: 1000, rate: 50, route: "read"},
			{name: "large-2", demand: 1000, rate: 50, route: "read"},
		}
		f := newFairFleet(seed, 60, 1.1, customers)
		f.run(2*time.Second, 12*time.Second)
		if served, got := f.served("small"), f.admittedFraction()/0.1; served < 0.99 || math.Abs(got-1) > 0.05 {
			t.Errorf("seed %d: the small customer was served %.3f; admitted %.3f of what the level asks", seed, served, got)
		}
	}
}

// A customer far beyond its share sends urgent requests, others within theirs less urgent
// ones, at a level that admits the urgent ones only. Guards against shares that come
// before priority.
func TestPriorityComesBeforeShares(t *testing.T) {
	customers := []fairCustomer{
		{name: "urgent", demand: 1000, rate: 10, route: "alert"},
		{name: "other", demand: 100, rate: 1000, route: "read"},
	}
	for level, want := range map[float64]float64{1: 0, 1.5: 0.5} {
		f := newFairFleet(1, 15, level, customers)
		f.run(3*time.Second, 10*time.Second)
		if urgent, other := f.served("urgent"), f.served("other"); urgent < 1 || math.Abs(other-want) > 0.05 {
			t.Errorf("level %g: %.3f of the urgent requests served, %.3f of the others, want 1 and %.2f", level, urgent, other, want)
		}
	}
}

// Bursts are of one kind: a customer's batches, each of which makes eight calls to the
// leaf, against reads. Guards against shares that count requests instead of calls.
func TestBurstOfExpensiveRequests(t *testing.T) {
	t.Parallel()
	customers := rivals(nil)
	for i := range customers {
		if i%9 == 8 {
			customers[i].route, customers[i].demand = "batch", customers[i].demand/8
			if i > 60 {
				customers[i].demand *= 7
			}
		}
	}
	fraction := 2000 * 1.05 / totalLoad(customers)
	f := newFairFleet(2, 60, 1+fraction, customers)
	f.run(2*time.Second, 12*time.Second)
	f.checkInShare(t, "bursts of batches", fraction)
}

// The configuration gives no rates, or no service is overloaded. Guards against any
// difference from ranks drawn without shares, and against messages that tell demand.
func TestSharesNeedRatesAndOverload(t *testing.T) {
	for _, rated := range []bool{false, true} {
		level := 1.5
		customers := rivals(map[int]float64{71: 7})
		for i := range customers {
			if !rated {
				customers[i].rate = 0
			}
		}
		if rated {
			level = 2
		}
		f := newFairFleet(1, 15, level, customers)
		f.run(2*time.Second, 5*time.Second)
		p := f.plugins[1]
		for random := range uint64(1000) {
			p.host.Rand = func() uint64 { return random }
			call := &kernel.Call{Customer: "customer-71", Service: "front", RouteName: "read", Priority: 1}
			refused := p.overloadedService(call) != nil
			if want := 1+float64(random)/1000 >= level; refused != want {
				t.Fatalf("level %g, rates %v: random %d refused: %v, want %v", level, rated, random, refused, want)
			}
		}
		for _, p := range f.plugins {
			if len(p.fair.tables)+len(p.fair.reports) > 0 {
				t.Fatalf("level %g, rates %v: demand was reported", level, rated)
			}
		}
	}
}

// Customers without a rate beside rated ones get the mean rate as their weight, and equal
// weights among themselves. Guards against customers without any share.
func TestCustomersWithoutRateGetEqualShares(t *testing.T) {
	t.Parallel()
	customers := []fairCustomer{
		{name: "rated", demand: 1000, rate: 100, route: "read"},
		{name: "unrated-1", demand: 1000, route: "read"},
		{name: "unrated-2", demand: 3000, route: "read"},
	}
	f := newFairFleet(1, 30, 1.3, customers)
	f.run(3*time.Second, 20*time.Second)
	for _, c := range customers {
		if got := f.admitted[c.name] / 20; math.Abs(got-500) > 50 {
			t.Errorf("%s: %.0f requests a second admitted, want 500", c.name, got)
		}
	}
}

// 10,000 customers send requests at a few nodes. Guards against state and messages that grow
// with the number of customers, and against a wrong total when not all can be followed.
func TestManyCustomersAreBounded(t *testing.T) {
	var customers []fairCustomer
	for i := range 10_000 {
		customers = append(customers, fairCustomer{name: fmt.Sprintf("customer-%05d", i), demand: 0.5, rate: 1, route: "read"})
	}
	customers[0].demand = 2000
	f := newFairFleet(1, 15, 1.5, customers)
	f.run(3*time.Second, 5*time.Second)
	if got := f.admittedFraction() / 0.5; math.Abs(got-1) > 0.05 {
		t.Errorf("admitted load is %.3f of what the level asks", got)
	}
	for _, p := range f.plugins {
		for _, table := range p.fair.tables["leaf"] {
			if len(table.demands) > maxCollected {
				t.Fatalf("a collector names %d customers", len(table.demands))
			}
		}
		for _, report := range p.fair.reports {
			if len(report.demands) > maxReported {
				t.Fatalf("an entry node names %d customers", len(report.demands))
			}
		}
		if len(p.fair.limited.latest) > maxLimited {
			t.Fatalf("%d limited customers are remembered", len(p.fair.limited.latest))
		}
	}
	if got := float64(f.bytes) / float64(f.sent); got > 1200 {
		t.Errorf("messages have %.0f bytes in the mean", got)
	}
}

// Guards against a report that loses demand on the wire, and against one that makes a node
// fail.
func TestReportsOnTheWire(t *testing.T) {
	d := fairshare.Demand{Customer: "a", Requests: 12.5, Load: [config.PriorityCount]float64{0, 3.25, 100}}
	if got := decodeDemand(encodeDemand(&d)); got != d {
		t.Errorf("got %v, want %v", got, d)
	}
	f := newFairness(start)
	f.receive("n1", "leaf", &demandReport{
		Service: "leaf", Customers: []reportedDemand{{Customer: "a", Requests: -1, Load: []int{-5, 1, 2, 3, 4, 5}}}, RestWeight: -1,
		Rest: &reportedDemand{Requests: math.MinInt},
	}, start)
	if report := f.collected("leaf", start); report == nil || report.Customers[0].Requests != 0 {
		t.Errorf("report %v", report)
	}
}

// Guards against notices that earlier builds can't read, and against reports so rare that one
// lost message makes the demand expire.
func TestReportsFitNoticesAndTheirInterval(t *testing.T) {
	report := newReport("leaf", []fairshare.Demand{{Customer: "a", Requests: 1, Load: [config.PriorityCount]float64{1}}}, fairshare.Demand{})
	body, err := cbor.Marshal(notice{From: "n1", Service: "leaf", Level: 1500, Capacity: 3, Collects: true, Demand: report})
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		From     state.MemberID `cbor:"1,keyasint"`
		Service  string         `cbor:"2,keyasint"`
		Level    int            `cbor:"3,keyasint"`
		Capacity int            `cbor:"4,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(body, &earlier); err != nil || earlier.From != "n1" || earlier.Level != 1500 || earlier.Capacity != 3 {
		t.Errorf("an earlier build reads %v, error %v", earlier, err)
	}
	for nodes := 1; nodes <= 1100; nodes++ {
		interval := reportInterval(nodes)
		if interval%noticeInterval(nodes) != 0 || 2*time.Duration(interval)*kernel.TickInterval >= demandTTL {
			t.Fatalf("%d nodes: a report every %d ticks, a notice every %d", nodes, interval, noticeInterval(nodes))
		}
	}
}

// Guards against customers that are limited without a log line or a metric, and against a
// line for every request or tick.
func TestLimitedCustomersAreLoggedAndPublished(t *testing.T) {
	customers := []fairCustomer{
		{name: "large", demand: 3000, rate: 100, route: "read"},
		{name: "small", demand: 300, rate: 100, route: "read"},
	}
	f := newFairFleet(1, 15, 1.3, customers)
	f.run(0, 6*time.Second)
	metrics := map[string]expvar.Var{}
	f.plugins[1].publishShareMetrics(func(name string, v expvar.Var) { metrics[name] = v })
	if got := metrics["customers_limited"].String(); !strings.Contains(got, `"leaf":{"large":`) || strings.Contains(got, "small") {
		t.Errorf("customers_limited %s", got)
	}
	if metrics["fair_share_refusals_total"].String() == "0" {
		t.Error("no refusals are counted")
	}
	f.level = 2
	f.run(0, 6*time.Second)
	const began, ended = `"began":["large at leaf"]`, `"ended":["large at leaf"]`
	lines := strings.Count(f.logs.String(), "customers limited to their share")
	if !strings.Contains(f.logs.String(), began) || !strings.Contains(f.logs.String(), ended) || lines > 4*len(f.plugins) {
		t.Errorf("%d lines: %.2000s", lines, f.logs.String())
	}
}

// The three largest customers come at 4 to 7 times their usual from the fourth second on.
// The level follows the load that is admitted, which shows at the leaf 0.3 s later. Guards
// against shares that make the controller oscillate or leave the load off its target.
func TestLevelIsStableWithShares(t *testing.T) {
	t.Parallel()
	const capacity, delayTicks = 2200.0, 6
	for _, rated := range []bool{true, false} {
		customers := rivals(nil)
		for i := range customers {
			if !rated {
				customers[i].rate = 0
			}
		}
		f := newFairFleet(6, 60, 2, customers)
		level := NewLevel(f.now, 2)
		var loads []float64
		worst, peak := 0.0, 0.0
		for tick := range 20 * 20 {
			if tick == 20*4 {
				for i, factor := range map[int]float64{71: 7, 70: 6, 69: 4} {
					f.customers[i].demand *= factor
				}
			}
			clear(f.admitted)
			f.tick()
			admitted := 0.0
			for _, c := range f.customers {
				admitted += f.admitted[c.name]
			}
			loads = append(loads, admitted/kernel.TickInterval.Seconds()/capacity)
			if tick >= delayTicks {
				level.Update(f.now, Demand{Offered: loads[tick-delayTicks] * kernel.TickInterval.Seconds()})
				f.level = level.Value()
			}
			if tick < 20 {
				continue
			}
			mean := 0.0
			for _, load := range loads[len(loads)-20:] {
				mean += load / 20
			}
			if peak = max(peak, mean); tick > 20*9 {
				worst = max(worst, math.Abs(mean-targetLoad))
			}
		}
		t.Logf("rates %v: load over a second is at most %.2f, from five seconds after the surge on up to %.3f off the target", rated, peak, worst)
		if worst > 0.15 {
			t.Errorf("rates %v: load is up to %.3f off the target", rated, worst)
		}
	}
}

// One request at an entry node, of 72 customers at an overloaded service.
func BenchmarkEntryWithShares(b *testing.B) {
	for _, rated := range []bool{false, true} {
		b.Run(fmt.Sprint("rates=", rated), func(b *testing.B) {
			customers := rivals(map[int]float64{71: 7, 70: 6, 69: 5})
			for i := range customers {
				if !rated {
					customers[i].rate = 0
				}
			}
			f := newFairFleet(1, 60, 1.99, customers)
			f.run(3*time.Second, time.Second)
			p := f.plugins[1]
			call := &kernel.Call{Customer: "customer-10", Service: "front", RouteName: "read", Priority: 1}
			b.ReportAllocs()
			for b.Loop() {
				p.overloadedService(call)
			}
		})
	}
}
