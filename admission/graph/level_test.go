package graph

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// A leaf is offered 1.9 times its capacity for 18 s. The lowest rank must be
// shed in proportion, and the fraction shed must not oscillate, however long a
// change of the level takes to have an effect.
func TestLevelDoesNotOscillate(t *testing.T) {
	const (
		tick, burst, settled = 50 * time.Millisecond, 18 * time.Second, 4 * time.Second
		retainedLoad         = 0.6 // load of the ranks that are not shed
		top                  = 3.0
	)
	for _, delayMS := range []time.Duration{200, 500, 800, 1200} {
		for _, sheddableLoad := range []float64{0.7, 1.0, 1.3} { // load of the lowest rank
			now := time.Unix(1_700_000_000, 0)
			level := NewLevel(now, top)
			var levels []float64
			worst := 0.0
			for elapsed := time.Duration(0); elapsed < burst; elapsed += tick {
				now = now.Add(tick)
				effective := top
				if n := len(levels) - int(delayMS*time.Millisecond/tick); n >= 0 {
					effective = levels[n]
				}
				load := retainedLoad*min(effective/2, 1) + sheddableLoad*min(max(effective-2, 0), 1)
				level.Update(now, Demand{Offered: load * tick.Seconds()})
				levels = append(levels, level.Value())
				if elapsed > settled {
					worst = max(worst, math.Abs(load-targetLoad))
				}
			}
			if worst > 0.15 {
				t.Errorf("delay %d ms, sheddable load %g: load is up to %.2f off the target after %s", delayMS, sheddableLoad, worst, settled)
			}
		}
	}
}

func TestLevelReturnsToTopAfterOverload(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	level := NewLevel(now, 3)
	step := func(length time.Duration, load float64) {
		for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
			now = now.Add(50 * time.Millisecond)
			level.Update(now, Demand{Offered: load * 0.05})
		}
	}
	step(5*time.Second, 2)
	if level.AdmitsAll() {
		t.Fatal("level admits all at twice the capacity")
	}
	step(10*time.Second, 0.3)
	if !level.AdmitsAll() {
		t.Errorf("level %.2f ten seconds after the overload", level.Value())
	}
}

// All nodes of a large deployment are overloaded and send notices to each
// other. Up to 128 nodes the number of notices that a node receives must not
// grow with the number of nodes. In any deployment notices must follow each other
// within levelTTL.
func TestNoticeIntervalGrowsWithNodeCount(t *testing.T) {
	for nodes, want := range map[int]int{1: 2, 14: 2, 47: 2, 78: 4, 128: 8, 1100: 8} {
		if got := noticeInterval(nodes); got != want {
			t.Errorf("%d nodes: %d ticks, want %d", nodes, got, want)
		}
	}
	if got := noticeInterval(1100) * int(kernel.TickInterval); got >= int(levelTTL) {
		t.Errorf("two notices are %s apart, a level expires after %s", time.Duration(got), levelTTL)
	}
}

// The only run of a new process took long because the machine was busy. The
// next few calls arrive together and find most slots free; they must not lower
// the level.
func TestFewCallsAtNewInstanceAreNotOverload(t *testing.T) {
	const tick = 100 * time.Millisecond
	for _, firstRun := range []time.Duration{300 * time.Millisecond, time.Second} {
		now := time.Unix(1_700_000_000, 0)
		gate, level := NewGate(now), NewLevel(now, 1)
		gate.SetSlots(8)
		offer := func() *Ticket {
			call := &Ticket{Route: "maps", Objective: time.Second, Deadline: now.Add(5 * time.Second)}
			gate.Offer(now, call)
			return call
		}
		firstCall := offer()
		now = now.Add(firstRun)
		gate.Done(now, firstCall, Completion{Succeeded: true})
		level.Update(now, gate.Demand())
		for range 3 {
			offer()
		}
		now = now.Add(tick)
		level.Update(now, gate.Demand())
		if !level.AdmitsAll() {
			t.Errorf("first run %s: level %.3f with 3 of 8 slots in use", firstRun, level.Value())
		}
		for range 8 {
			offer()
		}
		now = now.Add(tick)
		if level.Update(now, gate.Demand()); level.AdmitsAll() {
			t.Errorf("first run %s: level admits all with all slots in use and calls waiting", firstRun)
		}
	}
}
