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
	// backlogGain is the number of ranks by which waiting calls lower the level when
	// they need drainTime beyond toleratedBacklog, a fraction of drainTime that waits
	// even at the target load. maxBacklogRanks bounds that.
	backlogGain      = 0.6
	toleratedBacklog = 0.1
	maxBacklogRanks  = 1.0
	// maxLoad caps the load used by the controller.
	maxLoad = 3.0
)

// Level is the admission level of one instance: it admits new trees with a rank
// below the level. The level is the integral of the difference between the offered load
// and the target, less a part in proportion to the backlog. The backlog counts because
// waiting calls delay the calls that their trees would make next, so an instance at which
// many trees wait is offered little more than its capacity. It isn't integrated: while
// waiting calls are worked off, the level would fall on and leave the slots idle
// afterwards.
//
// While a change of the level has not taken effect, the load is still that of
// the previous level. The integral therefore moves no further from its values of
// the last maxLevelDelay than the loads of that time require.
type Level struct {
	value   float64
	base    float64 // value without the part of the backlog
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
	return &Level{value: top, base: top, top: top, updated: now, drainTime: maxDrainTime}
}

// SetDrainTime sets the time within which waiting calls are to be worked off. It is
// bounded by minDrainTime and maxDrainTime.
func (l *Level) SetDrainTime(d time.Duration) { l.drainTime = min(max(d, minDrainTime), maxDrainTime) }

// SetTop sets the number of ranks in use.
func (l *Level) SetTop(top float64) {
	if l.value >= l.top || l.value > top {
		l.value = top
	}
	if l.base >= l.top || l.base > top {
		l.base = top
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
	l.base += levelGain * (targetLoad - load) * min(elapsed, 1)
	l.base = min(max(l.base, lowest, 0), highest, l.top)
	l.value = max(l.base-l.backlogRanks(d.Backlog), 0)
}

// backlogRanks returns the number of ranks by which waiting calls lower the level.
func (l *Level) backlogRanks(backlog time.Duration) float64 {
	excess := backlog.Seconds()/l.drainTime.Seconds() - toleratedBacklog
	return min(max(backlogGain*excess, 0), maxBacklogRanks)
}

// Anticipate lowers the level at once for load that is about to grow by a factor, as
// far as the latest load calls for.
func (l *Level) Anticipate(now time.Time, growth float64) {
	surplus := min(l.load*growth, maxLoad) - max(targetLoad, l.load)
	if surplus <= 0 {
		return
	}
	l.base = max(l.base-surplus/loadPerRank, 0)
	l.value = min(l.value, l.base)
	// The levels before the change no longer bound the next ones from above.
	l.recent = []levelSample{{now, l.base, min(l.load*growth, maxLoad)}}
}

// limits returns the range in which the level may move now and records a
// sample.
func (l *Level) limits(now time.Time, load float64) (lowest, highest float64) {
	for len(l.recent) > 0 && now.Sub(l.recent[0].at) > maxLevelDelay {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, levelSample{now, l.base, load})
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
