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
// one route takes about 1.3 kB, and a recorder holds at most MaxSeries of them
// and one more per route. Counts live in memory only; a replaced node starts
// empty.
package report

import (
	"hash/maphash"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Windows are the lengths of the sliding windows, shortest first.
var Windows = [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// MaxSeries is the number of pairs of customer and route that are counted
	// apart. Further pairs are counted by route as OtherCustomers.
	MaxSeries = 8192
	// OtherCustomers stands for several customers; it is no valid name of one.
	OtherCustomers = "*"

	shardCount  = 64
	windowCount = 3
	// slotsPerWindow is the resolution of a window.
	slotsPerWindow = 12
	// ringSlots has one more for the slot that is being filled.
	ringSlots = slotsPerWindow + 1
)

// Recorder counts requests. Observe takes no lock that is shared by different
// customers or routes, except when it sees a pair for the first time.
type Recorder struct {
	seed   maphash.Seed
	shards [shardCount]shard
	// held is the number of series in all shards.
	held atomic.Int64
}

// shard holds the series of the pairs that hash to it. The map is replaced as
// a whole when a pair is added (read-copy-update); shards keep the copies
// small.
type shard struct {
	series atomic.Pointer[map[seriesKey]*series]
	adding sync.Mutex
}

type seriesKey struct{ customer, route string }

// NewRecorder returns a recorder without counts.
func NewRecorder() *Recorder {
	r := &Recorder{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].series.Store(&map[seriesKey]*series{})
	}
	return r
}

// Observe counts one request; ok tells whether it was answered whole in time.
func (r *Recorder) Observe(customer, route string, ok bool, latency time.Duration, now time.Time) {
	r.find(seriesKey{customer, route}).observe(ok, latency, now)
}

func (r *Recorder) find(key seriesKey) *series {
	if s, known := r.shard(key).find(key); known {
		return s
	}
	if r.held.Load() >= MaxSeries {
		key.customer = OtherCustomers
	}
	s, added := r.shard(key).add(key)
	if added {
		r.held.Add(1)
	}
	return s
}

func (r *Recorder) shard(key seriesKey) *shard {
	return &r.shards[maphash.Comparable(r.seed, key)%shardCount]
}

func (s *shard) find(key seriesKey) (*series, bool) {
	found, known := (*s.series.Load())[key]
	return found, known
}

// add returns the series of a pair and whether it is new.
func (s *shard) add(key seriesKey) (*series, bool) {
	if found, known := s.find(key); known {
		return found, false
	}
	s.adding.Lock()
	defer s.adding.Unlock()
	if found, known := s.find(key); known {
		return found, false
	}
	next := maps.Clone(*s.series.Load())
	next[key] = &series{}
	s.series.Store(&next)
	return next[key], true
}

// prune forgets pairs without a request in any window and returns their
// number. A request that is observed for such a pair at the same moment may go
// uncounted.
func (s *shard) prune(now time.Time) int {
	s.adding.Lock()
	defer s.adding.Unlock()
	next := maps.Clone(*s.series.Load())
	before := len(next)
	maps.DeleteFunc(next, func(_ seriesKey, one *series) bool { return one.idle(now) })
	s.series.Store(&next)
	return before - len(next)
}

// Report returns the counts of all pairs, ordered by customer and route.
// Objective gives a route's objective by name; zero means none.
func (r *Recorder) Report(now time.Time, objective func(route string) float64) Report {
	var rep Report
	for i := range r.shards {
		s := &r.shards[i]
		r.held.Add(-int64(s.prune(now)))
		for key, one := range *s.series.Load() {
			row := Row{Customer: key.customer, Route: key.route, Objective: objective(key.route)}
			row.Windows = one.windows(now)
			rep.Rows = append(rep.Rows, row)
		}
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
