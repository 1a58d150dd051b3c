package claims

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// shardCount is the number of shards of a failure domain.
const shardCount = 1024

// roster is the ownership of all shards of one failure domain after a log
// prefix, by rendezvous hashing (Thaler and Ravishankar, 1998).
type roster struct {
	members map[state.MemberID]state.Member
	owners  [shardCount]ownership
	// fresh is set while the failure domain has never had a member.
	fresh bool
}

// ownership tells who owns a shard, since which change, and who did before,
// since which change.
type ownership struct {
	owner          state.MemberID
	opened         Change
	previous       state.Member
	previousOpened Change
}

// move is the passing of a shard to another owner.
type move struct {
	shard uint16
	ownership
}

func newRoster(members []state.Member) *roster {
	r := &roster{members: make(map[state.MemberID]state.Member), fresh: len(members) == 0}
	for _, m := range members {
		r.members[m.ID] = m
	}
	for s := range r.owners {
		r.owners[s].owner = r.best(uint16(s), "")
	}
	return r
}

// weight is the rendezvous weight of a member for a shard.
func weight(id state.MemberID, shard uint16) uint64 {
	var b [10]byte
	binary.BigEndian.PutUint64(b[:8], xxhash.Sum64String(string(id)))
	binary.BigEndian.PutUint16(b[8:], shard)
	return xxhash.Sum64(b[:])
}

func beats(a, b state.MemberID, shard uint16) bool {
	if b == "" {
		return true
	}
	wa, wb := weight(a, shard), weight(b, shard)
	if wa != wb {
		return wa > wb
	}
	return a < b
}

// best returns the owner of a shard among all members but one.
func (r *roster) best(shard uint16, without state.MemberID) state.MemberID {
	var best state.MemberID
	for id := range r.members {
		if id != without && beats(id, best, shard) {
			best = id
		}
	}
	return best
}

// apply folds one event and returns the shards that pass to another owner.
func (r *roster) apply(e state.RosterEvent) []move {
	if e.Ended {
		return r.end(e.Member.ID)
	}
	return r.join(e.Member)
}

func (r *roster) join(m state.Member) []move {
	_, known := r.members[m.ID]
	r.members[m.ID] = m
	if known {
		return nil
	}
	r.fresh = false
	var moves []move
	for s := range r.owners {
		if beats(m.ID, r.owners[s].owner, uint16(s)) {
			moves = append(moves, r.pass(uint16(s), m.ID, Change{Member: m.ID}))
		}
	}
	return moves
}

func (r *roster) end(id state.MemberID) []move {
	m, known := r.members[id]
	if !known {
		return nil
	}
	delete(r.members, id)
	var moves []move
	for s := range r.owners {
		if r.owners[s].owner != id {
			continue
		}
		mv := r.pass(uint16(s), r.best(uint16(s), ""), Change{Member: id, Ended: true})
		r.owners[s].previous = m
		mv.previous = m
		moves = append(moves, mv)
	}
	return moves
}

func (r *roster) pass(shard uint16, to state.MemberID, by Change) move {
	o := &r.owners[shard]
	o.previous = r.members[o.owner]
	o.previousOpened = o.opened
	o.owner = to
	o.opened = by
	return move{shard: shard, ownership: *o}
}

// heir returns the member that owns a shard once id has left.
func (r *roster) heir(shard uint16, id state.MemberID) (state.Member, bool) {
	owner := r.owners[shard].owner
	if owner == id {
		owner = r.best(shard, id)
	}
	m, ok := r.members[owner]
	return m, ok && owner != ""
}
