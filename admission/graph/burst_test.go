package graph

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// The demand for trees rises within a moment from 0.8 of the leaf's capacity to 1.6,
// for six seconds. Each tree makes eight sequential calls to the leaf, and its timeout
// leaves 60 ms for the wait of each call. Guards against trees that all run out of time
// together because each of their calls waits a little.
func TestBurstOfTreesWithShortTimeouts(t *testing.T) {
	for seed := range uint64(3) {
		const usual, burst = 4 * time.Second, 6 * time.Second
		capacity := leafInstances * leafSlots / (middleCalls * leafCalls * leafRun.Seconds())
		l := &treeSim{
			rng: rand.New(rand.NewPCG(seed, 1)), now: start, warmup: start.Add(usual), countUntil: start.Add(usual + burst),
			leafRunTime: leafRun, leafCallsPerRun: leafCalls,
			leaf: newService(leafInstances, leafSlots), middle: newService(middleInstances, middleSlots),
		}
		for _, level := range l.leaf.levels {
			level.SetDrainTime((rootTimeout - rootWork) / (2 * middleCalls * leafCalls))
		}
		l.tick()
		l.arrive(0.8 * capacity)
		l.after(usual, func() { l.arrive(0.8 * capacity) })
		l.run(usual + burst + rootTimeout)
		used := float64(l.completed) / (capacity * burst.Seconds())
		failed := 1 - float64(l.completed)/float64(l.admitted)
		t.Logf("seed %d: completed trees are %.2f of the leaf's capacity, %.2f of the admitted trees failed", seed, used, failed)
		if used < 0.8 || failed > 0.15 {
			t.Errorf("seed %d: completed trees are %.2f of the leaf's capacity, %.2f of the admitted trees failed", seed, used, failed)
		}
	}
}

// Guards against waits that a tree of many calls can't afford although each of them
// meets its own objective.
func TestAffordableWait(t *testing.T) {
	serviceOf := map[string]string{"book": "booking", "read": "roster", "index": "archive", "sync": "presence", "status": "presence"}
	fanout := state.Fanout{"book": {"index": 2000}, "index": {"sync": 4000}, "read": {"index": 1000}, "loop": {"loop": 1000}}
	route := func(name string, objective, deadline time.Duration) *config.HostRoute {
		r := &config.HostRoute{TargetLatency: objective}
		r.Name, r.Deadline = name, deadline
		return r
	}
	open := route("index", time.Millisecond, 0)
	open.Open = true
	for name, c := range map[string]struct {
		service string
		routes  []*config.HostRoute
		want    time.Duration
	}{
		"eight calls in the route's timeout":   {"presence", []*config.HostRoute{route("book", 3*time.Second, time.Second), route("read", 1500*time.Millisecond, 0)}, 62500 * time.Microsecond},
		"four calls in the objective":          {"presence", []*config.HostRoute{route("read", 1500*time.Millisecond, 0)}, 187500 * time.Microsecond},
		"long objectives":                      {"presence", []*config.HostRoute{route("read", time.Minute, 0)}, maxDrainTime},
		"no tree calls the service":            {"booking", []*config.HostRoute{route("book", time.Second, 0), route("loop", time.Second, 0)}, maxDrainTime},
		"only requests of callers have a time": {"presence", []*config.HostRoute{open}, maxDrainTime},
	} {
		if got := affordableWait(c.service, c.routes, fanout, serviceOf); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
