package selfreport

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Response is what one complete response says about the instance that sent it.
type Response struct {
	// HeadAt is when the head of the response had been read.
	HeadAt time.Time
	// RateLimit is in requests per second; zero if the response names none.
	RateLimit float64
	// RateLimitError is set if a limit that the response names can't be read; it
	// wraps ErrRateLimit. RateLimit is then from the other values, if any.
	RateLimitError error
	Leaving        bool
}

// Tracker holds what the instance beside the node has said. It is safe for
// concurrent use; reading it takes no lock.
type Tracker struct {
	mu    sync.Mutex // held while state is replaced
	state atomic.Pointer[trackerState]
}

// trackerState is immutable.
type trackerState struct {
	incarnation state.Incarnation
	rateLimit   float64
	leaving     bool
	// leavingAt is when the instance had said that it leaves, at the latest.
	leavingAt time.Time
	// at is when the instance last named the rate limit or, without one, when it was
	// first seen to name none; zero if it isn't known whether there is one.
	at time.Time
}

// endDelay is how long after a response that names a rate limit others don't end it:
// responses may cross, and some that an instance makes may lack the header.
const endDelay = 250 * time.Millisecond

// NewTracker returns a tracker of an instance that isn't known yet.
func NewTracker() *Tracker {
	t := &Tracker{}
	t.state.Store(&trackerState{})
	return t
}

// SetInstance sets the incarnation beside the node, and whether it has said outside of
// its responses that it leaves. Another incarnation has said nothing yet.
func (t *Tracker) SetInstance(i state.Incarnation, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.state.Load()
	next := *old
	if !i.Same(old.incarnation) || old.leaving && startedLater(i, old.incarnation, old.leavingAt) {
		next = trackerState{incarnation: i}
	}
	if i.StartedMS != 0 {
		next.incarnation = i
	}
	next.setLeaving(leaving, now)
	if next != *old {
		t.state.Store(&next)
	}
}

// startedLater reports whether next is another run than former, whose start isn't known
// but was before the given time.
func startedLater(next, former state.Incarnation, at time.Time) bool {
	return former.StartedMS == 0 && next.StartedMS > at.UnixMilli()
}

// setLeaving records that the instance has said by the given time that it leaves.
func (s *trackerState) setLeaving(leaving bool, at time.Time) {
	if leaving && !s.leaving {
		s.leaving, s.leavingAt = true, at
	}
}

// setRateLimit records that the instance named a rate limit, or none, at a time.
func (s *trackerState) setRateLimit(limit float64, at time.Time) {
	if at.Before(s.at) || limit == 0 && s.rateLimit > 0 && at.Sub(s.at) < endDelay {
		return
	}
	s.rateLimit, s.at = limit, at
}

// Observe records a response to a request that was sent to the given incarnation.
// It reports whether what is known has changed.
func (t *Tracker) Observe(from state.Incarnation, r Response) bool {
	if s := t.state.Load(); !s.at.IsZero() && s.rateLimit == 0 && r.RateLimit == 0 && s.leaving == r.Leaving && from.Same(s.incarnation) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.state.Load()
	next := *old
	switch {
	case old.incarnation.ID == "":
		next = trackerState{incarnation: from}
	case !from.Same(old.incarnation):
		return false
	}
	next.setLeaving(r.Leaving, r.HeadAt)
	if invalid := r.RateLimitError != nil && r.RateLimit == 0; !invalid {
		next.setRateLimit(r.RateLimit, r.HeadAt)
	}
	t.state.Store(&next)
	return next.rateLimit != old.rateLimit || next.leaving != old.leaving
}

// Adopt records what another node was told by an earlier process of this node. It
// reports whether what is known has changed.
func (t *Tracker) Adopt(r kernel.InstanceReport, now time.Time) bool {
	s := t.state.Load()
	at := now.Add(-r.Age)
	newLimit := r.RateLimit > 0 && at.After(s.at)
	if newLeaving := r.Leaving && !s.leaving; !r.Incarnation.Same(s.incarnation) || !newLimit && !newLeaving {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.state.Load()
	if !r.Incarnation.Same(old.incarnation) {
		return false
	}
	next := *old
	if !startedLater(old.incarnation, r.Incarnation, at) {
		next.setLeaving(r.Leaving, at)
	}
	if r.RateLimit > 0 {
		next.setRateLimit(min(max(r.RateLimit, MinRateLimit), MaxRateLimit), at)
	}
	t.state.Store(&next)
	return next.rateLimit != old.rateLimit || next.leaving != old.leaving
}

// RateLimit returns the rate limit in requests per second; zero means that there is
// none.
func (t *Tracker) RateLimit() float64 { return t.state.Load().rateLimit }

// Leaving reports whether the instance has said that it shuts down.
func (t *Tracker) Leaving() bool { return t.state.Load().leaving }

// Attach adds the report to the load report of an owner's result.
func (t *Tracker) Attach(r *kernel.Result, now time.Time) {
	report := t.Report(now)
	if report == nil {
		return
	}
	if r.Load == nil {
		r.Load = &kernel.Load{}
	}
	r.Load.Report = report
}

// Report returns what the instance has said, or nil if there is nothing to tell.
func (t *Tracker) Report(now time.Time) *kernel.InstanceReport {
	s := t.state.Load()
	if s.rateLimit == 0 && !s.leaving {
		return nil
	}
	at := s.at
	if s.leavingAt.After(at) {
		at = s.leavingAt
	}
	return &kernel.InstanceReport{
		Incarnation: s.incarnation, RateLimit: s.rateLimit, Leaving: s.leaving, Age: max(now.Sub(at), 0),
	}
}
