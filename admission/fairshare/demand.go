package fairshare

import (
	"cmp"
	"math"
	"slices"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// Demand is what a customer, or several customers together, ask of one service.
type Demand struct {
	// Customer is empty for several customers.
	Customer string
	// Load is the number of calls per second at the service, by priority.
	Load [config.PriorityCount]float64
	// Requests is the number of requests per second that cause the load.
	Requests float64
	// Weight is the customer's weight, or the sum of the weights.
	Weight float64
}

func (d *Demand) add(o *Demand) {
	for i, load := range o.Load {
		d.Load[i] += load
	}
	d.Requests += o.Requests
}

// Total returns the load of all priorities.
func (d *Demand) Total() float64 {
	sum := 0.0
	for _, load := range d.Load {
		sum += load
	}
	return sum
}

// unit returns the load of one request in the window.
func (d *Demand) unit() float64 {
	if d.Requests <= 0 {
		return 0
	}
	return d.Total() / d.Requests / Window.Seconds()
}

// Sum adds up the demands that several nodes have measured.
type Sum struct {
	index   map[string]int
	demands []Demand
	rest    Demand
}

// NewSum returns a sum without demands.
func NewSum() *Sum { return &Sum{index: map[string]int{}} }

// Reset removes all demands and keeps the memory.
func (s *Sum) Reset() {
	clear(s.index)
	s.demands, s.rest = s.demands[:0], Demand{}
}

// Add adds the demand of a customer.
func (s *Sum) Add(d Demand) {
	if i, known := s.index[d.Customer]; known {
		s.demands[i].add(&d)
		return
	}
	s.index[d.Customer] = len(s.demands)
	s.demands = append(s.demands, d)
}

// AddRest adds the demand of customers that are not named. The weights are not added,
// since the nodes' unnamed customers are mostly the same.
func (s *Sum) AddRest(d Demand) {
	s.rest.add(&d)
	s.rest.Weight = max(s.rest.Weight, d.Weight)
}

// Demands returns the customers' demands and that of the unnamed customers. The slice
// is valid until the next change of the sum.
func (s *Sum) Demands() ([]Demand, Demand) { return s.demands, s.rest }

// SetWeights sets the weights of the named customers.
func (s *Sum) SetWeights(weight func(customer string) float64) {
	for i := range s.demands {
		s.demands[i].Weight = weight(s.demands[i].Customer)
	}
}

// Summarize returns the n demands that are most likely beyond their share, ordered, and
// adds the others to rest. It reorders demands.
func Summarize(demands []Demand, rest Demand, n int) ([]Demand, Demand) {
	if len(demands) <= n {
		// The order of a Meter's demands varies, and so would rounding errors.
		slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Customer, b.Customer) })
		return demands, rest
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.certainPressure(), a.certainPressure()), cmp.Compare(a.Customer, b.Customer))
	})
	for i := range demands[n:] {
		d := &demands[n+i]
		rest.add(d)
		rest.Weight += d.Weight
	}
	return demands[:n], rest
}

// certainPressure returns the load for each unit of weight, less the noise of the
// measurement.
func (d *Demand) certainPressure() float64 {
	total, unit := d.Total(), d.unit()
	return (total - unit - noiseStdErrors*math.Sqrt(total*unit)) / max(d.Weight, minWeight)
}
