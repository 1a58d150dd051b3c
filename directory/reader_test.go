package directory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

var errCutOff = errors.New("cut off from the store")

// sharedStore is one store for all nodes of a test.
type sharedStore struct {
	mu          sync.Mutex
	topics      map[string][]Item
	changed     chan struct{}
	incarnation uint64 // zero if the store reports none
	puts        map[string]int
}

func newSharedStore() *sharedStore {
	return &sharedStore{topics: map[string][]Item{}, changed: make(chan struct{}), puts: map[string]int{}}
}

func (s *sharedStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.topics[topic]
	s.puts[key]++
	s.topics[topic] = append(items, Item{Key: key, Value: value, Offset: uint64(len(items))})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedStore) currentIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// restore starts a new incarnation that lacks the latest records of a topic.
func (s *sharedStore) restore(topic string, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	items := s.topics[topic]
	s.topics[topic] = items[: len(items)-lost : len(items)-lost]
	s.puts = map[string]int{}
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeClient is one node's connection to the store; it counts the node's calls and
// can be cut off.
type storeClient struct {
	store  *sharedStore
	reads  atomic.Int64
	puts   atomic.Int64
	cutOff atomic.Bool
}

func (c *storeClient) Incarnation() uint64 { return c.store.currentIncarnation() }

func (c *storeClient) Latest(_ context.Context, topic string) (Page, error) {
	if c.cutOff.Load() {
		return Page{}, errCutOff
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	latest := map[string]Item{}
	for _, i := range c.store.topics[topic] {
		latest[i.Key] = i
	}
	page := Page{End: uint64(len(c.store.topics[topic])), Incarnation: c.store.incarnation}
	for _, i := range latest {
		page.Items = append(page.Items, i)
	}
	return page, nil
}

func (c *storeClient) Tail(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	c.reads.Add(1)
	until := time.After(wait)
	for {
		c.store.mu.Lock()
		items, changed, incarnation := c.store.topics[topic], c.store.changed, c.store.incarnation
		c.store.mu.Unlock()
		switch {
		case c.cutOff.Load():
			return Page{}, errCutOff
		case incarnation > 1 && from > uint64(len(items)):
			return Page{}, ErrCompacted
		case from < uint64(len(items)):
			return Page{Items: items[from:], End: uint64(len(items)), Incarnation: incarnation}, nil
		}
		select {
		case <-changed:
		case <-until:
			return Page{End: from, Incarnation: incarnation}, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (c *storeClient) Put(_ context.Context, topic, key string, value []byte) error {
	if c.cutOff.Load() {
		return errCutOff
	}
	c.puts.Add(1)
	c.store.put(topic, key, value)
	return nil
}

// A node's record is not written again while it is unchanged. Since the order of map
// entries changed the encoded bytes, a node that had learnt the fan-out of several routes
// wrote its record again after each read of the store.
func TestRecordWithFanoutIsWrittenOnce(t *testing.T) {
	store := newSharedStore()
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	client := &storeClient{store: store}
	d.options.Store = client
	d.Announce(func(r *Record) {
		r.Fanout = state.Fanout{}
		for i := range 12 {
			r.Fanout[fmt.Sprint("route", i)] = map[string]int{"a": 1, "b": 2, "c": 3}
		}
	})
	for range 20 {
		if !d.writeOnce(t.Context()) {
			t.Fatal("not written")
		}
		page, err := client.Latest(t.Context(), "members")
		if err != nil {
			t.Fatal(err)
		}
		d.applyMembers(page, true, 0)
	}
	if got := client.puts.Load(); got != 1 {
		t.Errorf("the record was written %d times", got)
	}
}

// The number of reads of the store depends on the number of failure domains, not of
// nodes. When the reader loses the store, changes still reach all nodes.
func TestStoreReadsPerFailureDomain(t *testing.T) {
	const count = 8
	store, nodes := newSharedStore(), map[string]*fakePeers{}
	all := make([]*Directory, count)
	clients := make([]*storeClient, count)
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer running.Wait()
	defer cancel()
	for i := range all {
		all[i], _ = newNode(fmt.Sprint("n", i), "x", nodes)
		clients[i] = &storeClient{store: store}
		all[i].options.Store = clients[i]
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
	eventually(t, "all nodes know each other", func() bool {
		return !slices.ContainsFunc(all, func(d *Directory) bool { return d.Snapshot().Nodes < count || !inForce(d) })
	})
	reader := slices.IndexFunc(all, func(d *Directory) bool { return len(d.precedingPeers()) == 0 })
	// Peers rely on the reader only while its latest contact with the store is recent,
	// which it isn't between the reader's first read and its first poll.
	change()
	eventually(t, "the first node polls the store", func() bool { return inForce(all[reader]) })
	awaitPulls(t, all, nodes, reader)
	eventually(t, "one node reads for all others", func() bool {
		for i, d := range all {
			if d.isReader.Load() != (i == reader) || !inForce(d) {
				return false
			}
		}
		return true
	})
	var before [count]int64
	for i, client := range clients {
		before[i] = client.reads.Load()
	}
	for range 5 {
		change()
		for _, d := range all {
			eventually(t, "the change is in force", func() bool { return inForce(d) })
		}
	}
	for i, client := range clients {
		// A node may have had polls outstanding when another became the reader.
		if got := client.reads.Load() - before[i]; i != reader && got > 2 {
			t.Errorf("%s made %d reads for 5 changes while %s read for all", all[i].options.Name, got, all[reader].options.Name)
		}
	}
	clients[reader].cutOff.Store(true)
	change()
	for i, d := range all {
		if i != reader {
			eventually(t, "a change arrives without the previous reader", func() bool { return inForce(d) })
		}
	}
	eventually(t, "the node that is cut off learns the change from its peers", func() bool { return inForce(all[reader]) })
}

// awaitPulls waits until each node except the reader has decided, in a pull that began
// after the call, whether to read the store itself. Nodes that start together all read
// until they know each other, and begin to do so one by one: a single reader alone
// doesn't show that the others have decided.
func awaitPulls(t *testing.T, all []*Directory, nodes map[string]*fakePeers, reader int) {
	t.Helper()
	// A pull under way sends at most maxPullPeers-1 further requests, the next pull
	// decides with its first, and the one after it shows that the decision is in force.
	const requests = maxPullPeers + 1
	decided := map[*fakePeers]int64{}
	for i, d := range all {
		if peers := nodes[d.options.Name]; i != reader {
			decided[peers] = peers.sent.Load() + requests
		}
	}
	for peers, want := range decided {
		eventually(t, "the node has pulled from its peers", func() bool { return peers.sent.Load() >= want })
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(40 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("not in time: " + what)
		}
	}
}
