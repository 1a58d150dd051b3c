package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

const (
	// An instance fails failPermille to failPermille+failRange of its requests, drawn by
	// the event.
	failPermille   = 100
	failRange      = 200
	secondPermille = 150
	// stutterTime is the least time for which all instances stutter.
	stutterTime = 8 * time.Second
)

// secondKinds are the event kinds that make instances send second responses. With
// "second-ahead", which is in no schedule, callers have to get them.
var secondKinds = []string{"second-other", "second-late", "second-closing", "second-elsewhere", "second-cut", "second-ahead"}

// stutter holds how an instance fails requests and responds twice. Both are drawn
// independently of its other faults.
type stutter struct {
	failPermille   atomic.Int64
	secondPermille []atomic.Int64 // by index in secondKinds
	mu             sync.Mutex
	fails, seconds *rand.Rand
}

func newStutter(seed uint64, index int) *stutter {
	return &stutter{
		secondPermille: make([]atomic.Int64, len(secondKinds)),
		fails:          rand.New(rand.NewPCG(seed, uint64(5000+index))),
		seconds:        rand.New(rand.NewPCG(seed, uint64(6000+index))),
	}
}

func (n *node) drawFail() bool {
	n.stutter.mu.Lock()
	defer n.stutter.mu.Unlock()
	return n.stutter.fails.Int64N(1000) < n.stutter.failPermille.Load()
}

func (n *node) drawSecond() standin.Second {
	n.stutter.mu.Lock()
	defer n.stutter.mu.Unlock()
	rng := n.stutter.seconds
	draw := rng.Int64N(1000)
	for i, kind := range secondKinds {
		if draw -= n.stutter.secondPermille[i].Load(); draw < 0 {
			return drawSecondOf(kind, rng)
		}
	}
	return standin.Second{}
}

func drawSecondOf(kind string, rng *rand.Rand) standin.Second {
	oneOf := func(places ...standin.Place) standin.Place { return places[rng.IntN(len(places))] }
	coin := func() bool { return rng.IntN(2) == 0 }
	switch kind {
	case "second-other":
		return standin.Second{Place: oneOf(standin.AtOnce, standin.WhenDue), Other: true}
	case "second-late":
		return standin.Second{Place: oneOf(standin.WhenIdle, standin.WhenDue), Other: coin()}
	case "second-closing":
		closing := coin()
		return standin.Second{
			Place: oneOf(standin.AtOnce, standin.WhenIdle, standin.WhenDue), Other: coin(), Close: closing, NoLength: !closing, End: coin(),
		}
	case "second-cut":
		return drawCutSecond(rng)
	case "second-elsewhere":
		return standin.Second{Place: standin.Elsewhere, Other: rng.IntN(4) > 0}
	default:
		return standin.Second{Place: standin.Ahead, Other: true}
	}
}

// injectStutter makes one instance fail requests or respond twice.
func (x *faultInjector) injectStutter(e event, n *node) {
	from := time.Now()
	x.setStutter(e, n, true)
	time.Sleep(e.duration)
	x.setStutter(e, n, false)
	x.recordFault(-1, from, time.Now())
}

func (x *faultInjector) setStutter(e event, n *node, on bool) {
	permille := func(p int64) int64 { return map[bool]int64{true: p}[on] }
	if e.kind == "fails" {
		n.stutter.failPermille.Store(permille(failPermille + e.duration.Milliseconds()%failRange))
		return
	}
	if on {
		n.instance.TakeConnections.Store(true)
	}
	n.stutter.secondPermille[slices.Index(secondKinds, e.kind)].Store(permille(secondPermille))
}

// stutterAll makes all instances fail requests and respond twice on the connection of the
// request, for stutterTime and the time of the event.
func (x *faultInjector) stutterAll(e event) {
	var injections sync.WaitGroup
	for i, n := range x.f.nodes {
		for _, kind := range []string{"fails", "second-other", "second-late", "second-closing"} {
			injections.Go(func() {
				x.injectStutter(event{kind: kind, duration: stutterTime + e.duration, node: i}, n)
			})
		}
	}
	injections.Wait()
}

// stutterOptions let callers have more served than usual, so that instances run more.
func stutterOptions() options {
	o := defaultOptions()
	o.rate *= 4
	return o
}

// stutterSchedule returns events that make all instances stutter, while others overlap.
func stutterSchedule(nodes int) []event {
	return append(overlappingSchedule(nodes), event{kind: "stutter-all", start: 200 * time.Millisecond, duration: 500 * time.Millisecond})
}

// overlappingSchedule returns events in which some instances break responses off, and nodes
// are killed, paused and stopped and links reset.
func overlappingSchedule(nodes int) []event {
	var events []event
	for first := 0; first < nodes; first += len(placements) {
		at := func(kind string, node int, start, duration time.Duration) {
			events = append(events, event{kind: kind, node: first + node, start: start, duration: duration})
		}
		at("answers-short", 1, 500*time.Millisecond, 7*time.Second)
		at("answers-cut", 3, 500*time.Millisecond, 7*time.Second)
		at("answers-lost", 5, 500*time.Millisecond, 7*time.Second)
		at("answers-garbage", 4, 500*time.Millisecond, 7*time.Second)
		at("answers-trailing", 2, 500*time.Millisecond, 7*time.Second)
		at("answers-twice", 0, time.Second, 6*time.Second)
		at("rejects", 2, 3*time.Second, 2*time.Second)
		at("pause", 1, 2*time.Second, 1500*time.Millisecond)
		at("kill", 0, 2500*time.Millisecond, 2*time.Second)
		at("stop", 2, 4*time.Second, 0)
		for i := range 3 {
			at("link-reset", 3+i, time.Duration(1500+1700*i)*time.Millisecond, 0)
		}
	}
	return events
}

// runSeeds runs the fleets of count seeds under the same events.
func runSeeds(t *testing.T, count int, o options, events []event) {
	slots := make(chan struct{}, *maxParallel)
	for i := range count {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			reportViolations(t, runSchedule(t, seed, o, slices.Clone(events)))
		})
	}
}

// Guards against a caller getting a success where its instance has failed the request, or
// another response than the first one to its own run.
func TestSoakStutteringInstances(t *testing.T) {
	runSeeds(t, *seeds, stutterOptions(), stutterSchedule(*copies*len(placements)))
}

// Guards against the second response to a request being taken for the response to the same
// request, sent again under its ID, on another connection of the instance.
func TestSoakSecondResponseOnAnotherConnection(t *testing.T) {
	events := stutterSchedule(*copies * len(placements))
	for i := range *copies * len(placements) {
		events = append(events, event{kind: "second-elsewhere", node: i, start: 200 * time.Millisecond, duration: stutterTime})
	}
	runSeeds(t, *seeds, stutterOptions(), events)
}
