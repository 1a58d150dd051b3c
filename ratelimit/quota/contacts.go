package quota

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// contact is the latest message to an owner of pools.
type contact struct {
	at      time.Time
	reached bool
}

// contacts tells whether this node is cut off, or some owners are.
type contacts map[state.MemberID]contact

// mostFail reports whether most of the owners asked of late were out of reach.
// Older contacts are forgotten.
func (c contacts) mostFail(now time.Time) bool {
	reached, failed := 0, 0
	for id, last := range c {
		switch {
		case now.Sub(last.at) > contactTerm:
			delete(c, id)
		case last.reached:
			reached++
		default:
			failed++
		}
	}
	return failed >= isolatedMin && failed > reached
}
