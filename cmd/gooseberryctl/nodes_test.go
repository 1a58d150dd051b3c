package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestNodesPrintsViewsAndReportsUnreadableNodes(t *testing.T) {
	metrics := func(text string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/metrics" {
				_, _ = io.WriteString(w, text)
			}
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	one := metrics(`{"config_version":9,"config_age_ms":1200,"members":3,"store_incarnation":2,"store_incarnation_age_ms":4000,"more":{}}`)
	two := metrics(`{"config_version":9,"config_age_ms":300,"members":3,"store_incarnation":1,"store_incarnation_age_ms":90000}`)
	bad := metrics(`no metrics`)
	run := func(args ...string) (string, int) {
		var out, errs bytes.Buffer
		code := newApp(&out, &errs).run(t.Context(), append([]string{"nodes"}, args...))
		return out.String(), code
	}
	text, code := run(one, two)
	for _, want := range []string{"INCARNATION", "1.2s", "4s", "1m30s"} {
		if !strings.Contains(text, want) || code != exitOK {
			t.Errorf("code %d, %q is not in:\n%s", code, want, text)
		}
	}
	text, code = run("--json", one, bad)
	var views []nodeView
	if err := json.Unmarshal([]byte(text), &views); err != nil {
		t.Fatal(err)
	}
	if code != exitUnreachable || views[0].Incarnation != 2 || views[0].Version != 9 || views[1].Error == "" {
		t.Errorf("code %d, %+v", code, views)
	}
	if _, code := run(); code != exitUsage {
		t.Errorf("no address: exit code %d, want a usage error", code)
	}
}

// Guards against the cold start of an instance and evacuations not being shown, and
// against an unreadable line for nodes of builds that don't tell them.
func TestNodesShowsColdStartsAndEvacuations(t *testing.T) {
	for _, c := range []struct{ metrics, line, state string }{
		{`{"instance_cold_phase":"cold","instance_evacuated":false,"evacuated_domains":1}`, "cold  ", "cold"},
		{`{"instance_cold_phase":"unknown","instance_evacuated":true,"evacuated_domains":1}`, "unknown evacuated  1", "unknown"},
		{`{"instance_cold_phase":"warm","instance_evacuated":false,"evacuated_domains":0}`, "warm  ", "warm"},
		{`{"config_version":9}`, "-  ", ""},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.metrics) }))
		t.Cleanup(server.Close)
		run := func(args ...string) string {
			var out, errs bytes.Buffer
			args = append(append([]string{"nodes"}, args...), strings.TrimPrefix(server.URL, "http://"))
			if code := newApp(&out, &errs).run(t.Context(), args); code != exitOK {
				t.Errorf("%s: code %d, %s", c.metrics, code, errs.String())
			}
			return out.String()
		}
		if text := run(); !strings.Contains(text, c.line) || !strings.Contains(text, "EVACUATED") {
			t.Errorf("%s: %q is not in:\n%s", c.metrics, c.line, text)
		}
		var views []nodeView
		if err := json.Unmarshal([]byte(run("--json")), &views); err != nil || views[0].ColdPhase != c.state {
			t.Errorf("%s: %v, views %+v", c.metrics, err, views)
		}
	}
}
