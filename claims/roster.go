package claims

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// shardCount is the number of shards of a failure domain.
const shardCount = 1024

// roster is the ownership of all shards of one failure domain after a log
// prefix, by rendezvous hashing (Thaler and Ravishankar, 1998).
type roster struct {
	self    state.MemberID
	members map[state.MemberID]state.Member
	owners  [shardCount]ownership
	// offset is the offset being applied, joined that of each member's join.
	offset uint64
	joined map[state.MemberID]uint64
	// fresh is set while the failure domain has never had a member.
	fresh bool
}

// ownership tells who owns a shard, since which change, and who did before,
// since which change.
type ownership struct {
	owner  state.MemberID
	opened Change
	// overtakenAt is set if members that rank after the owner, but before
	// this node, have ended meanwhile: had the owner resigned before, unknown
	// to this node, they may have been owners in between. It is the offset at
	// which the latest of them joined; an owner that had applied that much
	// when it resigned had seen them come and go.
	overtakenAt         uint64
	previous            state.Member
	previousOpened      Change
	previousOvertakenAt uint64
}

// move is the passing of a shard to another owner.
type move struct {
	shard uint16
	ownership
}

func newRoster(self state.MemberID, members []state.Member, offset uint64) *roster {
	r := &roster{self: self, members: make(map[state.MemberID]state.Member), fresh: len(members) == 0}
	r.offset = offset
	r.joined = make(map[state.MemberID]uint64)
	for _, m := range members {
		r.members[m.ID] = m
		r.joined[m.ID] = offset
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
	r.joined[m.ID] = r.offset
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
	defer delete(r.joined, id)
	var moves []move
	for s := range r.owners {
		if r.owners[s].owner != id {
			if beats(id, r.self, uint16(s)) {
				r.owners[s].overtakenAt = max(r.owners[s].overtakenAt, r.joined[id])
			}
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
	o.previousOvertakenAt = o.overtakenAt
	o.owner = to
	o.opened = by
	o.overtakenAt = 0
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

// others returns all members but one, ordered by ID.
func (r *roster) others(id state.MemberID) []state.Member {
	var list []state.Member
	for _, m := range r.members {
		if m.ID != id {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
