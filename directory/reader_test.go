package directory

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

var errCut = errors.New("cut off from the store")

// sharedStore is one store for all nodes of a test.
type sharedStore struct {
	mu          sync.Mutex
	topics      map[string][]Item
	grown       chan struct{}
	incarnation uint64 // zero tells none
	puts        map[string]int
}

func newSharedStore() *sharedStore {
	return &sharedStore{topics: map[string][]Item{}, grown: make(chan struct{}), puts: map[string]int{}}
}

func (s *sharedStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.topics[topic]
	s.puts[key]++
	s.topics[topic] = append(items, Item{Key: key, Value: value, Offset: uint64(len(items))})
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *sharedStore) at() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// restore puts the store back to a copy that lacks the latest records of a topic.
func (s *sharedStore) restore(topic string, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	items := s.topics[topic]
	s.topics[topic] = items[: len(items)-lost : len(items)-lost]
	s.puts = map[string]int{}
	close(s.grown)
	s.grown = make(chan struct{})
}

// access is one node's way to the store; it counts the node's reads.
type access struct {
	store *sharedStore
	reads atomic.Int64
	puts  atomic.Int64
	cut   atomic.Bool
}

func (a *access) Incarnation() uint64 { return a.store.at() }

func (a *access) Latest(_ context.Context, topic string) (Page, error) {
	if a.cut.Load() {
		return Page{}, errCut
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	newest := map[string]Item{}
	for _, i := range a.store.topics[topic] {
		newest[i.Key] = i
	}
	page := Page{End: uint64(len(a.store.topics[topic])), Incarnation: a.store.incarnation}
	for _, i := range newest {
		page.Items = append(page.Items, i)
	}
	return page, nil
}

func (a *access) Tail(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	a.reads.Add(1)
	until := time.After(wait)
	for {
		a.store.mu.Lock()
		items, grown, incarnation := a.store.topics[topic], a.store.grown, a.store.incarnation
		a.store.mu.Unlock()
		switch {
		case a.cut.Load():
			return Page{}, errCut
		case incarnation > 1 && from > uint64(len(items)):
			return Page{}, ErrCompacted
		case from < uint64(len(items)):
			return Page{Items: items[from:], End: uint64(len(items)), Incarnation: incarnation}, nil
		}
		select {
		case <-grown:
		case <-until:
			return Page{End: from, Incarnation: incarnation}, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (a *access) Put(_ context.Context, topic, key string, value []byte) error {
	if a.cut.Load() {
		return errCut
	}
	a.puts.Add(1)
	a.store.put(topic, key, value)
	return nil
}

// Pattern: a node that has learnt needs of several routes wrote its record
// again with every word of the store (raiosul-alertas-large quiet-1, 267 of 575
// writes): the order of a map changes the bytes of an encoding.
func TestRecordWithNeedsIsWrittenOnce(t *testing.T) {
	store := newSharedStore()
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	way := &access{store: store}
	d.options.Store = way
	d.Announce(func(r *Record) {
		r.Needs = state.Fanout{}
		for i := range 12 {
			r.Needs[fmt.Sprint("route", i)] = map[string]int{"a": 1, "b": 2, "c": 3}
		}
	})
	for range 20 {
		if !d.writeOnce(t.Context()) {
			t.Fatal("not written")
		}
		page, err := way.Latest(t.Context(), "members")
		if err != nil {
			t.Fatal(err)
		}
		d.applyMembers(page, true, 0)
	}
	if got := way.puts.Load(); got != 1 {
		t.Errorf("the record was written %d times", got)
	}
}

// A configuration that changes often costs calls to the store by the failure
// domain, not by the node; a node that loses the store keeps none from a change.
func TestChangesCostCallsByTheFailureDomain(t *testing.T) {
	const count = 8
	store, nodes := newSharedStore(), map[string]*fakePeers{}
	all := make([]*Directory, count)
	ways := make([]*access, count)
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	defer running.Wait()
	defer stop()
	for i := range all {
		all[i], _ = newNode(fmt.Sprint("n", i), "x", nodes)
		ways[i] = &access{store: store}
		all[i].options.Store = ways[i]
	}
	for _, d := range all {
		running.Go(func() { d.Run(ctx) })
	}
	version := 0
	change := func() {
		version++
		store.put("config", "it", fmt.Appendf(nil, "%d golf", version))
	}
	inForce := func(d *Directory) bool { return d.Snapshot().Version == uint64(version) }
	change()
	leader := -1
	eventually(t, "one node reads for all", func() bool {
		leading := 0
		for i, d := range all {
			if !inForce(d) {
				return false
			}
			if d.leading.Load() {
				leading++
				leader = i
			}
		}
		return leading == 1
	})
	var before [count]int64
	for i, way := range ways {
		before[i] = way.reads.Load()
	}
	for range 5 {
		change()
		for _, d := range all {
			eventually(t, "the change is in force", func() bool { return inForce(d) })
		}
	}
	for i, way := range ways {
		// A node may have had polls on their way when another began to lead.
		if got := way.reads.Load() - before[i]; i != leader && got > 2 {
			t.Errorf("%s made %d reads for 5 changes while %s read for all", all[i].options.Name, got, all[leader].options.Name)
		}
	}
	ways[leader].cut.Store(true)
	change()
	for i, d := range all {
		if i != leader {
			eventually(t, "a change comes without the node that read for all", func() bool { return inForce(d) })
		}
	}
	eventually(t, "the node that is cut off learns it from its peers", func() bool { return inForce(all[leader]) })
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(40 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("not in time: " + what)
		}
	}
}
