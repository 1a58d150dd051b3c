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

// Every attempt at a service fails, from the start or after a time without
// failures, and is retried at many nodes as long as the budget allows. In any
// window the retries of all nodes together must stay within ratio and slack.
func TestServiceBudgetBoundsRetriesOfAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 13, 80} {
		for _, callsPerSecond := range []float64{0, 20, 200, 2000} {
			for _, healthyFor := range []time.Duration{0, 5 * time.Second, 2 * time.Minute} {
				checkBudget(t, nodes, callsPerSecond, healthyFor)
			}
		}
	}
}

func checkBudget(t *testing.T, nodes int, callsPerSecond float64, healthyFor time.Duration) {
	bounds := kernel.RetryBounds{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
	const step, length = 50 * time.Millisecond, 40 * time.Second
	rng := rand.New(rand.NewPCG(uint64(nodes), uint64(callsPerSecond)))
	start := time.Unix(1_700_000_000, 0)
	var budgets []*serviceBudget
	for range nodes {
		budgets = append(budgets, newServiceBudget(bounds, nodes, start, rng.Uint64))
	}
	var retriesPerStep, firstsPerStep []int
	for now := start; now.Before(start.Add(healthyFor + length)); now = now.Add(step) {
		r, f := 0, 0
		for _, b := range budgets {
			for n := callsPerSecond * step.Seconds() / float64(nodes); n > 0 && rng.Float64() < n; n-- {
				b.recordFirstAttempt()
				f++
			}
			for !now.Before(start.Add(healthyFor)) && b.spend() {
				r++
			}
			b.tick(now, nodes)
		}
		retriesPerStep, firstsPerStep = append(retriesPerStep, r), append(firstsPerStep, f)
	}
	window := int(bounds.Window / step)
	for at := window; at < len(retriesPerStep); at++ {
		r, f := 0, 0
		for i := at - window; i < at; i++ {
			r += retriesPerStep[i]
			f += firstsPerStep[i]
		}
		if limit := bounds.Ratio*float64(f) + bounds.Slack; float64(r) > limit {
			t.Fatalf("%d nodes at %g/s, %s without failures: %d retries in a window, allowed %g", nodes, callsPerSecond, healthyFor, r, limit)
		}
	}
}

// All instances of a service break off some of their answers to idempotent
// calls, once per call. The call must be retried: its allowance must not be
// lent to nested calls, which bring their own.
func TestIncompleteAnswerIsRetriedIfIdempotent(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		allowance  int
		want       int
	}{
		{"idempotent", true, 1, 2},
		{"idempotent, two retries", true, 2, 3},
		{"not idempotent", false, 1, 1},
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
		incomplete := kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
			attempts++
			r := kernel.Unknown(kernel.ReasonUpstream, "incomplete answer")
			r.Owner, r.Dispatched = "n2#1", true
			return r
		})
		call := &kernel.Call{Service: "desk", Idempotent: c.idempotent, Allowance: c.allowance}
		p.WrapEntry(incomplete).Serve(t.Context(), call)
		if attempts != c.want {
			t.Errorf("%s: %d attempts, want %d", c.name, attempts, c.want)
		}
	}
}
