package admission

import "time"

// Parameters of the concurrency limit.
const (
	initialLimit = 4
	minLimit     = 2
	maxLimit     = 4096

	// Ratios of a window's latency to the base latency.
	fastRatio   = 1.1 // growth is fast below it
	holdRatio   = 1.2 // growth stops
	easeRatio   = 1.5 // the limit is eased down, or the search for the knee begins
	searchRatio = 2.5 // the search begins at once

	searchPause = 4 * time.Second // between searches otherwise
	baseCheck   = 8 * time.Second // without growth after which the search begins

	slowStartGrowth = 2.0
	fastGrowth      = 1.25
	steadyGrowth    = 0.05
	searchStep      = 0.7
	easeStep        = 0.95
	shedStep        = 0.9 // after the instance itself has shed load
	shedInterval    = 100 * time.Millisecond

	windowMinSamples = 30
	windowMaxSamples = 50
	windowMaxAge     = 300 * time.Millisecond
	windowFewSamples = 8 // enough when the window is old
	windowBases      = 4 // base latencies that a window lasts at least

	baseFall   = 0.1  // weight of a lower latency in the base
	baseDrop   = 0.8  // weight of one below clearlyLow
	clearlyLow = 0.7  // ratio to the base
	baseIdle   = 0.1  // weight of a higher latency while the limit isn't used up
	ratioGain  = 0.5  // weight of the latest window in the smoothed ratio
	boundPart  = 0.75 // share of the limit in use that counts as used up
)

// routeLatency is the base latency of a route and its sum over a window.
type routeLatency struct {
	base  float64 // seconds
	sum   float64 // seconds
	count int
}

// Limiter computes the concurrency limit of an instance from the latencies
// that Observe reports. It is not safe for concurrent use.
type Limiter struct {
	limit     float64
	slowStart bool
	ratio     float64
	routes    map[string]*routeLatency
	opened    time.Time
	samples   int
	peak      int
	shed      bool
	held      time.Time // since when there has been no growth
	found     float64   // limit at which the last search ended
	searched  time.Time
	search    *kneeSearch
}

// kneeSearch remembers the last step down of the limit.
type kneeSearch struct {
	limit float64
	ratio float64
}

// NewLimiter returns a limiter for an instance that has just started.
func NewLimiter(now time.Time) *Limiter {
	return &Limiter{
		limit:     initialLimit,
		slowStart: true,
		ratio:     1,
		routes:    map[string]*routeLatency{},
		opened:    now,
		held:      now,
	}
}

// Limit returns the number of calls that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight records the number of calls in flight.
func (l *Limiter) InFlight(n int) { l.peak = max(l.peak, n) }

// Shed records that the instance itself refused a call for overload. An
// instance that answers none closes no window, so time does it.
func (l *Limiter) Shed(now time.Time) {
	l.shed = true
	if now.Sub(l.opened) < shedInterval {
		return
	}
	l.search = nil
	l.slowStart = false
	l.setLimit(l.limit * shedStep)
	l.openWindow(now)
}

// Observe records the own time of a completed call. Calls that began before
// the present limit was set say nothing about it and are left out.
func (l *Limiter) Observe(now, began time.Time, route string, own time.Duration) {
	if began.Before(l.opened) {
		return
	}
	r := l.route(route)
	r.sum += own.Seconds()
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
	need := min(max(l.Limit(), windowMinSamples), windowMaxSamples)
	if l.search != nil {
		need *= 2
	}
	age := now.Sub(l.opened)
	if age >= windowMaxAge {
		need = windowFewSamples
	}
	return l.samples >= need && age.Seconds() >= l.minAge()
}

// minAge returns the shortest time, in seconds, for which a window is open: a
// few times the base latency, so that its slow calls end within it as well.
func (l *Limiter) minAge() float64 {
	base := 0.0
	for _, r := range l.routes {
		if r.count > 0 {
			base = max(base, r.base)
		}
	}
	return min(windowBases*base, windowMaxAge.Seconds())
}

func (l *Limiter) closeWindow(now time.Time) {
	bound := float64(l.peak) >= boundPart*l.limit
	raw := l.windowRatio()
	l.ratio += ratioGain * (raw - l.ratio)
	switch {
	case l.search != nil:
		l.continueSearch(now, raw)
	case l.shed:
		l.slowStart = false
		l.setLimit(l.limit * shedStep)
	case bound && (l.searchDue(now) || l.slowStart && raw > searchRatio):
		l.beginSearch()
	case bound && l.slowStart && raw > easeRatio:
		l.slowStart = false
		l.setLimit(l.limit / slowStartGrowth)
	case bound && l.ratio > easeRatio:
		l.setLimit(max(l.limit*easeStep, min(l.limit, l.found*searchStep)))
	case bound && l.ratio <= holdRatio && raw >= clearlyLow:
		l.grow(now)
	}
	l.learnBase(bound)
	l.openWindow(now)
}

// windowRatio returns the window's latency over the base latency of the same
// mix of routes. A route seen for the first time counts as being at its base.
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

// searchDue reports whether the latency calls for a search: it is far above
// the base, or above it for long, so that the base itself may be wrong.
func (l *Limiter) searchDue(now time.Time) bool {
	switch {
	case l.ratio > searchRatio:
		return true
	case l.ratio > easeRatio:
		return now.Sub(l.searched) >= searchPause
	case l.ratio > holdRatio:
		return now.Sub(l.held) >= baseCheck
	}
	return false
}

func (l *Limiter) grow(now time.Time) {
	l.held = now
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

// continueSearch compares the window with the one before the last step.
func (l *Limiter) continueSearch(now time.Time, raw float64) {
	step := l.limit / l.search.limit
	fell := raw / l.search.ratio
	if fell > (1+step)/2 || l.limit <= minLimit {
		l.endSearch(now, raw)
		return
	}
	l.search = &kneeSearch{limit: l.limit, ratio: raw}
	l.setLimit(l.limit * searchStep)
}

// endSearch goes back to the last limit at which calls queued inside the
// instance and takes the latency below it as the base.
func (l *Limiter) endSearch(now time.Time, raw float64) {
	l.setLimit(l.search.limit)
	l.search = nil
	l.searched, l.held = now, now
	l.found = l.limit
	l.ratio = 1
	for _, r := range l.routes {
		r.base *= raw
	}
}

// learnBase moves each route's base latency: down with any faster window, up
// only while the limit isn't used up and hence can't be the cause.
func (l *Limiter) learnBase(bound bool) {
	for _, r := range l.routes {
		if r.count < windowFewSamples {
			continue
		}
		mean := r.sum / float64(r.count)
		switch {
		case mean < clearlyLow*r.base:
			r.base += baseDrop * (mean - r.base)
			l.ratio = 1 // of the new base
		case mean < r.base:
			r.base += baseFall * (mean - r.base)
		case !bound:
			r.base += baseIdle * (mean - r.base)
		}
	}
}

func (l *Limiter) openWindow(now time.Time) {
	for _, r := range l.routes {
		r.sum, r.count = 0, 0
	}
	l.opened = now
	l.samples = 0
	l.peak = 0
	l.shed = false
}

func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, minLimit), maxLimit)
}
