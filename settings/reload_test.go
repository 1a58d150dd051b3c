package settings

import (
	"reflect"
	"slices"
	"testing"
)

// A field of Sidecar that is missing from sidecarSettings could change without
// being reported.
func TestChangedComparesEverySetting(t *testing.T) {
	if got, want := len(sidecarSettings), reflect.TypeFor[Sidecar]().NumField(); got != want {
		t.Errorf("Changed compares %d settings, but Sidecar has %d fields", got, want)
	}
}

func TestChangedSeparatesReloadableSettings(t *testing.T) {
	old := &Sidecar{Service: "a", MemoryMB: 100, Plugins: []string{"auth"}}
	next := &Sidecar{Service: "b", MemoryMB: 200, Plugins: []string{"auth"}}
	reloadable, needRestart := old.Changed(next)
	if !slices.Equal(reloadable, []string{"sidecar.memory_mb"}) || !slices.Equal(needRestart, []string{"sidecar.service"}) {
		t.Errorf("reloadable %v, need a restart %v", reloadable, needRestart)
	}
	if reloadable, needRestart = old.Changed(old); reloadable != nil || needRestart != nil {
		t.Errorf("equal settings differ in %v and %v", reloadable, needRestart)
	}
}
