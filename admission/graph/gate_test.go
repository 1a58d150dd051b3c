package graph

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

var start = time.Unix(1_700_000_000, 0)

func ticket(route string, begun bool, objective time.Duration, now time.Time) *Ticket {
	t := &Ticket{Route: route, Begun: begun, Objective: objective, Deadline: now.Add(5 * time.Second)}
	if !begun {
		t.Band = 1
	}
	return t
}

// Pattern: a small instance is full; begun work arrives behind new requests
// and goes first, and an urgent call goes before one that can wait.
func TestBegunAndUrgentWorkGoesFirst(t *testing.T) {
	g := NewGate(settled)
	g.SetSlots(1)
	running := ticket("new", false, time.Second, start)
	g.Offer(start, running)
	waiting := map[string]*Ticket{
		"new":    ticket("new", false, 300*time.Millisecond, start),
		"begun":  ticket("call", true, time.Second, start),
		"urgent": ticket("call", true, 100*time.Millisecond, start),
	}
	for _, name := range []string{"new", "begun", "urgent"} {
		if !g.Offer(start, waiting[name]) {
			t.Fatalf("%s was refused", name)
		}
	}
	for _, want := range []string{"urgent", "begun", "new"} {
		g.Done(start, running, End{Ran: true})
		running = waiting[want]
		if running.state != stateRunning {
			t.Fatalf("%s does not run next", want)
		}
	}
}

// Calls in flight never exceed the slots, and no call starts after the time
// until which it may wait, whatever the order of events.
func TestGateBounds(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := NewGate(settled)
		slots := 1 + rng.IntN(20)
		g.SetSlots(slots)
		now := start
		var live []*Ticket
		for range 5000 {
			now = now.Add(time.Duration(rng.IntN(4)) * time.Millisecond)
			switch rng.IntN(3) {
			case 0, 1:
				c := ticket("r", rng.IntN(2) == 0, time.Duration(20+rng.IntN(400))*time.Millisecond, now)
				if g.Offer(now, c) {
					live = append(live, c)
				}
			default:
				if len(live) == 0 {
					continue
				}
				i := rng.IntN(len(live))
				c := live[i]
				live = append(live[:i], live[i+1:]...)
				if !g.Leave(c) && c.state == stateRunning {
					g.Done(now, c, End{Ran: rng.IntN(4) > 0})
				}
			}
			if g.InFlight() > slots {
				t.Fatalf("seed %d: %d calls in flight at %d slots", seed, g.InFlight(), slots)
			}
			for _, c := range live {
				if c.state == stateRunning && c.began.After(c.GiveUp) && c.ready != nil {
					t.Fatalf("seed %d: a call started %s after its time", seed, c.began.Sub(c.GiveUp))
				}
			}
		}
	}
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	g := NewGate(settled)
	c := ticket("slow", false, time.Second, start)
	g.Offer(start, c)
	g.Done(start.Add(400*time.Millisecond), c, End{Ran: true})
	late := ticket("slow", false, time.Second, start)
	late.Deadline = start.Add(100 * time.Millisecond)
	if g.Offer(start, late) {
		t.Error("accepted though it runs 400 ms and has 100 ms")
	}
}

// Pattern: a service under 2.4 times its capacity, where the level takes
// effect 400 ms later (a tree of calls four deep). Most of the capacity is
// used and most requests of the two important ranks are admitted, from the
// third second on.
func TestLevelSettlesDespiteDelay(t *testing.T) {
	const (
		tick  = 50 * time.Millisecond
		delay = 8 // ticks
	)
	// Work offered in each rank, in units of the capacity.
	demand := []float64{0.33, 0.08, 1.99}
	l := NewLevel(start, float64(len(demand)))
	var levels []float64
	now := start
	lost, used, important, samples := 0.0, 0.0, 0.0, 0.0
	for i := range 400 {
		now = now.Add(tick)
		level := l.Value()
		levels = append(levels, level)
		if i >= delay {
			level = levels[i-delay]
		}
		offered, kept := 0.0, 0.0
		for rank, d := range demand {
			part := min(max(level-float64(rank), 0), 1)
			offered += d * part
			if rank < 2 {
				kept += part / 2
			}
		}
		l.Update(now, Demand{Offered: offered * tick.Seconds()})
		if i < 60 {
			continue
		}
		samples++
		used += min(offered, 1)
		lost += max(offered-1, 0)
		important += kept
	}
	if used/samples < 0.85 || lost/samples > 0.05 || important/samples < 0.98 {
		t.Errorf("used %.2f, lost %.2f, important %.2f", used/samples, lost/samples, important/samples)
	}
}

func TestTreesFollowNeeds(t *testing.T) {
	needs := state.Fanout{
		"voyage": {"farm": 2000},
		"farm":   {"berth": 1000},
		"berth":  {"vessel": 5000},
		"loop":   {"loop": 1000},
	}
	services := map[string]string{"farm": "booker", "berth": "planner", "vessel": "desk", "loop": "self"}
	got := trees(needs, services)
	if len(got["voyage"]) != 3 || len(got["slots"]) != 0 || len(got["loop"]) != 1 {
		t.Errorf("trees %v", got)
	}
}

// Levels of instances that tell nothing count as open, old ones as not told.
func TestLevelOfAService(t *testing.T) {
	tab := newTable()
	tab.take(notice{From: "a", Service: "desk", Level: 1000}, start)
	if got := tab.standing("desk", 2, 3, start).level; got != 2 {
		t.Errorf("one of two instances at 1: level %g, want 2", got)
	}
	tab.take(notice{From: "b", Service: "desk", Level: -1}, start)
	if got := tab.standing("desk", 2, 3, start).level; got != 2 {
		t.Errorf("the other one open: level %g, want 2", got)
	}
	if got := tab.standing("desk", 2, 3, start.Add(2*levelTerm)).level; got != 3 {
		t.Errorf("old levels: %g, want the top", got)
	}
	if got := tab.standing("none", 0, config.PriorityCount, start).level; got != config.PriorityCount {
		t.Errorf("unknown service: %g", got)
	}
}
