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
	total := rest.Load[band]
	for i := range demands {
		total += demands[i].Load[band]
	}
	target := s.fraction * total
	share := findShare(demands, &rest, band, target)
	// Without any share, customers keep what noise explains, which may be more than
	// the level admits.
	scale := 1.0
	if sum := admittedLoad(demands, &rest, band, share); sum > target && sum > 0 {
		scale = target / sum
	}
	for i := range demands {
		s.customers[demands[i].Customer] = scale * demands[i].admittedFraction(band, share)
	}
	s.others = scale * rest.admittedFraction(band, share)
	if total <= 0 {
		s.others = s.fraction
	}
	return s
}

// findShare returns the load for each unit of weight at which the customers together
// are admitted with the target load. It returns zero if they are admitted with more even
// then.
func findShare(demands []Demand, rest *Demand, band int, target float64) float64 {
	highest := rest.Total() / max(rest.Weight, minWeight)
	for i := range demands {
		highest = max(highest, demands[i].Total()/max(demands[i].Weight, minWeight))
	}
	if admittedLoad(demands, rest, band, highest) <= target {
		return highest
	}
	lowest := 0.0
	for range searchSteps {
		middle := (lowest + highest) / 2
		if admittedLoad(demands, rest, band, middle) > target {
			highest = middle
		} else {
			lowest = middle
		}
	}
	return lowest
}

func admittedLoad(demands []Demand, rest *Demand, band int, share float64) float64 {
	sum := rest.Load[band] * rest.admittedFraction(band, share)
	for i := range demands {
		sum += demands[i].Load[band] * demands[i].admittedFraction(band, share)
	}
	return sum
}

// admittedFraction returns the fraction of the band's load that is admitted. share is
// the load for each unit of weight.
func (d *Demand) admittedFraction(band int, share float64) float64 {
	load := d.Load[band]
	if load <= 0 {
		return 1
	}
	urgent := 0.0
	for _, l := range d.Load[:band] {
		urgent += l
	}
	unit := d.unit()
	limit := share * max(d.Weight, minWeight)
	// The noise is granted in full up to one noise above the share and withdrawn
	// until two above it, so that a customer clearly beyond its share gets no more
	// than the share.
	noise := unit + noiseStdErrors*math.Sqrt(limit*unit)
	if noise > 0 {
		limit += noise * min(max(2-(urgent+load-limit)/noise, 0), 1)
	}
	return min(max(limit-urgent, 0)/load, 1)
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
