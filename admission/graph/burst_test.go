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
	t.Parallel()
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

// treeKind is a kind of request whose trees make leaf calls, one after the other.
type treeKind struct {
	rank                         int
	leafCalls                    int
	leafRun                      time.Duration
	timeout                      time.Duration
	arrived, admitted, completed int
}

// work returns the slot-seconds that a tree needs at the leaf.
func (k *treeKind) work() float64 { return float64(k.leafCalls) * k.leafRun.Seconds() }

// arriveKind starts trees of a kind that call the leaf directly.
func (l *treeSim) arriveKind(k *treeKind, perSecond float64) {
	l.after(time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { l.arriveKind(k, perSecond) })
	counted := l.now.After(l.warmup) && l.now.Before(l.countUntil)
	if counted {
		k.arrived++
	}
	if float64(k.rank)+l.rng.Float64() >= l.leaf.effectiveLevel {
		return
	}
	if counted {
		k.admitted++
	}
	deadline := l.now.Add(k.timeout)
	call := func(next func()) {
		l.call(l.leaf, deadline, func(end func()) {
			l.after(time.Duration((0.5+l.rng.Float64())*float64(k.leafRun)), end)
		}, next)
	}
	l.after(rootWork, func() {
		l.sequentially(k.leafCalls, call, func() {
			if counted && !l.now.After(deadline) {
				k.completed++
			}
		})
	})
}

// Three kinds of request share a leaf at 0.9 of its capacity. The demand for the least
// urgent one, whose trees make eight calls each, triples within a moment for five seconds.
// Guards against a level that falls on while waiting calls are worked off: it refused more
// urgent kinds and left half of the slots idle for seconds.
func TestBurstOfLeastUrgentKind(t *testing.T) {
	t.Parallel()
	const (
		usual, burst     = 2 * time.Second, 5 * time.Second
		instances, slots = 5, 39
		capacity         = instances * slots // slot-seconds per second
		growth           = 3.0
	)
	for seed := range uint64(3) {
		l := &treeSim{
			rng: rand.New(rand.NewPCG(seed, 1)), now: start, warmup: start.Add(usual), countUntil: start.Add(usual + burst),
			leaf: newService(instances, slots), middle: newService(1, 1),
		}
		reads := &treeKind{rank: 1, leafCalls: 1, leafRun: 480 * time.Millisecond, timeout: 2500 * time.Millisecond}
		lookups := &treeKind{rank: 1, leafCalls: 4, leafRun: 30 * time.Millisecond, timeout: 2500 * time.Millisecond}
		bookings := &treeKind{rank: 2, leafCalls: 8, leafRun: 30 * time.Millisecond, timeout: time.Second}
		for _, level := range l.leaf.levels {
			level.SetDrainTime(time.Duration(waitShare * float64(bookings.timeout) / float64(bookings.leafCalls)))
		}
		l.tick()
		l.arriveKind(reads, 0.28*capacity/reads.work())
		l.arriveKind(lookups, 0.27*capacity/lookups.work())
		perSecond := 0.35 * capacity / bookings.work()
		l.arriveKind(bookings, perSecond)
		l.after(usual, func() { l.arriveKind(bookings, (growth-1)*perSecond) })
		l.run(usual + burst + reads.timeout)
		for _, k := range []*treeKind{reads, lookups} {
			if share := float64(k.completed) / float64(k.arrived); share < 0.95 {
				t.Errorf("seed %d: %.2f of the more urgent trees of %d calls completed", seed, share, k.leafCalls)
			}
		}
		room := (1 - 0.28 - 0.27) * capacity * burst.Seconds() / bookings.work()
		used, failed := float64(bookings.completed)/room, 1-float64(bookings.completed)/float64(bookings.admitted)
		t.Logf("seed %d: bookings completed %.2f of the room that is left, %.2f of the admitted ones failed", seed, used, failed)
		if used < 0.8 || failed > 0.15 {
			t.Errorf("seed %d: bookings completed %.2f of the room that is left, %.2f of the admitted ones failed", seed, used, failed)
		}
	}
}
