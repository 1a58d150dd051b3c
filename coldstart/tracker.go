package coldstart

import (
	"math"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// rampDoubling is the time in which the rate doubles after the cold time, rampTime
	// the time after which there is no limit.
	rampDoubling = 100 * time.Millisecond
	rampTime     = time.Second
	// maxRemaining bounds the cold time that an instance may name.
	maxRemaining = 10 * time.Minute
)

// Phase is what is known about the instance.
type Phase uint8

// The phases of an instance.
const (
	// PhaseWarm is also that of instances whose service has no cold state.
	PhaseWarm Phase = iota
	PhaseUnknown
	PhaseCold
	// PhaseRamp is the time after the cold time in which the rate rises.
	PhaseRamp
)

// String returns the name used in logs and metrics.
func (p Phase) String() string {
	switch p {
	case PhaseUnknown:
		return "unknown"
	case PhaseCold:
		return "cold"
	case PhaseRamp:
		return "ramp"
	}
	return "warm"
}

// Tracker tracks one instance. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	incarnation state.Incarnation
	// unknownSince is when the instance became unknown; zero if it is known.
	unknownSince time.Time
	// checkWantedSince is when a health check became wanted; zero if none is.
	checkWantedSince time.Time
	// coldUntil is the end of the cold time; zero if none is known.
	coldUntil time.Time
}

// New returns the tracker of an instance about which nothing is known.
func New(now time.Time) *Tracker { return &Tracker{unknownSince: now, checkWantedSince: now} }

// SetInstance sets the incarnation of the instance; another one than before is unknown.
func (t *Tracker) SetInstance(now time.Time, i state.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setInstance(now, i)
}

func (t *Tracker) setInstance(now time.Time, i state.Incarnation) {
	if i.ID == "" {
		return
	}
	if !i.Same(t.incarnation) {
		t.incarnation, t.coldUntil = i, time.Time{}
		t.setUnknown(now)
	}
	if i.StartedMS != 0 {
		t.incarnation = i
	}
}

// SetUnknown makes the instance unknown until the next health check.
func (t *Tracker) SetUnknown(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUnknown(now)
}

func (t *Tracker) setUnknown(now time.Time) { t.unknownSince, t.checkWantedSince = now, now }

// RequestCheck asks for a health check without a limit until then. It is for signs
// of a restart that often have other causes.
func (t *Tracker) RequestCheck(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checkWantedSince.IsZero() {
		t.checkWantedSince = now
	}
}

// Heartbeat records the remaining cold time in a heartbeat of the given incarnation.
func (t *Tracker) Heartbeat(now time.Time, i state.Incarnation, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setInstance(now, i)
	if until := now.Add(clamp(remaining)); remaining > 0 && until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// HealthCheck records the remaining cold time in the response of an incarnation to a
// health check that was sent at the given time. What became unknown later stays so.
func (t *Tracker) HealthCheck(now, sent time.Time, i state.Incarnation, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i.ID == "" || t.checkWantedSince.After(sent) {
		return
	}
	t.setInstance(now, i)
	t.unknownSince, t.checkWantedSince = time.Time{}, time.Time{}
	if remaining > 0 {
		t.coldUntil = now.Add(clamp(remaining))
	} else if t.coldUntil.After(now) {
		t.coldUntil = now
	}
}

// SaysCold reports whether the instance has said that it is cold now, whatever the
// cold start of its service.
func (t *Tracker) SaysCold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.coldUntil)
}

func clamp(remaining time.Duration) time.Duration { return min(remaining, maxRemaining) }

// NeedsCheck reports whether a health check is wanted. An instance that hasn't answered
// one within the cold time of its service is left alone.
func (t *Tracker) NeedsCheck(now time.Time, p config.ColdStart) bool {
	if p.Rate <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.checkWantedSince.IsZero() && now.Sub(t.checkWantedSince) <= p.Duration
}

// Rate returns the phase of the instance and the calls per second that it bears; zero
// means that there is no limit.
func (t *Tracker) Rate(now time.Time, p config.ColdStart) (Phase, float64) {
	if p.Rate <= 0 {
		return PhaseWarm, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	end := t.coldUntil
	if !t.unknownSince.IsZero() {
		if unknownUntil := t.unknownSince.Add(p.Duration); unknownUntil.After(end) {
			end = unknownUntil
			if now.Before(end) {
				return PhaseUnknown, p.Rate
			}
		}
	}
	sinceEnd := now.Sub(end)
	switch {
	case sinceEnd < 0:
		return PhaseCold, p.Rate
	case !end.IsZero() && sinceEnd < rampTime:
		return PhaseRamp, p.Rate * math.Exp2(sinceEnd.Seconds()/rampDoubling.Seconds())
	}
	return PhaseWarm, 0
}
