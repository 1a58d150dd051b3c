package auth

import (
	"context"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Covers requests with valid, invalid and missing keys on closed and open routes,
// and a nested call.
func TestAuthenticate(t *testing.T) {
	farm, farmSecret := newKey(t, "farm")
	club, clubSecret := newKey(t, "club")
	orphan, orphanSecret := newKey(t, "removed")
	snapshot := (&state.Snapshot{
		Config: &config.Config{
			Customers: []config.Customer{{Name: "farm"}, {Name: "club"}},
			Routes:    []config.Route{{Name: "open", Service: "s", Open: true}, {Name: "closed", Service: "s"}},
		},
		Keys:      map[string]config.Key{farm.ID: farm, club.ID: club, orphan.ID: orphan},
		Withdrawn: map[string]bool{club.ID: true},
	}).Index()
	cases := []struct {
		name     string
		route    string
		key      string
		depth    int
		reason   kernel.Reason
		customer string
	}{
		{"own key", "closed", config.KeyText(farm.ID, farmSecret), 0, "", "farm"},
		{"no key", "closed", "", 0, kernel.ReasonNoKey, ""},
		{"malformed key", "closed", "farm", 0, kernel.ReasonBadKey, ""},
		{"another key's secret", "closed", config.KeyText(farm.ID, clubSecret), 0, kernel.ReasonBadKey, ""},
		{"withdrawn key", "closed", config.KeyText(club.ID, clubSecret), 0, kernel.ReasonBadKey, ""},
		{"key of a removed customer", "closed", config.KeyText(orphan.ID, orphanSecret), 0, kernel.ReasonBadKey, ""},
		{"open route, no key", "open", "", 0, "", ""},
		{"open route, withdrawn key", "open", config.KeyText(club.ID, clubSecret), 0, "", ""},
		{"nested call", "closed", "", 1, "", ""},
	}
	p := &plugin{host: &kernel.Host{Snapshot: func() *state.Snapshot { return snapshot }}}
	for _, c := range cases {
		ran := false
		h := p.WrapEntry(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
			ran = true
			return &kernel.Result{Outcome: kernel.OutcomeAnswered}
		}))
		call := &kernel.Call{Service: "s", RouteName: c.route, Depth: c.depth}
		r := h.Serve(kernel.WithCredential(context.Background(), kernel.Credential{Key: c.key}), call)
		if r.Reason != c.reason || call.Customer != c.customer || ran != (c.reason == "") {
			t.Errorf("%s: reason %q, customer %q, ran %t", c.name, r.Reason, call.Customer, ran)
		}
	}
}

func newKey(t *testing.T, customer string) (config.Key, string) {
	t.Helper()
	k, secret, err := config.NewKey(customer)
	if err != nil {
		t.Fatal(err)
	}
	return k, secret
}
