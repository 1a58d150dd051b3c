package admission

import "time"

// Parameters of an owner's thresholds.
const (
	thresholdWindow = 200 * time.Millisecond
	customerIdle    = 10 * time.Second

	bucketBits  = 6 // counters for ranks
	bucketCount = 1 << bucketBits
	bucketShift = 32 - bucketBits
	bucketWidth = 1 << bucketShift

	shedRefused = 0.15 // refused share of a customer's calls that lowers its threshold
	openRefused = 0.05 // refused share that raises it again
	surplus     = 1.1  // calls let through for each call that ran

	// A quiet window raises a threshold by a quarter of its part in its
	// priority's band, and at least by stepMin; the next ones by up to stepMax
	// times as much.
	raisePart = 4
	stepMin   = bucketWidth / 8
	stepMax   = 4
	bandWidth = 1 << priorityShift
)

// customerThreshold is the threshold of one customer at one owner.
type customerThreshold struct {
	threshold uint32
	step      uint32 // factor of the next raise
	offered   [bucketCount]uint32
	total     uint32
	ran       uint32
	refused   uint32
	seen      time.Time
}

// ownerThresholds holds the thresholds of all customers of an instance.
type ownerThresholds struct {
	customers map[string]*customerThreshold
	closed    time.Time
}

func newOwnerThresholds() *ownerThresholds {
	return &ownerThresholds{customers: map[string]*customerThreshold{}}
}

func (o *ownerThresholds) customer(name string) *customerThreshold {
	c := o.customers[name]
	if c == nil {
		c = &customerThreshold{threshold: MaxThreshold, step: 1}
		o.customers[name] = c
	}
	return c
}

func (o *ownerThresholds) offered(r *Request) {
	c := o.customer(r.Customer)
	c.offered[r.Rank>>bucketShift]++
	c.total++
}

func (o *ownerThresholds) ran(r *Request) {
	o.customer(r.Customer).ran++
}

func (o *ownerThresholds) refused(r *Request) {
	o.customer(r.Customer).refused++
}

func (o *ownerThresholds) get(customer string) uint32 {
	if c := o.customers[customer]; c != nil {
		return c.threshold
	}
	return MaxThreshold
}

// tick closes the window when it is over.
func (o *ownerThresholds) tick(now time.Time) {
	if now.Sub(o.closed) < thresholdWindow {
		return
	}
	o.closed = now
	for name, c := range o.customers {
		c.close(now)
		if now.Sub(c.seen) > customerIdle {
			delete(o.customers, name)
		}
	}
}

func (c *customerThreshold) close(now time.Time) {
	if c.total > 0 || c.seen.IsZero() {
		c.seen = now
	}
	refused := float64(c.refused)
	switch total := float64(c.total); {
	case refused > shedRefused*total:
		c.lower()
	case refused <= openRefused*total:
		c.raise()
	}
	c.offered = [bucketCount]uint32{}
	c.total, c.ran, c.refused = 0, 0, 0
}

// lower sets the threshold to the rank below which as many calls arrived as
// ran, and the surplus. Refusals in the window may be of calls that came before
// it; if fewer arrived than that, the threshold is low enough.
func (c *customerThreshold) lower() {
	c.step = 1
	target := surplus * float64(c.ran)
	below := 0.0
	for b, n := range c.offered {
		if below+float64(n) <= target {
			below += float64(n)
			continue
		}
		part := (target - below) / float64(n)
		rank := uint32(b)<<bucketShift + uint32(part*(bucketWidth-1))
		c.threshold = min(c.threshold, max(rank, criticalEnd))
		return
	}
}

func (c *customerThreshold) raise() {
	inBand := c.threshold % bandWidth
	raise := c.step * max(inBand/raisePart, stepMin)
	c.threshold += min(raise, MaxThreshold-c.threshold)
	c.step = min(2*c.step, stepMax)
}
