package admission

import "time"

// Parameters of the concurrency limit.
const (
	initialLimit = 4
	minLimit     = 2
	maxLimit     = 4096

	// Ratios of a window's latency to the base latency.
	holdRatio   = 1.2 // growth stops
	searchRatio = 1.5 // the search for the knee begins

	slowStartGrowth = 2.0
	regrowth        = 1.25 // below the limit at which the last search began
	steadyGrowth    = 0.05
	heldMax         = 40 // windows without growth after which the base is checked
	searchStep      = 0.7
	shedStep        = 0.9 // after the instance itself has shed load
	shedInterval    = 100 * time.Millisecond

	windowMinSamples = 30
	windowMaxSamples = 50
	windowMaxAge     = 300 * time.Millisecond
	windowFewSamples = 8 // enough when the window is old

	baseFall   = 0.1  // weight of a lower latency in the base
	baseDrop   = 0.5  // weight of one below clearlyLow
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
	held      int     // windows in a row without growth although the limit was used up
	origin    float64 // limit at which the last search began
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
	if now.Sub(l.opened) >= windowMaxAge {
		need = windowFewSamples
	}
	return l.samples >= need
}

func (l *Limiter) closeWindow(now time.Time) {
	bound := float64(l.peak) >= boundPart*l.limit
	raw := l.windowRatio()
	l.ratio += ratioGain * (raw - l.ratio)
	switch {
	case l.search != nil:
		l.continueSearch(raw)
	case l.shed:
		l.slowStart = false
		l.setLimit(l.limit * shedStep)
	case bound && (l.ratio > searchRatio || l.held >= heldMax):
		l.beginSearch()
	case bound:
		l.grow()
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

func (l *Limiter) grow() {
	if l.ratio > holdRatio {
		l.slowStart = false
		l.held++
		return
	}
	l.held = 0
	switch {
	case l.slowStart:
		l.setLimit(l.limit * slowStartGrowth)
	case l.limit < l.origin*searchStep:
		l.setLimit(l.limit * regrowth)
	default:
		l.setLimit(l.limit + max(1, steadyGrowth*l.limit))
	}
}

func (l *Limiter) beginSearch() {
	l.slowStart = false
	l.held = 0
	l.origin = l.limit
	l.search = &kneeSearch{limit: l.limit, ratio: l.ratio}
	l.setLimit(l.limit * searchStep)
}

// continueSearch compares the window with the one before the last step.
func (l *Limiter) continueSearch(raw float64) {
	step := l.limit / l.search.limit
	fell := raw / l.search.ratio
	if fell > (1+step)/2 || l.limit <= minLimit {
		l.endSearch(raw)
		return
	}
	l.search = &kneeSearch{limit: l.limit, ratio: raw}
	l.setLimit(l.limit * searchStep)
}

// endSearch goes back to the last limit at which calls queued inside the
// instance and takes the latency below it as the base.
func (l *Limiter) endSearch(raw float64) {
	l.setLimit(l.search.limit)
	l.search = nil
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
