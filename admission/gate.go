package admission

import (
	"math"
	"time"

	"github.com/gooseberryflow/gooseberryflow/admission/pace"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Parameters of the queue.
const (
	minWait                = 50 * time.Millisecond
	maxWait                = 500 * time.Millisecond
	waitServiceTimes       = 2  // mean service times that a call may wait
	queueLengthPerLimit    = 4  // queue length per unit of the limit
	minQueueLength         = 64 // queue length at the lowest limits
	criticalReserveDivisor = 10 // the top priority may use a tenth more than the others
	minRetryAfter          = 100 * time.Millisecond
	meanServiceTimeGain    = 0.05 // weight of the latest call in the mean service time
)

// Status is the state of a call at the gate.
type Status uint8

// The states of a Request.
const (
	StatusWaiting Status = iota
	StatusRunning
	StatusRefused
)

// Request is one call at the gate of an instance. Fields from Customer to
// Deadline are set before Offer; the gate sets Status, Reason and WaitUntil.
type Request struct {
	Customer string
	Route    string
	Priority config.Priority
	Nested   bool
	Rank     uint32
	Deadline time.Time

	Status Status
	// Reason is set when the call is refused.
	Reason kernel.Reason
	// WaitUntil is when a waiting call has to be refused.
	WaitUntil time.Time

	startedAt time.Time
	startTag  float64 // in start-time fair queueing
	cost      float64 // seconds
	seq       uint64
	heapIndex int
	// statusChanged is closed when the status of a waiting call has changed.
	statusChanged chan struct{}
}

// class returns the queue class of the call; lower classes start first.
func (r *Request) class() int {
	if r.Nested {
		return 2 * int(r.Priority)
	}
	return 2*int(r.Priority) + 1
}

// Gate decides which calls run at one instance, within the concurrency limit and the
// rate limit that the instance names. It does no I/O and reads no
// clock; calls enter by Offer and leave by Done or Cancel. Each of these
// methods returns the other calls whose status it has changed, in a slice that
// is valid until the next call of a method. Gate is not safe for concurrent use.
type Gate struct {
	limiter               *Limiter
	pacer                 pace.Pacer
	meanServiceTime       time.Duration // of all routes
	queue                 *fairQueue
	thresholds            *ownerThresholds
	estimates             map[string]*serviceTimeEstimate
	inFlight              int
	inFlightBelowCritical int        // calls in flight below the top priority
	changed               []*Request // calls whose status the latest method has changed
}

// NewGate returns the gate of an instance that has just started.
func NewGate(now time.Time) *Gate {
	return &Gate{
		limiter:    NewLimiter(now),
		queue:      newFairQueue(),
		thresholds: newOwnerThresholds(),
		estimates:  map[string]*serviceTimeEstimate{},
	}
}

// SetRateLimit sets the number of calls per second that the instance accepts; zero
// means that it names no limit.
func (g *Gate) SetRateLimit(now time.Time, perSecond float64) { g.pacer.SetRate(now, perSecond) }

// Offer admits, queues or refuses a call.
func (g *Gate) Offer(now time.Time, r *Request) []*Request {
	g.changed = g.changed[:0]
	g.thresholds.offered(r)
	serviceTime := g.serviceTimeEstimate(r.Route).value(now)
	if missesDeadline(r, now, serviceTime) {
		g.refuse(r, kernel.ReasonDeadline)
		return nil
	}
	r.Status = StatusWaiting
	r.WaitUntil = now.Add(min(max(waitServiceTimes*serviceTime, minWait), maxWait))
	g.queue.push(r, max(serviceTime, time.Millisecond).Seconds())
	g.dispatch(now)
	if g.queue.length > g.queueCapacity() {
		g.refuseQueued(g.queue.callToDrop(), kernel.ReasonOverload)
	}
	return g.exceptOwn(r)
}

// Cancel removes a waiting call because its wait is over or its caller has
// gone.
func (g *Gate) Cancel(now time.Time, r *Request, reason kernel.Reason) []*Request {
	g.changed = g.changed[:0]
	if r.Status != StatusWaiting {
		return nil
	}
	g.refuseQueued(r, reason)
	g.dispatch(now)
	return g.exceptOwn(r)
}

// Completion describes how a running call ended.
type Completion struct {
	// OwnTime is the call's time at the instance without nested calls.
	OwnTime time.Duration
	// Succeeded is set for answers without a server error. Shed is set when the
	// instance itself refused the call for overload.
	Succeeded bool
	Shed      bool
}

// Done removes a running call and starts the next ones.
func (g *Gate) Done(now time.Time, r *Request, completion Completion) []*Request {
	g.changed = g.changed[:0]
	g.limiter.RecordInFlight(g.inFlight)
	g.inFlight--
	if r.Priority != config.PriorityCritical {
		g.inFlightBelowCritical--
	}
	g.recordCompletion(now, r, completion)
	g.dispatch(now)
	return g.changed
}

func (g *Gate) recordCompletion(now time.Time, r *Request, completion Completion) {
	elapsed := now.Sub(r.startedAt)
	switch {
	case completion.Shed:
		g.limiter.RecordShed(now)
	case completion.Succeeded:
		g.serviceTimeEstimate(r.Route).observe(now, elapsed)
		if g.meanServiceTime == 0 {
			g.meanServiceTime = elapsed
		}
		g.meanServiceTime += time.Duration(meanServiceTimeGain * float64(elapsed-g.meanServiceTime))
		g.limiter.Observe(now, r.startedAt, r.Route, completion.OwnTime)
	default:
		g.serviceTimeEstimate(r.Route).observeMinimum(now, elapsed)
	}
}

// Tick updates the thresholds, removes idle customers and starts the calls that the
// rate limit allows by now.
func (g *Gate) Tick(now time.Time) []*Request {
	g.changed = g.changed[:0]
	g.thresholds.tick(now)
	g.queue.removeIdleFlows()
	g.dispatch(now)
	return g.changed
}

// Load returns the load report for an answer to a customer's call. An instance whose
// rate limit allows no call now is reported as full.
func (g *Gate) Load(now time.Time, customer string) kernel.Load {
	limit, inFlight := g.capacity(), g.inFlight
	if !g.pacer.Ready(now) {
		inFlight = max(inFlight, limit)
	}
	return kernel.Load{
		Limit:     limit,
		InFlight:  inFlight,
		Queued:    g.queue.length,
		Threshold: g.thresholds.get(customer),
	}
}

// capacity returns the concurrency limit, or the number of calls that run at once at
// the rate limit, if that is less: by Little's law, the rate times the mean service
// time.
func (g *Gate) capacity() int {
	limit := g.limit()
	if rate := g.pacer.Rate(); rate > 0 {
		limit = min(limit, max(int(math.Ceil(min(rate*g.meanServiceTime.Seconds(), maxLimit))), 1))
	}
	return limit
}

// RetryAfter returns when a refused caller may retry: after the queue ahead of
// it has been served, plus a random delay of up to the same length.
func (g *Gate) RetryAfter(now time.Time, r *Request, random uint64) time.Duration {
	serviceTime := g.serviceTimeEstimate(r.Route).value(now)
	drainTime := serviceTime * time.Duration(g.queue.length+1) / time.Duration(g.limit())
	return withJitter(max(drainTime, g.pacer.Wait(now, g.queue.length+1), minRetryAfter), random)
}

// withJitter returns a random time between d and twice d.
func withJitter(d time.Duration, random uint64) time.Duration {
	return d + time.Duration(random%uint64(max(d, 1)))
}

func (g *Gate) dispatch(now time.Time) {
	for {
		r := g.queue.head()
		if r == nil || !g.canStart(now, r.Priority) {
			return
		}
		serviceTime := g.serviceTimeEstimate(r.Route).value(now)
		switch {
		case now.After(r.WaitUntil):
			g.refuseQueued(r, kernel.ReasonOverload)
		case missesDeadline(r, now, serviceTime):
			g.refuseQueued(r, kernel.ReasonDeadline)
		default:
			g.run(now, r)
		}
	}
}

// canStart reports whether a call of a priority may start.
func (g *Gate) canStart(now time.Time, p config.Priority) bool {
	if g.inFlight >= g.limit() || !g.pacer.Ready(now) {
		return false
	}
	return p == config.PriorityCritical || g.inFlightBelowCritical < g.limiter.Limit()
}

// limit returns the limit for all calls: the limiter's limit for the lower
// priorities and the part reserved for the top priority.
func (g *Gate) limit() int {
	limit := g.limiter.Limit()
	return limit + max(1, limit/criticalReserveDivisor)
}

func (g *Gate) run(now time.Time, r *Request) {
	g.queue.serve(r)
	g.thresholds.ran(r)
	g.inFlight++
	g.pacer.Start(now)
	if r.Priority != config.PriorityCritical {
		g.inFlightBelowCritical++
	}
	g.limiter.RecordInFlight(g.inFlight)
	r.startedAt = now
	r.Status = StatusRunning
	g.changed = append(g.changed, r)
}

func (g *Gate) refuseQueued(r *Request, reason kernel.Reason) {
	g.queue.drop(r)
	g.refuse(r, reason)
	g.changed = append(g.changed, r)
}

func (g *Gate) refuse(r *Request, reason kernel.Reason) {
	r.Status = StatusRefused
	r.Reason = reason
	if reason == kernel.ReasonOverload || reason == kernel.ReasonDeadline {
		g.thresholds.refused(r)
	}
}

// exceptOwn returns the changed calls except r, whose status the caller of the
// method reads itself.
func (g *Gate) exceptOwn(r *Request) []*Request {
	kept := g.changed[:0]
	for _, c := range g.changed {
		if c != r {
			kept = append(kept, c)
		}
	}
	g.changed = kept
	return kept
}

// queueCapacity returns the number of calls that may wait: no more than the rate limit
// allows within the longest wait.
func (g *Gate) queueCapacity() int {
	capacity := max(minQueueLength, queueLengthPerLimit*g.limit())
	if rate := g.pacer.Rate(); rate > 0 {
		capacity = min(capacity, max(int(min(rate*maxWait.Seconds(), maxLimit)), 1))
	}
	return capacity
}

func (g *Gate) serviceTimeEstimate(route string) *serviceTimeEstimate {
	e := g.estimates[route]
	if e == nil {
		e = &serviceTimeEstimate{}
		g.estimates[route] = e
	}
	return e
}

// missesDeadline reports whether a call that starts now would miss its
// deadline.
func missesDeadline(r *Request, now time.Time, serviceTime time.Duration) bool {
	return !r.Deadline.IsZero() && now.Add(serviceTime).After(r.Deadline)
}
