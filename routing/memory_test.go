package routing

import (
	"context"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// setOnlyMember makes a process of node "n" beside an instance the only member.
func (b *testPlugin) setOnlyMember(process, instance string, startedMS int64) {
	m := state.Member{
		ID: state.MemberID("n#" + process), Service: "s", Domain: "a", Instance: state.Incarnation{ID: instance, StartedMS: startedMS},
	}
	b.snapshot = (&state.Snapshot{Members: map[state.MemberID]state.Member{m.ID: m}}).Index()
}

// memoryTestPlugin returns a plug-in that records what the calls tell the owner.
func memoryTestPlugin(t *testing.T) (b *testPlugin, told func() *kernel.InstanceReport) {
	b = newTestPlugin(t, 1, "self")
	var known *kernel.InstanceReport
	b.host.Forward = func(_ context.Context, m state.Member, c *kernel.Call) *kernel.Result {
		b.calls[m.ID]++
		known = c.Known
		return b.answer(m)
	}
	return b, func() *kernel.InstanceReport { return known }
}

func reporting(r *kernel.Result, report kernel.InstanceReport) func(state.Member) *kernel.Result {
	return func(state.Member) *kernel.Result {
		r := *r
		r.Load = &kernel.Load{Report: &report}
		return &r
	}
}

var limited = kernel.InstanceReport{Incarnation: state.Incarnation{ID: "i1", StartedMS: 1}, RateLimit: 20, Age: time.Second}

// Guards against the rate limit being lost with the process of the node beside the
// instance: entry nodes tell it to the next process until the instance has answered
// that one.
func TestCallsTellNextProcessOfRateLimit(t *testing.T) {
	b, told := memoryTestPlugin(t)
	b.setOnlyMember("1", "i1", 1)
	b.answer = reporting(succeeded(), limited)
	b.sendCalls(t.Context(), 1)
	if told() != nil {
		t.Errorf("told %+v before anything was known", told())
	}
	b.snapshot = (&state.Snapshot{}).Index()
	b.sendCalls(t.Context(), 1)
	b.setOnlyMember("2", "i1", 1)
	b.now = b.now.Add(2 * time.Second)
	b.answer = func(state.Member) *kernel.Result { return kernel.Refuse(kernel.ReasonNoUpstream, "", 0) }
	b.sendCalls(t.Context(), 1)
	want := limited
	want.Age = 3 * time.Second
	if told() == nil || *told() != want {
		t.Fatalf("the next process was told %+v, want %+v", told(), want)
	}
	b.answer = func(state.Member) *kernel.Result { return succeeded() }
	b.sendCalls(t.Context(), 2)
	if told() != nil {
		t.Errorf("told %+v after the instance has answered without a limit", told())
	}
}

// Guards against calls to a leaving instance once the owner's word that it drains has
// expired, or its process has restarted; the next instance gets calls at once.
func TestLeavingInstanceGetsNoCalls(t *testing.T) {
	b, _ := memoryTestPlugin(t)
	leaving := kernel.InstanceReport{Incarnation: state.Incarnation{ID: "i1", StartedMS: 1}, Leaving: true}
	b.setOnlyMember("1", "i1", 1)
	b.answer = reporting(kernel.Refuse(kernel.ReasonDraining, "", 0), leaving)
	b.sendCalls(t.Context(), 1)
	late := kernel.InstanceReport{Incarnation: leaving.Incarnation, RateLimit: 20}
	b.owner("n#1").memory.Load().record(reporting(succeeded(), late)(state.Member{}), b.now)
	for _, process := range []string{"1", "2"} {
		b.setOnlyMember(process, "i1", 1)
		for range 5 {
			b.now = b.now.Add(drainingTTL)
			if r := b.sendCalls(t.Context(), 1); r.Reason != kernel.ReasonNoUpstream {
				t.Fatalf("process %s beside the leaving instance got a call", process)
			}
		}
	}
	b.answer = func(state.Member) *kernel.Result { return succeeded() }
	b.setOnlyMember("2", "i1", 2) // restarted under its ID
	if r := b.sendCalls(t.Context(), 1); r.Outcome != kernel.OutcomeAnswered {
		t.Error("the next instance gets no calls")
	}
}
