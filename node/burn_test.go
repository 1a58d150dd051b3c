package node

import (
	"testing"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

func TestBurnCountsOnlyServiceFailures(t *testing.T) {
	root := kernel.Call{Customer: "golf", RouteName: "maps"}
	nested := root
	nested.Depth = 1
	answered := func(status int) *kernel.Result {
		return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: status}
	}
	tests := []struct {
		name    string
		call    kernel.Call
		result  *kernel.Result
		counted bool
		met     bool
	}{
		{"answer", root, answered(200), true, true},
		{"not found by the upstream", root, answered(404), true, true},
		{"error of the upstream", root, answered(500), true, false},
		{"overload", root, kernel.Refuse(kernel.ReasonOverload, "", 0), true, false},
		{"unknown", root, kernel.Unknown(kernel.ReasonUpstream, ""), true, false},
		{"nested call", nested, answered(200), false, true},
		{"no route", kernel.Call{}, kernel.Refuse(kernel.ReasonNotReady, "", 0), false, false},
		{"bad key", root, kernel.Refuse(kernel.ReasonBadKey, "", 0), false, false},
		{"beyond the rate", root, kernel.Refuse(kernel.ReasonRate, "", 0), false, false},
	}
	for _, test := range tests {
		if got := counted(&test.call, test.result); got != test.counted {
			t.Errorf("%s: counted %v", test.name, got)
		}
		if got := metObjective(test.result); got != test.met {
			t.Errorf("%s: met the objective %v", test.name, got)
		}
	}
}
