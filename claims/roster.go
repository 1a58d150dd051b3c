package claims

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// shardCount is the number of shards of a failure domain.
const shardCount = 1024

// roster holds the members of one failure domain and the ownership of its shards
// after a log prefix, by rendezvous hashing (Thaler and Ravishankar, 1998).
type roster struct {
	self    state.MemberID
	members map[state.MemberID]state.Member
	owners  [shardCount]ownership
	// offset is the log offset being applied; joined holds the offset of each
	// member's join.
	offset uint64
	joined map[state.MemberID]uint64
	// neverOwned is set while the failure domain has never had a member.
	neverOwned bool
}

// ownership describes the owner and the previous owner of a shard and the changes by
// which they came to own it.
type ownership struct {
	owner    state.MemberID
	openedBy Change
	// interimJoinOffset is nonzero if members that rank after the owner but before this
	// node have ended since the owner came to own the shard: if the owner had resigned
	// earlier, unknown to this node, they may have owned the shard in between. It is
	// the offset at which the latest of them joined; an owner that had applied that
	// offset when it resigned had seen them join.
	interimJoinOffset         uint64
	previous                  state.Member
	previousOpenedBy          Change
	previousInterimJoinOffset uint64
}

// transfer is the change of a shard's owner.
type transfer struct {
	shard uint16
	ownership
}

func newRoster(self state.MemberID, members []state.Member, offset uint64) *roster {
	r := &roster{self: self, members: make(map[state.MemberID]state.Member), neverOwned: len(members) == 0}
	r.offset = offset
	r.joined = make(map[state.MemberID]uint64)
	for _, m := range members {
		r.members[m.ID] = m
		r.joined[m.ID] = offset
	}
	for s := range r.owners {
		r.owners[s].owner = r.topRanked(uint16(s), "")
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

// outranks reports whether a precedes b as the owner of a shard; equal weights are
// ordered by ID.
func outranks(a, b state.MemberID, shard uint16) bool {
	if b == "" {
		return true
	}
	wa, wb := weight(a, shard), weight(b, shard)
	if wa != wb {
		return wa > wb
	}
	return a < b
}

// topRanked returns the owner of a shard among all members except one.
func (r *roster) topRanked(shard uint16, except state.MemberID) state.MemberID {
	var topRanked state.MemberID
	for id := range r.members {
		if id != except && outranks(id, topRanked, shard) {
			topRanked = id
		}
	}
	return topRanked
}

// applyEvent applies one event and returns the shards that pass to another owner.
func (r *roster) applyEvent(e state.RosterEvent) []transfer {
	if e.Ended {
		return r.end(e.Member.ID)
	}
	return r.join(e.Member)
}

func (r *roster) join(m state.Member) []transfer {
	_, known := r.members[m.ID]
	r.members[m.ID] = m
	if known {
		return nil
	}
	r.neverOwned = false
	r.joined[m.ID] = r.offset
	var transfers []transfer
	for s := range r.owners {
		if outranks(m.ID, r.owners[s].owner, uint16(s)) {
			transfers = append(transfers, r.transferShard(uint16(s), m.ID, Change{Member: m.ID}))
		}
	}
	return transfers
}

func (r *roster) end(id state.MemberID) []transfer {
	m, known := r.members[id]
	if !known {
		return nil
	}
	delete(r.members, id)
	defer delete(r.joined, id)
	var transfers []transfer
	for s := range r.owners {
		if r.owners[s].owner != id {
			if outranks(id, r.self, uint16(s)) {
				r.owners[s].interimJoinOffset = max(r.owners[s].interimJoinOffset, r.joined[id])
			}
			continue
		}
		tr := r.transferShard(uint16(s), r.topRanked(uint16(s), ""), Change{Member: id, Ended: true})
		r.owners[s].previous = m
		tr.previous = m
		transfers = append(transfers, tr)
	}
	return transfers
}

func (r *roster) transferShard(shard uint16, to state.MemberID, by Change) transfer {
	o := &r.owners[shard]
	o.previous = r.members[o.owner]
	o.previousOpenedBy = o.openedBy
	o.previousInterimJoinOffset = o.interimJoinOffset
	o.owner = to
	o.openedBy = by
	o.interimJoinOffset = 0
	return transfer{shard: shard, ownership: *o}
}

// successor returns the member that owns a shard once id has left.
func (r *roster) successor(shard uint16, id state.MemberID) (state.Member, bool) {
	owner := r.owners[shard].owner
	if owner == id {
		owner = r.topRanked(shard, id)
	}
	m, ok := r.members[owner]
	return m, ok && owner != ""
}

// others returns all members except one, ordered by ID.
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
