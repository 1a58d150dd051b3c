package soak

import (
	"net/http"
	"testing"
	"time"
)

// Each check fails when the mechanism that it covers is switched off in real
// daemons, so a passing soak is meaningful. TestChecksDetectViolations covers
// mechanisms that no setting switches off.
func TestChecksFailWithoutMechanisms(t *testing.T) {
	// Beside a busy machine fewer callers ask for less than the limits.
	const manyCallers = 4 * callersPerNode
	allPlugins := `["auth", "quarantine", "graph", "quota", "retry", "routing"]`
	cutStore := func(node int) event {
		return event{kind: "store-cut", node: node, duration: 9 * time.Second}
	}
	cases := []failingCase{
		{"no fleet-wide rate", "rate", func(o *options) {
			o.plugins, o.callers = `["auth", "quarantine", "graph", "retry", "routing"]`, manyCallers
			o.rate = 20
		}, []event{{kind: "change", start: 6 * time.Second}}},
		{"unbounded retries", "budget", func(o *options) {
			o.plugins, o.retryRatio, o.retrySlack, o.callers = allPlugins, 1, 100_000, manyCallers
			o.rate *= 100 // requests beyond a rate count for the check, but are not retried
		}, []event{
			{kind: "rejects", node: 0, duration: 6 * time.Second}, {kind: "rejects", node: 2, duration: 6 * time.Second},
			{kind: "rejects", node: 4, duration: 6 * time.Second}, {kind: "rejects", node: 1, duration: 6 * time.Second},
			{kind: "rejects", node: 3, duration: 6 * time.Second}, {kind: "rejects", node: 5, duration: 6 * time.Second},
		}},
		{"no pacing at the owner", "limit", func(o *options) {
			o.plugins, o.callers = `["auth", "quarantine", "quota", "retry", "routing"]`, manyCallers
		}, []event{{kind: "limit", node: 0, duration: 4 * time.Second}, {kind: "limit", node: 1, duration: 4 * time.Second}}},
		{"no pacing beside cold instances", "cold", func(o *options) {
			o.plugins, o.callers = `["auth", "quarantine", "quota", "retry", "routing"]`, manyCallers
		}, []event{{kind: "cold-return", node: 0, duration: coldFor}, {kind: "cold-return", node: 1, duration: coldFor}}},
		{"withdrawn keys stay valid", "revoked", func(o *options) { o.keyWithdrawal = time.Hour }, []event{
			cutStore(0), cutStore(1), cutStore(2), cutStore(3), cutStore(4), cutStore(5), {kind: "withdraw", start: time.Second},
		}},
		{"planned stop kills the process", "stop", func(o *options) {
			// The service time keeps a request of each caller in flight most of
			// the time.
			o.killInsteadOfStop, o.serviceTime = true, 150*time.Millisecond
		}, []event{
			{kind: "stop", node: 0, start: 4 * time.Second}, {kind: "stop", node: 2, start: 5 * time.Second},
			{kind: "stop", node: 4, start: 6 * time.Second},
		}},
	}
	testChecksFail(t, cases)
}

// The checks of responses fail where callers get wrong ones.
func TestResponseChecksFail(t *testing.T) {
	testChecksFail(t, []failingCase{
		{"second responses come first", "second", func(*options) {}, eachNode(event{kind: "second-ahead", duration: 3 * time.Second})},
		{"failures taken for successes", "own", func(o *options) { o.received = takeFailureForSuccess }, eachNode(event{kind: "fails", duration: 3 * time.Second})},
		{"responses of other requests", "whole", func(o *options) { o.received = takeEarlierResponse() }, []event{{kind: "change", start: 2 * time.Second}}},
	})
}

// failingCase is a change of a fleet after which a check has to fail.
type failingCase struct {
	name, check string
	change      func(o *options)
	events      []event
}

func testChecksFail(t *testing.T, cases []failingCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := defaultOptions()
			c.change(&o)
			if violations := runSchedule(t, 1, o, c.events); len(violations[c.check]) == 0 {
				t.Errorf("check %q found no violation", c.check)
			}
		})
	}
}

// eachNode returns an event for each node.
func eachNode(e event) []event {
	var events []event
	for e.node = range *copies * len(placements) {
		events = append(events, e)
	}
	return events
}

// takeFailureForSuccess makes a success of each failure of an instance.
func takeFailureForSuccess(s *sentRequest) {
	if s.ResponseMeta.Stamped && !isSuccess(s) {
		s.Status, s.Body = http.StatusOK, s.WantBody
	}
}

// takeEarlierResponse returns a function that gives each request the response to the
// request before it.
func takeEarlierResponse() func(*sentRequest) {
	earlier := &sentRequest{}
	return func(s *sentRequest) {
		got := *s
		s.Status, s.Body, s.ResponseMeta = earlier.Status, earlier.Body, earlier.ResponseMeta
		earlier = &got
	}
}
