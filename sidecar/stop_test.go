package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// A stopping node takes callers' requests for a while, and calls of its instance that are
// expected to end before the cut-off; later, only those that are certain to.
func TestRefuseInStop(t *testing.T) {
	began := time.Unix(1_800_000_000, 0)
	const cutOff = 5600 * time.Millisecond
	cases := []struct {
		name      string
		after     time.Duration
		nested    bool
		longest   time.Duration // latency of the route; zero if unknown
		silence   time.Duration // since a call was taken that is not answered; zero if none was
		objective time.Duration
		left      time.Duration // until the call's deadline
		refused   bool
	}{
		{"caller in the accept period", 2 * time.Second, false, 5 * time.Second, 0, time.Second, 5 * time.Second, false},
		{"caller after it", 2800 * time.Millisecond, false, 0, 0, time.Second, 5 * time.Second, true},
		{"caller whose objective leaves no time", 2 * time.Second, false, 0, 0, 4 * time.Second, 5 * time.Second, true},
		{"call with enough time", 1700 * time.Millisecond, true, 3 * time.Second, 0, time.Second, 5 * time.Second, false},
		{"call without enough time", 1900 * time.Millisecond, true, 3 * time.Second, 0, time.Second, 5 * time.Second, true},
		{"call that ends by its deadline", 1900 * time.Millisecond, true, 3 * time.Second, 0, time.Second, 3500 * time.Millisecond, false},
		{"call of an unknown route", 2 * time.Second, true, 0, 0, 2800 * time.Millisecond, 5 * time.Second, false},
		{"call of an unknown route, later", 2200 * time.Millisecond, true, 0, 0, 2800 * time.Millisecond, 5 * time.Second, true},
		{"call without an answer for a while", 2600 * time.Millisecond, true, 100 * time.Millisecond, 700 * time.Millisecond, time.Second, 5 * time.Second, false},
		{"call without an answer for longer", 2600 * time.Millisecond, true, 100 * time.Millisecond, 900 * time.Millisecond, time.Second, 5 * time.Second, true},
		{"call of a slow route without an answer", 2600 * time.Millisecond, true, 2200 * time.Millisecond, 2100 * time.Millisecond, time.Second, 5 * time.Second, false},
		{"call of an unknown route without an answer", 2600 * time.Millisecond, true, 0, 1100 * time.Millisecond, time.Second, 5 * time.Second, true},
		{"short call with a long deadline, in the accept period", 2600 * time.Millisecond, true, 20 * time.Millisecond, 0, time.Second, 5 * time.Second, false},
		{"short call with a long deadline, after it", 2800 * time.Millisecond, true, 20 * time.Millisecond, 0, time.Second, 5 * time.Second, true},
		{"call with a deadline after the cut-off", 4 * time.Second, true, 20 * time.Millisecond, 0, time.Second, 1700 * time.Millisecond, true},
		{"call with a deadline before the cut-off", 4 * time.Second, true, 700 * time.Millisecond, 0, time.Second, 1500 * time.Millisecond, false},
		{"after the cut-off", 5700 * time.Millisecond, true, time.Millisecond, 0, time.Second, 3 * time.Second, true},
	}
	for _, c := range cases {
		now := began.Add(c.after)
		n := &Node{host: &kernel.Host{Now: func() time.Time { return now }}}
		call := &kernel.Call{RouteName: "r", TargetLatencyMS: c.objective.Milliseconds(), DeadlineMS: now.Add(c.left).UnixMilli()}
		if c.nested {
			call.Depth = 1
		}
		if c.longest > 0 {
			n.latencies.record("r", c.longest)
		}
		if c.silence > 0 {
			now = now.Add(-c.silence)
		}
		if n.RefuseInStop(call) != nil {
			t.Errorf("%s: refused before the stop", c.name)
		}
		now = began.Add(c.after)
		n.stop.Store(&StopTimes{Began: began, CutOff: began.Add(cutOff)})
		r := n.RefuseInStop(call)
		if (r != nil) != c.refused {
			t.Errorf("%s: refused %v, want %v", c.name, r != nil, c.refused)
		}
		if r != nil && (r.Outcome != kernel.OutcomeNotRun || r.RetryAfter < restartTime || r.RetryAfter > stopRetryAfter) {
			t.Errorf("%s: %v, retry after %s", c.name, r.Outcome, r.RetryAfter)
		}
	}
}

func TestLatenciesFollowTheLongestRecentCall(t *testing.T) {
	var l latencies
	l.record("r", time.Second)
	for range 68 {
		l.record("r", time.Millisecond)
	}
	if got := l.expected("r", 0, time.Now()); got < 490*time.Millisecond || got > 510*time.Millisecond {
		t.Errorf("%s after 68 short calls, want about half a second", got)
	}
	for i := range 3 * maxLatencyRoutes {
		l.record(fmt.Sprint(i), time.Second)
	}
	routes := 0
	l.byRoute.Range(func(any, any) bool { routes++; return true })
	if routes > maxLatencyRoutes {
		t.Errorf("%d routes held, want at most %d", routes, maxLatencyRoutes)
	}
}
