package sidecar

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	idlePollInterval = 20 * time.Millisecond
	// stopNoticePeriod is the least time for which a stopping node goes on serving,
	// so that callers and other nodes learn of the stop.
	stopNoticePeriod = 2200 * time.Millisecond
	// stopAcceptPeriod is how long a stopping node accepts new requests of
	// callers. A request accepted in this period ends before the stop timeout,
	// or has run for so long that the caller's platform no longer expects an
	// answer. Calls of the instance that come later must be certain to end.
	stopAcceptPeriod = 2700 * time.Millisecond
	// exitMargin is the part of the stop timeout reserved for the process to exit.
	exitMargin = 150 * time.Millisecond
	// answerMargin is the time before that in which the calls that are left are
	// answered.
	answerMargin = 250 * time.Millisecond
	// minLatencyMargin is the least time by which a call may take longer than the longest
	// recent one; a quarter of that is allowed if it is more.
	minLatencyMargin = 100 * time.Millisecond
	// restartTime is about the time from the end of a process until the next one
	// serves. A refused caller is told to return after that, or after stopRetryAfter,
	// since most stops end long before their cut-off.
	restartTime    = 500 * time.Millisecond
	stopRetryAfter = 1200 * time.Millisecond
	// resignTimeout bounds the hand-over of the state that a stopping node owns.
	resignTimeout = time.Second
)

// StopTimes are the times of a planned stop.
type StopTimes struct {
	Began time.Time
	// CutOff is when the calls still in flight are ended and answered, End when the
	// process exits at the latest.
	CutOff, End time.Time
}

// BeginStop begins a planned stop: it makes the node not ready and announces to
// the other nodes that it is draining. The node goes on serving. The stop timeout in
// force at the first call counts.
func (n *Node) BeginStop() StopTimes {
	now := n.host.Now()
	end := now.Add(n.limits.Load().StopTimeout - exitMargin)
	if !n.stop.CompareAndSwap(nil, &StopTimes{Began: now, CutOff: end.Add(-answerMargin), End: end}) {
		return *n.stop.Load()
	}
	n.log.Info("planned stop begins", "in_flight", n.inFlight.Load())
	n.announce()
	n.background.Go(n.resign)
	return *n.stop.Load()
}

// resign hands over the state that the node owns on behalf of the fleet.
func (n *Node) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	n.plugins.Resign(ctx)
}

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool { return n.stop.Load() != nil }

// AwaitIdle waits until the notice period of a planned stop has passed and no
// call is in flight, or until ctx ends. busy reports whether requests of
// callers are being read or wait to be served.
func (n *Node) AwaitIdle(ctx context.Context, busy func() bool) {
	wait.For(ctx, time.Until(n.stop.Load().Began.Add(stopNoticePeriod)))
	for (n.inFlight.Load() > 0 || busy()) && wait.For(ctx, idlePollInterval) {
	}
}

// InFlight returns the number of calls in flight.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }

// CancelCalls ends the calls that other nodes have sent here, so that these nodes get
// their results before the node closes.
func (n *Node) CancelCalls() { n.network.CancelRequests(kernel.ErrNodeStopping) }

// AwaitCancelled waits until the cancelled calls have ended and their results have been
// sent, or until ctx ends.
func (n *Node) AwaitCancelled(ctx context.Context) {
	for n.inFlight.Load() > 0 && wait.For(ctx, idlePollInterval) {
	}
	wait.For(ctx, idlePollInterval) // a call counts as ended before its result is written
}

// RefuseInStop returns the refusal of a call for which a planned stop leaves no time, else
// nil. A stopping node takes new requests of callers for stopAcceptPeriod. In that period it
// takes the calls of its instance, which belong to work already begun, if they are expected to
// end before the node does. Later it takes only those whose deadline passes before: earlier
// calls don't tell how long one takes, and one that is ended by the node may have run.
func (n *Node) RefuseInStop(c *kernel.Call) *kernel.Result {
	now := n.host.Now()
	stop := n.stop.Load()
	if stop == nil {
		if c.Nested() {
			n.latencies.take(c.RouteName, now)
		}
		return nil
	}
	left := stop.CutOff.Sub(now)
	if !c.Nested() {
		if now.Sub(stop.Began) <= stopAcceptPeriod && left > time.Duration(c.TargetLatencyMS)*time.Millisecond {
			return nil
		}
		return kernel.Refuse(kernel.ReasonDraining, "this node is stopping", retryAfterStop(left))
	}
	needed := c.Deadline().Sub(now)
	if now.Sub(stop.Began) <= stopAcceptPeriod {
		expected := n.latencies.expected(c.RouteName, time.Duration(c.TargetLatencyMS)*time.Millisecond, now)
		needed = min(needed, expected+max(expected/4, minLatencyMargin))
	}
	if left > needed {
		n.latencies.take(c.RouteName, now)
		return nil
	}
	return kernel.Refuse(kernel.ReasonDraining, "this node stops before the call could end", retryAfterStop(left))
}

// retryAfterStop returns when a caller refused by a stopping node should return; left is
// the time until the cut-off.
func retryAfterStop(left time.Duration) time.Duration {
	return min(max(left, 0)+restartTime, stopRetryAfter)
}

const (
	// latencyDecay is the factor by which the longest latency of a route decays with
	// every shorter one: it halves in 68 calls.
	latencyDecay = 0.99
	// maxLatencyRoutes bounds the routes in memory. Routes come and go with the
	// configuration; beyond the bound all are learnt anew.
	maxLatencyRoutes = 4096
	// silenceFactor is the expected latency of a call in terms of the time without an
	// answer, if that is longer than any recent call has taken.
	silenceFactor = 3
)

// latencies holds how long the calls of each route take, with their wait and their
// retries. The zero value is empty. It is safe for concurrent use.
type latencies struct {
	byRoute sync.Map     // route name -> *latency
	routes  atomic.Int64 // number of routes
}

// latency holds how long the calls of one route take.
type latency struct {
	longest atomic.Uint64 // the longest recent one in seconds, as the bits of a float64
	// unansweredSince is when the first call was taken since the latest answer, in
	// Unix nanoseconds; zero if none was.
	unansweredSince atomic.Int64
}

// of returns the latency of a route.
func (l *latencies) of(route string) *latency {
	value, ok := l.byRoute.Load(route)
	if !ok {
		if l.routes.Add(1) > maxLatencyRoutes {
			l.byRoute.Clear()
			l.routes.Store(1)
		}
		value, _ = l.byRoute.LoadOrStore(route, new(latency))
	}
	return value.(*latency)
}

// take records that a call has been taken.
func (l *latencies) take(route string, now time.Time) {
	r := l.of(route)
	if r.unansweredSince.Load() == 0 {
		r.unansweredSince.CompareAndSwap(0, now.UnixNano())
	}
}

// record records the latency of a call that has been answered.
func (l *latencies) record(route string, took time.Duration) {
	r := l.of(route)
	r.unansweredSince.Store(0)
	for {
		old := r.longest.Load()
		next := math.Float64bits(max(took.Seconds(), latencyDecay*math.Float64frombits(old)))
		if r.longest.CompareAndSwap(old, next) {
			return
		}
	}
}

// expected returns how long a call that is taken now is expected to take: as long as the
// longest recent one, or the given time if there was none. If none has been answered for
// longer than that, the latency has grown, and a call is expected to take three times the time
// without an answer.
func (l *latencies) expected(route string, unknown time.Duration, now time.Time) time.Duration {
	value, ok := l.byRoute.Load(route)
	if !ok {
		return unknown
	}
	r := value.(*latency)
	longest := time.Duration(math.Float64frombits(r.longest.Load()) * float64(time.Second))
	if longest == 0 {
		longest = unknown
	}
	since := r.unansweredSince.Load()
	if since == 0 {
		return longest
	}
	if silent := now.Sub(time.Unix(0, since)); silent > longest {
		return silenceFactor * silent
	}
	return longest
}
