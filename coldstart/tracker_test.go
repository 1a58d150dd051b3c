package coldstart

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/admission/pace"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	policy = config.ColdStart{Duration: 3 * time.Second, Rate: 7.5}
	first  = state.Incarnation{ID: "i-1", StartedMS: 1000}
)

func at(d time.Duration) time.Time { return start.Add(d) }

// wantPhase checks the phase at a time after start, and that the instance is limited
// exactly in the phases that have a limit.
func wantPhase(t *testing.T, tr *Tracker, after time.Duration, want Phase) {
	t.Helper()
	got, rate := tr.Rate(at(after), policy)
	if got != want {
		t.Errorf("after %s: phase %s, want %s", after, got, want)
	}
	if (rate > 0) != (got != PhaseWarm) {
		t.Errorf("after %s: rate %g in phase %s", after, rate, got)
	}
}

// checked returns the tracker of an instance that has just said how long it is cold.
func checked(remaining time.Duration) *Tracker {
	tr := New(start)
	tr.SetInstance(start, first)
	tr.HealthCheck(start, start, first, remaining)
	return tr
}

// Guards against full load for an instance of which nothing is known, as after the
// restart of the node beside it.
func TestUnknownUntilHealthCheck(t *testing.T) {
	tr := New(start)
	tr.SetInstance(at(100*time.Millisecond), first)
	tr.Heartbeat(at(200*time.Millisecond), first, 0)
	wantPhase(t, tr, 300*time.Millisecond, PhaseUnknown)
	if !tr.NeedsCheck(at(300*time.Millisecond), policy) {
		t.Error("no health check is wanted")
	}
	tr.HealthCheck(at(400*time.Millisecond), at(390*time.Millisecond), first, 0)
	wantPhase(t, tr, 400*time.Millisecond, PhaseWarm)
	if tr.NeedsCheck(at(400*time.Millisecond), policy) {
		t.Error("a health check is wanted although one has been answered")
	}
}

// Guards against the end of the limit when a heartbeat that was sent earlier, or that
// was rounded down, arrives after the health check.
func TestLateHeartbeatDoesNotShortenColdTime(t *testing.T) {
	tr := checked(2 * time.Second)
	for _, remaining := range []time.Duration{0, time.Millisecond, -time.Second} {
		tr.Heartbeat(at(500*time.Millisecond), first, remaining)
		wantPhase(t, tr, 1900*time.Millisecond, PhaseCold)
	}
	wantPhase(t, tr, 2100*time.Millisecond, PhaseRamp)
	wantPhase(t, tr, 3100*time.Millisecond, PhaseWarm)
}

// Guards against the response of the former instance being taken for that of its
// successor, of which nothing is known.
func TestHealthCheckSentBeforeRestartDoesNotCount(t *testing.T) {
	tr := checked(0)
	sent := at(time.Second)
	tr.SetUnknown(at(1010 * time.Millisecond))
	tr.HealthCheck(at(1020*time.Millisecond), sent, first, 0)
	wantPhase(t, tr, 1020*time.Millisecond, PhaseUnknown)
	tr.HealthCheck(at(1040*time.Millisecond), at(1030*time.Millisecond), first, 2*time.Second)
	wantPhase(t, tr, 1040*time.Millisecond, PhaseCold)
}

// Guards against an instance that restarts under its ID keeping the state of its
// former run, and against the reverse: a start that was only not known before.
func TestSameIDWithLaterStartIsUnknown(t *testing.T) {
	tr := New(start)
	tr.HealthCheck(start, start, state.Incarnation{ID: first.ID}, 0)
	tr.Heartbeat(at(time.Second), first, 0)
	wantPhase(t, tr, time.Second, PhaseWarm)
	later := state.Incarnation{ID: first.ID, StartedMS: first.StartedMS + 1}
	tr.Heartbeat(at(2*time.Second), later, 0)
	wantPhase(t, tr, 2*time.Second, PhaseUnknown)
	if !tr.NeedsCheck(at(2*time.Second), policy) {
		t.Error("no health check is wanted")
	}
}

// Guards against full load after the response of another instance at the address, and
// against responses without an ID.
func TestAnotherInstanceIsUnknownUntilItAnswers(t *testing.T) {
	tr := checked(0)
	next := state.Incarnation{ID: "i-2"}
	tr.SetInstance(at(time.Second), next)
	wantPhase(t, tr, time.Second, PhaseUnknown)
	tr.HealthCheck(at(1100*time.Millisecond), at(1050*time.Millisecond), state.Incarnation{}, 0)
	wantPhase(t, tr, 1100*time.Millisecond, PhaseUnknown)
	tr.HealthCheck(at(1200*time.Millisecond), at(1150*time.Millisecond), next, time.Second)
	wantPhase(t, tr, 1200*time.Millisecond, PhaseCold)
}

// Guards against full load for an instance that becomes cold while it runs.
func TestColdAgainWhileRunning(t *testing.T) {
	tr := checked(0)
	wantPhase(t, tr, 10*time.Second, PhaseWarm)
	tr.Heartbeat(at(10*time.Second), first, 2*time.Second)
	wantPhase(t, tr, 10*time.Second, PhaseCold)
	wantPhase(t, tr, 11900*time.Millisecond, PhaseCold)
	wantPhase(t, tr, 12100*time.Millisecond, PhaseRamp)
	wantPhase(t, tr, 13*time.Second, PhaseWarm)
}

// Guards against full load for a cold instance while its node has no configuration,
// and so no policy.
func TestSaysColdWithoutPolicy(t *testing.T) {
	tr := New(start)
	if tr.SaysCold(start) {
		t.Error("an instance that has said nothing is taken for cold")
	}
	tr.Heartbeat(start, first, 2*time.Second)
	if !tr.SaysCold(at(1900*time.Millisecond)) || tr.SaysCold(at(2*time.Second)) {
		t.Error("the cold time in the heartbeat isn't kept")
	}
}

// Guards against a sign that often has other causes than a restart limiting a warm
// instance, and against the check that it asks for being left out.
func TestRequestedCheckDoesNotLimit(t *testing.T) {
	tr := checked(0)
	tr.RequestCheck(at(time.Second))
	wantPhase(t, tr, time.Second, PhaseWarm)
	if !tr.NeedsCheck(at(time.Second), policy) {
		t.Error("no health check is wanted")
	}
	tr.HealthCheck(at(1020*time.Millisecond), at(1010*time.Millisecond), first, 3*time.Second)
	wantPhase(t, tr, 1020*time.Millisecond, PhaseCold)
}

// Guards against the whole load arriving at once at the end of the cold time, or when
// an unknown instance has not answered for the cold time.
func TestRampHasNoStep(t *testing.T) {
	const step = 10 * time.Millisecond
	for name, tr := range map[string]*Tracker{"cold": checked(policy.Duration), "unknown": New(start)} {
		last := policy.Rate
		for after := time.Duration(0); after < policy.Duration+rampTime; after += step {
			phase, rate := tr.Rate(at(after), policy)
			if ratio := rate / last; phase == PhaseWarm || ratio < 1 || ratio > 1.08 {
				t.Fatalf("%s: rate %g after %s, %g before, phase %s", name, rate, after, last, phase)
			}
			last = rate
		}
		if last < 500*policy.Rate {
			t.Errorf("%s: rate %g at the end of the ramp", name, last)
		}
		wantPhase(t, tr, policy.Duration+rampTime, PhaseWarm)
	}
}

// Guards against a limit or a health check where a service has no usable cold start.
func TestPoliciesWithoutEffect(t *testing.T) {
	for _, p := range []config.ColdStart{{}, {Duration: time.Second}, {Duration: time.Second, Rate: -1}, {Rate: math.Inf(-1)}} {
		tr := New(start)
		tr.Heartbeat(start, first, time.Second)
		if phase, rate := tr.Rate(start, p); phase != PhaseWarm || rate != 0 || tr.NeedsCheck(start, p) {
			t.Errorf("%+v: phase %s, rate %g", p, phase, rate)
		}
	}
}

// Guards against a limit without end where the policy names no cold time, and against
// one that an instance asks for without bound.
func TestLimitEnds(t *testing.T) {
	for _, d := range []time.Duration{0, -time.Second} {
		tr := New(start)
		p := config.ColdStart{Duration: d, Rate: policy.Rate}
		if phase, _ := tr.Rate(at(rampTime), p); phase != PhaseWarm {
			t.Errorf("cold time %s: phase %s after the ramp", d, phase)
		}
		tr.Heartbeat(at(time.Minute), first, 2*time.Second)
		if phase, _ := tr.Rate(at(61*time.Second), p); phase != PhaseCold {
			t.Errorf("cold time %s: phase %s while the instance says that it is cold", d, phase)
		}
	}
	for _, tr := range []*Tracker{checked(math.MaxInt64), checked(0)} {
		tr.Heartbeat(start, first, math.MaxInt64)
		wantPhase(t, tr, maxRemaining+rampTime, PhaseWarm)
	}
}

// Guards against a limit and health checks without end for an instance that never
// answers one.
func TestUnansweredHealthChecksEnd(t *testing.T) {
	tr := New(start)
	tr.SetInstance(start, first)
	wantPhase(t, tr, policy.Duration-time.Millisecond, PhaseUnknown)
	wantPhase(t, tr, policy.Duration, PhaseRamp)
	wantPhase(t, tr, policy.Duration+rampTime, PhaseWarm)
	if !tr.NeedsCheck(at(policy.Duration), policy) || tr.NeedsCheck(at(policy.Duration+time.Millisecond), policy) {
		t.Error("health checks don't end with the cold time")
	}
}

// Guards against a clock that is set back lifting the limit, and against the limit
// outlasting the time at which it would have ended.
func TestClockSetBack(t *testing.T) {
	for name, tr := range map[string]*Tracker{"unknown": New(start), "cold": checked(policy.Duration)} {
		for _, after := range []time.Duration{time.Second, -time.Hour, 0, policy.Duration - time.Millisecond} {
			if phase, rate := tr.Rate(at(after), policy); rate != policy.Rate {
				t.Errorf("%s: after %s rate %g in phase %s, want %g", name, after, rate, phase, policy.Rate)
			}
		}
		wantPhase(t, tr, policy.Duration+rampTime, PhaseWarm)
	}
}

// coldRun starts calls as a gate that follows a tracker does, in steps of a
// millisecond, while more calls wait than may start. It returns the times of starts.
func coldRun(p config.ColdStart, length time.Duration, events map[time.Duration]func(tr *Tracker, now time.Time)) []time.Time {
	var pacer pace.Pacer
	var starts []time.Time
	tr := New(start)
	tr.SetInstance(start, first)
	for after := time.Duration(0); after < length; after += time.Millisecond {
		now := at(after)
		if event := events[after]; event != nil {
			event(tr, now)
		}
		_, rate := tr.Rate(now, p)
		pacer.SetRate(now, rate)
		for rate > 0 && pacer.Ready(now) {
			pacer.Start(now)
			starts = append(starts, now)
		}
	}
	return starts
}

func mostInSecond(times []time.Time) int {
	most, from := 0, 0
	for i, now := range times {
		for now.Sub(times[from]) > time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against more calls than a cold instance bears: in any second at most 1.5 times
// its rate and 8, from the first moment at which it is unknown to the end of the cold
// time, and no fewer than the rate allows.
func TestColdInstanceGetsNoMoreThanBound(t *testing.T) {
	check := func(remaining time.Duration) func(*Tracker, time.Time) {
		return func(tr *Tracker, now time.Time) { tr.HealthCheck(now, now, first, remaining) }
	}
	heartbeat := func(i state.Incarnation, remaining time.Duration) func(*Tracker, time.Time) {
		return func(tr *Tracker, now time.Time) { tr.Heartbeat(now, i, remaining) }
	}
	unknown := func(tr *Tracker, now time.Time) { tr.SetUnknown(now) }
	restarted := state.Incarnation{ID: first.ID, StartedMS: first.StartedMS + 1}
	type events = map[time.Duration]func(*Tracker, time.Time)
	cases := []struct {
		name    string
		coldFor time.Duration
		events  events
	}{
		{"no answer", policy.Duration, nil},
		{"answer", 2500 * time.Millisecond, events{40 * time.Millisecond: check(2460 * time.Millisecond)}},
		{"late heartbeats", 2500 * time.Millisecond, events{
			40 * time.Millisecond: check(2460 * time.Millisecond), time.Second: heartbeat(first, 0), 2 * time.Second: heartbeat(first, 100*time.Millisecond),
		}},
		{"restart", 4800 * time.Millisecond, events{
			40 * time.Millisecond: check(2960 * time.Millisecond), 1800 * time.Millisecond: heartbeat(restarted, 0),
			1850 * time.Millisecond: check(2950 * time.Millisecond),
		}},
		{"restart in the ramp", 6100 * time.Millisecond, events{
			40 * time.Millisecond: check(2960 * time.Millisecond), 3100 * time.Millisecond: unknown, 3150 * time.Millisecond: check(2950 * time.Millisecond),
		}},
	}
	for _, rate := range []float64{0.5, 1, 7.5, 20, 60, 400} {
		for _, c := range cases {
			p := config.ColdStart{Duration: policy.Duration, Rate: rate}
			starts := coldRun(p, c.coldFor, c.events)
			if got, bound := float64(mostInSecond(starts)), 1.5*rate+8; got > bound {
				t.Errorf("rate %g, %s: %g starts in a second, want at most %g", rate, c.name, got, bound)
			}
			if got, least := float64(len(starts)), rate*(c.coldFor.Seconds()-0.5)-1; got < least {
				t.Errorf("rate %g, %s: %g starts, want at least %g", rate, c.name, got, least)
			}
		}
	}
}
