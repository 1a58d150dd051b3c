package graph

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// updateWith updates a level with a constant load for a time.
func updateWith(l *Level, now time.Time, load float64, length time.Duration) time.Time {
	for end := now.Add(length); now.Before(end); {
		now = now.Add(simTick)
		l.Update(now, Demand{Offered: load * simTick.Seconds()})
	}
	return now
}

// One of three failure domains is evacuated while all instances run at 0.8 of their
// capacity. Guards against admitting all of the load until the instances that are left
// are full, and against a level that stays low when the load doesn't come.
func TestLevelAnticipatesGrowth(t *testing.T) {
	const load, growth, top = 0.8, 1.5, 3.0
	l := NewLevel(start, top)
	now := updateWith(l, start, load, 2*time.Second)
	l.Anticipate(now, growth)
	if want := top - (load*growth-targetLoad)/loadPerRank; math.Abs(l.Value()-want) > 0.01 {
		t.Errorf("level %.2f, want %.2f", l.Value(), want)
	}
	updateWith(l, now, load, 8*time.Second)
	if !l.AdmitsAll() {
		t.Errorf("level %.2f although the load hasn't grown", l.Value())
	}
	idle := NewLevel(start, top)
	now = updateWith(idle, start, 0.3, 2*time.Second)
	if idle.Anticipate(now, growth); !idle.AdmitsAll() {
		t.Errorf("level %.2f although there is room for the load", idle.Value())
	}
}

// Guards against a growth that leaves out members, counts an evacuation twice, or lowers
// the level of an instance that is evacuated itself.
func TestAnticipatedGrowth(t *testing.T) {
	members := map[state.MemberID]state.Member{}
	for id, domain := range map[state.MemberID]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"} {
		members[id] = state.Member{ID: id, Service: "s", Domain: domain, Slots: 10}
	}
	snapshot := func(domains ...string) *state.Snapshot {
		s := &state.Snapshot{Members: members, Evacuations: map[string]state.Evacuation{}}
		for _, domain := range domains {
			s.Evacuations[domain] = state.Evacuation{Offset: 1}
		}
		return s.Index()
	}
	for name, c := range map[string]struct {
		before, after *state.Snapshot
		growth        float64 // 1: none
	}{
		"another domain":                  {snapshot(), snapshot("b"), 40.0 / 30},
		"two other domains at once":       {snapshot(), snapshot("b", "c"), 2},
		"a second domain":                 {snapshot("b"), snapshot("b", "c"), 1.5},
		"the same domain as before":       {snapshot("b"), snapshot("b"), 1},
		"the end of an evacuation":        {snapshot("b"), snapshot(), 1},
		"the instance's own domain":       {snapshot(), snapshot("a"), 1},
		"all domains":                     {snapshot(), snapshot("a", "b", "c"), 1},
		"a domain without the service":    {snapshot(), snapshot("d"), 1},
		"its own end, another goes on":    {snapshot("a", "b"), snapshot("b"), 1},
		"its own end, another one begins": {snapshot("a"), snapshot("b"), 40.0 / 30},
	} {
		p := &Plugin{level: NewLevel(start, 3), host: &kernel.Host{
			Self: members["a1"], Now: func() time.Time { return start }, Log: slog.New(slog.DiscardHandler),
		}}
		p.anticipateEvacuation(c.before)
		p.level = NewLevel(start, 3)
		p.level.load = targetLoad
		p.anticipateEvacuation(c.after)
		if want := 3 - targetLoad*(c.growth-1)/loadPerRank; math.Abs(p.level.Value()-want) > 0.01 {
			t.Errorf("%s: level %.3f, want %.3f", name, p.level.Value(), want)
		}
	}
}
