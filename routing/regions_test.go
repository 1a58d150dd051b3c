package routing

import (
	"slices"
	"strings"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// testRegions leaves out failure domain "d", which is in no region.
var testRegions = map[string]string{"a": "west", "b": "west", "c": "east"}

// setRegions gives the failure domains their regions and the customers theirs: "w" is
// allowed west, "e" east, "x" a region that no failure domain is in, "any" all.
func (b *testPlugin) setRegions() {
	b.host.Regions = testRegions
	b.setCustomers(config.Customer{Name: "w", Regions: []string{"west"}}, config.Customer{Name: "e", Regions: []string{"east"}},
		config.Customer{Name: "x", Regions: []string{"north"}}, config.Customer{Name: "any"})
}

func (b *testPlugin) setCustomers(customers ...config.Customer) {
	b.snapshot = (&state.Snapshot{Members: b.snapshot.Members, Config: &config.Config{Customers: customers}}).Index()
}

// Guards against a call that runs in a region that its route or customer does not allow,
// and against refusing one that both allow.
func TestAllowedFailureDomains(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "c1")
	b.setRegions()
	for _, c := range []struct {
		name, customer string
		route          []string
		want           string // allowed failure domains
	}{
		{"no regions", "any", nil, "abcd"},
		{"no customer", "", nil, "abcd"},
		{"route only", "any", []string{"east"}, "c"},
		{"nested call, which has no customer", "", []string{"west"}, "ab"},
		{"customer only", "w", nil, "ab"},
		{"both", "w", []string{"east", "west"}, "ab"},
		{"disjoint", "w", []string{"east"}, ""},
		{"unknown region of the route", "any", []string{"north"}, ""},
		{"unknown region of the customer", "x", nil, ""},
		{"unknown and known region", "any", []string{"north", "east"}, "c"},
		{"empty name of a region", "any", []string{""}, ""},
		{"unknown customer", "removed", nil, ""},
		{"unknown customer on a route with regions", "removed", []string{"west"}, ""},
	} {
		rule := newRegionRule(b.current(), &kernel.Call{Customer: c.customer, RouteRegions: c.route}, testRegions)
		got := ""
		for _, domain := range []string{"a", "b", "c", "d"} {
			if rule.allowsDomain(domain) {
				got += domain
			}
		}
		if got != c.want {
			t.Errorf("%s: allowed failure domains %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against refusals and costs where no customer and no route names a region: an
// unknown customer is not refused, and a choice allocates no more than without regions.
func TestWithoutAllowedRegionsNothingChanges(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "d1")
	b.host.Regions = testRegions
	b.setCustomers(config.Customer{Name: "any"})
	c := &kernel.Call{Service: "s", Customer: "removed"}
	v := b.current()
	g := v.groups["s"]
	if o, r := b.pick(v, g, c, nil); o == nil {
		t.Fatalf("refused: %+v", r)
	}
	plain := testing.AllocsPerRun(100, func() { g.pick(b.now, b.host.Rand, nil) })
	if got := testing.AllocsPerRun(100, func() { b.pick(v, g, c, nil) }); got > plain {
		t.Errorf("%g allocations a choice, %g without regions", got, plain)
	}
}

// Guards against calls that leave their region because the members in it are full,
// ejected or draining while one elsewhere has room.
func TestCallsStayInTheirRegion(t *testing.T) {
	calls := map[string]*kernel.Call{
		"route":    {Service: "s", Customer: "any", RouteRegions: []string{"west"}},
		"customer": {Service: "s", Customer: "w"},
	}
	for name, call := range calls {
		b := newTestPlugin(t, 1, "a1", "a1", "b1", "c1", "c2", "d1")
		b.setRegions()
		b.answer = func(m state.Member) *kernel.Result {
			if testRegions[m.Domain] == "west" {
				return answerWithLoad(10, 40)
			}
			return answerWithLoad(10, 0)
		}
		send := func(n int) (r *kernel.Result) {
			for range n {
				r = b.serve(t.Context(), call)
			}
			return r
		}
		send(100)
		b.answer = func(state.Member) *kernel.Result { return lostCall() }
		send(100)
		b.answer = func(state.Member) *kernel.Result {
			r := kernel.Refuse(kernel.ReasonDraining, "", 0)
			r.Load = &kernel.Load{Draining: true}
			return r
		}
		if r := send(100); r.Outcome != kernel.OutcomeNotRun || r.Reason != kernel.ReasonNoUpstream {
			t.Errorf("%s: all members of the region drain: %v %q, want not run, no upstream", name, r.Outcome, r.Reason)
		}
		if b.calls["c1"]+b.calls["c2"]+b.calls["d1"] > 0 || b.calls["a1"] == 0 || b.calls["b1"] == 0 {
			t.Errorf("%s: calls %v, want them at a1 and b1 only", name, b.calls)
		}
	}
}

// Guards against running at the node's own instance, and preferring its failure domain,
// where only another region is allowed.
func TestOwnInstanceInAnotherRegionIsNotUsed(t *testing.T) {
	b := newTestPlugin(t, 1, "a1", "a1", "a2", "c1")
	b.setRegions()
	for range 50 {
		b.serve(t.Context(), &kernel.Call{Service: "s", Customer: "e"})
	}
	if b.calls["c1"] != 50 {
		t.Errorf("calls %v, want all at c1", b.calls)
	}
}

// Guards against a refusal that does not say that regions are its cause, and against
// forwarding a call that no member may run.
func TestCallWithoutAllowedMemberIsRefused(t *testing.T) {
	b := newTestPlugin(t, 1, "a1", "a1", "b1", "d1")
	b.setRegions()
	long := slices.Repeat([]string{"north"}, 200)
	for _, c := range []*kernel.Call{
		{Service: "s", Customer: "e"},
		{Service: "s", Customer: "w", RouteRegions: []string{"east"}},
		{Service: "s", RouteRegions: long},
		{Service: "s", Customer: "removed"},
	} {
		r := b.serve(t.Context(), c)
		if r.Outcome != kernel.OutcomeNotRun || r.Reason != kernel.ReasonRegion || r.Status != 503 || r.Owner != "" {
			t.Errorf("%+v: %+v", c, r)
		}
		if r.Detail == "" || len(r.Detail) > 3*maxListedBytes || strings.Contains(r.Detail, "%!") {
			t.Errorf("detail %q", r.Detail)
		}
	}
	if len(b.calls) > 0 {
		t.Errorf("calls %v, want none", b.calls)
	}
}

// Guards against further attempts of one call that go to another region, and against
// choosing by the customer's regions of an earlier configuration.
func TestFurtherAttemptsStayInTheRegion(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "a2", "c1")
	b.setRegions()
	ctx := WithTriedOwners(t.Context())
	c := &kernel.Call{Service: "s", Customer: "w"}
	for range 2 {
		if r := b.serve(ctx, c); r.Outcome != kernel.OutcomeAnswered {
			t.Fatalf("%+v", r)
		}
	}
	if r := b.serve(ctx, c); r.Reason != kernel.ReasonNoUpstream || r.Owner != "" {
		t.Errorf("third attempt: %+v, want a refusal", r)
	}
	b.setCustomers(config.Customer{Name: "w", Regions: []string{"east"}})
	if r := b.serve(ctx, c); r.Outcome != kernel.OutcomeAnswered || b.calls["c1"] != 1 {
		t.Errorf("after the change: %+v, calls %v", r, b.calls)
	}
}
