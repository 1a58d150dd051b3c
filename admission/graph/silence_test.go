package graph

import (
	"math/rand/v2"
	"testing"
	"time"
)

// settled is the creation of gates at which nothing of an earlier process runs.
var settled = start.Add(-time.Minute)

// silentRig plays an instance with slots behind a gate, in steps of a
// millisecond.
type silentRig struct {
	gate  *Gate
	now   time.Time
	calls map[*Ticket]time.Duration // how long they take; never is not answered
	given []*Ticket
}

const never = time.Duration(-1)

func newSilentRig(slots int) *silentRig {
	g := NewGate(settled)
	g.SetSlots(slots)
	return &silentRig{gate: g, now: start, calls: map[*Ticket]time.Duration{}}
}

// offer brings a call that takes some time.
func (r *silentRig) offer(took time.Duration, repeatable bool) *Ticket {
	t := ticket("read", false, time.Second, r.now)
	if repeatable {
		t.GiveUpSilent = func() { r.given = append(r.given, t) }
	}
	if !r.gate.Offer(r.now, t) {
		return nil
	}
	r.calls[t] = took
	return t
}

func (r *silentRig) step() {
	r.now = r.now.Add(time.Millisecond)
	for t, took := range r.calls {
		switch {
		case t.state == stateRefused:
			delete(r.calls, t)
		case t.state == stateRunning && took != never && r.now.Sub(t.began) >= took:
			r.gate.Done(r.now, t, End{Ran: true})
			delete(r.calls, t)
		}
	}
	for _, t := range r.gate.Silent(r.now) {
		t.GiveUpSilent()
		r.gate.Done(r.now, t, End{Rejected: true})
		delete(r.calls, t)
	}
}

// Pattern: an instance never answers a call that it could not queue, while it
// answers all others (crampon-bv). The call is given up long before its
// deadline if it may be repeated; one that may not is waited for.
func TestCallThatIsNeverAnsweredIsGivenUp(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		r := newSilentRig(8)
		for range 2 * silentKnown {
			r.offer(5*time.Millisecond, true)
			r.step()
		}
		lost := r.offer(never, repeatable)
		if lost == nil {
			t.Fatal("refused")
		}
		began := r.now
		for len(r.given) == 0 && r.now.Sub(began) < 2*time.Second {
			r.offer(5*time.Millisecond, true)
			r.step()
		}
		took := r.now.Sub(began)
		switch {
		case !repeatable && len(r.given) > 0:
			t.Error("a call that must not be repeated was given up")
		case repeatable && (len(r.given) != 1 || r.given[0] != lost):
			t.Errorf("given up: %v", r.given)
		case repeatable && took > time.Second:
			t.Errorf("given up after %s, deadline after 5s", took)
		}
	}
}

// An instance that becomes slow as a whole, or whose runs differ much, is not
// taken for silent.
func TestSlowInstanceIsNotSilent(t *testing.T) {
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
	for name, took := range cases {
		for seed := range uint64(10) {
			rng := rand.New(rand.NewPCG(seed, 7))
			r := newSilentRig(16)
			for range 6000 {
				if rng.IntN(2) == 0 {
					r.offer(took(rng, r.now.Sub(start)), true)
				}
				r.step()
			}
			if len(r.given) > 0 {
				t.Errorf("%s, seed %d: %d calls given up", name, seed, len(r.given))
			}
		}
	}
}

// Pattern: the node beside an instance is killed and starts again while calls
// of its predecessor still run (node_kill, crampon-bv). Their slots stay free
// until the instance tells that they have ended; a false word costs at most
// half of the slots, and for some seconds only.
func TestRunsOfAnEarlierProcessAreCounted(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		busy  int // told while one call runs; negative: nothing told
		want  int
	}{
		"nothing told yet":       {0, -1, 5},
		"nothing told for long":  {time.Second, -1, 10},
		"three are left":         {time.Second, 4, 7},
		"none is left":           {0, 1, 10},
		"a false word":           {time.Second, 1000, 5},
		"a false word, some age": {6 * time.Second, 1000, 10},
	}
	for name, c := range cases {
		g := NewGate(start)
		g.SetSlots(10)
		if !g.Offer(start, ticket("read", false, time.Second, start)) {
			t.Fatal("refused")
		}
		if c.busy >= 0 {
			g.Tell(c.busy)
		}
		if got := g.Limit(start.Add(c.after)); got != c.want {
			t.Errorf("%s: limit %d, want %d", name, got, c.want)
		}
	}
}
