// Package experiment runs a fleet in one process: nodes with the real transport
// between them, simulated upstreams and platform log, and open-loop clients, whose
// requests arrive independently of the responses. It measures goodput, recovery,
// the worst-served customer, wrongful rate refusals and duplicate executions.
//
// A request succeeds if its response arrives in time and contains the responses
// of all nested calls.
package experiment

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/standin"
)

// Service is one service of a deployment.
type Service struct {
	Name string
	// Instances is the number of instances, distributed round-robin over the
	// failure domains.
	Instances int
	// Slots and QueueLimit are per instance.
	Slots      int
	QueueLimit int
	Operations []standin.Operation
}

// Route is a route of the operators' file.
type Route struct {
	Name       string
	Service    string
	Method     string
	Path       string
	Idempotent bool
	Priority   config.Priority
}

// Request is a kind of root request and its share of each customer's traffic.
type Request struct {
	Route string
	// Share is the fraction of requests of this kind; the shares sum to 1.
	Share float64
	// TreeSize is the number of calls in the call tree, including the root.
	TreeSize int
}

// Customer is a tenant of a deployment.
type Customer struct {
	Name string
	// Demand is the arrival rate in requests per second outside the surge.
	Demand float64
	// Rate and Burst are the rate limit in the operators' file.
	Rate  float64
	Burst float64
}

// Deployment is a call graph with its customers.
type Deployment struct {
	Name      string
	Domains   []string
	Services  []Service
	Routes    []Route
	Requests  []Request
	Customers []Customer
	// Bottleneck is the service that is slow during the surge.
	Bottleneck string
	// Deadline is the deadline of every route and of the clients' attempts.
	Deadline time.Duration
	// Allowance is the number of retries for the call tree of a root request.
	Allowance int
}

// Logistics returns a booking call graph over three failure domains, scaled down
// to run in one process.
func Logistics() Deployment {
	return Deployment{
		Name:    "logistics",
		Domains: []string{"ch-west-a", "ch-west-b", "ch-west-c"},
		Services: []Service{
			{Name: "logbook", Instances: 3, Slots: 40, QueueLimit: 200, Operations: []standin.Operation{
				{Prefix: "/", MeanServiceTime: 5 * time.Millisecond},
			}},
			{Name: "healthdesk", Instances: 3, Slots: 4, QueueLimit: 40, Operations: []standin.Operation{
				{Prefix: "/treatments/", MeanServiceTime: 20 * time.Millisecond},
				{Prefix: "/", MeanServiceTime: 20 * time.Millisecond},
			}},
			{Name: "planner", Instances: 5, Slots: 24, QueueLimit: 160, Operations: []standin.Operation{
				{Prefix: "/slots/", MeanServiceTime: 10 * time.Millisecond, NestedCalls: []string{
					"GET /healthdesk/checks/{id}", "GET /logbook/entries/{id}",
				}},
			}},
			{Name: "booker", Instances: 3, Slots: 40, QueueLimit: 250, Operations: []standin.Operation{
				{Prefix: "/bookings/", MeanServiceTime: 10 * time.Millisecond, NestedCalls: []string{
					"GET /planner/slots/{id}", "POST /logbook/entries/{id}",
				}},
			}},
		},
		Routes: []Route{
			{"treatments", "healthdesk", "GET", "/treatments/{id}", true, config.PriorityCritical},
			{"checks", "healthdesk", "GET", "/checks/{id}", true, config.PriorityNormal},
			{"slots", "planner", "GET", "/slots/{id}", true, config.PriorityNormal},
			{"bookings", "booker", "POST", "/bookings/{id}", false, config.PriorityHigh},
			{"entries", "logbook", "GET", "/entries/{id}", true, config.PriorityNormal},
			{"write-entry", "logbook", "POST", "/entries/{id}", false, config.PriorityHigh},
			{"berths", "logbook", "GET", "/berths/{id}", true, config.PriorityLow},
		},
		Requests: []Request{
			{Route: "treatments", Share: 0.15, TreeSize: 1},
			{Route: "slots", Share: 0.45, TreeSize: 3},
			{Route: "bookings", Share: 0.15, TreeSize: 5},
			{Route: "berths", Share: 0.25, TreeSize: 1},
		},
		Customers:  customers(8, 200),
		Bottleneck: "healthdesk",
		Deadline:   time.Second,
		Allowance:  3,
	}
}

// Alerts returns a call graph of maps and warnings over three failure domains,
// scaled down to run in one process.
func Alerts() Deployment {
	return Deployment{
		Name:    "alerts",
		Domains: []string{"evora-a", "evora-b", "beja-a"},
		Services: []Service{
			{Name: "tempestade", Instances: 3, Slots: 4, QueueLimit: 40, Operations: []standin.Operation{
				{Prefix: "/", MeanServiceTime: 15 * time.Millisecond},
			}},
			{Name: "historico", Instances: 3, Slots: 20, QueueLimit: 120, Operations: []standin.Operation{
				{Prefix: "/", MeanServiceTime: 8 * time.Millisecond},
			}},
			{Name: "mapas", Instances: 4, Slots: 16, QueueLimit: 100, Operations: []standin.Operation{
				{Prefix: "/strikes/", MeanServiceTime: 10 * time.Millisecond, NestedCalls: []string{
					"GET /tempestade/cells/{id}", "GET /historico/past/{id}",
				}},
			}},
			{Name: "avisos", Instances: 3, Slots: 20, QueueLimit: 120, Operations: []standin.Operation{
				{Prefix: "/warnings/", MeanServiceTime: 10 * time.Millisecond, NestedCalls: []string{"GET /tempestade/cells/{id}"}},
				{Prefix: "/subscriptions/", MeanServiceTime: 10 * time.Millisecond, NestedCalls: []string{"POST /historico/journal/{id}"}},
			}},
		},
		Routes: []Route{
			{"cells", "tempestade", "GET", "/cells/{id}", true, config.PriorityNormal},
			{"past", "historico", "GET", "/past/{id}", true, config.PriorityNormal},
			{"journal", "historico", "POST", "/journal/{id}", false, config.PriorityHigh},
			{"strikes", "mapas", "GET", "/strikes/{id}", true, config.PriorityNormal},
			{"warnings", "avisos", "GET", "/warnings/{id}", true, config.PriorityCritical},
			{"subscriptions", "avisos", "POST", "/subscriptions/{id}", false, config.PriorityHigh},
		},
		Requests: []Request{
			{Route: "warnings", Share: 0.15, TreeSize: 2},
			{Route: "strikes", Share: 0.70, TreeSize: 3},
			{Route: "subscriptions", Share: 0.15, TreeSize: 2},
		},
		Customers:  customers(8, 200),
		Bottleneck: "tempestade",
		Deadline:   time.Second,
		Allowance:  3,
	}
}

// customers returns n customers, of which the first two are large, with a total
// demand in requests per second. The rate limit of each is four times its demand.
func customers(n int, total float64) []Customer {
	const (
		largeWeight  = 4
		largeCount   = 2
		rateHeadroom = 4
	)
	weight := float64(largeCount*largeWeight + n - largeCount)
	list := make([]Customer, n)
	for i := range list {
		w := 1.0
		if i < largeCount {
			w = largeWeight
		}
		demand := total * w / weight
		list[i] = Customer{
			Name:   fmt.Sprintf("customer-%d", i+1),
			Demand: demand,
			Rate:   demand * rateHeadroom,
			Burst:  demand * rateHeadroom,
		}
	}
	return list
}

// route returns the route with a name.
func (d *Deployment) route(name string) Route {
	for _, r := range d.Routes {
		if r.Name == name {
			return r
		}
	}
	panic("experiment: no route named " + name)
}

// operatorsFile returns the operators' file.
func (d *Deployment) operatorsFile(keys []config.Key) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "failure_domains = [%q", d.Domains[0])
	for _, name := range d.Domains[1:] {
		fmt.Fprintf(&b, ", %q", name)
	}
	fmt.Fprintf(&b, "]\n\n[retry]\nallowance = %d\n", d.Allowance)
	for _, c := range d.Customers {
		fmt.Fprintf(&b, "\n[[customers]]\nname = %q\nrate = %f\nburst = %f\n", c.Name, c.Rate, c.Burst)
	}
	for _, k := range keys {
		fmt.Fprintf(&b, "\n[[keys]]\nid = %q\ncustomer = %q\nsalt = %q\nhash = %q\n", k.ID, k.Customer, k.Salt, k.Hash)
	}
	for _, r := range d.Routes {
		fmt.Fprintf(&b, "\n[[routes]]\nname = %q\nservice = %q\nmethod = %q\npath = %q\n", r.Name, r.Service, r.Method, r.Path)
		fmt.Fprintf(&b, "idempotent = %t\npriority = %q\ndeadline = %q\nobjective = 0.99\n", r.Idempotent, r.Priority, d.Deadline)
	}
	return []byte(b.String())
}
