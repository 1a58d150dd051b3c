package settings

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against regions that are not read, and against settings without them that are
// treated differently from an empty table.
func TestRegions(t *testing.T) {
	for text, want := range map[string]map[string]string{
		"": nil, "[regions]\n": nil,
		"[regions]\na = \"eu-west\"\n\"b-1\" = \"North America\"\n": {"a": "eu-west", "b-1": "North America"},
	} {
		s, err := Load("f", []byte(sidecarFile+text))
		if err != nil || !maps.Equal(s.Sidecar.Regions, want) || (s.Sidecar.Regions == nil) != (want == nil) {
			t.Errorf("%q: %+v %v", text, s.Sidecar.Regions, err)
		}
	}
}

// Guards against a mistake in the table that leaves a failure domain without its region.
func TestInvalidRegionsAreReported(t *testing.T) {
	wantLine := fmt.Sprintf("f:%d:", strings.Count(sidecarFile, "\n")+2)
	for line, key := range map[string]string{
		`a = ""`: "regions.a", `a = " eu"`: "regions.a", `a = "e\u0000u"`: "regions.a", `a = 1`: "regions.a",
		`a = ["eu"]`: "regions.a", `a.b = "eu"`: "regions.a", `"a.b" = "eu"`: "regions.a.b", `A = "eu"`: "regions.A",
		`a = "` + strings.Repeat("x", maxRegionBytes+1) + `"`: "regions.a",
	} {
		_, err := Load("f", []byte(sidecarFile+"[regions]\n"+line+"\n"))
		if err == nil || !strings.Contains(err.Error(), key) || !strings.HasPrefix(err.Error(), wantLine) {
			t.Errorf("%s: error %v, want one for %s at %s", line, err, key, wantLine)
		}
	}
	if _, err := Load("f", []byte("regions = \"eu\"\n"+sidecarFile)); err == nil {
		t.Error("a string was accepted instead of the table")
	}
}

// Guards against a start whose log does not show the regions, and a change of them that
// is not reported.
func TestRegionsAreLoggedAndCompared(t *testing.T) {
	s := &Sidecar{Regions: map[string]string{"a": "eu-west"}}
	if text := s.LogValue().String(); !strings.Contains(text, "eu-west") {
		t.Errorf("logged settings %s", text)
	}
	if _, needRestart := s.Changed(&Sidecar{}); len(needRestart) != 1 || needRestart[0] != "regions" {
		t.Errorf("need a restart: %v, want the regions", needRestart)
	}
}

var (
	section  = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	variable = regexp.MustCompile(`\{\{[\w.]+\}\}`)
)

// templateValues are the platform's values that the template must be valid with.
var templateValues = map[string]string{
	"node": "n1", "service": "mapas", "zone": "a", "ip": "10.0.0.1", "port_range.0": "7000", "app": "10.0.0.1:80",
	"listen.outbound": "10.0.0.1:1", "listen.readiness": "10.0.0.1:2", "listen.control": "10.0.0.1:3", "limits.memory_mb": "184",
	"bounds.grace_period_s": "6", "platform.address": "10.0.0.9:1", "platform.parts": "8", "bounds.config_apply_s": "2",
	"bounds.revoke_s": "5", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "100", "bounds.retry_window_s": "10",
}

// render renders a template: sections once for each entry of the table, then variables.
func render(t *testing.T, template string, tables map[string]map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts, out := section.FindStringSubmatch(text), ""
		for key, value := range tables[parts[1]] {
			out += strings.NewReplacer("{{@}}", key, "{{.}}", value).Replace(parts[2])
		}
		return out
	})
	return variable.ReplaceAllStringFunc(template, func(name string) string {
		value, ok := templateValues[strings.Trim(name, "{}")]
		if !ok {
			t.Errorf("the template uses %s, which has no value", name)
		}
		return value
	})
}

// Guards against a template whose result a node rejects or reads without the regions.
func TestTemplateRendersRegions(t *testing.T) {
	template, err := os.ReadFile("../deploy/node.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	for _, zones := range []map[string]string{nil, {"a": "eu"}, {"a": "eu", "b-1": "us", "c": "eu"}} {
		text := render(t, string(template), map[string]map[string]string{"zones": zones})
		s, err := Load("f", []byte(text))
		if err != nil || !maps.Equal(s.Sidecar.Regions, zones) {
			t.Errorf("zones %v: %+v %v\n%s", zones, s.Sidecar.Regions, err, text)
		}
	}
}

// Guards against an example that a node rejects.
func TestSidecarExampleLoads(t *testing.T) {
	example, err := os.ReadFile("../docs/sidecar.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Load("sidecar.example.toml", example)
	if err != nil || s.Sidecar.Regions[s.Sidecar.FailureDomain] == "" {
		t.Errorf("%+v %v", s.Sidecar, err)
	}
}
