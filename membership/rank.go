package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// rank returns how many live members come before self by rendezvous hashing
// for a purpose. A node that is not in the roster ranks last.
func rank(snap *state.Snapshot, self state.MemberID, purpose string) int {
	own := weight(self, purpose)
	_, live := snap.Members[self]
	before := 0
	for id := range snap.Members {
		if id != self && (!live || weight(id, purpose) > own) {
			before++
		}
	}
	return before
}

// rankIn is rank among some members only.
func rankIn(members []state.Member, self state.MemberID, purpose string) int {
	own := weight(self, purpose)
	before := 0
	for _, m := range members {
		if weight(m.ID, purpose) > own {
			before++
		}
	}
	return before
}

func weight(id state.MemberID, purpose string) uint64 {
	return xxhash.Sum64String(purpose + "\x00" + string(id))
}
