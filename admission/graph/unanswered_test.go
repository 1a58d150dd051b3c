package graph

import (
	"math/rand/v2"
	"testing"
	"time"
)

// gateCreated is the creation time of gates at which no runs of an earlier
// process are left.
var gateCreated = start.Add(-time.Minute)

// unansweredSim simulates an instance behind a gate in steps of one
// millisecond.
type unansweredSim struct {
	gate      *Gate
	now       time.Time
	durations map[*Ticket]time.Duration // run time or neverAnswered
	cancelled []*Ticket
}

const neverAnswered = time.Duration(-1)

func newUnansweredSim(slots int) *unansweredSim {
	g := NewGate(gateCreated)
	g.SetSlots(slots)
	return &unansweredSim{gate: g, now: start, durations: map[*Ticket]time.Duration{}}
}

// offer offers a call that runs for the given duration.
func (r *unansweredSim) offer(duration time.Duration, idempotent bool) *Ticket {
	t := newTestTicket("read", false, time.Second, r.now)
	if idempotent {
		t.CancelUnanswered = func() { r.cancelled = append(r.cancelled, t) }
	}
	if !r.gate.Offer(r.now, t) {
		return nil
	}
	r.durations[t] = duration
	return t
}

func (r *unansweredSim) step() {
	r.now = r.now.Add(time.Millisecond)
	for t, duration := range r.durations {
		switch {
		case t.state == stateRefused:
			delete(r.durations, t)
		case t.state == stateRunning && duration != neverAnswered && r.now.Sub(t.startedAt) >= duration:
			r.gate.Done(r.now, t, Completion{Succeeded: true})
			delete(r.durations, t)
		}
	}
	for _, t := range r.gate.Unanswered(r.now) {
		t.CancelUnanswered()
		r.gate.Done(r.now, t, Completion{Rejected: true})
		delete(r.durations, t)
	}
}

// An instance never answers a call that it could not queue, while it answers
// all others. An idempotent call must be cancelled long before its deadline; a
// call that is not idempotent must not be cancelled.
func TestUnansweredCallIsCancelledIfIdempotent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		r := newUnansweredSim(8)
		for range 2 * minRunsForLongest {
			r.offer(5*time.Millisecond, true)
			r.step()
		}
		unanswered := r.offer(neverAnswered, idempotent)
		if unanswered == nil {
			t.Fatal("refused")
		}
		offeredAt := r.now
		for len(r.cancelled) == 0 && r.now.Sub(offeredAt) < 2*time.Second {
			r.offer(5*time.Millisecond, true)
			r.step()
		}
		waited := r.now.Sub(offeredAt)
		switch {
		case !idempotent && len(r.cancelled) > 0:
			t.Error("a call that is not idempotent was cancelled")
		case idempotent && (len(r.cancelled) != 1 || r.cancelled[0] != unanswered):
			t.Errorf("cancelled calls: %v, want the unanswered one", r.cancelled)
		case idempotent && waited > time.Second:
			t.Errorf("cancelled after %s, want at most 1s (deadline after 5s)", waited)
		}
	}
}

// An instance that becomes slow as a whole, or whose run times vary widely,
// must not be treated as unresponsive.
func TestSlowInstanceIsNotTakenAsUnresponsive(t *testing.T) {
	cases := map[string]func(rng *rand.Rand, at time.Duration) time.Duration{
		"twenty times slower": func(_ *rand.Rand, at time.Duration) time.Duration {
			if at > time.Second {
				return 400 * time.Millisecond
			}
			return 20 * time.Millisecond
		},
		"stopped for two seconds": func(_ *rand.Rand, at time.Duration) time.Duration {
			if at > time.Second && at < 3*time.Second {
				return 3*time.Second - at
			}
			return 20 * time.Millisecond
		},
		"exponential": func(rng *rand.Rand, _ time.Duration) time.Duration {
			return min(time.Duration(rng.ExpFloat64()*float64(20*time.Millisecond)), 150*time.Millisecond)
		},
	}
	for name, duration := range cases {
		for seed := range uint64(10) {
			rng := rand.New(rand.NewPCG(seed, 7))
			r := newUnansweredSim(16)
			for range 6000 {
				if rng.IntN(2) == 0 {
					r.offer(duration(rng, r.now.Sub(start)), true)
				}
				r.step()
			}
			if len(r.cancelled) > 0 {
				t.Errorf("%s, seed %d: %d calls cancelled", name, seed, len(r.cancelled))
			}
		}
	}
}

// The node beside an instance is killed and restarts while calls of its
// previous process still run. Their slots must stay free until the instance
// reports that they have ended. A wrong report may cost at most half of the
// slots, and only for some seconds.
func TestSlotsReservedForRunsOfEarlierProcess(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		busy  int // reported while one call runs; negative: nothing reported
		want  int
	}{
		"no report yet":         {0, -1, 5},
		"no report for long":    {time.Second, -1, 10},
		"three runs left":       {time.Second, 4, 7},
		"no run left":           {0, 1, 10},
		"wrong report":          {time.Second, 1000, 5},
		"outdated wrong report": {6 * time.Second, 1000, 10},
	}
	for name, c := range cases {
		g := NewGate(start)
		g.SetSlots(10)
		if !g.Offer(start, newTestTicket("read", false, time.Second, start)) {
			t.Fatal("refused")
		}
		if c.busy >= 0 {
			g.ReportLoad(c.busy)
		}
		if got := g.Limit(start.Add(c.after)); got != c.want {
			t.Errorf("%s: limit %d, want %d", name, got, c.want)
		}
	}
}
