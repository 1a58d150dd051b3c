package retry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Pattern: every attempt at a service fails, from the start or after a time of
// calm, and is repeated as long as the budget allows, at many nodes. In any
// window the repeats stay within ratio and slack over all nodes.
func TestServiceBudgetOverAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 13, 80} {
		for _, perSecond := range []float64{0, 20, 200, 2000} {
			for _, calm := range []time.Duration{0, 5 * time.Second, 2 * time.Minute} {
				checkBudget(t, nodes, perSecond, calm)
			}
		}
	}
}

func checkBudget(t *testing.T, nodes int, perSecond float64, calm time.Duration) {
	bounds := kernel.RetryBounds{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
	const step, length = 50 * time.Millisecond, 40 * time.Second
	rng := rand.New(rand.NewPCG(uint64(nodes), uint64(perSecond)))
	began := time.Unix(1_700_000_000, 0)
	var budgets []*serviceBudget
	for range nodes {
		budgets = append(budgets, newServiceBudget(bounds, nodes, began, rng.Uint64))
	}
	var repeats, firsts []int
	for now := began; now.Before(began.Add(calm + length)); now = now.Add(step) {
		r, f := 0, 0
		for _, b := range budgets {
			for n := perSecond * step.Seconds() / float64(nodes); n > 0 && rng.Float64() < n; n-- {
				b.first()
				f++
			}
			for !now.Before(began.Add(calm)) && b.spend() {
				r++
			}
			b.tick(now, nodes)
		}
		repeats, firsts = append(repeats, r), append(firsts, f)
	}
	window := int(bounds.Window / step)
	for at := window; at < len(repeats); at++ {
		r, f := 0, 0
		for i := at - window; i < at; i++ {
			r += repeats[i]
			f += firsts[i]
		}
		if limit := bounds.Ratio*float64(f) + bounds.Slack; float64(r) > limit {
			t.Fatalf("%d nodes at %g/s, %s of calm: %d repeats in a window, allowed %g", nodes, perSecond, calm, r, limit)
		}
	}
}

// Pattern: all instances of a service break off a part of their answers to calls
// that may be repeated, each call once (aareflot-sched-grown trouble-2, 19 s to
// 24 s). The call is repeated: nothing of its allowance is lent to nested calls,
// which bring their own.
func TestBrokenAnswerIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		allowance  int
		want       int
	}{
		{"safe", true, 1, 2},
		{"safe, twice", true, 2, 3},
		{"not to be repeated", false, 1, 1},
		{"no allowance", true, 0, 1},
	} {
		now := time.Unix(1_700_000_000, 0)
		p := &Plugin{}
		err := p.Provision(&kernel.Host{
			Now: func() time.Time { return now }, Rand: rand.Uint64, Log: slog.New(slog.DiscardHandler),
			Snapshot: func() *state.Snapshot { return &state.Snapshot{Nodes: 1} },
			Retries:  kernel.RetryBounds{Ratio: 0.2, Slack: 48, Window: 10 * time.Second},
		})
		if err != nil {
			t.Fatal(err)
		}
		attempts := 0
		broken := kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
			attempts++
			r := kernel.Unknown(kernel.ReasonUpstream, "answer was not whole")
			r.Owner, r.Dispatched = "n2#1", true
			return r
		})
		call := &kernel.Call{Service: "desk", Idempotent: c.idempotent, Allowance: c.allowance}
		p.WrapEntry(broken).Serve(t.Context(), call)
		if attempts != c.want {
			t.Errorf("%s: %d attempts, want %d", c.name, attempts, c.want)
		}
	}
}
