package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

var seeds = []uint64{1, 2, 3}

// testPlugin is a routing plug-in in failure domain "a" with a simulated clock;
// answer simulates the owners.
type testPlugin struct {
	*Plugin
	now      time.Time
	snapshot *state.Snapshot
	calls    map[state.MemberID]int
	answer   func(m state.Member) *kernel.Result
}

// newTestPlugin returns a testPlugin with members named like "a3": failure
// domain and number.
func newTestPlugin(t testing.TB, seed uint64, self string, names ...string) *testPlugin {
	b := &testPlugin{Plugin: &Plugin{}, now: time.Unix(1_700_000_000, 0), calls: map[state.MemberID]int{}}
	b.setMembers(names...)
	b.answer = func(state.Member) *kernel.Result { return succeeded() }
	rng := rand.New(rand.NewPCG(seed, 3))
	err := b.Provision(&kernel.Host{
		Self:     state.Member{ID: state.MemberID(self), Domain: "a"},
		Now:      func() time.Time { return b.now },
		Rand:     rng.Uint64,
		Snapshot: func() *state.Snapshot { return b.snapshot },
		Forward: func(_ context.Context, m state.Member, _ *kernel.Call) *kernel.Result {
			b.calls[m.ID]++
			return b.answer(m)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *testPlugin) setMembers(names ...string) {
	members := map[state.MemberID]state.Member{}
	for _, n := range names {
		id := state.MemberID(n)
		members[id] = state.Member{ID: id, Service: "s", Domain: n[:1]}
	}
	b.snapshot = (&state.Snapshot{Members: members}).Index()
}

func (b *testPlugin) sendCalls(ctx context.Context, n int) *kernel.Result {
	var r *kernel.Result
	for range n {
		r = b.serve(ctx, &kernel.Call{Service: "s"})
	}
	return r
}

func (b *testPlugin) owner(id state.MemberID) *owner { return b.current().owners[id] }

func succeeded() *kernel.Result { return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200} }

func lostCall() *kernel.Result {
	return &kernel.Result{Outcome: kernel.OutcomeUnknown, InstanceLost: true, Reason: kernel.ReasonUpstream}
}

func answerWithLoad(limit, inFlight int) *kernel.Result {
	r := succeeded()
	r.Load = &kernel.Load{Limit: limit, InFlight: inFlight}
	return r
}

func TestNoUpstream(t *testing.T) {
	b := newTestPlugin(t, 1, "x")
	r := b.sendCalls(t.Context(), 1)
	if r.Outcome != kernel.OutcomeNotRun || r.Reason != kernel.ReasonNoUpstream {
		t.Fatalf("%v %q", r.Outcome, r.Reason)
	}
}

func TestOwnInstanceThenOwnDomainIsPreferred(t *testing.T) {
	b := newTestPlugin(t, 1, "a1", "a1", "a2", "b1", "b2")
	b.sendCalls(t.Context(), 100)
	if b.calls["a1"] != 100 {
		t.Errorf("calls %v, want all at the node's own instance", b.calls)
	}
	b.owner("a1").outstanding.Store(3)
	b.sendCalls(t.Context(), 100)
	if b.calls["a2"] != 100 {
		t.Errorf("calls %v, want the second hundred at a2", b.calls)
	}
}

func TestCallsSpillOverOnlyOnReportedPressure(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "a2", "b1")
	for _, id := range []state.MemberID{"a1", "a2"} {
		b.owner(id).outstanding.Store(defaultLimit)
	}
	b.sendCalls(t.Context(), 10)
	if b.calls["b1"] != 0 {
		t.Errorf("%d calls left the domain without a report", b.calls["b1"])
	}
	b.answer = func(m state.Member) *kernel.Result {
		if m.Domain == "a" {
			return answerWithLoad(10, 20)
		}
		return answerWithLoad(10, 0)
	}
	b.sendCalls(t.Context(), 50)
	if b.calls["b1"] < 30 {
		t.Errorf("%d of 50 calls left a domain at twice its limit", b.calls["b1"])
	}
	b.calls["b1"] = 0
	b.now = b.now.Add(5 * reportHalfLife)
	b.answer = func(state.Member) *kernel.Result { return answerWithLoad(10, 0) }
	b.sendCalls(t.Context(), 50)
	if b.calls["b1"] != 0 {
		t.Errorf("%d calls left the domain although the reports are old", b.calls["b1"])
	}
}

// Each failure domain has one instance of a service, and one domain sends more
// calls than the others. Calls must leave the busy instance before it is full.
// They must stay where all instances are equally busy.
func TestBusyDomainSpillsBeforeItIsFull(t *testing.T) {
	for _, c := range []struct {
		home, away int
		minSpilled int
		maxSpilled int
	}{
		{home: 90, away: 70, minSpilled: 60, maxSpilled: 100},
		{home: 97, away: 96, maxSpilled: 0},
		{home: 85, away: 80, maxSpilled: 0},
		{home: 70, away: 10, maxSpilled: 0},
	} {
		b := newTestPlugin(t, 1, "x", "a1", "b1", "c1")
		b.answer = func(m state.Member) *kernel.Result {
			if m.Domain == "a" {
				return answerWithLoad(100, c.home)
			}
			return answerWithLoad(100, c.away)
		}
		b.owner("b1").recordLoad(answerWithLoad(100, c.away).Load, b.now)
		b.owner("c1").recordLoad(answerWithLoad(100, c.away).Load, b.now)
		b.sendCalls(t.Context(), 1)
		clear(b.calls)
		b.sendCalls(t.Context(), 100)
		if spilled := 100 - b.calls["a1"]; spilled < c.minSpilled || spilled > c.maxSpilled {
			t.Errorf("home %d, away %d of 100: %d of 100 calls left", c.home, c.away, spilled)
		}
	}
}

func TestCallNeverGoesToSameOwnerTwice(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "a2", "b1")
	b.answer = func(state.Member) *kernel.Result { return kernel.Refuse(kernel.ReasonOverload, "", 0) }
	ctx := WithTriedOwners(t.Context())
	b.sendCalls(ctx, 3)
	for _, id := range []state.MemberID{"a1", "a2", "b1"} {
		if b.calls[id] != 1 {
			t.Errorf("%s got %d calls, want 1", id, b.calls[id])
		}
	}
	if r := b.sendCalls(ctx, 1); r.Reason != kernel.ReasonNoUpstream {
		t.Errorf("a fourth attempt: %q", r.Reason)
	}
}

func TestDrainingMemberGetsNoNewCalls(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "a2")
	b.answer = func(m state.Member) *kernel.Result {
		r := answerWithLoad(10, 0)
		r.Load.Draining = m.ID == "a1"
		return r
	}
	b.sendCalls(t.Context(), 200)
	if b.calls["a1"] != 1 {
		t.Errorf("draining member got %d calls, want only the first, whose answer reported draining", b.calls["a1"])
	}
}

func TestLostMemberIsEjectedAndReturns(t *testing.T) {
	for _, seed := range seeds {
		b := newTestPlugin(t, seed, "x", "a1", "a2", "a3")
		down := true
		b.answer = func(m state.Member) *kernel.Result {
			if m.ID == "a1" && down {
				return lostCall()
			}
			return succeeded()
		}
		b.sendCalls(t.Context(), 300)
		if b.calls["a1"] != 1 {
			t.Errorf("seed %d: lost member got %d calls, want 1", seed, b.calls["a1"])
		}
		for range 60 {
			b.now = b.now.Add(time.Second)
			b.sendCalls(t.Context(), 20)
		}
		if probes := b.calls["a1"]; probes < 3 || probes > 10 {
			t.Errorf("seed %d: %d probes in a minute", seed, probes)
		}
		down = false
		b.now = b.now.Add(2 * maxEjectionTime)
		b.calls = map[state.MemberID]int{}
		b.sendCalls(t.Context(), 300)
		if b.calls["a1"] < 50 {
			t.Errorf("seed %d: returned member got %d of 300 calls", seed, b.calls["a1"])
		}
	}
}

// Errors of a single member eject it. Errors of all members come from a service
// below and eject none.
func TestOnlyErrorOutliersAreEjected(t *testing.T) {
	broken := &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 500}
	for _, seed := range seeds {
		b := newTestPlugin(t, seed, "x", "a1", "a2", "a3", "a4")
		b.answer = func(m state.Member) *kernel.Result {
			if m.ID == "a1" {
				return broken
			}
			return succeeded()
		}
		b.sendCalls(t.Context(), 1000)
		if b.calls["a1"] > 50 {
			t.Errorf("seed %d: failing member got %d of 1000 calls", seed, b.calls["a1"])
		}
		b = newTestPlugin(t, seed, "x", "a1", "a2", "a3", "a4")
		n := 0
		b.answer = func(state.Member) *kernel.Result {
			n++
			if n%10 < 8 {
				return broken
			}
			return succeeded()
		}
		b.sendCalls(t.Context(), 1000)
		if out := countEjected(b.current().groups["s"].local); out != 0 {
			t.Errorf("seed %d: %d ejected for errors common to all members", seed, out)
		}
	}
}

// Calls to a stalled instance end at their deadlines, which ejects it. Timeouts
// of all members eject none.
func TestOnlyTimeoutOutliersAreEjected(t *testing.T) {
	for _, seed := range seeds {
		b := newTestPlugin(t, seed, "x", "a1", "a2", "a3")
		b.answer = func(m state.Member) *kernel.Result {
			if m.ID == "a1" {
				return kernel.Unknown(kernel.ReasonDeadline, "")
			}
			return succeeded()
		}
		b.sendCalls(t.Context(), 300)
		if b.calls["a1"] > 3 {
			t.Errorf("seed %d: stalled member got %d of 300 calls, want 3", seed, b.calls["a1"])
		}
		b = newTestPlugin(t, seed, "x", "a1", "a2", "a3")
		b.answer = func(state.Member) *kernel.Result { return kernel.Unknown(kernel.ReasonDeadline, "") }
		for _, o := range b.current().groups["s"].local {
			o.failurePoints.Store(timeoutPoints) // all have begun to fail
		}
		b.sendCalls(t.Context(), 100)
		if out := countEjected(b.current().groups["s"].local); out != 0 {
			t.Errorf("seed %d: %d ejected for timeouts common to all members", seed, out)
		}
	}
}

func TestEjectedMemberIsProbedByOneCall(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "a2")
	b.owner("a1").ejectUntil.Store(b.now.UnixMilli())
	b.owner("a2").outstanding.Store(5) // a1 would be the better choice
	b.answer = func(m state.Member) *kernel.Result {
		if m.ID == "a1" {
			b.answer = func(state.Member) *kernel.Result { return succeeded() }
			b.sendCalls(t.Context(), 50)
		}
		return succeeded()
	}
	b.sendCalls(t.Context(), 20)
	if b.calls["a2"] < 50 {
		t.Errorf("calls while a1 was being probed: %v", b.calls)
	}
}

func TestAtMostHalfOfMembersAreEjected(t *testing.T) {
	for n := 1; n <= 7; n++ {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("a", i))
		}
		b := newTestPlugin(t, 1, "x", names...)
		b.answer = func(state.Member) *kernel.Result { return lostCall() }
		b.sendCalls(t.Context(), 100)
		out := countEjected(b.current().groups["s"].local)
		if out > n/2 {
			t.Errorf("%d of %d ejected", out, n)
		}
		if n > 1 && out == 0 {
			t.Errorf("none of %d ejected", n)
		}
	}
}

func TestStatsSurviveMembershipChange(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "a2")
	b.owner("a1").outstanding.Store(9)
	b.setMembers("a1", "a2", "a3")
	if got := b.owner("a1").outstanding.Load(); got != 9 {
		t.Errorf("outstanding calls after a membership change: %d, want 9", got)
	}
}

// One of ten members is ten times slower. Its share of the calls must be less
// than a quarter of an equal share, which random choice would give it.
func TestSlowMemberGetsFewCalls(t *testing.T) {
	for _, seed := range seeds {
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprint("a", i))
		}
		b := newTestPlugin(t, seed, "x", names...)
		rng := rand.New(rand.NewPCG(seed, 4))
		type running struct {
			o         *owner
			remaining int
		}
		var calls []running
		slow, total := 0, 0
		for range 5000 {
			for range 2 {
				o := b.current().groups["s"].pick(b.now, rng.Uint64, nil)
				duration := 20
				if o.member.ID == "a0" {
					duration = 200
					slow++
				}
				total++
				calls = append(calls, running{o, duration})
			}
			kept := calls[:0]
			for _, c := range calls {
				c.remaining--
				if c.remaining > 0 {
					kept = append(kept, c)
					continue
				}
				b.current().groups["s"].recordResult(c.o, succeeded(), b.now, 0)
			}
			calls = kept
		}
		if limit := total / 10 / 4; slow > limit {
			t.Errorf("seed %d: slow member got %d of %d calls, want at most %d", seed, slow, total, limit)
		}
		t.Logf("seed %d: slow member got %d of %d calls", seed, slow, total)
	}
}

func BenchmarkServe(b *testing.B) {
	var names []string
	for i := range 7 {
		for _, domain := range "abc" {
			names = append(names, fmt.Sprintf("%c%d", domain, i))
		}
	}
	p := newTestPlugin(b, 1, "x", names...)
	r := answerWithLoad(10, 5)
	p.answer = func(state.Member) *kernel.Result { return r }
	c := &kernel.Call{Service: "s"}
	ctx := WithTriedOwners(context.Background())
	triedOwnersFrom(ctx).add("a1")
	fixed := triedOwnersFrom(ctx)
	b.ReportAllocs()
	for b.Loop() {
		fixed.owners = fixed.owners[:1]
		p.serve(ctx, c)
	}
}

func BenchmarkNewView(b *testing.B) {
	members := map[state.MemberID]state.Member{}
	for i := range 1100 {
		id := state.MemberID(fmt.Sprint("m", i))
		members[id] = state.Member{ID: id, Service: fmt.Sprint("s", i%52), Domain: fmt.Sprint("d", i%6)}
	}
	s := (&state.Snapshot{Members: members}).Index()
	v := newView(s, state.Member{Domain: "d0"}, nil, memories{})
	b.ReportAllocs()
	for b.Loop() {
		v = newView(s, state.Member{Domain: "d0"}, v, memories{})
	}
}
