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

// The store is restored from a backup: the group's generation falls, and another
// node is assigned the partition of an owner that goes on granting until its
// session ends. The customer sends twice its rate. Over any five seconds at most
// a tenth plus 20 requests may be admitted beyond rate and burst.
func TestRateBoundAfterStoreRestore(t *testing.T) {
	const n, rate = 14, 250.0
	const window, sessionTimeout = 5 * time.Second, 1600 * time.Millisecond
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 7))
		sim := newSimulation(n, rate)
		ownPartition := []int{partitionOf(sim.customer.Name, partitions)}
		renewOwner := func(t *ownedPools, incarnation, generation uint64, notBefore time.Time) {
			t.renew(renewal{
				Assignment: kernel.Assignment{Partitions: ownPartition, Term: state.Term{Incarnation: incarnation, Generation: generation}},
				sentAt:     sim.bootNow, now: sim.now, duration: sessionTimeout, notBefore: notBefore,
			})
		}
		formerOwner, nextOwner := newOwnedPools(partitions), newOwnedPools(partitions)
		run := func(duration time.Duration, owner func(int) *ownedPools) {
			for end := sim.now.Add(duration); sim.now.Before(end); {
				sim.run(rng, 100*time.Millisecond, evenDemand(n, 2*rate), owner)
			}
		}
		for range 100 {
			renewOwner(formerOwner, 1, 40, time.Time{})
			run(100*time.Millisecond, func(int) *ownedPools { return formerOwner })
		}
		// After the restore half of the nodes know the new owner.
		restoredAt := sim.now
		for range 100 {
			renewOwner(nextOwner, 2, 12, restoredAt.Add(sessionTimeout))
			run(100*time.Millisecond, func(node int) *ownedPools {
				if node%2 == 0 {
					return formerOwner
				}
				return nextOwner
			})
		}
		if maxAdmitted, bound := sim.maxAdmitted(window), 1.1*(rate*window.Seconds()+rate)+20; float64(maxAdmitted) > bound {
			t.Errorf("seed %d: %d requests admitted in %s, want at most %.0f", seed, maxAdmitted, window, bound)
		}
		if got, ok := nextOwner.grant(sim.customer, 1, sim.bootNow, sim.now); !ok || got < 0 {
			t.Errorf("seed %d: the new owner does not act at the end", seed)
		}
	}
}

// Ownership ends with the incarnation of the store that assigned it. In the next
// incarnation a pool that the node owned before starts empty at once, and one
// owned by another node starts when the sessions of earlier owners have ended. The
// new ownership is announced although its generation is lower.
func TestOwnershipRestartsInNewIncarnation(t *testing.T) {
	s := &state.Snapshot{Members: map[state.MemberID]state.Member{"n1#1": {}, "n2#1": {}}}
	peers, g := &fakePeers{}, &fakeGroup{partitions: []int{4}, generation: 40, incarnation: 1}
	p, announced := newOwnershipPlugin(peers, g, s)
	now := p.host.Now()
	p.host.Now = func() time.Time { return now }
	p.joinGroup()
	now = now.Add(time.Minute)
	p.joinGroup()
	c := customerOfPartition(4)
	if got, err := p.grant(c, 5); err != nil || got != 5 {
		t.Fatalf("granted %g tokens, error %v in the first incarnation; want 5 tokens", got, err)
	}
	g.incarnation = 2 // any response of the store carries it
	if _, err := p.grant(c, 1); !errors.Is(err, errNotOwner) {
		t.Errorf("grant under an earlier incarnation: error %v, want errNotOwner", err)
	}
	g.partitions, g.generation = []int{4, 5}, 12
	announced.Store(0)
	peers.notified.Store(0)
	p.joinGroup()
	if announced.Load() != 1 || peers.notified.Load() != 1 || p.ownedPools.term != (state.Term{Incarnation: 2, Generation: 12}) {
		t.Errorf("%d announcements, %d notices, term %+v", announced.Load(), peers.notified.Load(), p.ownedPools.term)
	}
	if got, err := p.grant(c, 1); err != nil || got != 0 {
		t.Errorf("pool owned before: granted %g tokens, error %v; want an empty pool", got, err)
	}
	if _, err := p.grant(customerOfPartition(5), 1); !errors.Is(err, errNotOwner) {
		t.Errorf("pool that another node may still own: error %v, want errNotOwner", err)
	}
	now = now.Add(p.host.Pools.SessionTimeout + time.Second)
	p.ownedPools.validUntil = boottime.Now().Add(time.Minute)
	if got, err := p.grant(customerOfPartition(5), 1); err != nil || got != 1 {
		t.Errorf("after the earlier sessions: granted %g tokens, error %v; want 1 token", got, err)
	}
}

// A notice from a newer incarnation outranks the members' topic, even if its
// generation is lower.
func TestNewerIncarnationOutranksHigherGeneration(t *testing.T) {
	c := customerOfPartition(4)
	s := &state.Snapshot{Pools: map[int]state.PoolOwner{4: {Member: state.Member{ID: "former#1"}, Term: state.Term{Incarnation: 1, Generation: 40}}}}
	p, _ := newOwnershipPlugin(&fakePeers{}, &fakeGroup{}, s)
	p.announcedOwners[4] = state.PoolOwner{Member: state.Member{ID: "next#1"}, Term: state.Term{Incarnation: 2, Generation: 12}}
	if owner, _ := p.poolOwner(c.Name, s); owner.Member.ID != "next#1" {
		t.Errorf("owner %s, want next#1", owner.Member.ID)
	}
}
