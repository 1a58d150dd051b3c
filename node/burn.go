package node

import (
	"net/http"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/report"
)

// callerFaults are the refusals that don't count towards the service level: the
// request was invalid, the customer exceeded its rate, or the caller gave up.
var callerFaults = map[kernel.Reason]bool{
	kernel.ReasonNoKey:        true,
	kernel.ReasonBadKey:       true,
	kernel.ReasonNoRoute:      true,
	kernel.ReasonBadRequest:   true,
	kernel.ReasonTooLarge:     true,
	kernel.ReasonKeyMissing:   true,
	kernel.ReasonKeyExpired:   true,
	kernel.ReasonDuplicate:    true,
	kernel.ReasonRate:         true,
	kernel.ReasonResendBudget: true,
	kernel.ReasonParentEnded:  true,
	kernel.ReasonCancelled:    true,
}

// counted reports whether a request counts towards the service level. Root
// requests on a known route do, unless the caller is at fault.
func counted(c *kernel.Call, r *kernel.Result) bool {
	return !c.Nested() && c.RouteName != "" && !callerFaults[r.Reason]
}

// metObjective reports whether a counted request met the service level.
func metObjective(r *kernel.Result) bool {
	return r.Outcome == kernel.OutcomeAnswered && r.Status < http.StatusInternalServerError
}

// reportBurn returns the counts of the requests that entered at this node, from
// which burn rates of error budgets are computed.
func (n *Node) reportBurn() report.Report {
	objectives := make(map[string]float64)
	if c := n.Snapshot().Config; c != nil {
		for _, r := range c.Routes {
			objectives[r.Name] = r.Objective
		}
	}
	return n.recorder.Report(n.host.Now(), func(route string) float64 { return objectives[route] })
}
