package settings

import (
	"reflect"
	"slices"
	"testing"
)

// Every setting is compared: one that is forgotten would change unseen.
func TestChangedKnowsEverySetting(t *testing.T) {
	if got, want := len(sidecarFields), reflect.TypeFor[Sidecar]().NumField(); got != want {
		t.Errorf("%d settings are compared, there are %d", got, want)
	}
}

func TestChanged(t *testing.T) {
	old := &Sidecar{Service: "a", MemoryMB: 100, Plugins: []string{"auth"}}
	next := &Sidecar{Service: "b", MemoryMB: 200, Plugins: []string{"auth"}}
	live, fixed := old.Changed(next)
	if !slices.Equal(live, []string{"sidecar.memory_mb"}) || !slices.Equal(fixed, []string{"sidecar.service"}) {
		t.Errorf("taken over %v, need a restart %v", live, fixed)
	}
	if live, fixed = old.Changed(old); live != nil || fixed != nil {
		t.Errorf("the same settings differ in %v and %v", live, fixed)
	}
}
