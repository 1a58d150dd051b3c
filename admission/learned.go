package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	thresholdHold = 500 * time.Millisecond // a report is taken as it is
	thresholdOpen = 2 * time.Second        // a report has opened fully

	// relayLoss is the part of the way to MaxThreshold by which a threshold
	// opens when a node passes it on, so that none lives on by going round a
	// cycle of services.
	relayLoss = 64
)

// routeKey names what a learned threshold applies to.
type routeKey struct {
	route    string
	customer string
}

// report is the latest threshold of one owner.
type report struct {
	service   string
	owner     state.MemberID
	threshold uint32
	at        time.Time
}

// now returns the threshold that the report stands for now.
func (r report) now(now time.Time) uint32 {
	age := now.Sub(r.at)
	if age <= thresholdHold {
		return r.threshold
	}
	if age >= thresholdOpen {
		return MaxThreshold
	}
	part := float64(age-thresholdHold) / float64(thresholdOpen-thresholdHold)
	return r.threshold + uint32(part*float64(MaxThreshold-r.threshold))
}

func (r report) fresh(now time.Time) bool { return now.Sub(r.at) < thresholdOpen }

// opens returns how long it takes until the report lets a rank pass.
func (r report) opens(now time.Time, rank uint32) time.Duration {
	gap := float64(MaxThreshold - r.threshold)
	if gap == 0 || rank < r.threshold {
		return 0
	}
	part := float64(rank-r.threshold) / gap
	after := thresholdHold + time.Duration(part*float64(thresholdOpen-thresholdHold))
	return max(r.at.Add(after).Sub(now), 0)
}

// learnedThresholds holds the thresholds that answers have brought to this
// node. Readers never block. Nothing is stored while all owners admit all.
type learnedThresholds struct {
	routes sync.Map // routeKey to *atomic.Pointer[[]report]
}

// learn takes in a threshold.
func (l *learnedThresholds) learn(key routeKey, r report) {
	v, ok := l.routes.Load(key)
	if !ok {
		if r.threshold == MaxThreshold {
			return
		}
		v, _ = l.routes.LoadOrStore(key, &atomic.Pointer[[]report]{})
	}
	p := v.(*atomic.Pointer[[]report])
	for {
		old := p.Load()
		next := merge(old, r)
		if p.CompareAndSwap(old, &next) {
			return
		}
	}
}

func merge(old *[]report, r report) []report {
	if old == nil {
		return []report{r}
	}
	next := make([]report, 0, len(*old)+1)
	for _, o := range *old {
		if o.fresh(r.at) && (o.owner != r.owner || o.service != r.service) {
			next = append(next, o)
		}
	}
	return append(next, r)
}

func (l *learnedThresholds) reports(key routeKey) []report {
	v, ok := l.routes.Load(key)
	if !ok {
		return nil
	}
	if p := v.(*atomic.Pointer[[]report]).Load(); p != nil {
		return *p
	}
	return nil
}

// threshold returns the lowest threshold of the services that a route leads
// to; that of a service is the highest among its owners, because routing finds
// the owner that would take the call.
func (l *learnedThresholds) threshold(key routeKey, now time.Time) uint32 {
	reports := l.reports(key)
	lowest := MaxThreshold
	for i, r := range reports {
		if r.fresh(now) && firstOf(reports[:i], r.service) {
			lowest = min(lowest, serviceThreshold(reports[i:], r.service, now))
		}
	}
	return lowest
}

func firstOf(before []report, service string) bool {
	for _, r := range before {
		if r.service == service {
			return false
		}
	}
	return true
}

func serviceThreshold(reports []report, service string, now time.Time) uint32 {
	highest := uint32(0)
	for _, r := range reports {
		if r.service == service && r.fresh(now) {
			highest = max(highest, r.now(now))
		}
	}
	return highest
}

// opens returns how long a rank stays shed if no further report comes.
func (l *learnedThresholds) opens(key routeKey, rank uint32, now time.Time) time.Duration {
	soonest := thresholdOpen
	for _, r := range l.reports(key) {
		soonest = min(soonest, r.opens(now, rank))
	}
	return soonest
}

// forget removes routes without fresh reports.
func (l *learnedThresholds) forget(now time.Time) {
	l.routes.Range(func(key, v any) bool {
		p := v.(*atomic.Pointer[[]report]).Load()
		if p == nil || !anyFresh(*p, now) {
			l.routes.Delete(key)
		}
		return true
	})
}

func anyFresh(reports []report, now time.Time) bool {
	for _, r := range reports {
		if r.fresh(now) && r.threshold != MaxThreshold {
			return true
		}
	}
	return false
}

// relayed returns a threshold as it is passed on to the node before.
func relayed(threshold uint32) uint32 {
	return threshold + (MaxThreshold-threshold)/relayLoss
}
