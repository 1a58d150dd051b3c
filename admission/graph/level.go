package graph

import "time"

// Parameters of the controller.
const (
	// targetLoad is the offered load, relative to the capacity of the slots, at
	// which the level stays constant.
	targetLoad = 0.95
	// levelGain is the change of the level, in ranks per second, per unit of load
	// above or below the target. It is about the inverse of the time that a change
	// of the level takes to reach the services below.
	levelGain = 1.2
	// loadPerRank is approximately the load that one more admitted rank adds.
	// maxLevelDelay is the longest time until a change of the level shows in the
	// load, including callers that were refused and retry.
	loadPerRank   = 1.3
	maxLevelDelay = 1500 * time.Millisecond
	// maxDrainTime and minDrainTime bound the time within which waiting calls are to be
	// worked off.
	maxDrainTime = 300 * time.Millisecond
	minDrainTime = 50 * time.Millisecond
	// maxLoad caps the load used by the controller.
	maxLoad = 3.0
)

// Level is the admission level of one instance: it admits new trees with a rank
// below the level. The level follows the offered load and the backlog. The
// backlog counts because waiting calls delay the calls that their trees would
// make next, so an instance at which many trees wait is offered little more
// than its capacity.
//
// While a change of the level has not taken effect, the load is still that of
// the previous level. The level therefore moves no further from the levels of
// the last maxLevelDelay than the loads of that time require.
type Level struct {
	value   float64
	top     float64
	load    float64
	updated time.Time
	recent  []levelSample // samples of the last maxLevelDelay, oldest first
	// drainTime is the time within which waiting calls are to be worked off.
	drainTime time.Duration
}

type levelSample struct {
	at          time.Time
	value, load float64
}

// NewLevel returns a level that admits all ranks below top.
func NewLevel(now time.Time, top float64) *Level {
	return &Level{value: top, top: top, updated: now, drainTime: maxDrainTime}
}

// SetDrainTime sets the time within which waiting calls are to be worked off. It is
// bounded by minDrainTime and maxDrainTime.
func (l *Level) SetDrainTime(d time.Duration) { l.drainTime = min(max(d, minDrainTime), maxDrainTime) }

// SetTop sets the number of ranks in use.
func (l *Level) SetTop(top float64) {
	if l.value >= l.top || l.value > top {
		l.value = top
	}
	l.top = top
}

// Update adjusts the level to the demand since the last update.
func (l *Level) Update(now time.Time, d Demand) {
	elapsed := now.Sub(l.updated).Seconds()
	l.updated = now
	if elapsed <= 0 {
		return
	}
	load := min(d.Offered/elapsed, maxLoad)
	if d.Underused {
		load = min(load, targetLoad)
	}
	l.load = load
	lowest, highest := l.limits(now, load)
	load = min(load+d.Backlog.Seconds()/l.drainTime.Seconds(), maxLoad)
	l.value += levelGain * (targetLoad - load) * min(elapsed, 1)
	l.value = min(max(l.value, lowest, 0), highest, l.top)
}

// Anticipate lowers the level at once for load that is about to grow by a factor, as
// far as the latest load calls for.
func (l *Level) Anticipate(now time.Time, growth float64) {
	surplus := min(l.load*growth, maxLoad) - max(targetLoad, l.load)
	if surplus <= 0 {
		return
	}
	l.value = max(l.value-surplus/loadPerRank, 0)
	// The levels before the change no longer bound the next ones from above.
	l.recent = []levelSample{{now, l.value, min(l.load*growth, maxLoad)}}
}

// limits returns the range in which the level may move now and records a
// sample.
func (l *Level) limits(now time.Time, load float64) (lowest, highest float64) {
	for len(l.recent) > 0 && now.Sub(l.recent[0].at) > maxLevelDelay {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, levelSample{now, l.value, load})
	lows, highs := l.recent[0], l.recent[0]
	for _, sample := range l.recent {
		lows.value, highs.value = min(lows.value, sample.value), max(highs.value, sample.value)
		lows.load, highs.load = min(lows.load, sample.load), max(highs.load, sample.load)
	}
	lowest = highs.value - max(highs.load-targetLoad, 0)/loadPerRank
	highest = lows.value + max(targetLoad-lows.load, 0)/loadPerRank
	return lowest, highest
}

// Load returns the load of the last update, without the backlog.
func (l *Level) Load() float64 { return l.load }

// Value returns the level.
func (l *Level) Value() float64 { return l.value }

// AdmitsAll reports whether all ranks are admitted.
func (l *Level) AdmitsAll() bool { return l.value >= l.top }
