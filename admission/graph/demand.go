package graph

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/admission/fairshare"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// reportTicks is about the number of ticks between two reports of demand. The
	// window of the measurement is 1.1 s, so more frequent reports cost bytes and
	// tell little.
	reportTicks = 8
	// demandTTL is how long reported demand remains valid: two of the longest
	// intervals of reports and a margin, so that one lost report makes no difference.
	demandTTL = 1200 * time.Millisecond
	// maxReported is the number of customers that an entry node names to a collector,
	// maxCollected the number that a collector names to all nodes.
	maxReported  = 32
	maxCollected = 8
	// maxReportedServices bounds the services that a node reports demand on at once.
	maxReportedServices = 4
	// demandScale is the number of units on the wire for one call per second.
	demandScale = 100
)

// demandReport is the demand on a service in a notice: of one entry node, told to a
// collector, or of all entry nodes that report to a collector, told to all nodes.
type demandReport struct {
	Service   string           `cbor:"1,keyasint"`
	Collected bool             `cbor:"2,keyasint,omitempty"`
	Customers []reportedDemand `cbor:"3,keyasint,omitempty"`
	// Rest is the demand of all other customers, RestWeight the sum of their weights.
	Rest       *reportedDemand `cbor:"4,keyasint,omitempty"`
	RestWeight int             `cbor:"5,keyasint,omitempty"`
}

// reportedDemand is the demand of a customer in units of 1/demandScale calls per
// second.
type reportedDemand struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Requests int
	Load     []int // by priority, without zeros at the end
}

// receivedDemand is the latest report of one node.
type receivedDemand struct {
	demands    []fairshare.Demand
	rest       fairshare.Demand
	receivedAt time.Time
}

func (r *receivedDemand) addTo(sum *fairshare.Sum) {
	for _, d := range r.demands {
		sum.Add(d)
	}
	sum.AddRest(r.rest)
}

func scaled(v float64) int { return int(math.Round(v * demandScale)) }

func encodeDemand(d *fairshare.Demand) reportedDemand {
	r := reportedDemand{Customer: d.Customer, Requests: scaled(d.Requests)}
	used := 0
	for p, load := range d.Load {
		if load > 0 {
			used = p + 1
		}
	}
	for _, load := range d.Load[:used] {
		r.Load = append(r.Load, scaled(load))
	}
	return r
}

func decodeDemand(r reportedDemand) fairshare.Demand {
	d := fairshare.Demand{Customer: r.Customer, Requests: float64(max(r.Requests, 0)) / demandScale}
	for p, load := range r.Load[:min(len(r.Load), config.PriorityCount)] {
		d.Load[p] = float64(max(load, 0)) / demandScale
	}
	return d
}

func newReport(service string, demands []fairshare.Demand, rest fairshare.Demand) *demandReport {
	r := &demandReport{Service: service}
	for i := range demands {
		r.Customers = append(r.Customers, encodeDemand(&demands[i]))
	}
	if rest.Requests > 0 {
		encoded := encodeDemand(&rest)
		r.Rest, r.RestWeight = &encoded, scaled(rest.Weight)
	}
	return r
}

// receive keeps a report. self is the service of this node's instance.
func (f *fairness) receive(from state.MemberID, self string, r *demandReport, now time.Time) {
	received := &receivedDemand{receivedAt: now}
	for _, c := range r.Customers[:min(len(r.Customers), maxReported)] {
		received.demands = append(received.demands, decodeDemand(c))
	}
	if r.Rest != nil {
		received.rest = decodeDemand(*r.Rest)
		received.rest.Weight = float64(max(r.RestWeight, 0)) / demandScale
	}
	switch {
	case r.Collected:
		if f.tables[r.Service] == nil {
			f.tables[r.Service] = map[state.MemberID]*receivedDemand{}
		}
		f.tables[r.Service][from] = received
	case r.Service == self:
		f.reports[from] = received
	}
}

// expire removes reports that are no longer valid.
func (f *fairness) expire(now time.Time) {
	old := func(_ state.MemberID, r *receivedDemand) bool { return now.Sub(r.receivedAt) > demandTTL }
	maps.DeleteFunc(f.reports, old)
	for service, tables := range f.tables {
		if maps.DeleteFunc(tables, old); len(tables) == 0 {
			delete(f.tables, service)
		}
	}
}

// collected returns the demand that entry nodes have reported to this node, or nil if
// there is none.
func (f *fairness) collected(service string, now time.Time) *demandReport {
	f.sum.Reset()
	for _, from := range slices.Sorted(maps.Keys(f.reports)) {
		if r := f.reports[from]; now.Sub(r.receivedAt) <= demandTTL {
			r.addTo(f.sum)
		}
	}
	f.sum.SetWeights(f.weight)
	demands, rest := f.sum.Demands()
	if len(demands) == 0 {
		return nil
	}
	demands, rest = fairshare.Summarize(demands, rest, maxCollected)
	report := newReport(service, demands, rest)
	report.Collected = true
	return report
}

// reportInterval returns the number of ticks between two reports of demand: the multiple
// of the notice interval that is closest to reportTicks.
func reportInterval(nodes int) int {
	n := noticeInterval(nodes)
	return (reportTicks + n/2) / n * n
}

// collector returns the node that is told the demand on a service: a member of the
// service that sends notices, in the given failure domain if there is one. The current
// collector stays as long as it is one of those.
func (t *levelTable) collector(service, domain string, current state.MemberID, s *state.Snapshot, now time.Time) (state.MemberID, bool) {
	var best state.MemberID
	bestOwn := false
	for id, m := range t.members {
		if !m.collects || m.service != service || now.Sub(m.receivedAt) > levelTTL {
			continue
		}
		member, known := s.Members[id]
		if !known {
			continue
		}
		own := member.Domain == domain
		better := best == "" || own && !bestOwn || own == bestOwn && best != current && (id == current || id < best)
		if better {
			best, bestOwn = id, own
		}
	}
	return best, best != ""
}

// overloadedServices returns the services whose level is below the top, at most
// maxReportedServices. p.mu is held.
func (p *Plugin) overloadedServices(s *state.Snapshot, now time.Time) []string {
	var services []string
	for _, m := range p.levelTable.members {
		if m.admitsAll || now.Sub(m.receivedAt) > levelTTL || slices.Contains(services, m.service) {
			continue
		}
		if p.cachedLevel(m.service, s, now).level < p.top {
			services = append(services, m.service)
		}
	}
	slices.Sort(services)
	return services[:min(len(services), maxReportedServices)]
}

// outgoingReport is a report on its way to a collector.
type outgoingReport struct {
	to     state.Member
	report *demandReport
}

// dueReports returns the reports of this node's demand. Those for which this node is the
// collector are received at once. p.mu is held.
func (p *Plugin) dueReports(s *state.Snapshot, now time.Time) []outgoingReport {
	f := p.fair
	if !f.inForce() || p.ticks%reportInterval(len(s.Members)) != 0 {
		return nil
	}
	services := p.overloadedServices(s, now)
	maps.DeleteFunc(f.collectors, func(service string, _ state.MemberID) bool { return !slices.Contains(services, service) })
	var out []outgoingReport
	for _, service := range services {
		collector, found := p.levelTable.collector(service, p.host.Self.Domain, f.collectors[service], s, now)
		if !found {
			delete(f.collectors, service)
			continue
		}
		f.collectors[service] = collector
		demands, rest := f.ownDemand(service, now, p.serviceCosts(service))
		if len(demands) == 0 {
			continue
		}
		report := newReport(service, demands, rest)
		if collector == p.host.Self.ID {
			f.receive(collector, p.host.Self.Service, report, now)
			continue
		}
		out = append(out, outgoingReport{s.Members[collector], report})
	}
	return out
}

// sendReports sends reports in notices that repeat this node's level.
func (p *Plugin) sendReports(n notice, reports []outgoingReport) {
	notifier, ok := p.host.Peers.(kernel.Notifier)
	if !ok {
		return
	}
	for _, r := range reports {
		n.Demand = r.report
		body, err := cbor.Marshal(n)
		if err != nil {
			p.host.Log.Error("report of demand not encoded", "error", err)
			return
		}
		notifier.Notify(r.to, kindNotice, body)
	}
}

// attachCollected adds the demand that this node has collected to its notice.
// p.mu is held.
func (p *Plugin) attachCollected(n *notice, s *state.Snapshot, now time.Time) {
	n.Collects = p.fair.inForce()
	if !n.Collects || p.ticks%reportInterval(len(s.Members)) != 0 {
		return
	}
	if n.Demand = p.fair.collected(n.Service, now); n.Demand != nil {
		p.fair.receive(n.From, n.Service, n.Demand, now)
	}
}
