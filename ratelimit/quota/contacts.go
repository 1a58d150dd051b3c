package quota

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// contact is the result of the latest request to a pool owner.
type contact struct {
	at      time.Time
	reached bool
}

// contacts holds the latest contact with each pool owner. It tells a node that
// is cut off from one that misses some owners.
type contacts map[state.MemberID]contact

// mostUnreachable reports whether most of the owners contacted within
// contactWindow were unreachable. It deletes older contacts.
func (c contacts) mostUnreachable(now time.Time) bool {
	reached, failed := 0, 0
	for id, latest := range c {
		switch {
		case now.Sub(latest.at) > contactWindow:
			delete(c, id)
		case latest.reached:
			reached++
		default:
			failed++
		}
	}
	return failed >= minUnreachableOwners && failed > reached
}
