package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// rendezvousRank returns how many live members rank before self by rendezvous
// hashing for a purpose. A node that is not in the roster ranks last.
func rendezvousRank(snap *state.Snapshot, self state.MemberID, purpose string) int {
	ownWeight := rendezvousWeight(self, purpose)
	_, live := snap.Members[self]
	rank := 0
	for id := range snap.Members {
		if id != self && (!live || rendezvousWeight(id, purpose) > ownWeight) {
			rank++
		}
	}
	return rank
}

// rendezvousRankAmong is rendezvousRank restricted to some members.
func rendezvousRankAmong(members []state.Member, self state.MemberID, purpose string) int {
	ownWeight := rendezvousWeight(self, purpose)
	rank := 0
	for _, m := range members {
		if rendezvousWeight(m.ID, purpose) > ownWeight {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(id state.MemberID, purpose string) uint64 {
	return xxhash.Sum64String(purpose + "\x00" + string(id))
}
