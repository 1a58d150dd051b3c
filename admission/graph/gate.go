package graph

import (
	"container/heap"
	"time"
)

// Parameters of the queue.
const (
	// waitPart is the part of the time left by the latency objective that a
	// new request may wait; begunPart the part of the time left by its deadline
	// that a call of begun work may wait, whose refusal wastes its whole tree.
	waitPart  = 0.5
	begunPart = 0.9
	// defaultObjective stands in where a route has none.
	defaultObjective = time.Second
	// sparePart is the part of the slots below which a few calls that come together
	// say nothing about the load: in a surge the slots fill within a run time.
	sparePart = 0.5
	// unknownSlots is assumed while the instance has not told its slots.
	unknownSlots = 8
	// shortRun is a short run in units of the mean.
	shortRun = 0.5
	// serviceGain is the weight of the latest run in a route's mean run time.
	serviceGain = 0.05
	// rejectHold is how long the limit stays reduced after the instance has
	// rejected a call for want of room.
	rejectHold = 500 * time.Millisecond
	// leftTime is how long runs of an earlier process of the node are counted:
	// about the longest timeout of the deployments' routes.
	leftTime = 5 * time.Second
	// unseenTime is how long half of the slots are kept free for them while the
	// instance has not told its load.
	unseenTime = 500 * time.Millisecond
)

// Ticket is one call at the gate. The exported fields are set before Offer.
type Ticket struct {
	Route     string
	Band      int
	Begun     bool
	Objective time.Duration
	Deadline  time.Time
	// GiveUpSilent ends a call that may be repeated and to which the instance
	// doesn't answer; nil for others.
	GiveUpSilent func()

	// StartBy is the latest start that meets the objective, GiveUp the time
	// until which it waits.
	StartBy time.Time
	GiveUp  time.Time

	began time.Time
	place runPlace
	state ticketState
	index int
	ready chan struct{} // closed when a waiting ticket starts
}

type ticketState uint8

const (
	stateWaiting ticketState = iota
	stateRunning
	stateRefused
)

// Gate holds the calls in flight at an instance to its slots. It does no I/O
// and reads no clock. It is not safe for concurrent use.
type Gate struct {
	slots     int
	inFlight  int
	queue     ticketQueue
	running   map[string]*routeRuns
	runTimes  map[string]time.Duration
	meanRun   time.Duration
	rejected  time.Time // latest rejection by the instance
	rejection int       // slots held back since
	offered   float64   // slot-seconds asked for since the last Demand
	most      int       // calls in flight at a time since then
	created   time.Time
	left      int  // runs of an earlier process that are still at work
	told      bool // the instance has told its load
}

// NewGate returns the gate of an instance whose slots are not known yet, and
// at which calls of an earlier process may still run.
func NewGate(now time.Time) *Gate {
	return &Gate{
		slots: unknownSlots, created: now,
		running: map[string]*routeRuns{}, runTimes: map[string]time.Duration{},
	}
}

// SetSlots takes in what the instance tells; zero or less leaves it unknown.
func (g *Gate) SetSlots(n int) {
	if n > 0 {
		g.slots = n
	}
}

// InFlight returns the calls that run, Queued those that wait.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the calls that wait.
func (g *Gate) Queued() int { return len(g.queue) }

// Limit returns the number of calls that may run now.
func (g *Gate) Limit(now time.Time) int {
	if now.Sub(g.rejected) > rejectHold {
		g.rejection = 0
	}
	return max(g.slots-g.rejection-g.leftRuns(now), 1)
}

// leftRuns returns the slots kept free for runs of an earlier process, at most
// half of all: what an instance tells may be false.
func (g *Gate) leftRuns(now time.Time) int {
	age := now.Sub(g.created)
	switch {
	case age > leftTime:
		return 0
	case g.told:
		return min(g.left, g.slots/2)
	case age > unseenTime:
		return 0
	}
	return g.slots / 2
}

// Tell takes in how many calls the instance runs and holds in wait, as told
// with the answer to one that has not been taken out yet.
func (g *Gate) Tell(busy int) {
	g.told = true
	g.left = max(busy-g.inFlight, 0)
}

// Demand is what an instance has been asked for since the last look.
type Demand struct {
	// Offered is the slot-seconds that calls have asked for, in units of the slots.
	// Calls that came too late to end in time are left out: they ask for nothing
	// that a lower level would save.
	Offered float64
	// Backlog is the time that the instance needs for the calls that wait.
	Backlog time.Duration
	// Spare is set if less than sparePart of the slots were in use all the while.
	Spare bool
}

// Demand returns the demand since it was last called.
func (g *Gate) Demand() Demand {
	d := Demand{
		Offered: g.offered / float64(g.slots),
		Backlog: g.Backlog(),
		Spare:   len(g.queue) == 0 && float64(g.most) < sparePart*float64(g.slots),
	}
	g.offered, g.most = 0, g.inFlight
	return d
}

// Backlog returns the time that the instance needs for the calls that wait.
func (g *Gate) Backlog() time.Duration {
	var work time.Duration
	for _, t := range g.queue {
		work += g.runTimes[t.Route]
	}
	return work / time.Duration(g.slots)
}

// Offer admits, queues or refuses a call; it reports whether it was not
// refused.
func (g *Gate) Offer(now time.Time, t *Ticket) bool {
	run := g.runTimes[t.Route]
	t.StartBy, t.GiveUp = bounds(now, t, run)
	if t.latest(run).Before(now) {
		t.state = stateRefused
		return false
	}
	g.offered += run.Seconds()
	if g.inFlight < g.Limit(now) && len(g.queue) == 0 {
		g.start(now, t)
		return true
	}
	if now.Add(g.expectedWait(t)).After(t.GiveUp) {
		t.state = stateRefused
		return false
	}
	t.state = stateWaiting
	t.ready = make(chan struct{})
	heap.Push(&g.queue, t)
	g.dispatch(now)
	return true
}

// latest returns the latest start from which on the call may still end by its
// deadline. The mean run time holds what runs wait for calls of their own.
func (t *Ticket) latest(run time.Duration) time.Time {
	return t.Deadline.Add(-time.Duration(shortRun * float64(run)))
}

// bounds returns the latest useful start and the end of the wait.
func bounds(now time.Time, t *Ticket, run time.Duration) (startBy, giveUp time.Time) {
	objective := t.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	left := max(objective-run, objective/8)
	startBy = now.Add(left)
	latest := t.latest(run)
	if t.Begun {
		return startBy, now.Add(time.Duration(begunPart * float64(latest.Sub(now))))
	}
	giveUp = now.Add(time.Duration(waitPart * float64(left)))
	if latest.Before(giveUp) {
		giveUp = latest
	}
	return startBy, giveUp
}

// expectedWait estimates the time until a call would start: the work of the
// calls that would be served before it, over the slots.
func (g *Gate) expectedWait(t *Ticket) time.Duration {
	ahead := 0
	for _, q := range g.queue {
		if before(q, t) {
			ahead++
		}
	}
	return g.meanRun * time.Duration(ahead+1) / time.Duration(g.slots)
}

// Leave takes a waiting call out; it reports whether it was still waiting.
func (g *Gate) Leave(t *Ticket) bool {
	if t.state != stateWaiting {
		return false
	}
	heap.Remove(&g.queue, t.index)
	t.state = stateRefused
	return true
}

// End tells how a running call ended.
type End struct {
	// Ran is set when the instance has run the call to an answer.
	Ran bool
	// Rejected is set when the instance had no room for it, also when it showed
	// that by silence.
	Rejected bool
}

// Done takes a running call out and starts waiting ones.
func (g *Gate) Done(now time.Time, t *Ticket, e End) {
	g.inFlight--
	g.running[t.Route].remove(t)
	took := now.Sub(t.began)
	switch {
	case e.Rejected:
		g.rejected = now
		g.rejection = min(g.rejection+1, g.slots/2)
	case e.Ran:
		g.learn(t.Route, took)
		g.running[t.Route].ran(took)
	}
	g.dispatch(now)
}

func (g *Gate) learn(route string, took time.Duration) {
	mean, known := g.runTimes[route]
	if !known {
		g.runTimes[route] = took
	} else {
		g.runTimes[route] = mean + time.Duration(serviceGain*float64(took-mean))
	}
	if g.meanRun == 0 {
		g.meanRun = took
	}
	g.meanRun += time.Duration(serviceGain * float64(took-g.meanRun))
}

// dispatch starts waiting calls and refuses those whose time is up.
func (g *Gate) dispatch(now time.Time) {
	for len(g.queue) > 0 && g.inFlight < g.Limit(now) {
		t := heap.Pop(&g.queue).(*Ticket)
		if now.After(t.GiveUp) {
			t.state = stateRefused
		} else {
			g.start(now, t)
		}
		close(t.ready)
	}
}

// Flush refuses all waiting calls, for an instance that takes no more work.
func (g *Gate) Flush() {
	for _, t := range g.queue {
		t.state = stateRefused
		close(t.ready)
	}
	g.queue = nil
}

func (g *Gate) start(now time.Time, t *Ticket) {
	g.inFlight++
	g.most = max(g.most, g.inFlight)
	t.began = now
	t.state = stateRunning
	runs := g.running[t.Route]
	if runs == nil {
		runs = newRouteRuns()
		g.running[t.Route] = runs
	}
	runs.add(t)
}

// before reports whether a waits in front of b.
func before(a, b *Ticket) bool {
	if a.Band != b.Band {
		return a.Band < b.Band
	}
	return a.StartBy.Before(b.StartBy)
}

// ticketQueue is a heap of waiting calls.
type ticketQueue []*Ticket

func (q ticketQueue) Len() int           { return len(q) }
func (q ticketQueue) Less(i, j int) bool { return before(q[i], q[j]) }

func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push is part of heap.Interface.
func (q *ticketQueue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop is part of heap.Interface.
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return t
}
