// Package report measures error-budget burn rates: how fast the requests of each
// customer on each route use up the error budget of the route's service-level
// objective.
//
// The burn rate of a window is its error ratio divided by (1 - objective); at a
// burn rate of 1 the error budget is exactly used up. Each alert condition
// combines two windows, following the multiwindow, multi-burn-rate method in
// chapter 5 of Google's "The Site Reliability Workbook".
//
// Each window is a ring buffer of 13 slots. A slot is a twelfth of the window
// long, so a window covers its length plus up to one slot. The series of a
// customer and a route takes about 1.3 kB. A recorder holds at most MaxSeries of
// them and one more for each route. Counts are kept in memory only, so a replaced
// node starts without counts.
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
	// separately. Requests of further pairs are counted for OtherCustomers, by
	// route.
	MaxSeries = 8192
	// OtherCustomers is the customer in rows that combine several customers. It is
	// not a valid customer name.
	OtherCustomers = "*"

	shardCount  = 64
	windowCount = 3
	// slotsPerWindow is the number of slots in the length of a window.
	slotsPerWindow = 12
	// ringSlots includes one more slot, for the current period.
	ringSlots = slotsPerWindow + 1
)

// Recorder counts requests by customer and route. Observe takes no lock shared by
// different customers or routes, except for the first request of a pair.
type Recorder struct {
	seed   maphash.Seed
	shards [shardCount]shard
	// seriesCount is the number of series in all shards.
	seriesCount atomic.Int64
}

// shard holds the series of the pairs that hash to it. Adding a pair replaces the
// map by an extended copy (read-copy-update); sharding keeps the copies small.
type shard struct {
	series   atomic.Pointer[map[seriesKey]*series]
	updateMu sync.Mutex
}

type seriesKey struct{ customer, route string }

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].series.Store(&map[seriesKey]*series{})
	}
	return r
}

// Observe counts a request at time now; ok reports whether it met the service
// level. The latency counts only if ok.
func (r *Recorder) Observe(customer, route string, ok bool, latency time.Duration, now time.Time) {
	r.find(seriesKey{customer, route}).observe(ok, latency, now)
}

// find returns the series of a pair, which it creates if necessary. When MaxSeries
// is reached, new pairs share the series of OtherCustomers on their route.
func (r *Recorder) find(key seriesKey) *series {
	if s, known := r.shard(key).find(key); known {
		return s
	}
	if r.seriesCount.Load() >= MaxSeries {
		key.customer = OtherCustomers
	}
	s, added := r.shard(key).add(key)
	if added {
		r.seriesCount.Add(1)
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

// add returns the series of a pair, which it creates if necessary, and whether it
// was created.
func (s *shard) add(key seriesKey) (*series, bool) {
	if found, known := s.find(key); known {
		return found, false
	}
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	if found, known := s.find(key); known {
		return found, false
	}
	next := maps.Clone(*s.series.Load())
	next[key] = &series{}
	s.series.Store(&next)
	return next[key], true
}

// removeIdle removes pairs without requests in any window and returns how many it
// removed. A request of such a pair that is observed concurrently may not be
// counted.
func (s *shard) removeIdle(now time.Time) int {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	next := maps.Clone(*s.series.Load())
	oldCount := len(next)
	maps.DeleteFunc(next, func(_ seriesKey, candidate *series) bool { return candidate.idle(now) })
	s.series.Store(&next)
	return oldCount - len(next)
}

// Report returns the counts of all pairs, ordered by customer and route. The
// function objective returns the objective of a named route, or zero for none.
func (r *Recorder) Report(now time.Time, objective func(route string) float64) Report {
	var result Report
	for i := range r.shards {
		s := &r.shards[i]
		r.seriesCount.Add(-int64(s.removeIdle(now)))
		for key, pairSeries := range *s.series.Load() {
			row := Row{Customer: key.customer, Route: key.route, Objective: objective(key.route)}
			row.Windows = pairSeries.sumWindows(now)
			result.Rows = append(result.Rows, row)
		}
	}
	result.sort()
	return result
}

// series holds the windows of a customer on a route.
type series struct {
	mu    sync.Mutex
	rings [windowCount]ring
}

// ring holds the slots of a window. Periods are numbered in slot lengths since the
// Unix epoch; period n is counted in slot n modulo ringSlots.
type ring [ringSlots]slot

type slot struct {
	period int64
	counts Counts
}

func (s *series) observe(ok bool, latency time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.rings {
		s.rings[i].observe(periodAt(i, now), ok, latency)
	}
}

func (s *series) sumWindows(now time.Time) [windowCount]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sums [windowCount]Counts
	for i := range s.rings {
		sums[i] = s.rings[i].sum(periodAt(i, now))
	}
	return sums
}

func (s *series) idle(now time.Time) bool {
	longest := windowCount - 1
	return s.sumWindows(now)[longest].Total == 0
}

func periodAt(window int, now time.Time) int64 {
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
