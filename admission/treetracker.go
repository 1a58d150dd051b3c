package admission

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const treeShards = 16

// tree is the work of one root request at this instance.
type tree struct {
	calls       int
	route       string        // of the call that started last
	nested      int           // nested calls in flight
	nestedSince time.Time     // start of the current wait for nested calls
	nestedWait  time.Duration // completed waits for nested calls
}

func (t *tree) totalNestedWait(now time.Time) time.Duration {
	if t.nested == 0 {
		return t.nestedWait
	}
	return t.nestedWait + now.Sub(t.nestedSince)
}

// treeTracker separates the own time of an instance's calls from the time that
// they wait for nested calls. Calls are matched by root request. In the rare
// case of two calls of one tree at one instance, the wait of either call counts
// for both.
type treeTracker struct {
	shards [treeShards]struct {
		sync.Mutex
		byRoot map[kernel.CallID]*tree
	}
}

func newTreeTracker() *treeTracker {
	t := &treeTracker{}
	for i := range t.shards {
		t.shards[i].byRoot = map[kernel.CallID]*tree{}
	}
	return t
}

// begin records that a call has been handed to the instance and returns the
// tree's wait for nested calls so far.
func (t *treeTracker) begin(root kernel.CallID, route string, now time.Time) time.Duration {
	s := &t.shards[root[15]%treeShards]
	s.Lock()
	defer s.Unlock()
	tr := s.byRoot[root]
	if tr == nil {
		tr = &tree{}
		s.byRoot[root] = tr
	}
	tr.calls++
	tr.route = route
	return tr.totalNestedWait(now)
}

// end records that a call has ended and returns how long it waited for nested
// calls.
func (t *treeTracker) end(root kernel.CallID, waitedBefore time.Duration, now time.Time) time.Duration {
	s := &t.shards[root[15]%treeShards]
	s.Lock()
	defer s.Unlock()
	tr := s.byRoot[root]
	tr.calls--
	if tr.calls == 0 {
		delete(s.byRoot, root)
	}
	return tr.totalNestedWait(now) - waitedBefore
}

// beginNested records a nested call and returns the route of its parent.
func (t *treeTracker) beginNested(root kernel.CallID, now time.Time) (string, bool) {
	s := &t.shards[root[15]%treeShards]
	s.Lock()
	defer s.Unlock()
	tr := s.byRoot[root]
	if tr == nil {
		return "", false
	}
	if tr.nested == 0 {
		tr.nestedSince = now
	}
	tr.nested++
	return tr.route, true
}

// endNested records the end of a nested call.
func (t *treeTracker) endNested(root kernel.CallID, now time.Time) {
	s := &t.shards[root[15]%treeShards]
	s.Lock()
	defer s.Unlock()
	tr := s.byRoot[root]
	if tr == nil || tr.nested == 0 {
		return
	}
	tr.nested--
	if tr.nested == 0 {
		tr.nestedWait += now.Sub(tr.nestedSince)
	}
}
