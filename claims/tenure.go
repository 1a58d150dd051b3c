package claims

import (
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Tenure is the period, in log order, for which one member owns a shard, and
// the range of minting times [LowMS, HighMS) that it may grant meanwhile.
// Ranges of different tenures of a shard never overlap; see doc.go.
type Tenure struct {
	LowMS  int64 `cbor:"1,keyasint"`
	HighMS int64 `cbor:"2,keyasint"`
	// Opened and Closed are the changes that began and ended the tenure.
	// Closed is zero while it lasts and when the change is not known.
	Opened Change `cbor:"3,keyasint"`
	Closed Change `cbor:"4,keyasint"`
	// Previous answers for the tenure before this one; its ID is empty if
	// that is not known.
	Previous state.Member `cbor:"5,keyasint"`
	// Open is set until the shard passes to another owner.
	Open bool `cbor:"6,keyasint"`
	// Owner is the member whose tenure it is; a member that has taken it over
	// at a planned stop acts for it.
	Owner state.MemberID `cbor:"7,keyasint"`
	// DeniedMS is the latest minting time that was refused as lying before
	// the tenure; the range may not be lowered to include it.
	DeniedMS int64 `cbor:"8,keyasint"`
	// Taken is the latest planned stop by which the tenure, still open, passed
	// to another member; zero if there was none.
	Taken Change `cbor:"9,keyasint"`
	// HandedAt is the offset that the member had applied that handed the
	// tenure over last.
	HandedAt uint64 `cbor:"10,keyasint"`
	// previousOpened is the change since which the owner before had owned the
	// shard, as far as this node has seen.
	previousOpened Change
	// overtakenAt is ownership.previousOvertakenAt.
	overtakenAt uint64
	// unsettled is set while an earlier owner may still confirm its roster;
	// openedAt is the offset that this node had applied when it began.
	unsettled bool
	openedAt  uint64
	// next is the owner after a closed tenure, where known.
	next state.Member
}

func (t *Tenure) contains(mintedMS int64) bool {
	return t.LowMS <= mintedMS && mintedMS < t.HighMS
}

// endMS is the minting time from which on neither this tenure nor an earlier
// one grants.
func (t *Tenure) endMS() int64 { return max(t.LowMS, t.HighMS) }

func (t *Tenure) close(by Change, next state.Member) {
	t.Open = false
	t.Closed = by
	t.next = next
}

// raise extends an open tenure after a confirmed contact.
func (t *Tenure) raise(highMS int64) {
	if t.Open {
		t.HighMS = max(t.HighMS, highMS)
	}
}

// since returns the change by which the present owner came to own the shard.
func (t *Tenure) since() Change {
	if t.Taken.known() {
		return t.Taken
	}
	return t.Opened
}

// follows reports whether a tenure that its owner held since a change, and
// handed over at an offset, comes directly before this one. Resignations spread outside the log, so nodes may
// see an end at different places between the changes in the log; the change
// that began the tenure before tells, unless a third owner may have come and
// gone in between. A join is seen at one place only.
func (t *Tenure) follows(since Change, handedAt uint64) bool {
	if !t.Opened.Ended {
		return true
	}
	return since.known() && t.previousOpened == since && t.overtakenAt <= handedAt
}

// lower starts the range at the end of the tenure before. It reports whether
// that has moved the tenure's own end.
func (t *Tenure) lower(endMS int64) bool {
	old := t.endMS()
	t.LowMS = min(t.LowMS, max(endMS, t.DeniedMS+1))
	return t.endMS() < old
}

// deny records that a key was refused as minted before the tenure.
func (t *Tenure) deny(mintedMS int64) {
	t.DeniedMS = max(t.DeniedMS, mintedMS)
}

// same reports whether two values describe the same tenure.
func (t *Tenure) same(o *Tenure) bool {
	if t.Owner != o.Owner || t.Opened != o.Opened || t.Taken != o.Taken {
		return false
	}
	return t.Opened.known() || t.LowMS == o.LowMS
}
