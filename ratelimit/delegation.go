package ratelimit

import (
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// delegation lets this node act for a pool in place of an owner that has
// resigned, until the end of that owner's authority.
type delegation struct {
	from  state.MemberID
	until time.Time
}

// AcceptDelegation starts to act in place of an owner that has resigned. It
// requires that this node sees the same roster of its domain and nothing of the
// log that the owner had not seen: then the owner is known to have waited for all
// earlier owners of the pool.
func (o *Ownership) AcceptDelegation(customer string, d delegation, digest, offset uint64, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil || o.resigned || !now.Before(d.until) {
		return false
	}
	if digest != o.digest || o.snap.Offset > offset {
		return false
	}
	owner, _ := PoolOwner(o.roster, customer)
	successor, ok := PoolOwner(withoutMember(o.roster, d.from), customer)
	if !ok || owner.ID != d.from || successor.ID != o.self {
		return false
	}
	o.delegations[customer] = d
	return true
}

// MayGrant reports whether this node may make grants from a pool that it has
// taken over or that was delegated to it.
func (o *Ownership) MayGrant(customer string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if d, ok := o.delegations[customer]; ok && !o.resigned {
		return now.Before(d.until)
	}
	return now.Before(o.authority())
}

// resolveDelegations ends delegations affected by a snapshot and returns the
// customers whose pool this node now owns without a gap. That is so if the end of
// the previous owner is the only relevant change and this node sees it within
// that owner's authority: no other node can have started before.
func (o *Ownership) resolveDelegations(ended []state.MemberID, missedEvents bool, now time.Time) map[string]bool {
	continued := map[string]bool{}
	for customer, d := range o.delegations {
		owner, _ := PoolOwner(o.roster, customer)
		others := slices.DeleteFunc(slices.Clone(ended), func(id state.MemberID) bool { return id == d.from })
		valid := !missedEvents && now.Before(d.until) && !o.outrankedByAny(others, customer)
		if valid && owner.ID == d.from {
			continue
		}
		delete(o.delegations, customer)
		if valid && o.owned[customer] {
			continued[customer] = true
		}
	}
	return continued
}

func withoutMember(roster []state.Member, id state.MemberID) []state.Member {
	return slices.DeleteFunc(slices.Clone(roster), func(m state.Member) bool { return m.ID == id })
}
