package quota

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// owners are peers of which one owns every pool.
type owners struct {
	owner state.MemberID
	told  atomic.Int32
}

func (o *owners) Request(_ context.Context, to state.Member, _ string, _ []byte) ([]byte, error) {
	if to.ID != o.owner {
		return nil, errNotOwner
	}
	return cbor.Marshal(leaseAnswer{Tokens: 1})
}

func (o *owners) Handle(string, kernel.MessageHandler) {}

func (o *owners) Notify(state.Member, string, []byte) { o.told.Add(1) }

// group answers all joins alike.
type group struct {
	partitions  []int
	generation  uint64
	incarnation uint64
}

func (g *group) Join(context.Context, string, time.Duration, state.Term) (kernel.Assignment, error) {
	return kernel.Assignment{Partitions: g.partitions, Term: state.Term{Incarnation: g.incarnation, Generation: g.generation}}, nil
}

func (g *group) Incarnation() uint64 { return g.incarnation }

func (g *group) Leave(context.Context, string) error { return nil }

func ownershipPlugin(peers kernel.Peers, g *group, s *state.Snapshot) (*Plugin, *atomic.Int32) {
	announced := &atomic.Int32{}
	now := time.Unix(1_700_000_000, 0)
	p := &Plugin{
		host: &kernel.Host{
			Self: state.Member{ID: "n1#1"}, Peers: peers, Log: slog.New(slog.DiscardHandler),
			Now:                func() time.Time { return now },
			Snapshot:           func() *state.Snapshot { return s },
			AnnounceAssignment: func(kernel.Assignment) { announced.Add(1) },
			Pools:              kernel.PoolSettings{GroupCoordinator: g, Partitions: partitions, SessionTimeout: 2 * time.Second},
		},
		tenure: newTenure(partitions), holdings: map[string]*holding{},
		contacts: contacts{}, news: map[int]state.PoolOwner{},
	}
	return p, announced
}

// Pattern: the store is out for longer than a term (soak seed 1). Another node
// has owned a partition meanwhile and has told everyone; the node that gets it
// back at a later generation, all partitions as before, makes that known.
func TestPartitionsHeldAgainAreMadeKnown(t *testing.T) {
	s := &state.Snapshot{Members: map[state.MemberID]state.Member{"n1#1": {}, "n2#1": {}}}
	for _, c := range []struct {
		name            string
		lapsed          bool
		generation      uint64
		announced, told int32
	}{
		{"kept", false, 15, 0, 0},
		{"kept while others changed", false, 16, 0, 0},
		{"others may have held them", false, 23, 0, 1},
		{"lapsed", true, 23, 1, 1},
		{"late, but not lapsed at the store", true, 15, 0, 0},
	} {
		peers, g := &owners{}, &group{partitions: []int{4}, generation: 15}
		p, announced := ownershipPlugin(peers, g, s)
		p.join()
		announced.Store(0)
		peers.told.Store(0)
		if c.lapsed {
			p.tenure.until = boottime.Now().Add(-time.Second)
		}
		g.generation = c.generation
		p.join()
		if announced.Load() != c.announced || peers.told.Load() != c.told {
			t.Errorf("%s: announced %d, told %d, want %d and %d", c.name, announced.Load(), peers.told.Load(), c.announced, c.told)
		}
	}
}

// Pattern: a node has told of its pools at a later term than the members'
// topic has, lost them since, and answers. The topic's word is used from then on.
func TestWordOfAFormerOwnerIsDropped(t *testing.T) {
	customer := config.Customer{Name: "golf", Rate: 100, Burst: 100}
	partition := partitionOf(customer.Name, partitions)
	s := &state.Snapshot{Pools: map[int]state.PoolOwner{partition: {Member: state.Member{ID: "owner#1"}, Term: state.Term{Generation: 15}}}}
	p, _ := ownershipPlugin(&owners{owner: "owner#1"}, &group{}, s)
	p.news[partition] = state.PoolOwner{Member: state.Member{ID: "former#1"}, Term: state.Term{Generation: 20}}
	if _, err := p.lease(customer, s, 1); !errors.Is(err, errNotOwner) {
		t.Fatalf("first answer %v, want %v", err, errNotOwner)
	}
	if got, err := p.lease(customer, s, 1); err != nil || got != 1 {
		t.Errorf("leased %g, %v after the former owner's answer", got, err)
	}
}
