package retry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/routing"
)

const treeDepth = 7

// callSpec is a call and the nested calls that its upstream makes.
type callSpec struct {
	idempotent bool
	parallel   bool
	nested     []*callSpec
}

func randomTree(rng *rand.Rand, depth int) *callSpec {
	s := &callSpec{idempotent: rng.IntN(2) == 0, parallel: rng.IntN(2) == 0}
	if depth == treeDepth {
		return s
	}
	for range 1 + rng.IntN(2) {
		s.nested = append(s.nested, randomTree(rng, depth+1))
	}
	return s
}

func (s *callSpec) size() int {
	n := 1
	for _, c := range s.nested {
		n += c.size()
	}
	return n
}

// faults holds the probabilities of the ways in which an attempt can fail.
type faults struct {
	notRun  float64
	unknown float64 // after the nested calls have run
	lost    float64 // after the nested calls have run, with all units lent to it
}

// simFleet runs a tree through retry plug-ins that share no state.
type simFleet struct {
	mu       sync.Mutex
	rng      *rand.Rand
	faults   faults
	attempts int
	retries  int
	now      time.Time
	wrap     func(next kernel.Handler) kernel.Handler
}

func newSimFleet(seed uint64, f faults) *simFleet {
	fl := &simFleet{rng: rand.New(rand.NewPCG(seed, 2)), faults: f, now: time.Unix(1_700_000_000, 0)}
	p := &Plugin{retryRatio: newRetryRatio(fl.now)}
	p.retryRatio.tokensMilli.Store(1 << 40) // not limited here; see TestRetryRatioLimitsRetries
	p.host = &kernel.Host{Now: func() time.Time { return fl.now }, Rand: fl.rand}
	fl.wrap = p.WrapEntry
	return fl
}

func (f *simFleet) rand() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Uint64()
}

func (f *simFleet) hits(probability float64) bool {
	return float64(f.rand()>>11)/(1<<53) < probability
}

func (f *simFleet) call(s *callSpec, depth, allowance int) *kernel.Result {
	c := &kernel.Call{Idempotent: s.idempotent, Depth: depth, Allowance: allowance}
	first := true
	h := f.wrap(kernel.HandlerFunc(func(_ context.Context, c *kernel.Call) *kernel.Result {
		f.mu.Lock()
		f.attempts++
		if !first {
			f.retries++
		}
		f.mu.Unlock()
		first = false
		return f.owner(s, c)
	}))
	return h.Serve(context.Background(), c)
}

// owner simulates the owner node and its upstream.
func (f *simFleet) owner(s *callSpec, c *kernel.Call) *kernel.Result {
	if f.hits(f.faults.notRun) {
		r := kernel.Refuse(kernel.ReasonOverload, "", 0)
		r.Owner = "x"
		return r
	}
	budget := NewBudget(c.Allowance)
	ok := f.runNested(s, c, budget)
	r := &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: http.StatusOK}
	switch {
	case f.hits(f.faults.lost):
		return &kernel.Result{Outcome: kernel.OutcomeUnknown, InstanceLost: true, Owner: "x"}
	case f.hits(f.faults.unknown):
		r = kernel.Unknown(kernel.ReasonUpstream, "")
	case !ok:
		r.Status = http.StatusBadGateway
	}
	r.Owner = "x"
	r.UnusedAllowance = budget.Left()
	return r
}

func (f *simFleet) runNested(s *callSpec, c *kernel.Call, budget *Budget) bool {
	results := make([]bool, len(s.nested))
	run := func(i int) {
		share := budget.Lend()
		r := f.call(s.nested[i], c.Depth+1, share)
		budget.Return(UnusedRetries(share, r))
		results[i] = r.Outcome == kernel.OutcomeAnswered && r.Status < http.StatusInternalServerError
	}
	var wg sync.WaitGroup
	for i := range s.nested {
		if s.parallel {
			wg.Go(func() { run(i) })
			continue
		}
		run(i)
	}
	wg.Wait()
	for _, ok := range results {
		if !ok {
			return false
		}
	}
	return true
}

// Refused attempts run nothing, so a tree makes at most as many attempts as it
// has calls plus its allowance.
func TestAttemptsOfRefusedTreeAreBounded(t *testing.T) {
	for seed := range uint64(200) {
		f := newSimFleet(seed, faults{notRun: 0.5})
		tree := randomTree(f.rng, 1)
		allowance := f.rng.IntN(8)
		r := f.call(tree, 0, allowance)
		if limit := tree.size() + allowance; f.attempts > limit {
			t.Fatalf("seed %d: %d attempts for %d calls and an allowance of %d", seed, f.attempts, tree.size(), allowance)
		}
		if f.retries+r.UnusedAllowance > allowance {
			t.Fatalf("seed %d: %d retries made and %d left of %d", seed, f.retries, r.UnusedAllowance, allowance)
		}
	}
}

// Attempts with an unknown outcome may have run their nested calls, and the
// next attempt runs them again. The retries themselves stay within the
// allowance.
func TestRetriesOfTreeWithUnknownOutcomesAreBounded(t *testing.T) {
	for seed := range uint64(200) {
		f := newSimFleet(seed, faults{notRun: 0.2, unknown: 0.2, lost: 0.2})
		tree := randomTree(f.rng, 1)
		allowance := f.rng.IntN(8)
		r := f.call(tree, 0, allowance)
		if f.retries+r.UnusedAllowance > allowance {
			t.Fatalf("seed %d: %d retries made and %d left of %d", seed, f.retries, r.UnusedAllowance, allowance)
		}
		if limit := tree.size() * (1 + allowance); f.attempts > limit {
			t.Fatalf("seed %d: %d attempts for %d calls and an allowance of %d", seed, f.attempts, tree.size(), allowance)
		}
	}
}

// The baseline exceeds the bound of TestAttemptsOfRefusedTreeAreBounded, which
// shows that the test can fail. Parallel calls draw their faults in any order,
// so a single tree may stay within the bound by chance, but many trees together
// don't.
func TestNaiveAttemptsExceedBound(t *testing.T) {
	const trees, allowance = 50, 3
	attempts, limit := 0, 0
	for seed := range uint64(trees) {
		f := newSimFleet(seed, faults{notRun: 0.5})
		f.wrap = (&Naive{}).WrapEntry
		tree := randomTree(f.rng, 1)
		f.call(tree, 0, allowance)
		attempts += f.attempts
		limit += tree.size() + allowance
	}
	if attempts <= limit {
		t.Fatalf("%d attempts, within the bound of %d", attempts, limit)
	}
	t.Logf("naive: %d attempts, the bound is %d", attempts, limit)
}

func TestBudgetIsConserved(t *testing.T) {
	for n := range 20 {
		b := NewBudget(n)
		lent := 0
		for range 10 {
			lent += b.Lend()
		}
		if lent+b.Left() != n {
			t.Fatalf("budget of %d: lent %d, left %d", n, lent, b.Left())
		}
	}
}

func TestUnusedAllowance(t *testing.T) {
	beforeOwner := kernel.Refuse(kernel.ReasonOverload, "", 0)
	if got := UnusedRetries(3, beforeOwner); got != 3 {
		t.Errorf("refused before any owner: %d unused, want 3", got)
	}
	byOwner := kernel.Refuse(kernel.ReasonOverload, "", 0)
	byOwner.Owner, byOwner.UnusedAllowance = "x", 1
	if got := UnusedRetries(3, byOwner); got != 1 {
		t.Errorf("refused by an owner after two retries: %d unused, want 1", got)
	}
	byOwner.UnusedAllowance = 9
	if got := UnusedRetries(3, byOwner); got != 3 {
		t.Errorf("%d unused of 3", got)
	}
}

func TestRetryableResults(t *testing.T) {
	refuse := func(r kernel.Reason) *kernel.Result { return kernel.Refuse(r, "", 0) }
	cases := []struct {
		name       string
		idempotent bool
		result     *kernel.Result
		want       bool
	}{
		{"overload", false, refuse(kernel.ReasonOverload), true},
		{"draining", false, refuse(kernel.ReasonDraining), true},
		{"no connection", false, refuse(kernel.ReasonNoUpstream), true},
		{"rate", true, refuse(kernel.ReasonRate), false},
		{"quarantine", true, refuse(kernel.ReasonQuarantine), false},
		{"deadline", true, refuse(kernel.ReasonDeadline), false},
		{"unknown", false, kernel.Unknown(kernel.ReasonUpstream, ""), false},
		{"unknown, idempotent", true, kernel.Unknown(kernel.ReasonUpstream, ""), true},
		{"answered with an error", true, &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 503}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := retryable(&kernel.Call{Idempotent: c.idempotent}, c.result); got != c.want {
				t.Errorf("retryable %v, want %v", got, c.want)
			}
		})
	}
}

func TestNoRetryAfterDeadlineOrCancellation(t *testing.T) {
	f := newSimFleet(1, faults{notRun: 1})
	deadline := f.now.Add(time.Second)
	attempts := 0
	h := f.wrap(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
		attempts++
		f.now = deadline
		r := kernel.Refuse(kernel.ReasonOverload, "", 0)
		r.Owner = "x"
		return r
	}))
	h.Serve(context.Background(), &kernel.Call{Allowance: 3, DeadlineMS: deadline.UnixMilli()})
	if attempts != 1 {
		t.Errorf("%d attempts although the deadline had passed", attempts)
	}
	attempts = 0
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.Serve(ctx, &kernel.Call{Allowance: 3})
	if attempts != 1 {
		t.Errorf("%d attempts although the caller had disconnected", attempts)
	}
}

func TestRetryRatioLimitsRetries(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := newRetryRatio(now)
	retries := 0
	for range 1000 {
		r.recordFirstAttempt()
		if r.spend() {
			retries++
		}
	}
	maxRetries := 1000*firstAttemptEarnsMilli/retryCostMilli + ratioBurstMilli/retryCostMilli
	if retries > maxRetries {
		t.Fatalf("%d retries for 1000 first attempts, want at most %d", retries, maxRetries)
	}
	r.tick(now.Add(2 * time.Second))
	if !r.spend() {
		t.Fatal("no retry after two seconds without traffic")
	}
}

func BenchmarkServe(b *testing.B) {
	f := newSimFleet(1, faults{})
	answer := &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
	h := f.wrap(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result { return answer }))
	c := &kernel.Call{Allowance: 3}
	ctx := routing.WithTriedOwners(context.Background())
	b.ReportAllocs()
	for b.Loop() {
		h.Serve(ctx, c)
	}
}
