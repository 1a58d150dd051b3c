package graph

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/admission/fairshare"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// fairness keeps what an entry node needs to divide the admitted load of services
// among customers. Plugin.mu guards it.
type fairness struct {
	meter *fairshare.Meter
	// weights holds the configured rates; empty: shares are not in force.
	// defaultWeight is the weight of customers without a rate.
	weights       map[string]float64
	defaultWeight float64
	// costs holds the calls that one run on each route makes to a service, itself
	// included; computed from the fan-out when first needed.
	costs map[string]map[string]float64
	// shares caches the shares of each overloaded service for one tick.
	shares map[string]*fairshare.Shares
	// collectors holds the node that this node tells the demand on each service to.
	collectors map[string]state.MemberID
	// reports holds what entry nodes have told this node, as the collector for its
	// service, tables what collectors have told, by service.
	reports map[state.MemberID]*receivedDemand
	tables  map[string]map[state.MemberID]*receivedDemand

	limited limitedCustomers
	buffer  []fairshare.Demand
	sum     *fairshare.Sum
}

func newFairness(now time.Time) *fairness {
	return &fairness{
		meter: fairshare.NewMeter(now), sum: fairshare.NewSum(),
		costs: map[string]map[string]float64{}, shares: map[string]*fairshare.Shares{},
		collectors: map[string]state.MemberID{},
		reports:    map[state.MemberID]*receivedDemand{},
		tables:     map[string]map[state.MemberID]*receivedDemand{},
	}
}

// inForce reports whether the configuration gives customers rates.
func (f *fairness) inForce() bool { return len(f.weights) > 0 }

// setCustomers sets the weights of the customers of a configuration. Customers without a
// rate get the mean of the rates.
func (f *fairness) setCustomers(customers []config.Customer) {
	f.weights = map[string]float64{}
	sum := 0.0
	for _, c := range customers {
		if c.Rate > 0 {
			f.weights[c.Name] = c.Rate
			sum += c.Rate
		}
	}
	if f.inForce() {
		f.defaultWeight = sum / float64(len(f.weights))
	}
}

func (f *fairness) weight(customer string) float64 {
	if w, configured := f.weights[customer]; configured {
		return w
	}
	return f.defaultWeight
}

// offered counts a request. It returns nil if the request is not subject to shares.
func (f *fairness) offered(c *kernel.Call) *fairshare.Customer {
	if !f.inForce() || c.Customer == "" {
		return nil
	}
	return f.meter.Offered(c.Customer, c.RouteName, c.Priority)
}

// sharesOf returns the shares of a service with the given level. p.mu is held.
func (p *Plugin) sharesOf(service string, level float64, now time.Time) *fairshare.Shares {
	f := p.fair
	if shares := f.shares[service]; shares != nil {
		return shares
	}
	f.addKnownDemand(service, now, p.serviceCosts(service))
	f.sum.SetWeights(f.weight)
	demands, rest := f.sum.Demands()
	shares := fairshare.Divide(demands, rest, level)
	f.shares[service] = shares
	return shares
}

// serviceCosts returns the number of calls to a service by one run on each route. p.mu is
// held.
func (p *Plugin) serviceCosts(service string) map[string]float64 {
	costs := p.fair.costs[service]
	if costs == nil {
		costs = treeCosts(service, p.snapshot.Fanout, p.services)
		p.fair.costs[service] = costs
	}
	return costs
}

// treeCosts returns, for each route, the number of calls to a service that the tree of
// one run on the route makes, the run itself included.
func treeCosts(service string, fanout state.Fanout, serviceOf map[string]string) map[string]float64 {
	costs := make(map[string]float64, len(serviceOf))
	for route := range serviceOf {
		costs[route] = treeCost(route, service, fanout, serviceOf, maxTreeDepth)
	}
	return costs
}

func treeCost(route, service string, fanout state.Fanout, serviceOf map[string]string, depth int) float64 {
	cost := 0.0
	if serviceOf[route] == service {
		cost = 1
	}
	if depth == 0 {
		return cost
	}
	for call, thousandths := range fanout[route] {
		cost += float64(thousandths) / 1000 * treeCost(call, service, fanout, serviceOf, depth-1)
	}
	return cost
}

// addKnownDemand sets the sum to the demand on a service: that of all failure domains, as
// far as their collectors have told it, and this node's own unless it is contained.
func (f *fairness) addKnownDemand(service string, now time.Time, costs map[string]float64) {
	f.sum.Reset()
	tables := f.tables[service]
	for _, collector := range slices.Sorted(maps.Keys(tables)) {
		if t := tables[collector]; now.Sub(t.receivedAt) <= demandTTL {
			t.addTo(f.sum)
		}
	}
	if own := tables[f.collectors[service]]; own == nil || now.Sub(own.receivedAt) > demandTTL {
		demands, rest := f.ownDemand(service, now, costs)
		for _, d := range demands {
			f.sum.Add(d)
		}
		f.sum.AddRest(rest)
	}
}

// ownDemand returns the demand on a service that this node has measured.
func (f *fairness) ownDemand(service string, now time.Time, costs map[string]float64) ([]fairshare.Demand, fairshare.Demand) {
	f.buffer = f.meter.Demands(f.buffer[:0], now, func(route string) float64 { return costs[route] })
	for i := range f.buffer {
		f.buffer[i].Weight = f.weight(f.buffer[i].Customer)
	}
	return fairshare.Summarize(f.buffer, fairshare.Demand{}, maxReported)
}
