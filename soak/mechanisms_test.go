package soak

import (
	"testing"
	"time"
)

// Without their mechanisms the checks fail on real daemons, so a green soak
// says something. Mechanisms that no setting turns off are covered by
// TestChecksFindWhatIsBroken.
func TestMechanismsOff(t *testing.T) {
	all := `["auth", "quarantine", "graph", "quota", "retry", "routing"]`
	cut := func(node int) event {
		return event{kind: "store-cut", node: node, lasts: 9 * time.Second}
	}
	cases := []struct {
		name, check string
		change      func(o *options)
		events      []event
	}{
		{"no fleet-wide rate", "rate", func(o *options) {
			o.plugins = `["auth", "quarantine", "graph", "retry", "routing"]`
			o.rate = 20
		}, []event{{kind: "change", at: 6 * time.Second}}},
		{"unbounded retries", "budget", func(o *options) {
			o.plugins, o.retryRatio, o.retrySlack = all, 1, 100_000
		}, []event{
			{kind: "rejects", node: 0, lasts: 6 * time.Second}, {kind: "rejects", node: 2, lasts: 6 * time.Second},
			{kind: "rejects", node: 4, lasts: 6 * time.Second}, {kind: "rejects", node: 1, lasts: 6 * time.Second},
			{kind: "rejects", node: 3, lasts: 6 * time.Second}, {kind: "rejects", node: 5, lasts: 6 * time.Second},
		}},
		{"keys of any age", "revoked", func(o *options) { o.keyWithdrawal = time.Hour }, []event{
			cut(0), cut(1), cut(2), cut(3), cut(4), cut(5), {kind: "withdraw", at: time.Second},
		}},
		{"a stop that is a kill", "stop", func(o *options) {
			// Each caller has a request in flight most of the time.
			o.killToStop, o.work = true, 150*time.Millisecond
		}, []event{
			{kind: "stop", node: 0, at: 4 * time.Second}, {kind: "stop", node: 2, at: 5 * time.Second},
			{kind: "stop", node: 4, at: 6 * time.Second},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := defaultOptions()
			c.change(&o)
			if found := play(t, 1, o, c.events); len(found[c.check]) == 0 {
				t.Errorf("the check %q found nothing", c.check)
			}
		})
	}
}
