package admission

import "time"

// Parameters of an owner's thresholds.
const (
	thresholdWindow     = 200 * time.Millisecond
	customerIdleTimeout = 10 * time.Second

	bucketBits  = 6 // of the rank, for counting
	bucketCount = 1 << bucketBits
	bucketShift = 32 - bucketBits
	bucketWidth = 1 << bucketShift

	lowerRefusedFraction = 0.15 // refused fraction of a customer's calls that lowers its threshold
	raiseRefusedFraction = 0.05 // refused fraction up to which the threshold is raised
	admittedPerRun       = 1.1  // arrivals that a lowered threshold admits per call that ran

	// A window with few refusals raises a threshold by 1/raiseDivisor of its
	// position in its priority's band, and at least by minRaise. Each further such
	// window doubles the raise, up to maxRaiseFactor times.
	raiseDivisor   = 4
	minRaise       = bucketWidth / 8
	maxRaiseFactor = 4
	bandWidth      = 1 << priorityShift
)

// customerThreshold is the threshold of one customer at one owner.
type customerThreshold struct {
	threshold   uint32
	raiseFactor uint32 // factor of the next raise
	offered     [bucketCount]uint32
	total       uint32
	ran         uint32
	refused     uint32
	lastCall    time.Time
}

// ownerThresholds holds the thresholds of all customers of an instance.
type ownerThresholds struct {
	customers   map[string]*customerThreshold
	windowStart time.Time
}

func newOwnerThresholds() *ownerThresholds {
	return &ownerThresholds{customers: map[string]*customerThreshold{}}
}

func (o *ownerThresholds) customer(name string) *customerThreshold {
	c := o.customers[name]
	if c == nil {
		c = &customerThreshold{threshold: MaxThreshold, raiseFactor: 1}
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

// tick closes the window when its time is over.
func (o *ownerThresholds) tick(now time.Time) {
	if now.Sub(o.windowStart) < thresholdWindow {
		return
	}
	o.windowStart = now
	for name, c := range o.customers {
		c.close(now)
		if now.Sub(c.lastCall) > customerIdleTimeout {
			delete(o.customers, name)
		}
	}
}

func (c *customerThreshold) close(now time.Time) {
	if c.total > 0 || c.lastCall.IsZero() {
		c.lastCall = now
	}
	refused := float64(c.refused)
	switch total := float64(c.total); {
	case refused > lowerRefusedFraction*total:
		c.lower()
	case refused <= raiseRefusedFraction*total:
		c.raise()
	}
	c.offered = [bucketCount]uint32{}
	c.total, c.ran, c.refused = 0, 0, 0
}

// lower sets the threshold to the rank below which admittedPerRun times as many
// calls arrived as ran. Calls refused in the window may have arrived before it;
// if fewer calls arrived than that, the threshold is low enough.
func (c *customerThreshold) lower() {
	c.raiseFactor = 1
	target := admittedPerRun * float64(c.ran)
	below := 0.0
	for b, n := range c.offered {
		if below+float64(n) <= target {
			below += float64(n)
			continue
		}
		part := (target - below) / float64(n)
		rank := uint32(b)<<bucketShift + uint32(part*(bucketWidth-1))
		c.threshold = min(c.threshold, max(rank, minThreshold))
		return
	}
}

func (c *customerThreshold) raise() {
	inBand := c.threshold % bandWidth
	raise := c.raiseFactor * max(inBand/raiseDivisor, minRaise)
	c.threshold += min(raise, MaxThreshold-c.threshold)
	c.raiseFactor = min(2*c.raiseFactor, maxRaiseFactor)
}
