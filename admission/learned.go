package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	thresholdHoldTime = 500 * time.Millisecond // a threshold applies unchanged up to this age
	thresholdExpiry   = 2 * time.Second        // a threshold admits all from this age on

	// A relayed threshold opens by 1/relayOpeningDivisor of its distance to
	// MaxThreshold, so that no threshold persists by circulating in a cycle of
	// services.
	relayOpeningDivisor = 64
)

// routeKey identifies what a learned threshold applies to.
type routeKey struct {
	route    string
	customer string
}

// thresholdReport is the latest threshold received from one owner.
type thresholdReport struct {
	service    string
	owner      state.MemberID
	threshold  uint32
	receivedAt time.Time
}

// thresholdAt returns the threshold in effect at a time.
func (r thresholdReport) thresholdAt(now time.Time) uint32 {
	age := now.Sub(r.receivedAt)
	if age <= thresholdHoldTime {
		return r.threshold
	}
	if age >= thresholdExpiry {
		return MaxThreshold
	}
	fraction := float64(age-thresholdHoldTime) / float64(thresholdExpiry-thresholdHoldTime)
	return r.threshold + uint32(fraction*float64(MaxThreshold-r.threshold))
}

func (r thresholdReport) fresh(now time.Time) bool { return now.Sub(r.receivedAt) < thresholdExpiry }

// admitsIn returns how long it takes until the report admits a rank.
func (r thresholdReport) admitsIn(now time.Time, rank uint32) time.Duration {
	span := float64(MaxThreshold - r.threshold)
	if span == 0 || rank < r.threshold {
		return 0
	}
	fraction := float64(rank-r.threshold) / span
	after := thresholdHoldTime + time.Duration(fraction*float64(thresholdExpiry-thresholdHoldTime))
	return max(r.receivedAt.Add(after).Sub(now), 0)
}

// learnedThresholds holds the thresholds that this node has received with
// answers. Readers never block. Nothing is stored while all owners admit all
// calls.
type learnedThresholds struct {
	routes sync.Map // routeKey to *atomic.Pointer[[]thresholdReport]
}

// recordThreshold records a received threshold.
func (l *learnedThresholds) recordThreshold(key routeKey, r thresholdReport) {
	v, ok := l.routes.Load(key)
	if !ok {
		if r.threshold == MaxThreshold {
			return
		}
		v, _ = l.routes.LoadOrStore(key, &atomic.Pointer[[]thresholdReport]{})
	}
	p := v.(*atomic.Pointer[[]thresholdReport])
	for {
		old := p.Load()
		next := merge(old, r)
		if p.CompareAndSwap(old, &next) {
			return
		}
	}
}

func merge(old *[]thresholdReport, r thresholdReport) []thresholdReport {
	if old == nil {
		return []thresholdReport{r}
	}
	next := make([]thresholdReport, 0, len(*old)+1)
	for _, o := range *old {
		if o.fresh(r.receivedAt) && (o.owner != r.owner || o.service != r.service) {
			next = append(next, o)
		}
	}
	return append(next, r)
}

func (l *learnedThresholds) reports(key routeKey) []thresholdReport {
	v, ok := l.routes.Load(key)
	if !ok {
		return nil
	}
	if p := v.(*atomic.Pointer[[]thresholdReport]).Load(); p != nil {
		return *p
	}
	return nil
}

// threshold returns the lowest threshold of the services that a route leads to.
// The threshold of a service is the highest among its owners because routing
// finds the owner that would admit the call.
func (l *learnedThresholds) threshold(key routeKey, now time.Time) uint32 {
	reports := l.reports(key)
	lowest := MaxThreshold
	for i, r := range reports {
		if r.fresh(now) && notListed(reports[:i], r.service) {
			lowest = min(lowest, serviceThreshold(reports[i:], r.service, now))
		}
	}
	return lowest
}

func notListed(before []thresholdReport, service string) bool {
	for _, r := range before {
		if r.service == service {
			return false
		}
	}
	return true
}

func serviceThreshold(reports []thresholdReport, service string, now time.Time) uint32 {
	highest := uint32(0)
	for _, r := range reports {
		if r.service == service && r.fresh(now) {
			highest = max(highest, r.thresholdAt(now))
		}
	}
	return highest
}

// admitsIn returns how long a rank remains shed if no further report arrives.
func (l *learnedThresholds) admitsIn(key routeKey, rank uint32, now time.Time) time.Duration {
	soonest := thresholdExpiry
	for _, r := range l.reports(key) {
		soonest = min(soonest, r.admitsIn(now, rank))
	}
	return soonest
}

// expire removes routes without fresh reports.
func (l *learnedThresholds) expire(now time.Time) {
	l.routes.Range(func(key, v any) bool {
		p := v.(*atomic.Pointer[[]thresholdReport]).Load()
		if p == nil || !anyFresh(*p, now) {
			l.routes.Delete(key)
		}
		return true
	})
}

func anyFresh(reports []thresholdReport, now time.Time) bool {
	for _, r := range reports {
		if r.fresh(now) && r.threshold != MaxThreshold {
			return true
		}
	}
	return false
}

// relayedThreshold returns a threshold as it is sent to the previous node on a
// call's path.
func relayedThreshold(threshold uint32) uint32 {
	return threshold + (MaxThreshold-threshold)/relayOpeningDivisor
}
