package ratelimit

import (
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// inheritance lets this node act for a pool in place of an owner that has
// resigned, until the end of the authority which that owner had.
type inheritance struct {
	from  state.MemberID
	until time.Time
}

// Inherit starts to act in place of an owner that has resigned. It demands that
// this node sees the same roster of its domain, and of the log nothing that the
// owner had not seen: whoever has owned the pool before is then known to have
// been waited for by that owner.
func (t *Tenure) Inherit(customer string, in inheritance, digest, offset uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snap == nil || t.resigned || !now.Before(in.until) {
		return false
	}
	if digest != t.digest || t.snap.Offset > offset {
		return false
	}
	owner, _ := poolOwner(t.roster, customer)
	heir, ok := poolOwner(without(t.roster, in.from), customer)
	if !ok || owner.ID != in.from || heir.ID != t.self {
		return false
	}
	t.inherited[customer] = in
	return true
}

// Acts reports whether this node may make grants from a pool that it has taken
// over or inherited.
func (t *Tenure) Acts(customer string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in, ok := t.inherited[customer]; ok && !t.resigned {
		return now.Before(in.until)
	}
	return now.Before(t.authority())
}

// settle ends inheritances by the changes of a snapshot and returns the
// customers whose pool this node now owns without a gap. That is so if the end
// of the previous owner is the only one that can matter, and this node sees it
// within the authority of that owner: no other node can have started before.
func (t *Tenure) settle(ended []state.MemberID, missed bool, now time.Time) map[string]bool {
	settled := map[string]bool{}
	for customer, in := range t.inherited {
		owner, _ := poolOwner(t.roster, customer)
		others := slices.DeleteFunc(slices.Clone(ended), func(id state.MemberID) bool { return id == in.from })
		valid := !missed && now.Before(in.until) && !t.outrankedByAny(others, customer)
		if valid && owner.ID == in.from {
			continue
		}
		delete(t.inherited, customer)
		if valid && t.owned[customer] {
			settled[customer] = true
		}
	}
	return settled
}

func without(roster []state.Member, id state.MemberID) []state.Member {
	return slices.DeleteFunc(slices.Clone(roster), func(m state.Member) bool { return m.ID == id })
}
