// Package report measures service-level burn: how fast each customer on each
// route uses up the error budget that the route's objective leaves.
//
// The burn of a window is the error ratio over (1 - objective); a burn of 1
// uses the budget exactly up. The alerts over two windows each follow the
// multiwindow, multi-burn-rate method of chapter 5 of Google's "The Site
// Reliability Workbook".
//
// Each window is a ring of 13 slots, each a twelfth of the window long, so a
// window covers its length plus up to one slot. A series of one customer and
// one route takes about 1.3 kB. Counts live in memory only; a replaced node
// starts empty.
package report

import (
	"sync"
	"sync/atomic"
	"time"
)

// Windows are the lengths of the sliding windows, shortest first.
var Windows = [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	windowCount = 3
	// slotsPerWindow is the resolution of a window.
	slotsPerWindow = 12
	// ringSlots has one more for the slot that is being filled.
	ringSlots = slotsPerWindow + 1
)

// Recorder counts requests. Observe takes no lock that is shared by different
// customers or routes, except when it sees a pair for the first time.
type Recorder struct {
	// series is replaced as a whole when a pair is added (read-copy-update).
	series atomic.Pointer[map[seriesKey]*series]
	adding sync.Mutex
}

type seriesKey struct{ customer, route string }

// NewRecorder returns a recorder without counts.
func NewRecorder() *Recorder {
	r := &Recorder{}
	r.series.Store(&map[seriesKey]*series{})
	return r
}

// Observe counts one request; ok tells whether it was answered whole in time.
func (r *Recorder) Observe(customer, route string, ok bool, latency time.Duration, now time.Time) {
	key := seriesKey{customer, route}
	s, known := (*r.series.Load())[key]
	if !known {
		s = r.add(key)
	}
	s.observe(ok, latency, now)
}

func (r *Recorder) add(key seriesKey) *series {
	r.adding.Lock()
	defer r.adding.Unlock()
	old := *r.series.Load()
	if s, known := old[key]; known {
		return s
	}
	next := make(map[seriesKey]*series, len(old)+1)
	for k, s := range old {
		next[k] = s
	}
	s := &series{}
	next[key] = s
	r.series.Store(&next)
	return s
}

// prune forgets pairs without a request in any window. A request that is
// observed for such a pair at the same moment may go uncounted.
func (r *Recorder) prune(now time.Time) {
	r.adding.Lock()
	defer r.adding.Unlock()
	old := *r.series.Load()
	next := make(map[seriesKey]*series, len(old))
	for k, s := range old {
		if !s.idle(now) {
			next[k] = s
		}
	}
	r.series.Store(&next)
}

// Report returns the counts of all pairs, ordered by customer and route.
// Objective gives a route's objective by name; zero means none.
func (r *Recorder) Report(now time.Time, objective func(route string) float64) Report {
	r.prune(now)
	var rep Report
	for key, s := range *r.series.Load() {
		row := Row{Customer: key.customer, Route: key.route, Objective: objective(key.route)}
		row.Windows = s.windows(now)
		rep.Rows = append(rep.Rows, row)
	}
	rep.sort()
	return rep
}

// series holds the windows of one customer on one route.
type series struct {
	mu    sync.Mutex
	rings [windowCount]ring
}

// ring holds the slots of one window; slot n counts the requests of period n,
// counted in slot lengths since the Unix epoch.
type ring [ringSlots]slot

type slot struct {
	period int64
	counts Counts
}

func (s *series) observe(ok bool, latency time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.rings {
		s.rings[i].observe(period(i, now), ok, latency)
	}
}

func (s *series) windows(now time.Time) [windowCount]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sums [windowCount]Counts
	for i := range s.rings {
		sums[i] = s.rings[i].sum(period(i, now))
	}
	return sums
}

func (s *series) idle(now time.Time) bool {
	longest := windowCount - 1
	return s.windows(now)[longest].Total == 0
}

func period(window int, now time.Time) int64 {
	return now.UnixNano() / int64(Windows[window]/slotsPerWindow)
}

func (r *ring) observe(period int64, ok bool, latency time.Duration) {
	s := &r[period%ringSlots]
	if s.period > period {
		return
	}
	if s.period < period {
		*s = slot{period: period}
	}
	s.counts.Total++
	if !ok {
		s.counts.Failed++
		return
	}
	s.counts.LatencySum += latency
}

func (r *ring) sum(period int64) Counts {
	var total Counts
	for _, s := range r {
		if s.period > period-ringSlots && s.period <= period {
			total.add(s.counts)
		}
	}
	return total
}
