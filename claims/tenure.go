package claims

import (
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Tenure is the period, in log order, for which one member owns a shard, with the
// range of minting times [LowMS, HighMS) of the keys that the member may grant.
// Ranges of different tenures of a shard never overlap; see doc.go.
type Tenure struct {
	LowMS  int64 `cbor:"1,keyasint"`
	HighMS int64 `cbor:"2,keyasint"`
	// OpenedBy and ClosedBy are the changes that began and ended the tenure.
	// ClosedBy is zero while the tenure is open and when the change is not known.
	OpenedBy Change `cbor:"3,keyasint"`
	ClosedBy Change `cbor:"4,keyasint"`
	// Previous is the member that answers for the tenure before this one; its ID is
	// empty if the member is not known.
	Previous state.Member `cbor:"5,keyasint"`
	// Open is set until the shard passes to another owner.
	Open bool `cbor:"6,keyasint"`
	// Owner is the member whose tenure it is. A member that has taken the tenure over
	// at a planned stop acts for the owner.
	Owner state.MemberID `cbor:"7,keyasint"`
	// DeniedMS is the latest minting time that was refused as lying before
	// the tenure; the range may not be lowered to include it.
	DeniedMS int64 `cbor:"8,keyasint"`
	// TakenOverBy is the change of the latest planned stop by which the open tenure
	// passed to another member; zero if there was none.
	TakenOverBy Change `cbor:"9,keyasint"`
	// HandoverOffset is the log offset that the last member to hand the tenure over
	// had applied at that time.
	HandoverOffset uint64 `cbor:"10,keyasint"`
	// previousOpenedBy is the change by which the previous owner came to own the
	// shard, as far as this node has seen.
	previousOpenedBy Change
	// interimJoinOffset is ownership.previousInterimJoinOffset, or the offset at which
	// this node joined if that is later: before it joined, other members were the next
	// owners.
	interimJoinOffset uint64
	// unsettled is set while an earlier owner may still confirm its roster;
	// openedAtOffset is the log offset that this node had applied when the tenure
	// began.
	unsettled      bool
	openedAtOffset uint64
	// nextOwner is the owner after a closed tenure, if known.
	nextOwner state.Member
}

func (t *Tenure) contains(mintedMS int64) bool {
	return t.LowMS <= mintedMS && mintedMS < t.HighMS
}

// endMS returns the minting time from which on neither this tenure nor an earlier
// one grants keys.
func (t *Tenure) endMS() int64 { return max(t.LowMS, t.HighMS) }

func (t *Tenure) close(by Change, nextOwner state.Member) {
	t.Open = false
	t.ClosedBy = by
	t.nextOwner = nextOwner
}

// extend extends the range of an open tenure after a confirmed contact.
func (t *Tenure) extend(highMS int64) {
	if t.Open {
		t.HighMS = max(t.HighMS, highMS)
	}
}

// acquiredBy returns the change by which the current owner came to own the shard.
func (t *Tenure) acquiredBy() Change {
	if t.TakenOverBy.known() {
		return t.TakenOverBy
	}
	return t.OpenedBy
}

// directlyFollows reports whether this tenure comes directly after a tenure that its
// owner acquired by a change and handed over at an offset. Resignations spread outside
// the log, so nodes may see the end of a member at different places between the changes
// in the log. The tenures are therefore matched by the change that began the previous
// one, unless a third owner may have come and gone in between. All nodes see a join at
// the same place.
func (t *Tenure) directlyFollows(acquiredBy Change, handoverOffset uint64) bool {
	if !t.OpenedBy.Ended {
		return true
	}
	return acquiredBy.known() && t.previousOpenedBy == acquiredBy && t.interimJoinOffset <= handoverOffset
}

// lowerStart lowers the start of the range to the end of the previous tenure. It
// reports whether that has lowered the tenure's own end.
func (t *Tenure) lowerStart(endMS int64) bool {
	old := t.endMS()
	t.LowMS = min(t.LowMS, max(endMS, t.DeniedMS+1))
	return t.endMS() < old
}

// recordDenied records that a key was refused as minted before the tenure.
func (t *Tenure) recordDenied(mintedMS int64) {
	t.DeniedMS = max(t.DeniedMS, mintedMS)
}

// sameTenure reports whether two values describe the same tenure.
func (t *Tenure) sameTenure(o *Tenure) bool {
	if t.Owner != o.Owner || t.OpenedBy != o.OpenedBy || t.TakenOverBy != o.TakenOverBy {
		return false
	}
	return t.OpenedBy.known() || t.LowMS == o.LowMS
}
