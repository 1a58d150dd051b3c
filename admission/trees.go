package admission

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const treeShards = 16

// tree is the work of one root request at this instance.
type tree struct {
	calls   int
	route   string // of the call that began last
	nested  int    // nested calls that the instance waits for
	since   time.Time
	waiting time.Duration // time with at least one nested call, until since
}

func (t *tree) waited(now time.Time) time.Duration {
	if t.nested == 0 {
		return t.waiting
	}
	return t.waiting + now.Sub(t.since)
}

// trees tells the own time of an instance's calls from the time that they
// wait for nested calls. Calls are matched by root request: the rare case of
// two calls of one tree at one instance takes the wait of either for both.
type trees struct {
	shards [treeShards]struct {
		sync.Mutex
		byRoot map[kernel.CallID]*tree
	}
}

func newTrees() *trees {
	t := &trees{}
	for i := range t.shards {
		t.shards[i].byRoot = map[kernel.CallID]*tree{}
	}
	return t
}

// begin records that a call has been handed over and returns the time waited
// for nested calls before it.
func (t *trees) begin(root kernel.CallID, route string, now time.Time) time.Duration {
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
	return tr.waited(now)
}

// end records that a call is over and returns the time it waited.
func (t *trees) end(root kernel.CallID, before time.Duration, now time.Time) time.Duration {
	s := &t.shards[root[15]%treeShards]
	s.Lock()
	defer s.Unlock()
	tr := s.byRoot[root]
	tr.calls--
	if tr.calls == 0 {
		delete(s.byRoot, root)
	}
	return tr.waited(now) - before
}

// nestedBegin records a nested call and returns the route of its parent.
func (t *trees) nestedBegin(root kernel.CallID, now time.Time) (string, bool) {
	s := &t.shards[root[15]%treeShards]
	s.Lock()
	defer s.Unlock()
	tr := s.byRoot[root]
	if tr == nil {
		return "", false
	}
	if tr.nested == 0 {
		tr.since = now
	}
	tr.nested++
	return tr.route, true
}

// nestedEnd records the end of a nested call.
func (t *trees) nestedEnd(root kernel.CallID, now time.Time) {
	s := &t.shards[root[15]%treeShards]
	s.Lock()
	defer s.Unlock()
	tr := s.byRoot[root]
	if tr == nil || tr.nested == 0 {
		return
	}
	tr.nested--
	if tr.nested == 0 {
		tr.waiting += now.Sub(tr.since)
	}
}
