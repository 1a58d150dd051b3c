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

// ownedPools holds the partitions that this node owns and the pools of their
// customers. It is not safe for concurrent use.
type ownedPools struct {
	partitionCount int // number of all partitions, owned or not
	// heldSince maps each owned partition to the time from which this node may
	// grant from its pools.
	heldSince  map[int]time.Time
	term       state.Term
	validUntil boottime.Instant
	pools      map[string]*bucket
}

func newOwnedPools(partitionCount int) *ownedPools {
	return &ownedPools{partitionCount: partitionCount, heldSince: map[int]time.Time{}, pools: map[string]*bucket{}}
}

// renewalAction tells how to make a renewed ownership known to other nodes.
type renewalAction int

const (
	actionNone renewalAction = iota
	// actionNotify means that the nodes must be notified: the partitions are the
	// same, but another node may have owned some in between and announced a later
	// term than this node's previous one.
	actionNotify
	// actionAnnounce means that the members' topic must be written as well, since
	// the partitions differ or the ownership had lapsed.
	actionAnnounce
)

// renewal is the answer to a join sent at sentAt.
type renewal struct {
	kernel.Assignment
	sentAt boottime.Instant
	now    time.Time
	// duration is how long the assignment lasts, counted from sentAt.
	duration time.Duration
	// notBefore is when the owners of earlier incarnations of the store have
	// stopped granting.
	notBefore time.Time
}

// renew applies a renewal. Pools of partitions that were not held without a
// break in the same incarnation of the store start empty.
func (o *ownedPools) renew(r renewal) renewalAction {
	lapsed := r.sentAt > o.validUntil
	newIncarnation := r.Term.Incarnation != o.term.Incarnation
	changed := len(r.Partitions) != len(o.heldSince)
	held := map[int]time.Time{}
	for _, p := range r.Partitions {
		since, heldBefore := o.heldSince[p]
		changed = changed || !heldBefore
		switch {
		case !heldBefore || lapsed:
			since = r.now
			if r.notBefore.After(since) {
				since = r.notBefore
			}
		case newIncarnation:
			since = r.now
		}
		held[p] = since
	}
	for name := range o.pools {
		partition := partitionOf(name, o.partitionCount)
		if since, ok := held[partition]; !ok || since != o.heldSince[partition] {
			delete(o.pools, name)
		}
	}
	previousTerm := o.term
	o.heldSince, o.term = held, r.Term
	o.validUntil = r.sentAt.Add(r.duration - sessionMargin)
	switch {
	case changed || len(held) > 0 && (newIncarnation || lapsed && previousTerm.Before(r.Term)):
		return actionAnnounce
	case len(held) > 0 && previousTerm.Generation+1 < r.Term.Generation:
		return actionNotify
	}
	return actionNone
}

// partitionOf returns the partition of a customer.
func partitionOf(customer string, partitionCount int) int {
	return int(xxhash.Sum64String(customer) % uint64(partitionCount))
}

// grant takes up to wanted tokens, rounded up to whole ones, from a customer's
// pool. It reports false if this node doesn't own the pool now.
func (o *ownedPools) grant(c config.Customer, wanted float64, bootNow boottime.Instant, now time.Time) (float64, bool) {
	since, held := o.heldSince[partitionOf(c.Name, o.partitionCount)]
	if !held || bootNow > o.validUntil || now.Before(since) {
		return 0, false
	}
	b := o.pools[c.Name]
	if b == nil {
		b = &bucket{refilledAt: since}
		o.pools[c.Name] = b
	}
	b.refill(now, c.Rate, max(poolDepthRatio*c.Burst, 1))
	return b.take(math.Ceil(wanted)), true
}
