package graph

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// treeSim simulates trees of calls in virtual time: a root makes sequential
// calls to a middle service, each of which makes sequential calls to a leaf. A
// waiting call delays the calls that follow it, so the leaf is offered little
// more than its capacity however many trees wait.
type treeSim struct {
	rng    *rand.Rand
	now    time.Time
	events eventQueue
	leaf   *service
	middle *service
	// Trees that arrive after the end of the warm-up, and before countUntil if that is
	// set, are counted: all, those admitted, and those completed by their deadline.
	warmup, countUntil           time.Time
	arrived, admitted, completed int
	// leafRunTime is the mean run time at the leaf, leafCallsPerRun the number of
	// leaf calls of a run at the middle service.
	leafRunTime     time.Duration
	leafCallsPerRun int
}

// service is the instances of one service with their gates and levels.
type service struct {
	gates  []*Gate
	levels []*Level
	// rateLevels follow the rate limits, if limitInstances has set them.
	rateLevels []*Level
	// effectiveLevel is the mean level as the entry nodes know it.
	effectiveLevel float64
}

const (
	simTick       = 50 * time.Millisecond
	simLevelDelay = 200 * time.Millisecond // until a change of the level reaches the entry nodes
	simPoll       = 4 * time.Millisecond
	simRank       = 2 // of all trees
	simReroutes   = 2 // of a call that no instance has seen

	leafInstances, leafSlots     = 5, 65
	middleInstances, middleSlots = 19, 70
	middleCalls, leafCalls       = 2, 4 // per root and per run at the middle service
	leafRun                      = 40 * time.Millisecond
	rootWork                     = 300 * time.Millisecond  // of a root before its calls
	rootTimeout                  = 1500 * time.Millisecond // of a root, from start to end
)

func newService(instances, slots int) *service {
	s := &service{effectiveLevel: simRank + 1}
	for range instances {
		g := NewGate(gateCreated)
		g.SetSlots(slots)
		s.gates = append(s.gates, g)
		s.levels = append(s.levels, NewLevel(start, simRank+1))
	}
	return s
}

// limitInstances makes each instance name a rate limit.
func (s *service) limitInstances(now time.Time, perSecond float64) {
	for _, g := range s.gates {
		g.SetRateLimit(now, perSecond)
		s.rateLevels = append(s.rateLevels, NewLevel(now, simRank+1))
	}
}

// updateLevel updates the level of an instance and returns it.
func (s *service) updateLevel(i int, now time.Time) float64 {
	s.gates[i].dispatch(now)
	s.levels[i].Update(now, s.gates[i].Demand())
	if s.rateLevels == nil {
		return s.levels[i].Value()
	}
	s.rateLevels[i].Update(now, s.gates[i].RateDemand())
	return min(s.levels[i].Value(), s.rateLevels[i].Value())
}

func (l *treeSim) after(d time.Duration, do func()) {
	heap.Push(&l.events, event{l.now.Add(d), func(time.Time) { do() }})
}

// arrive starts a tree if the levels admit it and schedules the next arrival.
func (l *treeSim) arrive(perSecond float64) {
	l.after(time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { l.arrive(perSecond) })
	counted := l.now.After(l.warmup) && (l.countUntil.IsZero() || l.now.Before(l.countUntil))
	if counted {
		l.arrived++
	}
	if simRank+l.rng.Float64() >= min(l.leaf.effectiveLevel, l.middle.effectiveLevel) {
		return
	}
	if counted {
		l.admitted++
	}
	deadline := l.now.Add(rootTimeout)
	l.after(rootWork, func() {
		l.sequentially(middleCalls, func(next func()) { l.callMiddle(deadline, next) }, func() {
			if counted && !l.now.After(deadline) {
				l.completed++
			}
		})
	})
}

// sequentially calls do several times, each call after the previous one has
// ended, and then end.
func (l *treeSim) sequentially(times int, do func(next func()), end func()) {
	if times == 0 {
		end()
		return
	}
	do(func() { l.sequentially(times-1, do, end) })
}

func (l *treeSim) callMiddle(deadline time.Time, next func()) {
	l.call(l.middle, deadline, func(end func()) {
		l.sequentially(l.leafCallsPerRun, func(next func()) { l.callLeaf(deadline, next) }, end)
	}, next)
}

func (l *treeSim) callLeaf(deadline time.Time, next func()) {
	l.call(l.leaf, deadline, func(end func()) {
		l.after(time.Duration((0.5+l.rng.Float64())*float64(l.leafRunTime)), end)
	}, next)
}

// call runs work at an instance of a service and continues with next. If the
// call is refused or its work never ends, the rest of its tree never runs.
func (l *treeSim) call(s *service, deadline time.Time, work func(end func()), next func()) {
	var g *Gate
	var t *Ticket
	for attempt := 0; ; attempt++ {
		g = s.gates[l.rng.IntN(len(s.gates))]
		t = &Ticket{Route: "call", NestedCall: true, Objective: 300 * time.Millisecond, Deadline: deadline}
		if g.Offer(l.now, t) {
			break
		}
		if attempt == simReroutes {
			return
		}
	}
	l.await(g, t, func() {
		done := false
		finish := func(ran bool) {
			if !done {
				done = true
				g.Done(l.now, t, Completion{Succeeded: ran})
			}
		}
		work(func() { finish(true); next() })
		l.after(deadline.Sub(l.now), func() { finish(false) })
	})
}

// await calls run once the call has a slot.
func (l *treeSim) await(g *Gate, t *Ticket, run func()) {
	switch {
	case t.state == stateRunning:
		run()
	case t.state == stateWaiting && l.now.Before(t.WaitUntil):
		l.after(simPoll, func() { l.await(g, t, run) })
	case t.state == stateWaiting:
		g.Cancel(t)
	}
}

func (l *treeSim) tick() {
	for _, s := range []*service{l.leaf, l.middle} {
		sum := 0.0
		for i := range s.gates {
			sum += s.updateLevel(i, l.now)
		}
		mean := sum / float64(len(s.gates))
		l.after(simLevelDelay, func() { s.effectiveLevel = mean })
	}
	l.after(simTick, l.tick)
}

// run processes events until the simulation has lasted for a time.
func (l *treeSim) run(length time.Duration) {
	for end := start.Add(length); l.now.Before(end); {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do(e.at)
	}
}

// Trees arrive at twice the capacity of the leaf. Each makes eight sequential
// calls to the leaf through two calls to a middle service, and its timeout is
// little more than these calls take. From the third second on the leaf must
// spend most of its slots on trees that complete, and few admitted trees may
// miss their deadline.
func TestLeafCompletesWholeTrees(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		const length, warmup = 11 * time.Second, 3 * time.Second
		capacity := leafInstances * leafSlots / (middleCalls * leafCalls * leafRun.Seconds())
		l := &treeSim{
			rng: rand.New(rand.NewPCG(seed, 1)), now: start, warmup: start.Add(warmup), countUntil: start.Add(length),
			leafRunTime: leafRun, leafCallsPerRun: leafCalls,
			leaf: newService(leafInstances, leafSlots), middle: newService(middleInstances, middleSlots),
		}
		l.tick()
		l.arrive(2 * capacity)
		l.run(length + rootTimeout)
		used := float64(l.completed) / (capacity * (length - warmup).Seconds())
		failed := 1 - float64(l.completed)/float64(l.admitted)
		t.Logf("seed %d: completed trees are %.2f of the leaf's capacity, %.2f of the admitted trees failed", seed, used, failed)
		if used < 0.75 || failed > 0.15 {
			t.Errorf("seed %d: completed trees are %.2f of the leaf's capacity, %.2f of the admitted trees failed", seed, used, failed)
		}
	}
}

// All instances of the leaf name rate limits of two fifths of what their slots would
// run, while trees arrive at twice what the limits allow. Begun trees go first, so that
// the limits must be spent on trees that complete.
func TestLimitedLeafCompletesWholeTrees(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		const length, warmup = 16 * time.Second, 6 * time.Second
		perInstance := 0.4 * leafSlots / leafRun.Seconds()
		capacity := leafInstances * perInstance / (middleCalls * leafCalls)
		l := &treeSim{
			rng: rand.New(rand.NewPCG(seed, 1)), now: start, warmup: start.Add(warmup), countUntil: start.Add(length),
			leafRunTime: leafRun, leafCallsPerRun: leafCalls,
			leaf: newService(leafInstances, leafSlots), middle: newService(middleInstances, middleSlots),
		}
		l.leaf.limitInstances(start, perInstance)
		l.tick()
		l.arrive(2 * capacity)
		l.run(length + rootTimeout)
		used := float64(l.completed) / (capacity * (length - warmup).Seconds())
		failed := 1 - float64(l.completed)/float64(l.admitted)
		t.Logf("seed %d: completed trees are %.2f of what the limits allow, %.2f of the admitted trees failed", seed, used, failed)
		if used < 0.75 || failed > 0.15 {
			t.Errorf("seed %d: completed trees are %.2f of what the limits allow, %.2f of the admitted trees failed", seed, used, failed)
		}
	}
}
