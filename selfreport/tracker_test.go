package selfreport

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	first  = state.Incarnation{ID: "i1", StartedMS: start.UnixMilli() - 100}
	second = state.Incarnation{ID: "i1", StartedMS: start.UnixMilli() + 60_000}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limited(ms int, limit float64) Response { return Response{HeadAt: at(ms), RateLimit: limit} }

// Responses of before and after a change of the limit cross: the one whose head
// arrived last decides.
func TestLatestResponseSetsAndEndsLimit(t *testing.T) {
	tr := NewTracker()
	tr.SetInstance(first, false, start)
	steps := []struct {
		what string
		r    Response
		want float64
	}{
		{"nothing named", limited(0, 0), 0},
		{"limit named", limited(10, 50), 50},
		{"an earlier response without a limit arrives late", limited(5, 0), 50},
		{"limit changed", limited(20, 30), 30},
		{"a value that can't be read", Response{HeadAt: at(30), RateLimitError: ErrRateLimit}, 30},
		{"one response lacks the header", limited(40, 0), 30},
		{"named again", limited(50, 30), 30},
		{"limit ended", limited(350, 0), 0},
		{"an earlier response with a limit arrives late", limited(340, 30), 0},
		{"limit named again", limited(360, 20), 20},
	}
	for _, s := range steps {
		tr.Observe(first, s.r)
		if got := tr.RateLimit(); got != s.want {
			t.Errorf("%s: limit %g, want %g", s.what, got, s.want)
		}
	}
}

// A limit and the word that an instance shuts down belong to one incarnation.
func TestAnotherIncarnationHasSaidNothing(t *testing.T) {
	tr := NewTracker()
	tr.SetInstance(state.Incarnation{ID: "i1"}, false, start)
	tr.Observe(state.Incarnation{ID: "i1"}, Response{HeadAt: at(0), RateLimit: 5, Leaving: true})
	tr.SetInstance(first, false, start) // a heartbeat tells the start of the same run
	tr.Observe(first, limited(10, 5))
	if r := tr.Report(at(15)); r == nil || !r.Leaving || r.RateLimit != 5 || r.Incarnation != first || r.Age != 5*time.Millisecond {
		t.Fatalf("report %+v", r)
	}
	tr.SetInstance(second, false, start)
	tr.Observe(first, limited(20, 5))
	if r := tr.Report(at(20)); r != nil {
		t.Errorf("the next incarnation got the report %+v of the former one", r)
	}
}

// A process that has just started knows the limit from other nodes until the
// instance has answered it.
func TestReportsOfPeersCountUntilFirstResponse(t *testing.T) {
	tr := NewTracker()
	tr.SetInstance(first, false, start)
	report := func(i state.Incarnation, limit float64, age time.Duration) kernel.InstanceReport {
		return kernel.InstanceReport{Incarnation: i, RateLimit: limit, Age: age}
	}
	tr.Adopt(report(second, 1, 0), at(0))
	if tr.RateLimit() != 0 {
		t.Error("the limit of another incarnation was adopted")
	}
	tr.Adopt(report(first, 40, 2*time.Second), at(0))
	tr.Adopt(report(first, 60, 5*time.Second), at(1))
	if tr.RateLimit() != 40 {
		t.Errorf("limit %g, want the most recent, 40", tr.RateLimit())
	}
	tr.Observe(first, limited(2, 0))
	tr.Adopt(report(first, 40, time.Second), at(3))
	if tr.RateLimit() != 0 {
		t.Error("an old report replaced the instance's own word")
	}
	tr.Adopt(kernel.InstanceReport{Incarnation: first, Leaving: true}, at(4))
	if !tr.Leaving() {
		t.Error("the word of a peer that the instance shuts down was ignored")
	}
}

// An instance whose start isn't known says that it leaves. A heartbeat that names the
// start belongs to the same run, unless it started later.
func TestLeavingHoldsUntilLaterStart(t *testing.T) {
	unknown := state.Incarnation{ID: "i1"}
	for i, leaves := range map[state.Incarnation]bool{first: true, second: false} {
		tr := NewTracker()
		tr.SetInstance(unknown, false, start)
		tr.Observe(unknown, Response{HeadAt: at(10), Leaving: true})
		tr.SetInstance(i, false, at(20))
		if tr.Leaving() != leaves {
			t.Errorf("started %d: leaving %v", i.StartedMS, tr.Leaving())
		}
	}
}

// What an instance says in heartbeats is told to other nodes, too.
func TestLeavingByHeartbeatIsReported(t *testing.T) {
	tr := NewTracker()
	tr.SetInstance(first, false, start)
	tr.SetInstance(first, true, at(10))
	tr.SetInstance(first, false, at(20)) // a late heartbeat
	if r := tr.Report(at(30)); r == nil || !r.Leaving || r.Incarnation != first || r.Age != 20*time.Millisecond {
		t.Errorf("report %+v", r)
	}
}
