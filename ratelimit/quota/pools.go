package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
)

// tenure is the ownership of some partitions. It is not safe for concurrent
// use.
type tenure struct {
	count int // of all partitions
	// partitions maps those held to the time since when.
	partitions map[int]time.Time
	generation uint64
	until      boottime.Instant
	pools      map[string]*bucket
}

func newTenure(count int) *tenure {
	return &tenure{count: count, partitions: map[int]time.Time{}, pools: map[string]*bucket{}}
}

// change tells what the other nodes have to be told of a renewed tenure.
type change int

const (
	changeNone change = iota
	// changeTerm: the partitions are the same, but another node may have held
	// some and may have told of a later term than this node has.
	changeTerm
	// changeOwner: the members' topic has to be written as well, since the
	// partitions differ or the tenure had lapsed.
	changeOwner
)

// renew takes over the answer to a join that was sent at an instant. Pools of
// partitions that were not held all the while begin empty.
func (t *tenure) renew(partitions []int, generation uint64, sent boottime.Instant, now time.Time, term time.Duration) change {
	lapsed := sent > t.until
	changed := len(partitions) != len(t.partitions)
	passed := generation - t.generation
	held := map[int]time.Time{}
	for _, p := range partitions {
		since, had := t.partitions[p]
		changed = changed || !had
		if !had || lapsed {
			since = now
		}
		held[p] = since
	}
	for name := range t.pools {
		partition := partitionOf(name, t.count)
		if since, ok := held[partition]; !ok || since != t.partitions[partition] {
			delete(t.pools, name)
		}
	}
	t.partitions, t.generation = held, generation
	t.until = sent.Add(term - termMargin)
	switch {
	case changed || lapsed && passed > 0 && len(held) > 0:
		return changeOwner
	case passed > 1 && len(held) > 0:
		return changeTerm
	}
	return changeNone
}

// partitionOf returns the partition of a customer.
func partitionOf(customer string, count int) int {
	return int(xxhash.Sum64String(customer) % uint64(count))
}

// grant takes up to want whole tokens from a customer's pool. It reports false
// if this node doesn't own the pool now.
func (t *tenure) grant(c config.Customer, want float64, at boottime.Instant, now time.Time) (float64, bool) {
	since, held := t.partitions[partitionOf(c.Name, t.count)]
	if !held || at > t.until {
		return 0, false
	}
	b := t.pools[c.Name]
	if b == nil {
		b = &bucket{refilled: since}
		t.pools[c.Name] = b
	}
	b.refill(now, c.Rate, max(depthPart*c.Burst, 1))
	return b.take(math.Ceil(want)), true
}
