package fairshare

import (
	"math"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// noiseStdErrors is the number of standard errors of the measured demand by which
	// it may exceed the share without consequence. At 1.5 a customer whose demand is
	// its share and that sends 1.3 requests in a window loses 2% by chance; at 1.0
	// it loses 6%.
	noiseStdErrors = 1.5
	// minWeight replaces smaller weights.
	minWeight = 1e-6
	// searchSteps is the number of halvings in the search for the share.
	searchSteps = 30
)

// Shares holds the fraction of each customer's requests that a service admits in the
// band of its level.
type Shares struct {
	band      int
	fraction  float64 // of the band's load
	customers map[string]float64
	others    float64 // fraction of the customers that are not in the map
}

// Divide returns the shares of a service with the given level. The weights of the
// demands must be set. rest is the demand of customers that are not named.
func Divide(demands []Demand, rest Demand, level float64) *Shares {
	level = max(level, 0)
	band := min(int(level), config.PriorityCount-1)
	s := &Shares{band: band, fraction: min(level-float64(band), 1), customers: make(map[string]float64, len(demands))}
	claims := make([]claim, 0, len(demands)+1)
	claims = append(claims, newClaim(&rest, band))
	for i := range demands {
		claims = append(claims, newClaim(&demands[i], band))
	}
	total := 0.0
	for i := range claims {
		total += claims[i].load
	}
	target := s.fraction * total
	share := findShare(claims, target)
	// Without any share, customers keep what noise explains, which may be more than
	// the level admits.
	scale := 1.0
	if sum := admittedLoad(claims, share); sum > target && sum > 0 {
		scale = target / sum
	}
	s.others = scale * claims[0].fraction(share)
	if total <= 0 {
		s.others = s.fraction
	}
	for i := range demands {
		s.customers[demands[i].Customer] = scale * claims[i+1].fraction(share)
	}
	return s
}

// findShare returns the load for each unit of weight at which the customers together
// are admitted with the target load. It returns zero if they are admitted with more even
// then.
func findShare(claims []claim, target float64) float64 {
	highest := 0.0
	for i := range claims {
		c := &claims[i]
		highest = max(highest, (c.urgent+c.load)/c.weight)
	}
	if admittedLoad(claims, highest) <= target {
		return highest
	}
	lowest := 0.0
	for range searchSteps {
		middle := (lowest + highest) / 2
		if admittedLoad(claims, middle) > target {
			highest = middle
		} else {
			lowest = middle
		}
	}
	return lowest
}

func admittedLoad(claims []claim, share float64) float64 {
	sum := 0.0
	for i := range claims {
		sum += claims[i].load * claims[i].fraction(share)
	}
	return sum
}

// claim is a demand as seen from one band.
type claim struct {
	load, urgent float64 // of the band and of more urgent bands
	weight       float64
	unit         float64 // load of one request in the window
	rootUnit     float64
}

func newClaim(d *Demand, band int) claim {
	c := claim{load: d.Load[band], weight: max(d.Weight, minWeight), unit: d.unit()}
	for _, load := range d.Load[:band] {
		c.urgent += load
	}
	c.rootUnit = math.Sqrt(c.unit)
	return c
}

// fraction returns the fraction of the band's load that is admitted. share is the load
// for each unit of weight.
func (c *claim) fraction(share float64) float64 {
	limit := share * c.weight
	total := c.urgent + c.load
	if total <= limit || c.load <= 0 {
		return 1
	}
	// The noise is granted in full up to one noise above the share and withdrawn
	// until two above it, so that a customer clearly beyond its share gets no more
	// than the share.
	noise := c.unit + noiseStdErrors*math.Sqrt(limit)*c.rootUnit
	if excess := total - limit; excess < 2*noise {
		limit += min(noise, 2*noise-excess)
	}
	return min(max(limit-c.urgent, 0)/c.load, 1)
}

// Fraction returns the fraction of a customer's requests in the band that is admitted.
func (s *Shares) Fraction(customer string) float64 {
	if f, named := s.customers[customer]; named {
		return f
	}
	return s.others
}

// Each calls f for every named customer with the fraction of its requests that is
// admitted.
func (s *Shares) Each(f func(customer string, fraction float64)) {
	for customer, fraction := range s.customers {
		f(customer, fraction)
	}
}

// Rank returns the rank of a customer's request. random is uniform in [0, 1). The rank is
// below the level with the probability that the shares give the customer in the band of
// the level, and priority plus random in other bands.
func (s *Shares) Rank(customer string, priority config.Priority, random float64) float64 {
	if int(priority) != s.band {
		return float64(priority) + random
	}
	fraction := s.Fraction(customer)
	if random < fraction {
		return float64(priority) + s.fraction*random/fraction
	}
	return float64(priority) + s.fraction + (1-s.fraction)*(random-fraction)/(1-fraction)
}
