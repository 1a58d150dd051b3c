package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// tenure is the ownership of some partitions. It is not safe for concurrent
// use.
type tenure struct {
	count int // of all partitions
	// partitions maps those held to the time since when.
	partitions map[int]time.Time
	term       state.Term
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

// renewal is the answer to a join that was sent at an instant.
type renewal struct {
	kernel.Assignment
	sent boottime.Instant
	now  time.Time
	// length is how long the holding lasts from sent.
	length time.Duration
	// notBefore is when owners by earlier incarnations of the store have ended.
	notBefore time.Time
}

// renew takes over a renewal. Pools of partitions that were not held all the
// while, or only in an earlier incarnation of the store, begin empty.
func (t *tenure) renew(r renewal) change {
	lapsed := r.sent > t.until
	restored := r.Term.Incarnation != t.term.Incarnation
	changed := len(r.Partitions) != len(t.partitions)
	held := map[int]time.Time{}
	for _, p := range r.Partitions {
		since, had := t.partitions[p]
		changed = changed || !had
		switch {
		case !had || lapsed:
			since = r.now
			if r.notBefore.After(since) {
				since = r.notBefore
			}
		case restored:
			since = r.now
		}
		held[p] = since
	}
	for name := range t.pools {
		partition := partitionOf(name, t.count)
		if since, ok := held[partition]; !ok || since != t.partitions[partition] {
			delete(t.pools, name)
		}
	}
	before := t.term
	t.partitions, t.term = held, r.Term
	t.until = r.sent.Add(r.length - termMargin)
	switch {
	case changed || len(held) > 0 && (restored || lapsed && before.Before(r.Term)):
		return changeOwner
	case len(held) > 0 && before.Generation+1 < r.Term.Generation:
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
	if !held || at > t.until || now.Before(since) {
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
