package admission

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

func newPlugin(t testing.TB) *Plugin {
	snapshot := (&state.Snapshot{}).Index()
	p := &Plugin{}
	err := p.Provision(&kernel.Host{
		Now:      time.Now,
		Rand:     func() uint64 { return 7 },
		Snapshot: func() *state.Snapshot { return snapshot },
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func rootCall(n byte) *kernel.Call {
	id := kernel.CallID{n, 15: n}
	return &kernel.Call{ID: id, Root: id, Customer: "a", Service: "s", RouteName: "r", Priority: config.PriorityNormal}
}

func TestCancelledCallLeavesQueueAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlugin(t)
		release := make(chan struct{})
		owner := p.WrapOwner(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
			<-release
			return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
		}))
		for n := range byte(initialLimit) {
			go owner.Serve(t.Context(), rootCall(n))
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan *kernel.Result)
		go func() { done <- owner.Serve(ctx, rootCall(9)) }()
		synctest.Wait()
		cancelledAt := time.Now()
		cancel()
		r := <-done
		if r.Outcome != kernel.OutcomeNotRun || r.Reason != kernel.ReasonCancelled || time.Since(cancelledAt) != 0 {
			t.Errorf("cancelled call: %v %q after %v", r.Outcome, r.Reason, time.Since(cancelledAt))
		}
		if r.Load == nil || r.Load.Queued != 0 {
			t.Errorf("load after the cancellation: %+v", r.Load)
		}
		ctx, cancel = context.WithTimeout(t.Context(), minWait/2)
		defer cancel()
		if r := owner.Serve(ctx, rootCall(9)); r.Outcome != kernel.OutcomeNotRun || r.Reason != kernel.ReasonDeadline {
			t.Errorf("call whose deadline passed in the queue: %v %q", r.Outcome, r.Reason)
		}
		close(release)
		synctest.Wait()
	})
}

func TestWaitingCallIsRefusedAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlugin(t)
		release := make(chan struct{})
		owner := p.WrapOwner(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
			<-release
			return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
		}))
		for n := range byte(initialLimit) {
			go owner.Serve(t.Context(), rootCall(n))
		}
		synctest.Wait()
		offeredAt := time.Now()
		r := owner.Serve(t.Context(), rootCall(9))
		if r.Outcome != kernel.OutcomeNotRun || r.Reason != kernel.ReasonOverload || r.RetryAfter <= 0 {
			t.Errorf("call that waited too long: %v %q, retry after %v", r.Outcome, r.Reason, r.RetryAfter)
		}
		if waited := time.Since(offeredAt); waited > maxWait {
			t.Errorf("waited %v", waited)
		}
		close(release)
		synctest.Wait()
	})
}

// The time that a call waits for a nested call doesn't count as its own time.
func TestOwnTimeExcludesNestedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlugin(t)
		nested := p.WrapEntry(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
			time.Sleep(90 * time.Millisecond)
			return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
		}))
		owner := p.WrapOwner(kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
			time.Sleep(10 * time.Millisecond)
			nestedCall := *c
			nestedCall.Depth, nestedCall.RouteName = 1, "below"
			nested.Serve(ctx, &nestedCall)
			return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
		}))
		owner.Serve(t.Context(), rootCall(1))
		r := p.gate.limiter.routes["r"]
		if own := time.Duration(r.sum * float64(time.Second)).Round(time.Millisecond); own != 10*time.Millisecond {
			t.Errorf("own time %v, want 10ms", own)
		}
	})
}

// answerWithThreshold returns a handler that answers as an owner with a
// threshold.
func answerWithThreshold(owner state.MemberID, threshold uint32) kernel.HandlerFunc {
	return func(context.Context, *kernel.Call) *kernel.Result {
		return &kernel.Result{
			Outcome: kernel.OutcomeAnswered, Status: 200, Owner: owner,
			Load: &kernel.Load{Limit: 10, Threshold: threshold},
		}
	}
}

// middleOfNormal is a threshold in the middle of the normal priority's band.
const middleOfNormal = uint32(config.PriorityNormal)<<priorityShift | 1<<(priorityShift-1)

func TestEntryShedsTheSameNewTreesEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newPlugin(t), newPlugin(t)
		chains := []kernel.Handler{
			first.WrapEntry(answerWithThreshold("x", middleOfNormal)),
			second.WrapEntry(answerWithThreshold("x", middleOfNormal)),
		}
		for _, chain := range chains {
			chain.Serve(t.Context(), withPriority(0, config.PriorityCritical))
		}
		shed := 0
		for n := range byte(200) {
			a := chains[0].Serve(t.Context(), rootCall(n))
			b := chains[1].Serve(t.Context(), rootCall(n))
			if a.Outcome != b.Outcome {
				t.Fatalf("tree %d: %v at one node, %v at the other", n, a.Outcome, b.Outcome)
			}
			if a.Outcome == kernel.OutcomeNotRun {
				shed++
			}
			nested := rootCall(n)
			nested.Depth = 1
			if chains[0].Serve(t.Context(), nested).Outcome == kernel.OutcomeNotRun {
				t.Fatalf("tree %d: nested call shed", n)
			}
			if chains[0].Serve(t.Context(), withPriority(n, config.PriorityCritical)).Outcome == kernel.OutcomeNotRun {
				t.Fatalf("tree %d: top priority shed", n)
			}
		}
		if shed < 50 || shed > 150 {
			t.Errorf("%d of 200 trees shed at half of the priority's band", shed)
		}
	})
}

// The load reported by a draining node carries neither limit nor threshold.
func TestLoadWithoutLimitSetsNoThreshold(t *testing.T) {
	p := newPlugin(t)
	chain := p.WrapEntry(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
		r := kernel.Refuse(kernel.ReasonDraining, "", 0)
		r.Load = &kernel.Load{Draining: true}
		return r
	}))
	for n := range byte(2) {
		if r := chain.Serve(t.Context(), rootCall(n)); r.Reason != kernel.ReasonDraining {
			t.Fatalf("call %d: %q", n, r.Reason)
		}
	}
}

func TestSheddingInstanceLowersLimit(t *testing.T) {
	now := simStart
	l := NewLimiter(now)
	l.setLimit(100)
	for range 2 * maxWindowSamples {
		l.RecordInFlight(100)
		l.RecordShed(now)
		now = now.Add(time.Millisecond)
		l.Observe(now, now, "r", time.Millisecond)
	}
	if l.Limit() >= 100 {
		t.Fatalf("limit %d although the instance sheds", l.Limit())
	}
	l.setLimit(100)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		l.RecordShed(now)
	}
	if l.Limit() >= 50 {
		t.Fatalf("limit %d although the instance sheds all calls for a second", l.Limit())
	}
	for _, r := range []*kernel.Result{
		kernel.Refuse(kernel.ReasonOverload, "", 0),
		{Outcome: kernel.OutcomeAnswered, Status: 503},
	} {
		if !shedByInstance(r) {
			t.Errorf("not recognized as shedding: %v %d", r.Outcome, r.Status)
		}
	}
}

func withPriority(n byte, p config.Priority) *kernel.Call {
	c := rootCall(n)
	c.Priority = p
	return c
}

func TestThresholdExpiresAndFreeOwnerAdmits(t *testing.T) {
	now := simStart
	key := routeKey{"r", "a"}
	var l learnedThresholds
	l.recordThreshold(key, thresholdReport{"s", "x", middleOfNormal, now})
	if got := l.threshold(key, now.Add(thresholdHoldTime)); got != middleOfNormal {
		t.Fatalf("threshold %x, want %x", got, middleOfNormal)
	}
	if got := l.threshold(key, now.Add(thresholdExpiry)); got != MaxThreshold {
		t.Fatalf("threshold %x after its expiry", got)
	}
	rank := middleOfNormal + 1<<28
	admitsAt := now.Add(l.admitsIn(key, rank, now) + time.Millisecond)
	if got := l.threshold(key, admitsAt); !admits(got, rank) {
		t.Fatalf("rank %x still shed at threshold %x after the predicted time", rank, got)
	}
	l.recordThreshold(key, thresholdReport{"s", "y", MaxThreshold, now})
	if got := l.threshold(key, now); got != MaxThreshold {
		t.Fatalf("threshold %x although an owner is free", got)
	}
	l.recordThreshold(key, thresholdReport{"t", "z", middleOfNormal, now})
	if got := l.threshold(key, now); got != middleOfNormal {
		t.Fatalf("threshold %x although a second service sheds", got)
	}
}

// A threshold that circulates in a cycle of services opens after a bounded
// number of relays.
func TestRelayedThresholdOpensInCycles(t *testing.T) {
	threshold, relays := middleOfNormal, 0
	for threshold < MaxThreshold-bucketWidth {
		threshold = relayedThreshold(threshold)
		relays++
		if relays > 10*relayOpeningDivisor {
			t.Fatal("threshold still sheds after 10 times relayOpeningDivisor relays")
		}
	}
}

// The owner's threshold falls under overload, stays out of the top priority's
// band, and admits all calls again within five seconds after the overload.
func TestOwnerThresholdFollowsOverload(t *testing.T) {
	for _, seed := range seeds {
		m := newSimInstance(seed, 10, 20*time.Millisecond)
		normal := func() *Request { return m.call("a", config.PriorityNormal) }
		m.arrivals(1500, 10*time.Second, normal)
		m.arrivals(400, 20*time.Second, normal)
		m.run(10 * time.Second)
		if got := m.gate.Load(m.now, "a").Threshold; got == MaxThreshold || got < minThreshold {
			t.Errorf("seed %d: threshold %x under overload", seed, got)
		}
		if got := m.gate.Load(m.now, "b").Threshold; got != MaxThreshold {
			t.Errorf("seed %d: threshold %x for a customer without calls", seed, got)
		}
		m.run(15 * time.Second)
		if got := m.gate.Load(m.now, "a").Threshold; got != MaxThreshold {
			t.Errorf("seed %d: threshold %x five seconds after the overload", seed, got)
		}
	}
}

func BenchmarkOwnerAdmit(b *testing.B) {
	p := newPlugin(b)
	owner := p.WrapOwner(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
		return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
	}))
	c := rootCall(1)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		owner.Serve(ctx, c)
	}
}

func BenchmarkOwnerAdmitParallel(b *testing.B) {
	p := newPlugin(b)
	p.gate.limiter.setLimit(maxLimit)
	owner := p.WrapOwner(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
		return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200}
	}))
	b.RunParallel(func(pb *testing.PB) {
		c := rootCall(1)
		for pb.Next() {
			owner.Serve(context.Background(), c)
		}
	})
}

// BenchmarkCustomerState measures the memory of one more active customer.
func BenchmarkCustomerState(b *testing.B) {
	g := NewGate(simStart)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r := &Request{Customer: strconv.Itoa(n), Route: "r"}
		g.Offer(simStart, r)
		g.Done(simStart, r, Completion{Succeeded: true, OwnTime: time.Millisecond})
	}
}

func BenchmarkEntryShed(b *testing.B) {
	p := newPlugin(b)
	c := rootCall(1)
	now := time.Now()
	for _, owner := range []state.MemberID{"x", "y", "z"} {
		p.entry.recordThreshold(routeKey{"r", "a"}, thresholdReport{"s", owner, middleOfNormal, now.Add(time.Hour)})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.shed(c)
	}
}
