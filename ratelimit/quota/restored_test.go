package quota

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Pattern: the store comes back from a copy; the group's generation falls, and
// another node gets the partition of an owner that goes on in good faith until
// its term ends. The customer sends twice its rate; the bound of five seconds
// holds (rate x window and burst, a tenth and 20 more).
func TestRestoredGroupKeepsTheBound(t *testing.T) {
	const n, rate = 14, 250.0
	const window, term = 5 * time.Second, 1600 * time.Millisecond
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(n, rate)
		own := []int{partitionOf(w.customer.Name, partitions)}
		hold := func(t *tenure, incarnation, generation uint64, notBefore time.Time) {
			t.renew(renewal{
				Assignment: kernel.Assignment{Partitions: own, Term: state.Term{Incarnation: incarnation, Generation: generation}},
				sent:       w.boot, now: w.now, length: term, notBefore: notBefore,
			})
		}
		former, next := newTenure(partitions), newTenure(partitions)
		play := func(length time.Duration, owner func(int) *tenure) {
			for end := w.now.Add(length); w.now.Before(end); {
				w.play(rng, 100*time.Millisecond, even(n, 2*rate), owner)
			}
		}
		for range 100 {
			hold(former, 1, 40, time.Time{})
			play(100*time.Millisecond, func(int) *tenure { return former })
		}
		// The store is back; half of the nodes have heard of the new owner.
		met := w.now
		for range 100 {
			hold(next, 2, 12, met.Add(term))
			play(100*time.Millisecond, func(node int) *tenure {
				if node%2 == 0 {
					return former
				}
				return next
			})
		}
		if most, bound := w.most(window), 1.1*(rate*window.Seconds()+rate)+20; float64(most) > bound {
			t.Errorf("seed %d: %d requests in %s, bound %.0f", seed, most, window, bound)
		}
		if got, ok := next.grant(w.customer, 1, w.boot, w.now); !ok || got < 0 {
			t.Errorf("seed %d: the new owner grants nothing in the end", seed)
		}
	}
}

// A tenure ends with the incarnation that gave it out. The same node's next one
// begins empty at once, another's after the terms of the earlier owners; either
// is made known, though its generation is lower.
func TestRestoredTenureBeginsAnew(t *testing.T) {
	s := &state.Snapshot{Members: map[state.MemberID]state.Member{"n1#1": {}, "n2#1": {}}}
	peers, g := &owners{}, &group{partitions: []int{4}, generation: 40, incarnation: 1}
	p, announced := ownershipPlugin(peers, g, s)
	now := p.host.Now()
	p.host.Now = func() time.Time { return now }
	p.join()
	now = now.Add(time.Minute)
	p.join()
	c := customerOf(4)
	if got, err := p.grant(c, 5); err != nil || got != 5 {
		t.Fatalf("granted %g, %v", got, err)
	}
	g.incarnation = 2 // told by any answer of the store
	if _, err := p.grant(c, 1); !errors.Is(err, errNotOwner) {
		t.Errorf("granted by an earlier incarnation: %v", err)
	}
	g.partitions, g.generation = []int{4, 5}, 12
	announced.Store(0)
	peers.told.Store(0)
	p.join()
	if announced.Load() != 1 || peers.told.Load() != 1 || p.tenure.term != (state.Term{Incarnation: 2, Generation: 12}) {
		t.Errorf("announced %d, told %d, term %+v", announced.Load(), peers.told.Load(), p.tenure.term)
	}
	if got, err := p.grant(c, 1); err != nil || got != 0 {
		t.Errorf("the kept pool is not empty: %g, %v", got, err)
	}
	if _, err := p.grant(customerOf(5), 1); !errors.Is(err, errNotOwner) {
		t.Errorf("a pool that another may own still: %v", err)
	}
	now = now.Add(p.host.Pools.SessionTimeout + time.Second)
	p.tenure.until = boottime.Now().Add(time.Minute)
	if got, err := p.grant(customerOf(5), 1); err != nil || got != 1 {
		t.Errorf("after the earlier terms: %g, %v", got, err)
	}
}

// The word of an owner in the newer incarnation counts, whatever the generations.
func TestRestoredOwnersWordCounts(t *testing.T) {
	c := customerOf(4)
	s := &state.Snapshot{Pools: map[int]state.PoolOwner{4: {Member: state.Member{ID: "former#1"}, Term: state.Term{Incarnation: 1, Generation: 40}}}}
	p, _ := ownershipPlugin(&owners{}, &group{}, s)
	p.news[4] = state.PoolOwner{Member: state.Member{ID: "next#1"}, Term: state.Term{Incarnation: 2, Generation: 12}}
	if owner, _ := p.ownerOf(c.Name, s); owner.Member.ID != "next#1" {
		t.Errorf("owner %s", owner.Member.ID)
	}
}
