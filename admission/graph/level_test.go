package graph

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Pattern: for 18 s a leaf is asked for 1.9 times what it carries
// (raiosul-alertas-grown scale-2). The rank that makes the calls is shed in
// proportion, and the share that is shed does not swing, however long the way
// from the entry to the leaf is.
func TestLevelDoesNotSwing(t *testing.T) {
	const (
		tick, burst, settled = 50 * time.Millisecond, 18 * time.Second, 4 * time.Second
		base                 = 0.6 // load of the ranks that stay
		top                  = 3.0
	)
	for _, way := range []time.Duration{200, 500, 800, 1200} {
		for _, shed := range []float64{0.7, 1.0, 1.3} { // load of the lowest rank
			now := time.Unix(1_700_000_000, 0)
			level := NewLevel(now, top)
			var levels []float64
			worst := 0.0
			for at := time.Duration(0); at < burst; at += tick {
				now = now.Add(tick)
				then := top
				if n := len(levels) - int(way*time.Millisecond/tick); n >= 0 {
					then = levels[n]
				}
				load := base*min(then/2, 1) + shed*min(max(then-2, 0), 1)
				level.Update(now, Demand{Offered: load * tick.Seconds()})
				levels = append(levels, level.Value())
				if at > settled {
					worst = max(worst, math.Abs(load-targetLoad))
				}
			}
			if worst > 0.15 {
				t.Errorf("way %d ms, shed %g: load is up to %.2f off after %s", way, shed, worst, settled)
			}
		}
	}
}

func TestLevelOpensWhenTheLoadHasGone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	level := NewLevel(now, 3)
	step := func(length time.Duration, load float64) {
		for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
			now = now.Add(50 * time.Millisecond)
			level.Update(now, Demand{Offered: load * 0.05})
		}
	}
	step(5*time.Second, 2)
	if level.Open() {
		t.Fatal("open at twice the load")
	}
	step(10*time.Second, 0.3)
	if !level.Open() {
		t.Errorf("level %.2f long after the load has gone", level.Value())
	}
}

// Pattern: all nodes of a large deployment are under pressure and tell each
// other (aareflot-sched-grown scale-1, 78 nodes). Up to 128 nodes what one has
// to read grows no further, and a notice comes within levelTerm of the last.
func TestNoticesPauseLongerAmongManyNodes(t *testing.T) {
	for nodes, want := range map[int]int{1: 2, 14: 2, 47: 2, 78: 4, 128: 8, 1100: 8} {
		if got := noticePause(nodes); got != want {
			t.Errorf("%d nodes: %d ticks, want %d", nodes, got, want)
		}
	}
	if got := noticePause(1100) * int(kernel.TickInterval); got >= int(levelTerm) {
		t.Errorf("two notices are %s apart, a level holds for %s", time.Duration(got), levelTerm)
	}
}

// Pattern: a fresh process beside busy ones has seen one run, which took long
// since the machine was busy; the next callers come together and find most slots
// free (crampon-bv, TestPipelinedRequests beside three busy loops).
func TestFewCallsOfAFreshInstanceAreNoOverload(t *testing.T) {
	const tick = 100 * time.Millisecond
	for _, first := range []time.Duration{300 * time.Millisecond, time.Second} {
		now := time.Unix(1_700_000_000, 0)
		gate, level := NewGate(now), NewLevel(now, 1)
		gate.SetSlots(8)
		offer := func() *Ticket {
			call := &Ticket{Route: "maps", Objective: time.Second, Deadline: now.Add(5 * time.Second)}
			gate.Offer(now, call)
			return call
		}
		one := offer()
		now = now.Add(first)
		gate.Done(now, one, End{Ran: true})
		level.Update(now, gate.Demand())
		for range 3 {
			offer()
		}
		now = now.Add(tick)
		level.Update(now, gate.Demand())
		if !level.Open() {
			t.Errorf("first run %s: level %.3f with 3 of 8 slots in use", first, level.Value())
		}
		for range 8 {
			offer()
		}
		now = now.Add(tick)
		if level.Update(now, gate.Demand()); level.Open() {
			t.Errorf("first run %s: level open with all slots in use and calls that wait", first)
		}
	}
}
