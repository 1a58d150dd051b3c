package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// demandOf returns the demand of a customer whose requests cost one call each.
func demandOf(customer string, perSecond, weight float64) Demand {
	d := Demand{Customer: customer, Requests: perSecond, Weight: weight}
	d.Load[0] = perSecond
	return d
}

// Three customers of equal weight ask for 100, 1,000 and 10,000 calls a second of 2,100.
// Guards against shares in proportion to demand: the small ones must be served whole and
// the large one gets what is left.
func TestUnusedSharesGoToOthers(t *testing.T) {
	demands := []Demand{demandOf("small", 100, 1), demandOf("middle", 1000, 1), demandOf("large", 10000, 1)}
	s := Divide(demands, Demand{}, 2100.0/11100)
	for customer, want := range map[string]float64{"small": 1, "middle": 1, "large": 0.1} {
		if got := s.Fraction(customer); math.Abs(got-want) > 0.001 {
			t.Errorf("%s: fraction %.3f, want %.3f", customer, got, want)
		}
	}
}

// Guards against weights without effect: of two customers with equal demand, the one with
// three times the rate gets three times as much.
func TestSharesFollowWeights(t *testing.T) {
	s := Divide([]Demand{demandOf("a", 10000, 300), demandOf("b", 10000, 100)}, Demand{}, 0.4)
	if a, b := s.Fraction("a"), s.Fraction("b"); math.Abs(a-0.6) > 0.01 || math.Abs(b-0.2) > 0.01 {
		t.Errorf("fractions %.3f and %.3f, want 0.6 and 0.2", a, b)
	}
}

// Guards against room that stays empty because a customer is held to a share while it is
// alone.
func TestCustomerAloneGetsAllTheRoom(t *testing.T) {
	for _, level := range []float64{0, 0.1, 0.5, 0.9} {
		s := Divide([]Demand{demandOf("only", 3000, 1)}, Demand{}, level)
		if got := s.Fraction("only"); math.Abs(got-level) > 0.001 {
			t.Errorf("level %g: fraction %.4f", level, got)
		}
	}
}

// Random demands on several priorities, from one request in a window to thousands a
// second, at random levels. Guards against a total that differs from what the level
// admits, for which the level's controller is made.
func TestTotalIsWhatTheLevelAdmits(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var demands []Demand
		total := [config.PriorityCount]float64{}
		draw := func(name string) Demand {
			d := Demand{Customer: name, Weight: math.Exp(8 * rng.Float64())}
			for p := range d.Load {
				requests := math.Exp(8*rng.Float64()) / Window.Seconds()
				d.Requests += requests
				d.Load[p] = requests * float64(rng.IntN(9))
				total[p] += d.Load[p]
			}
			return d
		}
		for i := range 1 + rng.IntN(80) {
			demands = append(demands, draw(fmt.Sprint("c", i)))
		}
		rest := Demand{}
		if seed%2 == 0 {
			rest = draw("")
		}
		level := config.PriorityCount * rng.Float64()
		band := int(level)
		s := Divide(demands, rest, level)
		admitted := s.others * rest.Load[band]
		for i := range demands {
			admitted += s.Fraction(demands[i].Customer) * demands[i].Load[band]
		}
		if want := (level - float64(band)) * total[band]; math.Abs(admitted-want) > 0.001*total[band] {
			t.Errorf("seed %d: level %.3f admits %.2f of %.2f, want %.2f", seed, level, admitted, total[band], want)
		}
	}
}

// Small customers have made one request in the window, which costs eight calls, and their
// configured rates are far smaller than that. Two large customers ask for three times
// the room. Guards against customers counted as beyond their share because of a
// single request.
func TestSingleRequestIsNeverBeyondTheShare(t *testing.T) {
	demands := []Demand{demandOf("large-1", 3000, 500), demandOf("large-2", 3000, 500)}
	for i := range 50 {
		d := Demand{Customer: fmt.Sprint("small-", i), Requests: 1 / Window.Seconds(), Weight: 0.01}
		d.Load[0] = 8 * d.Requests
		demands = append(demands, d)
	}
	s := Divide(demands, Demand{}, 0.33)
	for i := range 50 {
		// Ranks are drawn in thousandths.
		if got := s.Fraction(fmt.Sprint("small-", i)); got < 0.9999 {
			t.Fatalf("small-%d: fraction %.3f of its only request", i, got)
		}
	}
}

// A customer fills its share with urgent requests, another one sends only less urgent ones.
// Guards against a customer getting a second share by sending on two priorities.
func TestUrgentLoadCountsTowardTheShare(t *testing.T) {
	both, one := demandOf("both", 1000, 1), Demand{Customer: "one", Requests: 1000, Weight: 1}
	both.Load = [config.PriorityCount]float64{1000, 1000}
	both.Requests = 2000
	one.Load[1] = 1000
	s := Divide([]Demand{both, one}, Demand{}, 1.5)
	if a, b := s.Fraction("both"), s.Fraction("one"); a > 0.05 || b < 0.95 {
		t.Errorf("less urgent requests: %.3f of the customer with urgent ones, %.3f of the other one", a, b)
	}
}

// Guards against ranks that move a request into another band, and against admission with
// another probability than the customer's.
func TestRankFollowsShareWithinTheBand(t *testing.T) {
	const level, steps = 1.25, 1000
	demands := []Demand{demandOf("small", 10, 100), demandOf("large", 5000, 100)}
	for i := range demands {
		demands[i].Load[0], demands[i].Load[1] = 0, demands[i].Load[0]
	}
	s := Divide(demands, Demand{}, level)
	for _, customer := range []string{"small", "large", "unknown"} {
		for priority := range config.Priority(3) {
			admitted := 0
			for i := range steps {
				rank := s.Rank(customer, priority, float64(i)/steps)
				if rank < float64(priority) || rank >= float64(priority)+1 {
					t.Fatalf("%s: rank %.3f at priority %d", customer, rank, priority)
				}
				if rank < level {
					admitted++
				}
			}
			want := map[config.Priority]float64{0: 1, 1: s.Fraction(customer), 2: 0}[priority]
			if math.Abs(float64(admitted)/steps-want) > 0.002 {
				t.Errorf("%s: %d of %d admitted at priority %d, want %.3f", customer, admitted, steps, priority, want)
			}
		}
	}
}

// Guards against unbounded messages, and against a summary that leaves out the customers
// beyond their share or loses load.
func TestSummaryNamesCustomersBeyondTheirShare(t *testing.T) {
	var demands []Demand
	total := 0.0
	for i := range 500 {
		demands = append(demands, demandOf(fmt.Sprint("c", i), float64(1+i), float64(1+i)))
	}
	demands[40].Load[0], demands[400].Load[0] = 7*41, 7*401
	for i := range demands {
		total += demands[i].Load[0]
	}
	named, rest := Summarize(demands, Demand{}, 8)
	sum := rest.Load[0]
	found := map[string]bool{}
	for i := range named {
		sum += named[i].Load[0]
		found[named[i].Customer] = true
	}
	if len(named) != 8 || !found["c40"] || !found["c400"] || math.Abs(sum-total) > 1e-6 {
		t.Errorf("%d customers named (%v), load %.1f of %.1f", len(named), found, sum, total)
	}
}

func BenchmarkDivide(b *testing.B) {
	for _, n := range []int{24, 72} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var demands []Demand
			for i := range n {
				demands = append(demands, demandOf(fmt.Sprint("c", i), float64(1+i), 10))
			}
			b.ReportAllocs()
			for b.Loop() {
				Divide(demands, Demand{}, 0.6)
			}
		})
	}
}
