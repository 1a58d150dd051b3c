package graph

import "time"

// Parameters of the controller.
const (
	// targetLoad is the work offered to the slots, in units of what they can do,
	// at which the level rests.
	targetLoad = 0.95
	// levelGain is the change of the level, in ranks per second, for each unit
	// of load above or below the target. It is about the inverse of the time
	// that a change of the level takes to reach the services below.
	levelGain = 1.2
	// levelSlope is about the load that admitting one rank more or less makes,
	// and levelWay the longest time that a change takes to show, with callers
	// that were refused and come back.
	levelSlope = 1.3
	levelWay   = 1500 * time.Millisecond
	// backlogDrain is the time within which waiting calls are to be worked off.
	backlogDrain = 300 * time.Millisecond
	// loadMax bounds the load that is taken into account.
	loadMax = 3.0
)

// Level is the admission level of one instance: new trees with a rank below
// it are wanted. It follows the offered load and the backlog: calls that wait
// hold up those that their trees would make next, so that an instance with many
// trees in front of it is offered little more than it carries.
//
// While a step is on its way the load still is that of the level before it. So
// the level goes no further from those of the last levelWay than the loads of
// that time call for.
type Level struct {
	value   float64
	top     float64
	load    float64
	updated time.Time
	recent  []levelMoment // of the last levelWay, oldest first
}

type levelMoment struct {
	at          time.Time
	value, load float64
}

// NewLevel returns a level that admits all ranks below top.
func NewLevel(now time.Time, top float64) *Level { return &Level{value: top, top: top, updated: now} }

// SetTop changes the number of ranks in use.
func (l *Level) SetTop(top float64) {
	if l.value >= l.top || l.value > top {
		l.value = top
	}
	l.top = top
}

// Update moves the level by the demand since the last update.
func (l *Level) Update(now time.Time, d Demand) {
	elapsed := now.Sub(l.updated).Seconds()
	l.updated = now
	if elapsed <= 0 {
		return
	}
	load := min(d.Offered/elapsed, loadMax)
	if d.Spare {
		load = min(load, targetLoad)
	}
	l.load = load
	lowest, highest := l.reach(now, load)
	load = min(load+d.Backlog.Seconds()/backlogDrain.Seconds(), loadMax)
	l.value += levelGain * (targetLoad - load) * min(elapsed, 1)
	l.value = min(max(l.value, lowest, 0), highest, l.top)
}

// reach returns how far the level may go, and keeps the moment in mind.
func (l *Level) reach(now time.Time, load float64) (lowest, highest float64) {
	for len(l.recent) > 0 && now.Sub(l.recent[0].at) > levelWay {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, levelMoment{now, l.value, load})
	least, most := l.recent[0], l.recent[0]
	for _, m := range l.recent {
		least.value, most.value = min(least.value, m.value), max(most.value, m.value)
		least.load, most.load = min(least.load, m.load), max(most.load, m.load)
	}
	lowest = most.value - max(most.load-targetLoad, 0)/levelSlope
	highest = least.value + max(targetLoad-least.load, 0)/levelSlope
	return lowest, highest
}

// Load returns the load of the last update, without the backlog.
func (l *Level) Load() float64 { return l.load }

// Value returns the level, Open whether it admits all.
func (l *Level) Value() float64 { return l.value }

// Open reports whether all ranks are admitted.
func (l *Level) Open() bool { return l.value >= l.top }
