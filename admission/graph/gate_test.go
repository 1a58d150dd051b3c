package graph

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

var start = time.Unix(1_700_000_000, 0)

func newTestTicket(route string, nested bool, objective time.Duration, now time.Time) *Ticket {
	t := &Ticket{Route: route, NestedCall: nested, Objective: objective, Deadline: now.Add(5 * time.Second)}
	if !nested {
		t.Band = 1
	}
	return t
}

// At an instance without free slots, nested calls that arrive after new
// requests start first, and an urgent nested call starts before one that can
// wait.
func TestNestedAndUrgentCallsStartFirst(t *testing.T) {
	g := NewGate(gateCreated)
	g.SetSlots(1)
	running := newTestTicket("new", false, time.Second, start)
	g.Offer(start, running)
	waiting := map[string]*Ticket{
		"new":    newTestTicket("new", false, 300*time.Millisecond, start),
		"nested": newTestTicket("call", true, time.Second, start),
		"urgent": newTestTicket("call", true, 100*time.Millisecond, start),
	}
	for _, name := range []string{"new", "nested", "urgent"} {
		if !g.Offer(start, waiting[name]) {
			t.Fatalf("%s was refused", name)
		}
	}
	for _, want := range []string{"urgent", "nested", "new"} {
		g.Done(start, running, Completion{Succeeded: true})
		running = waiting[want]
		if running.state != stateRunning {
			t.Fatalf("%s does not run next", want)
		}
	}
}

// Calls in flight never exceed the slots, and no call starts after WaitUntil,
// whatever the order of events.
func TestGateBounds(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := NewGate(gateCreated)
		slots := 1 + rng.IntN(20)
		g.SetSlots(slots)
		now := start
		var live []*Ticket
		for range 5000 {
			now = now.Add(time.Duration(rng.IntN(4)) * time.Millisecond)
			switch rng.IntN(3) {
			case 0, 1:
				c := newTestTicket("r", rng.IntN(2) == 0, time.Duration(20+rng.IntN(400))*time.Millisecond, now)
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
				if !g.Cancel(c) && c.state == stateRunning {
					g.Done(now, c, Completion{Succeeded: rng.IntN(4) > 0})
				}
			}
			if g.InFlight() > slots {
				t.Fatalf("seed %d: %d calls in flight at %d slots", seed, g.InFlight(), slots)
			}
			for _, c := range live {
				if c.state == stateRunning && c.startedAt.After(c.WaitUntil) && c.ready != nil {
					t.Fatalf("seed %d: a call started %s after WaitUntil", seed, c.startedAt.Sub(c.WaitUntil))
				}
			}
		}
	}
}

func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	g := NewGate(gateCreated)
	c := newTestTicket("slow", false, time.Second, start)
	g.Offer(start, c)
	g.Done(start.Add(400*time.Millisecond), c, Completion{Succeeded: true})
	late := newTestTicket("slow", false, time.Second, start)
	late.Deadline = start.Add(100 * time.Millisecond)
	if g.Offer(start, late) {
		t.Error("call with a run time of 400 ms accepted 100 ms before its deadline")
	}
}

// A service is offered 2.4 times its capacity, and the level takes effect 400
// ms later, as with a tree of calls four deep. From the third second on most of
// the capacity must be used and most requests of the two most important ranks
// admitted.
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

func TestReachableServicesFollowFanout(t *testing.T) {
	fanout := state.Fanout{
		"voyage": {"farm": 2000},
		"farm":   {"berth": 1000},
		"berth":  {"vessel": 5000},
		"loop":   {"loop": 1000},
	}
	services := map[string]string{"farm": "booker", "berth": "planner", "vessel": "desk", "loop": "self"}
	got := reachableServices(fanout, services)
	if len(got["voyage"]) != 3 || len(got["slots"]) != 0 || len(got["loop"]) != 1 {
		t.Errorf("reachable services %v", got)
	}
}

// Instances that report no level, or only an outdated one, count as admitting
// all ranks.
func TestServiceLevelAveragesFreshReports(t *testing.T) {
	tab := newLevelTable()
	members := []state.Member{{ID: "a"}, {ID: "b"}}
	tab.record(notice{From: "a", Service: "desk", Level: 1000}, start)
	if got := tab.serviceLevel("desk", members, 3, start).level; got != 2 {
		t.Errorf("one of two instances at 1: level %g, want 2", got)
	}
	tab.record(notice{From: "b", Service: "desk", Level: -1}, start)
	if got := tab.serviceLevel("desk", members, 3, start).level; got != 2 {
		t.Errorf("other instance admits all: level %g, want 2", got)
	}
	if got := tab.serviceLevel("desk", members, 3, start.Add(2*levelTTL)).level; got != 3 {
		t.Errorf("outdated levels: %g, want the top", got)
	}
	if got := tab.serviceLevel("none", nil, config.PriorityCount, start).level; got != config.PriorityCount {
		t.Errorf("unknown service: level %g, want the top", got)
	}
}
