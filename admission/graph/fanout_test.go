package graph

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// event is a scheduled action of a simulation.
type event struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simRun describes the runs of one route at the simulated instance.
type simRun struct {
	route     string
	perSecond float64
	work      time.Duration
	call      string
	calls     int
	perCall   time.Duration // between two sequential calls
}

// simulateRuns feeds an estimator with Poisson arrivals of runs.
func simulateRuns(t *testing.T, seed uint64, duration time.Duration, runs []simRun) *FanoutEstimator {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_700_000_000, 0)
	n := NewFanoutEstimator(start)
	var q eventQueue
	exp := func(mean float64) time.Duration { return time.Duration(rng.ExpFloat64() * mean * float64(time.Second)) }
	for _, k := range runs {
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			heap.Push(&q, event{now.Add(exp(1 / k.perSecond)), arrive})
			n.RunStarted(k.route)
			at := now.Add(exp(k.work.Seconds()))
			for range k.calls {
				heap.Push(&q, event{at, func(time.Time) { n.CallMade(k.call) }})
				at = at.Add(exp(k.perCall.Seconds()))
			}
			end := at
			heap.Push(&q, event{end, func(time.Time) { n.RunEnded(k.route) }})
		}
		heap.Push(&q, event{start.Add(exp(1 / k.perSecond)), arrive})
	}
	for tick := start; tick.Before(start.Add(duration)); tick = tick.Add(200 * time.Millisecond) {
		for len(q) > 0 && !q[0].at.After(tick) {
			e := heap.Pop(&q).(event)
			e.do(e.at)
		}
		n.Tick(tick)
	}
	n.Solve()
	return n
}

// Runs that make five calls each and runs without calls, of the same duration,
// are in flight at an instance at the same time. Only the calling route must
// get a fan-out.
func TestConcurrentRunsWithoutCallsHaveNoFanout(t *testing.T) {
	runs := []simRun{
		{route: "berth", perSecond: 185, work: 15 * time.Millisecond, call: "vessel", calls: 5, perCall: 25 * time.Millisecond},
		{route: "slots", perSecond: 42, work: 170 * time.Millisecond},
	}
	wrong := 0
	for seed := range uint64(20) {
		n := simulateRuns(t, seed, 10*time.Second, runs)
		if got := n.estimates["berth"]["vessel"]; got < 3.5 || got > 6.5 {
			t.Errorf("seed %d: a calling run makes %.2f calls, want about 5", seed, got)
		}
		if n.MakesCalls("slots") {
			wrong++
			t.Logf("seed %d: a run without calls makes %.2f", seed, n.estimates["slots"]["vessel"])
		}
	}
	if wrong > 1 {
		t.Errorf("%d of 20 seeds estimate calls for runs that make none", wrong)
	}
}

// The service below has lost most of its instances and refuses half of the
// calls, so calling runs end early in bursts. The calls must not be attributed
// to the concurrent runs of a route known to make none.
func TestNoFalseFanoutWhileCalledServiceRefuses(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		n := NewFanoutEstimator(time.Unix(1_700_000_000, 0))
		n.announced = state.Fanout{"history": {}, "feed": {"track": 4000}}
		now := n.intervalStart
		phase := 1.0
		for range 150 {
			now = now.Add(200 * time.Millisecond)
			phase = 0.8*phase + 0.2*rng.Float64()*2 // load varies
			for range int(8*phase) + rng.IntN(3) {
				n.RunStarted("feed")
				for range rng.IntN(5) { // the run ends at the first refused call
					n.CallMade("track")
				}
				n.RunEnded("feed")
			}
			for range int(2*phase) + rng.IntN(3) {
				n.RunStarted("history")
				n.RunEnded("history")
			}
			n.Tick(now)
			n.Solve()
			if n.MakesCalls("history") {
				t.Errorf("seed %d: calls attributed to runs that make none: %v", seed, n.estimates)
				break
			}
		}
	}
}

// Processes restart in the middle of an overload, one by one or all at once. In
// the first two seconds many callers come back and calls are refused at any
// point of a run. The fan-out that earlier processes announced must stay.
func TestNewProcessKeepsAnnouncedFanout(t *testing.T) {
	announced := state.Fanout{"feed": {"track": 4000}, "history": {}}
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := NewFanoutEstimator(time.Unix(1_700_000_000, 0))
		n.Restore(announced)
		now := n.intervalStart
		var calls, ends [3]int // due in the next intervals
		for interval := range 12 {
			now = now.Add(200 * time.Millisecond)
			load := 0.3 * float64(interval) * (0.5 + rng.Float64())
			for range calls[0] {
				n.CallMade("track")
			}
			for range ends[0] {
				n.RunEnded("history")
			}
			copy(calls[:], calls[1:])
			copy(ends[:], ends[1:])
			calls[2], ends[2] = 0, 0
			for range int(4 * load) {
				n.RunStarted("feed")
				for range rng.IntN(5) {
					calls[rng.IntN(2)]++
				}
				n.RunEnded("feed")
			}
			for range int(3 * load) {
				n.RunStarted("history")
				ends[rng.IntN(3)]++
			}
			n.Tick(now)
			n.Solve()
			if n.Changed() {
				t.Fatalf("seed %d: %v announced after %d intervals, %v before", seed, n.Export(), interval+1, announced)
			}
		}
		if got := n.Export(); !sameCalls(got, announced) || len(got) != len(announced) {
			t.Fatalf("seed %d: %v announced, %v before", seed, got, announced)
		}
	}
}

// Most runs are refused for a while, and the few that are left don't show a
// significant number of calls. The announced fan-out must stay. Once runs
// succeed again and make no calls, it must be dropped.
func TestFewRunsDoNotRefuteFanout(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 4))
		n := NewFanoutEstimator(time.Unix(1_700_000_000, 0))
		n.Restore(state.Fanout{"map": {"lookup": 2000}})
		now := n.intervalStart
		simulate := func(intervals int, runs, calls func() int) {
			for range intervals {
				now = now.Add(200 * time.Millisecond)
				for range runs() {
					n.RunStarted("map")
					n.RunEnded("map")
					for range calls() {
						n.CallMade("lookup")
					}
				}
				for range rng.IntN(3) { // runs on another route
					n.RunStarted("subscribe")
					n.RunEnded("subscribe")
					for range rng.IntN(4) {
						n.CallMade("lookup")
					}
				}
				n.Tick(now)
				n.Solve()
			}
		}
		simulate(60, func() int { return rng.IntN(2) }, func() int { return 1 + rng.IntN(2) })
		if got := n.Export(); got["map"]["lookup"] == 0 {
			t.Fatalf("seed %d: %v announced for runs that make calls", seed, got)
		}
		simulate(300, func() int { return 5 }, func() int { return 0 })
		if got := n.Export(); got["map"]["lookup"] != 0 {
			t.Fatalf("seed %d: %v announced for runs that no longer make calls", seed, got)
		}
	}
}

func TestKnownFanoutIsNotAnnouncedAgain(t *testing.T) {
	known := state.Fanout{"map": {"lookup": 2000}, "lookup": {"feed": 1700}}
	for name, tc := range map[string]struct {
		estimated state.Fanout
		want      bool
	}{
		"other numbers":        {state.Fanout{"map": {"lookup": 1500}}, true},
		"no calls, none known": {state.Fanout{"feed": {}}, true},
		"another call":         {state.Fanout{"map": {"lookup": 2000, "feed": 1000}}, false},
		"a missing call":       {state.Fanout{"map": {}}, false},
		"an unknown route":     {state.Fanout{"book": {"lookup": 1000}}, false},
	} {
		if got := sameCalls(tc.estimated, known); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}
