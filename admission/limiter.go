package admission

import "time"

// Parameters of the concurrency limit.
const (
	initialLimit = 4
	minLimit     = 2
	maxLimit     = 4096

	// Ratios of a window's latency to the base latency.
	fastRatio   = 1.1 // growth is fast below this ratio
	holdRatio   = 1.2 // growth stops above this ratio
	reduceRatio = 1.5 // above this ratio the limit is reduced slowly, or a search for the knee starts
	searchRatio = 2.5 // above this ratio a search starts at once

	searchInterval = 4 * time.Second // between searches started by reduceRatio
	noGrowthPeriod = 8 * time.Second // without growth, after which a search starts

	slowStartGrowth = 2.0
	fastGrowth      = 1.25
	steadyGrowth    = 0.05
	searchStep      = 0.7
	reduceStep      = 0.95
	shedStep        = 0.9 // after the instance itself has refused calls
	shedInterval    = 100 * time.Millisecond

	minWindowSamples    = 30
	maxWindowSamples    = 50
	maxWindowAge        = 300 * time.Millisecond
	minSamplesOldWindow = 8 // enough for a window of maxWindowAge
	windowBaseLatencies = 4 // minimum length of a window in base latencies

	baseDecreaseGain      = 0.1  // weight of a lower latency in the base
	baseLargeDecreaseGain = 0.8  // weight of a latency below largeDecreaseRatio
	largeDecreaseRatio    = 0.7  // of the latency to the base
	baseIncreaseGain      = 0.1  // weight of a higher latency while the limit isn't fully used
	ratioGain             = 0.5  // weight of the latest window in the smoothed ratio
	saturatedFraction     = 0.75 // fraction of the limit in use that counts as fully used
)

// routeLatency holds the base latency of a route and the sum of its latencies
// in a window.
type routeLatency struct {
	base  float64 // seconds
	sum   float64 // seconds
	count int
}

// Limiter computes the concurrency limit of an instance from the latencies that
// Observe records. It is not safe for concurrent use.
type Limiter struct {
	limit           float64
	slowStart       bool
	ratio           float64
	routes          map[string]*routeLatency
	windowStart     time.Time
	samples         int
	peak            int
	shed            bool
	lastGrowth      time.Time // or the end of a search
	lastSearchLimit float64   // limit at which the last search ended
	lastSearch      time.Time
	search          *kneeSearch
}

// kneeSearch holds the state before the last reduction of the limit.
type kneeSearch struct {
	limit float64
	ratio float64
}

// NewLimiter returns a limiter for an instance that has just started.
func NewLimiter(now time.Time) *Limiter {
	return &Limiter{
		limit:       initialLimit,
		slowStart:   true,
		ratio:       1,
		routes:      map[string]*routeLatency{},
		windowStart: now,
		lastGrowth:  now,
	}
}

// Limit returns the number of calls that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight records the number of calls in flight.
func (l *Limiter) InFlight(n int) { l.peak = max(l.peak, n) }

// Shed records that the instance itself refused a call for overload. An
// instance that completes no call never fills a window, so the limit is then
// reduced every shedInterval.
func (l *Limiter) Shed(now time.Time) {
	l.shed = true
	if now.Sub(l.windowStart) < shedInterval {
		return
	}
	l.search = nil
	l.slowStart = false
	l.setLimit(l.limit * shedStep)
	l.openWindow(now)
}

// Observe records the own time of a completed call. Calls that started before
// the current limit was set say nothing about it and are ignored.
func (l *Limiter) Observe(now, startedAt time.Time, route string, ownTime time.Duration) {
	if startedAt.Before(l.windowStart) {
		return
	}
	r := l.route(route)
	r.sum += ownTime.Seconds()
	r.count++
	l.samples++
	if l.windowFull(now) {
		l.closeWindow(now)
	}
}

func (l *Limiter) route(name string) *routeLatency {
	r := l.routes[name]
	if r == nil {
		r = &routeLatency{}
		l.routes[name] = r
	}
	return r
}

func (l *Limiter) windowFull(now time.Time) bool {
	need := min(max(l.Limit(), minWindowSamples), maxWindowSamples)
	if l.search != nil {
		need *= 2
	}
	age := now.Sub(l.windowStart)
	if age >= maxWindowAge {
		need = minSamplesOldWindow
	}
	return l.samples >= need && age.Seconds() >= l.minWindowAge()
}

// minWindowAge returns the shortest length of a window in seconds: a few times
// the base latency, so that slow calls also end within the window.
func (l *Limiter) minWindowAge() float64 {
	base := 0.0
	for _, r := range l.routes {
		if r.count > 0 {
			base = max(base, r.base)
		}
	}
	return min(windowBaseLatencies*base, maxWindowAge.Seconds())
}

func (l *Limiter) closeWindow(now time.Time) {
	saturated := float64(l.peak) >= saturatedFraction*l.limit
	unsmoothedRatio := l.windowRatio()
	l.ratio += ratioGain * (unsmoothedRatio - l.ratio)
	switch {
	case l.search != nil:
		l.continueSearch(now, unsmoothedRatio)
	case l.shed:
		l.slowStart = false
		l.setLimit(l.limit * shedStep)
	case saturated && (l.searchDue(now) || l.slowStart && unsmoothedRatio > searchRatio):
		l.beginSearch()
	case saturated && l.slowStart && unsmoothedRatio > reduceRatio:
		l.slowStart = false
		l.setLimit(l.limit / slowStartGrowth)
	case saturated && l.ratio > reduceRatio:
		l.setLimit(max(l.limit*reduceStep, min(l.limit, l.lastSearchLimit*searchStep)))
	case saturated && l.ratio <= holdRatio && unsmoothedRatio >= largeDecreaseRatio:
		l.grow(now)
	}
	l.updateBase(saturated)
	l.openWindow(now)
}

// windowRatio returns the window's latency divided by the base latency of the
// same mix of routes. A route without a base takes the window's latency as its
// base.
func (l *Limiter) windowRatio() float64 {
	var sum, base float64
	for _, r := range l.routes {
		if r.count == 0 {
			continue
		}
		if r.base == 0 {
			r.base = r.sum / float64(r.count)
		}
		sum += r.sum
		base += r.base * float64(r.count)
	}
	if base == 0 {
		return 1
	}
	return sum / base
}

// searchDue reports whether the latency requires a search: it is far above the
// base, or has been above the base for so long that the base itself may be
// wrong.
func (l *Limiter) searchDue(now time.Time) bool {
	switch {
	case l.ratio > searchRatio:
		return true
	case l.ratio > reduceRatio:
		return now.Sub(l.lastSearch) >= searchInterval
	case l.ratio > holdRatio:
		return now.Sub(l.lastGrowth) >= noGrowthPeriod
	}
	return false
}

func (l *Limiter) grow(now time.Time) {
	l.lastGrowth = now
	switch {
	case l.slowStart:
		l.setLimit(l.limit * slowStartGrowth)
	case l.ratio < fastRatio:
		l.setLimit(l.limit * fastGrowth)
	default:
		l.setLimit(l.limit + max(1, steadyGrowth*l.limit))
	}
}

func (l *Limiter) beginSearch() {
	l.slowStart = false
	l.search = &kneeSearch{limit: l.limit, ratio: l.ratio}
	l.setLimit(l.limit * searchStep)
}

// continueSearch compares the window with the one before the last reduction.
func (l *Limiter) continueSearch(now time.Time, unsmoothedRatio float64) {
	step := l.limit / l.search.limit
	latencyChange := unsmoothedRatio / l.search.ratio
	if latencyChange > (1+step)/2 || l.limit <= minLimit {
		l.endSearch(now, unsmoothedRatio)
		return
	}
	l.search = &kneeSearch{limit: l.limit, ratio: unsmoothedRatio}
	l.setLimit(l.limit * searchStep)
}

// endSearch returns to the last limit at which calls queued inside the instance
// and takes the latency below that limit as the new base.
func (l *Limiter) endSearch(now time.Time, unsmoothedRatio float64) {
	l.setLimit(l.search.limit)
	l.search = nil
	l.lastSearch, l.lastGrowth = now, now
	l.lastSearchLimit = l.limit
	l.ratio = 1
	for _, r := range l.routes {
		r.base *= unsmoothedRatio
	}
}

// updateBase adjusts each route's base latency: down with any faster window, up
// only while the limit isn't fully used and hence can't be the cause.
func (l *Limiter) updateBase(saturated bool) {
	for _, r := range l.routes {
		if r.count < minSamplesOldWindow {
			continue
		}
		mean := r.sum / float64(r.count)
		switch {
		case mean < largeDecreaseRatio*r.base:
			r.base += baseLargeDecreaseGain * (mean - r.base)
			l.ratio = 1 // relative to the new base
		case mean < r.base:
			r.base += baseDecreaseGain * (mean - r.base)
		case !saturated:
			r.base += baseIncreaseGain * (mean - r.base)
		}
	}
}

func (l *Limiter) openWindow(now time.Time) {
	for _, r := range l.routes {
		r.sum, r.count = 0, 0
	}
	l.windowStart = now
	l.samples = 0
	l.peak = 0
	l.shed = false
}

func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, minLimit), maxLimit)
}
