package fairshare

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// slotLength and slotCount make up the window: slotCount-1 complete slots and the
	// current one.
	slotLength = 200 * time.Millisecond
	slotCount  = 6
	// Window is the mean length of the sliding window.
	Window = slotLength*(slotCount-1) + slotLength/2
	// maxCustomers and maxRoutes bound the memory of a Meter.
	maxCustomers = 1024
	maxRoutes    = 256
	// expirySlots is the number of slots after which a customer without requests is
	// removed. While the meter is more than half full, customers without requests in
	// the window are removed, so that there is room for those that have some.
	expirySlots = 150
)

// Meter counts the requests of customers at one entry node.
type Meter struct {
	customers map[string]*Customer
	routes    map[string]int
	slotStart [slotCount]time.Time
	current   int
}

// Customer holds the requests of one customer in the window.
type Customer struct {
	name              string
	routes            []routeCount
	offered, admitted counter
	idleSlots         int
}

type routeCount struct {
	route    int
	priority config.Priority
	requests counter
}

// counter counts events in the window.
type counter struct {
	slots [slotCount]uint32
	total uint32
}

func (c *counter) add(slot int) {
	c.slots[slot]++
	c.total++
}

func (c *counter) reuse(slot int) {
	c.total -= c.slots[slot]
	c.slots[slot] = 0
}

// NewMeter returns a meter without requests.
func NewMeter(now time.Time) *Meter {
	m := &Meter{customers: map[string]*Customer{}, routes: map[string]int{}}
	for i := range m.slotStart {
		m.slotStart[i] = now
	}
	return m
}

// Offered counts a request. It returns nil, and the request is not counted, if the
// meter already follows as many customers or routes as it may.
func (m *Meter) Offered(customer, route string, p config.Priority) *Customer {
	index, known := m.routes[route]
	if !known {
		if len(m.routes) >= maxRoutes {
			return nil
		}
		index = len(m.routes)
		m.routes[route] = index
	}
	c := m.customers[customer]
	if c == nil {
		if len(m.customers) >= maxCustomers {
			return nil
		}
		c = &Customer{name: customer}
		m.customers[customer] = c
	}
	c.offered.add(m.current)
	p = min(p, config.PriorityCount-1)
	for i := range c.routes {
		if r := &c.routes[i]; r.route == index && r.priority == p {
			r.requests.add(m.current)
			return c
		}
	}
	r := routeCount{route: index, priority: p}
	r.requests.add(m.current)
	c.routes = append(c.routes, r)
	return c
}

// Admitted counts a request that Offered has counted as admitted.
func (m *Meter) Admitted(c *Customer) { c.admitted.add(m.current) }

// Advance moves the window. It is called at least once per slotLength.
func (m *Meter) Advance(now time.Time) {
	if now.Sub(m.slotStart[m.current]) < slotLength {
		return
	}
	m.current = (m.current + 1) % slotCount
	m.slotStart[m.current] = now
	crowded := len(m.customers) > maxCustomers/2
	for name, c := range m.customers {
		c.offered.reuse(m.current)
		c.admitted.reuse(m.current)
		for i := range c.routes {
			c.routes[i].requests.reuse(m.current)
		}
		c.idleSlots++
		if c.offered.total > 0 {
			c.idleSlots = 0
		}
		if c.idleSlots > expirySlots || crowded && c.idleSlots > 0 {
			delete(m.customers, name)
		}
	}
}

// Reset removes all customers and routes.
func (m *Meter) Reset(now time.Time) { *m = *NewMeter(now) }

// seconds returns the length of the window at a time. It is at least one slot, so that
// the first requests of a process don't look like a high rate.
func (m *Meter) seconds(now time.Time) float64 {
	oldest := m.slotStart[(m.current+1)%slotCount]
	return max(now.Sub(oldest), slotLength).Seconds()
}

// Rates returns the requests per second that a customer has offered and that were
// admitted.
func (m *Meter) Rates(customer string, now time.Time) (offered, admitted float64) {
	c := m.customers[customer]
	if c == nil {
		return 0, 0
	}
	seconds := m.seconds(now)
	return float64(c.offered.total) / seconds, float64(c.admitted.total) / seconds
}

// Demands appends the customers' demands on a service to buf. cost returns the number of
// calls that the tree of one request on a route makes to the service.
func (m *Meter) Demands(buf []Demand, now time.Time, cost func(route string) float64) []Demand {
	var costs [maxRoutes]float64
	for route, i := range m.routes {
		costs[i] = cost(route)
	}
	seconds := m.seconds(now)
	for name, c := range m.customers {
		d := Demand{Customer: name}
		for i := range c.routes {
			r := &c.routes[i]
			if costs[r.route] > 0 && r.requests.total > 0 {
				perSecond := float64(r.requests.total) / seconds
				d.Requests += perSecond
				d.Load[r.priority] += perSecond * costs[r.route]
			}
		}
		if d.Requests > 0 {
			buf = append(buf, d)
		}
	}
	return buf
}
