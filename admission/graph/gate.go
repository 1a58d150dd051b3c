package graph

import (
	"container/heap"
	"math"
	"time"

	"github.com/gooseberryflow/gooseberryflow/admission/pace"
)

// Parameters of the queue.
const (
	// newWaitFraction is the fraction of a new request's latency objective, less
	// the mean run time, that the request may wait. nestedWaitFraction is the
	// fraction of the time until its latest start that a nested call may wait; it
	// is larger because refusing a nested call wastes the work of its whole tree.
	newWaitFraction    = 0.5
	nestedWaitFraction = 0.9
	// defaultObjective applies to routes without a latency objective.
	defaultObjective = time.Second
	// underusedFraction is the fraction of the slots in use below which a few
	// simultaneous calls don't indicate load: in a surge all slots fill within one
	// run time.
	underusedFraction = 0.5
	// defaultSlots is assumed until the instance has reported its slots.
	defaultSlots = 8
	// shortRunFactor is the duration of a short run in units of the mean run time.
	shortRunFactor = 0.5
	// runTimeGain is the weight of the latest run in a route's mean run time.
	runTimeGain = 0.05
	// rejectionHold is how long the limit stays reduced after the instance has
	// rejected a call for lack of capacity.
	rejectionHold = 500 * time.Millisecond
	// orphanMaxAge is how long orphans, the runs left by an earlier process of the
	// node, are counted: about the longest timeout of the deployments' routes.
	orphanMaxAge = 5 * time.Second
	// orphanGracePeriod is how long half of the slots are kept free for orphans
	// while the instance has not reported its load.
	orphanGracePeriod = 500 * time.Millisecond
)

// Ticket is one call at the gate. Fields from Route to ReportOverdue are set
// before Offer, which computes StartBy and WaitUntil.
type Ticket struct {
	Route      string
	Band       int
	NestedCall bool
	Objective  time.Duration
	Deadline   time.Time
	// ReportOverdue reports that the call is overdue.
	ReportOverdue func()

	// StartBy is the latest start that meets the latency objective, WaitUntil the
	// end of the time that the call may wait.
	StartBy   time.Time
	WaitUntil time.Time

	startedAt   time.Time
	workAtStart float64 // work time of the instance; zero if it reports none
	position    runPosition
	overdue     bool
	state       ticketState
	heapIndex   int
	ready       chan struct{} // closed when a waiting ticket starts
}

type ticketState uint8

const (
	stateWaiting ticketState = iota
	stateRunning
	stateRefused
)

// Gate limits the calls in flight at an instance to its slots, and their starts to
// the rate limit that the instance names. It does no I/O and reads no clock. It is
// not safe for concurrent use.
type Gate struct {
	slots              int
	pacer              pace.Pacer
	inFlight           int
	queue              ticketQueue
	routes             map[string]*routeRuns
	runTimes           map[string]time.Duration
	longestLeft        map[string]time.Duration // until the deadline of nested calls, by route
	meanRunTime        time.Duration
	workTime           workTimeTracker
	currentWork        float64 // work time expected now; zero if none is reported
	routeWork          map[string]*runWork
	allWork            runWork   // of all routes
	lastRejection      time.Time // by the instance
	withheldSlots      int       // slots not used because of recent rejections
	offeredSlotSeconds float64   // demand since the last call of Demand
	offeredCalls       int       // since the last call of RateDemand
	paced              bool      // the rate limit has delayed a call since the last call of RateDemand
	peakInFlight       int       // maximum since the last call of Demand
	created            time.Time
	orphans            int // runs of an earlier process still in flight
	overdue            int // running calls that are overdue
	unreported         unreportedCalls
	loadReported       bool // the instance has reported its load
}

// NewGate returns the gate of an instance whose slots are not known yet and at
// which calls of an earlier process may still run.
func NewGate(now time.Time) *Gate {
	return &Gate{
		slots: defaultSlots, created: now,
		routes: map[string]*routeRuns{}, runTimes: map[string]time.Duration{}, longestLeft: map[string]time.Duration{},
		routeWork: map[string]*runWork{},
	}
}

// SetSlots sets the number of slots that the instance has reported. Zero or
// less leaves it unchanged.
func (g *Gate) SetSlots(n int) {
	if n > 0 {
		g.slots = n
	}
}

// SetRateLimit sets the number of calls per second that the instance accepts; zero
// means that it names no limit.
func (g *Gate) SetRateLimit(now time.Time, perSecond float64) { g.pacer.SetRate(now, perSecond) }

// InFlight returns the number of running calls.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of waiting calls.
func (g *Gate) Queued() int { return len(g.queue) }

// Limit returns the number of calls that may run now.
func (g *Gate) Limit(now time.Time) int {
	if now.Sub(g.lastRejection) > rejectionHold {
		g.withheldSlots = 0
	}
	return max(g.slots-g.withheldSlots-g.orphanSlots(now), 1)
}

// Capacity returns the number of calls that the instance can run at once, now and
// at its rate limit: by Little's law, the rate times the mean run time.
func (g *Gate) Capacity(now time.Time) int {
	limit := g.Limit(now)
	if rate := g.pacer.Rate(); rate > 0 {
		limit = min(limit, max(int(math.Ceil(min(rate*g.anyRunTime().Seconds(), float64(g.slots)))), 1))
	}
	return limit
}

// Occupied returns the number of calls that take up Capacity. An instance whose rate
// limit allows no call now is full.
func (g *Gate) Occupied(now time.Time) int {
	if !g.pacer.Ready(now) {
		return max(g.inFlight, g.Capacity(now))
	}
	return g.inFlight
}

// canStart reports whether one more call may start.
func (g *Gate) canStart(now time.Time) bool {
	if g.inFlight-g.vacant() >= g.Limit(now) {
		return false
	}
	ready := g.pacer.Ready(now)
	g.paced = g.paced || !ready
	return ready
}

// orphanSlots returns the number of slots kept free for orphans, at most half
// of all slots because the load that an instance reports may be wrong.
func (g *Gate) orphanSlots(now time.Time) int {
	age := now.Sub(g.created)
	switch {
	case age > orphanMaxAge:
		return 0
	case g.loadReported:
		return min(g.orphans, g.slots/2)
	case age > orphanGracePeriod:
		return 0
	}
	return g.slots / 2
}

// ReportLoad records how many calls the instance runs and queues. The report
// comes with the answer to a call that still counts as in flight here.
func (g *Gate) ReportLoad(busy int) {
	g.loadReported = true
	g.orphans = max(busy-g.inFlight, 0)
	g.unreported.record(max(g.inFlight-busy, 0))
}

// Demand is the work that an instance has been asked for since the last call of
// Gate.Demand or Gate.RateDemand.
type Demand struct {
	// Offered is the time in seconds that the instance needs for the calls offered:
	// the slot-seconds that they have asked for divided by the number of slots, or
	// their number divided by the rate limit. Calls that arrived too late to meet
	// their deadline are left out, since a lower level would save no work by refusing
	// them.
	Offered float64
	// Backlog is the time that the instance needs for the waiting calls.
	Backlog time.Duration
	// Underused is set if less than underusedFraction of the slots were in use
	// throughout, or the rate limit has delayed no call.
	Underused bool
}

// Demand returns the demand for slots since the last call of Demand.
func (g *Gate) Demand() Demand {
	d := Demand{
		Offered:   g.offeredSlotSeconds / float64(g.slots),
		Backlog:   g.Backlog(),
		Underused: len(g.queue) == 0 && float64(g.peakInFlight) < underusedFraction*float64(g.slots),
	}
	g.offeredSlotSeconds, g.peakInFlight = 0, g.inFlight
	return d
}

// RateDemand returns the demand for the rate limit since the last call of RateDemand.
// It is zero without a limit.
func (g *Gate) RateDemand() Demand {
	var d Demand
	if rate := g.pacer.Rate(); rate > 0 {
		d = Demand{Offered: float64(g.offeredCalls) / rate, Backlog: g.rateBacklog(), Underused: len(g.queue) == 0 && !g.paced}
	}
	g.offeredCalls, g.paced = 0, false
	return d
}

// Backlog returns the time that the slots need for the waiting calls.
func (g *Gate) Backlog() time.Duration {
	var work time.Duration
	for _, t := range g.queue {
		work += g.runTime(t.Route)
	}
	return work / time.Duration(g.slots)
}

// rateBacklog returns the time until the rate limit has allowed the waiting calls.
func (g *Gate) rateBacklog() time.Duration {
	return time.Duration(float64(len(g.queue)) / g.pacer.Rate() * float64(time.Second))
}

// Offer admits, queues or refuses a call. It returns false if the call is
// refused.
func (g *Gate) Offer(now time.Time, t *Ticket) bool {
	g.updateWork(now)
	runTime := g.runTime(t.Route)
	t.StartBy, t.WaitUntil = waitBounds(now, t, runTime)
	if t.NestedCall {
		t.StartBy = t.StartBy.Add(-g.timeSpent(now, t))
	}
	if t.latestStart(runTime).Before(now) {
		t.state = stateRefused
		return false
	}
	g.offeredSlotSeconds += runTime.Seconds()
	g.offeredCalls++
	if len(g.queue) == 0 && g.canStart(now) {
		g.start(now, t)
		return true
	}
	if now.Add(g.expectedWait(now, t)).After(t.WaitUntil) {
		t.state = stateRefused
		return false
	}
	t.state = stateWaiting
	t.ready = make(chan struct{})
	heap.Push(&g.queue, t)
	g.dispatch(now)
	return true
}

// timeSpent returns how much less time is left for a nested call than for the first
// calls of trees on its route. By that much it starts earlier, so that among the calls
// of a route those of the oldest trees go first: in a burst these trees are completed,
// instead of all trees running out of time together.
func (g *Gate) timeSpent(now time.Time, t *Ticket) time.Duration {
	left := t.Deadline.Sub(now)
	longest := max(left, time.Duration(longestDecay*float64(g.longestLeft[t.Route])))
	g.longestLeft[t.Route] = longest
	return longest - left
}

// latestStart returns the latest start at which the call may still meet its
// deadline. It allows for a run shorter than the mean because the mean includes
// the time that runs wait for nested calls.
func (t *Ticket) latestStart(runTime time.Duration) time.Time {
	return t.Deadline.Add(-time.Duration(shortRunFactor * float64(runTime)))
}

// waitBounds returns the latest start that meets the latency objective and the
// end of the time that the call may wait.
func waitBounds(now time.Time, t *Ticket, runTime time.Duration) (startBy, waitUntil time.Time) {
	objective := t.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	slack := max(objective-runTime, objective/8)
	startBy = now.Add(slack)
	latestStart := t.latestStart(runTime)
	if t.NestedCall {
		return startBy, now.Add(time.Duration(nestedWaitFraction * float64(latestStart.Sub(now))))
	}
	waitUntil = now.Add(time.Duration(newWaitFraction * float64(slack)))
	if latestStart.Before(waitUntil) {
		waitUntil = latestStart
	}
	return startBy, waitUntil
}

// expectedWait estimates the time until a call would start (waitBehind).
func (g *Gate) expectedWait(now time.Time, t *Ticket) time.Duration {
	ahead := 0
	for _, q := range g.queue {
		if precedes(q, t) {
			ahead++
		}
	}
	return g.waitBehind(now, ahead)
}

// Cancel removes a waiting call. It returns false if the call was no longer
// waiting.
func (g *Gate) Cancel(t *Ticket) bool {
	if t.state != stateWaiting {
		return false
	}
	heap.Remove(&g.queue, t.heapIndex)
	t.state = stateRefused
	return true
}

// Completion describes how a running call ended.
type Completion struct {
	// Succeeded is set when the instance has answered the call without an error.
	Succeeded bool
	// Rejected is set when the instance has refused the call for lack of capacity.
	Rejected bool
}

// Done removes a running call and starts waiting ones.
func (g *Gate) Done(now time.Time, t *Ticket, completion Completion) {
	g.inFlight--
	if t.overdue {
		g.overdue--
	}
	g.routes[t.Route].remove(t)
	runTime := now.Sub(t.startedAt)
	switch {
	case completion.Rejected:
		g.recordRejection(now)
	case completion.Succeeded:
		g.recordRunTime(t.Route, runTime)
		g.recordRunWork(now, t, runTime)
		g.routes[t.Route].recordCompletion(runTime)
	}
	g.dispatch(now)
}

// recordRejection reduces the limit for some time, since the instance has less capacity
// than the slots that it reports.
func (g *Gate) recordRejection(now time.Time) {
	g.lastRejection = now
	g.withheldSlots = min(g.withheldSlots+1, g.slots/2)
}

func (g *Gate) recordRunTime(route string, runTime time.Duration) {
	mean, known := g.runTimes[route]
	if !known {
		g.runTimes[route] = runTime
	} else {
		g.runTimes[route] = mean + time.Duration(runTimeGain*float64(runTime-mean))
	}
	if g.meanRunTime == 0 {
		g.meanRunTime = runTime
	}
	g.meanRunTime += time.Duration(runTimeGain * float64(runTime-g.meanRunTime))
}

// dispatch starts waiting calls while there are free slots and the rate limit allows
// it, and refuses those that have waited too long.
func (g *Gate) dispatch(now time.Time) {
	for len(g.queue) > 0 && g.canStart(now) {
		t := heap.Pop(&g.queue).(*Ticket)
		if now.After(t.WaitUntil) {
			t.state = stateRefused
		} else {
			g.start(now, t)
		}
		close(t.ready)
	}
}

// Flush refuses all waiting calls because the instance accepts no more work.
func (g *Gate) Flush() {
	for _, t := range g.queue {
		t.state = stateRefused
		close(t.ready)
	}
	g.queue = nil
}

func (g *Gate) start(now time.Time, t *Ticket) {
	g.inFlight++
	g.pacer.Start(now)
	g.peakInFlight = max(g.peakInFlight, g.inFlight)
	t.startedAt = now
	t.workAtStart = g.workTime.report(now).Now
	t.state = stateRunning
	runs := g.routes[t.Route]
	if runs == nil {
		runs = newRouteRuns()
		g.routes[t.Route] = runs
	}
	runs.add(t)
}

// precedes reports whether a is queued ahead of b.
func precedes(a, b *Ticket) bool {
	if a.Band != b.Band {
		return a.Band < b.Band
	}
	return a.StartBy.Before(b.StartBy)
}

// ticketQueue is a heap of waiting calls, the next to start first.
type ticketQueue []*Ticket

func (q ticketQueue) Len() int           { return len(q) }
func (q ticketQueue) Less(i, j int) bool { return precedes(q[i], q[j]) }

func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *ticketQueue) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return t
}
