package admission

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// Parameters of the queue.
const (
	waitMin       = 50 * time.Millisecond
	waitMax       = 500 * time.Millisecond
	waitServices  = 2  // mean service times that a call may wait
	queuePerLimit = 4  // queue length per unit of the limit
	queueMin      = 64 // queue length at the lowest limits
	reservePart   = 10 // the top priority may use a tenth more than the others
	retryAfterMin = 100 * time.Millisecond
)

// Status is where a call stands at the gate.
type Status uint8

// The states of a Request.
const (
	StatusWaiting Status = iota
	StatusRunning
	StatusRefused
)

// Request is one call at the gate of an instance. The exported input fields
// are set before Offer; Status and Reason are written by the gate.
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
	// WaitUntil is when a waiting call has to be given up.
	WaitUntil time.Time

	began time.Time
	start float64 // start tag
	cost  float64 // seconds
	seq   uint64
	index int
	// wake is closed when a waiting call's status has changed.
	wake chan struct{}
}

func (r *Request) class() int {
	if r.Nested {
		return 2 * int(r.Priority)
	}
	return 2*int(r.Priority) + 1
}

// Gate decides which calls run at one instance. It does no I/O and reads no
// clock; calls enter by Offer and leave by Done or Leave. Each method returns
// the other calls whose status it has changed. It is not safe for concurrent
// use.
type Gate struct {
	limiter    *Limiter
	queue      *fairQueue
	thresholds *ownerThresholds
	estimates  map[string]*estimate
	inFlight   int
	lower      int // calls in flight below the top priority
	changed    []*Request
}

// NewGate returns the gate of an instance that has just started.
func NewGate(now time.Time) *Gate {
	return &Gate{
		limiter:    NewLimiter(now),
		queue:      newFairQueue(),
		thresholds: newOwnerThresholds(),
		estimates:  map[string]*estimate{},
	}
}

// Offer admits, queues or refuses a call.
func (g *Gate) Offer(now time.Time, r *Request) []*Request {
	g.changed = g.changed[:0]
	g.thresholds.offered(r)
	service := g.estimate(r.Route).at(now)
	if late(r, now, service) {
		g.refuse(r, kernel.ReasonDeadline)
		return nil
	}
	r.Status = StatusWaiting
	r.WaitUntil = now.Add(min(max(waitServices*service, waitMin), waitMax))
	g.queue.push(r, max(service, time.Millisecond).Seconds())
	g.dispatch(now)
	if g.queue.length > g.capacity() {
		g.giveUp(g.queue.victim(), kernel.ReasonOverload)
	}
	return g.others(r)
}

// Leave removes a waiting call whose time is up or whose caller has gone.
func (g *Gate) Leave(now time.Time, r *Request, reason kernel.Reason) []*Request {
	g.changed = g.changed[:0]
	if r.Status != StatusWaiting {
		return nil
	}
	g.giveUp(r, reason)
	g.dispatch(now)
	return g.others(r)
}

// End tells how a running call ended.
type End struct {
	// Own is the call's time at the instance without nested calls.
	Own time.Duration
	// Answered is set for whole answers; Shed when the answer says that the
	// instance itself is overloaded.
	Answered bool
	Shed     bool
}

// Done takes a running call out and starts the next ones.
func (g *Gate) Done(now time.Time, r *Request, end End) []*Request {
	g.changed = g.changed[:0]
	g.limiter.InFlight(g.inFlight)
	g.inFlight--
	if r.Priority != config.PriorityCritical {
		g.lower--
	}
	g.learn(now, r, end)
	g.dispatch(now)
	return g.changed
}

func (g *Gate) learn(now time.Time, r *Request, end End) {
	took := now.Sub(r.began)
	switch {
	case end.Shed:
		g.limiter.Shed(now)
	case end.Answered:
		g.estimate(r.Route).observe(now, took)
		g.limiter.Observe(now, r.began, r.Route, end.Own)
	default:
		g.estimate(r.Route).atLeast(now, took)
	}
}

// Tick does the periodic work: thresholds and idle customers.
func (g *Gate) Tick(now time.Time) {
	g.thresholds.tick(now)
	g.queue.forget()
}

// Load returns the load report for an answer to a customer's call.
func (g *Gate) Load(customer string) kernel.Load {
	return kernel.Load{
		Limit:     g.limit(),
		InFlight:  g.inFlight,
		Queued:    g.queue.length,
		Threshold: g.thresholds.get(customer),
	}
}

// RetryAfter returns when a refused caller may come back: after the queue in
// front of it has been served, spread over as long again by random.
func (g *Gate) RetryAfter(now time.Time, r *Request, random uint64) time.Duration {
	service := g.estimate(r.Route).at(now)
	drain := service * time.Duration(g.queue.length+1) / time.Duration(g.limit())
	return jitter(max(drain, retryAfterMin), random)
}

// jitter spreads a time evenly over once to twice its length.
func jitter(d time.Duration, random uint64) time.Duration {
	return d + time.Duration(random%uint64(max(d, 1)))
}

func (g *Gate) dispatch(now time.Time) {
	for {
		r := g.queue.head()
		if r == nil || !g.free(r.Priority) {
			return
		}
		service := g.estimate(r.Route).at(now)
		switch {
		case now.After(r.WaitUntil):
			g.giveUp(r, kernel.ReasonOverload)
		case late(r, now, service):
			g.giveUp(r, kernel.ReasonDeadline)
		default:
			g.run(now, r)
		}
	}
}

// free reports whether a call of a priority may start.
func (g *Gate) free(p config.Priority) bool {
	if g.inFlight >= g.limit() {
		return false
	}
	return p == config.PriorityCritical || g.lower < g.limiter.Limit()
}

// limit returns the limit for all calls: that of the limiter for the lower
// priorities, and the part reserved for the top one.
func (g *Gate) limit() int {
	limit := g.limiter.Limit()
	return limit + max(1, limit/reservePart)
}

func (g *Gate) run(now time.Time, r *Request) {
	g.queue.serve(r)
	g.thresholds.ran(r)
	g.inFlight++
	if r.Priority != config.PriorityCritical {
		g.lower++
	}
	g.limiter.InFlight(g.inFlight)
	r.began = now
	r.Status = StatusRunning
	g.changed = append(g.changed, r)
}

func (g *Gate) giveUp(r *Request, reason kernel.Reason) {
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

// others returns the changed calls except r, whose status the caller reads.
func (g *Gate) others(r *Request) []*Request {
	kept := g.changed[:0]
	for _, c := range g.changed {
		if c != r {
			kept = append(kept, c)
		}
	}
	g.changed = kept
	return kept
}

func (g *Gate) capacity() int {
	return max(queueMin, queuePerLimit*g.limit())
}

func (g *Gate) estimate(route string) *estimate {
	e := g.estimates[route]
	if e == nil {
		e = &estimate{}
		g.estimates[route] = e
	}
	return e
}

// late reports whether a call that starts now would miss its deadline.
func late(r *Request, now time.Time, service time.Duration) bool {
	return !r.Deadline.IsZero() && now.Add(service).After(r.Deadline)
}
