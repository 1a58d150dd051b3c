package directory

import (
	"context"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Guards against a change of the node's own record counting as stored that the store
// doesn't hold: one that is not written yet, or that a restored store has lost.
func TestAwaitStored(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	left := func(r *Record) bool { return r.Instance.Left }
	ended, end := context.WithCancel(t.Context())
	end()
	check := func(what string, want bool) {
		t.Helper()
		if got := d.AwaitStored(ended, left) == nil; got != want {
			t.Errorf("%s: stored %v", what, got)
		}
	}
	d.Announce(func(r *Record) { r.Instance = Instance{ID: "i-1", StartedMS: 100, Left: true} })
	check("announced", false)

	waiting := make(chan error)
	go func() { waiting <- d.AwaitStored(t.Context(), left) }()
	own := *d.own
	d.applyMembers(Page{Items: []Item{item(t, "a", own, 4)}, End: 5, Incarnation: 1}, true, 0)
	if err := <-waiting; err != nil {
		t.Error(err)
	}
	check("returned by the store", true)

	d.Announce(func(r *Record) { r.Pools = []int{1} }) // a write is pending when the store is restored
	d.applyMembers(Page{End: 3, Incarnation: 2}, true, 0)
	check("lost by the restored store", false)

	stale := own
	stale.Member, stale.Instance = state.Member{ID: "a#0"}, Instance{}
	d.applyMembers(Page{Items: []Item{item(t, "a", stale, 3)}, End: 4, Incarnation: 2}, false, 0)
	check("replaced by a late write of an earlier process", false)
}
