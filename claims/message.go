package claims

import (
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Kinds of control messages.
const (
	kindClaim    = "claims.claim"
	kindRelease  = "claims.release"
	kindClosed   = "claims.closed"
	kindHandover = "claims.handover"
	kindOffset   = "claims.offset"
)

// Attempt identifies one submission of a request at an entry node.
type Attempt [16]byte

// Change identifies a change of the roster: the one announcement or the one
// end of an incarnation. The zero value is no known change.
type Change struct {
	Member state.MemberID `cbor:"1,keyasint"`
	Ended  bool           `cbor:"2,keyasint"`
}

func (c Change) known() bool { return c.Member != "" }

func (c Change) less(o Change) bool {
	if c.Member != o.Member {
		return c.Member < o.Member
	}
	return !c.Ended && o.Ended
}

// ClaimRequest asks for the right to run the request with a key, once.
type ClaimRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	// Content is a hash of customer and fingerprint; a key is bound to it.
	Content uint64 `cbor:"3,keyasint"`
	// Closing selects the tenure that this change ended; zero asks the
	// current owner.
	Closing Change `cbor:"4,keyasint"`
}

// Verdict is a shard owner's decision on a claim.
type Verdict uint8

// The verdicts. Only VerdictGranted allows the request to run.
const (
	VerdictGranted Verdict = iota + 1
	// VerdictDuplicate: another attempt holds the key or has used it.
	VerdictDuplicate
	// VerdictMismatch: the key is bound to other content.
	VerdictMismatch
	// VerdictReleased: this attempt has been given back.
	VerdictReleased
	// VerdictSpent: every attempt was given back and no more are allowed, so
	// the key has not run and never will.
	VerdictSpent
	// VerdictExpired: minted before the retention period.
	VerdictExpired
	// VerdictEarly: minted after the owner's last contact plus the margin.
	VerdictEarly
	// VerdictBefore: minted before the tenure; ClaimAnswer.Peer held the one
	// before it, which ClaimAnswer.Closing ended.
	VerdictBefore
	// VerdictNever: minted between two tenures; no owner has granted the key
	// or ever will.
	VerdictNever
	// VerdictForgotten: the selected tenure is not known here.
	VerdictForgotten
	// VerdictNotOwner: ClaimAnswer.Peer owns the shard as far as is known.
	VerdictNotOwner
	// VerdictMoving: the shard is being handed over; ask again soon.
	VerdictMoving
	// VerdictFull: the table has reached its maximum size.
	VerdictFull
)

// ClaimAnswer answers ClaimRequest.
type ClaimAnswer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Peer is the member to ask next; its ID is empty if there is none.
	Peer    state.Member `cbor:"2,keyasint"`
	Closing Change       `cbor:"3,keyasint"`
}

// ReleaseRequest gives a claim back. It is sent only for an attempt that has
// not run and never will.
type ReleaseRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Content uint64  `cbor:"3,keyasint"`
}

// ClosedNotice tells a new owner where the tenures before its own end, so
// that its tenures start there instead of a margin after the change.
type ClosedNotice struct {
	Change Change `cbor:"1,keyasint"`
	// Domains is a hash of the list of failure domains.
	Domains uint64 `cbor:"2,keyasint"`
	// Holder answers for the closed tenures.
	Holder state.Member `cbor:"3,keyasint"`
	Ends   []TenureEnd  `cbor:"4,keyasint"`
}

// TenureEnd is the first minting time that a closed tenure does not cover.
type TenureEnd struct {
	Shard uint16 `cbor:"1,keyasint"`
	// EndMS is in Unix milliseconds.
	EndMS int64 `cbor:"2,keyasint"`
	// Since is the change by which the owner before came to own the shard.
	Since Change `cbor:"3,keyasint"`
	// HandedAt is Tenure.HandedAt.
	HandedAt uint64 `cbor:"4,keyasint"`
}

// Handover carries a shard of a resigning member to its next owner. Large
// tables are sent in several messages; only the last one carries tenures.
type Handover struct {
	From    state.MemberID `cbor:"1,keyasint"`
	Domains uint64         `cbor:"2,keyasint"`
	Shard   uint16         `cbor:"3,keyasint"`
	Tenures []Tenure       `cbor:"4,keyasint"`
	Entries []Entry        `cbor:"5,keyasint"`
	// Offset is what the resigning member has applied.
	Offset uint64 `cbor:"6,keyasint"`
}

// Entry is the state of one key.
type Entry struct {
	Key     Key    `cbor:"1,keyasint"`
	Content uint64 `cbor:"2,keyasint"`
	// Held is set while Attempt has the key; it stays set after a run.
	Held    bool    `cbor:"3,keyasint"`
	Attempt Attempt `cbor:"4,keyasint"`
	// Released lists the attempts that were given back.
	Released []Attempt `cbor:"5,keyasint"`
}

// OffsetRequest asks a member how much of the log it has applied.
type OffsetRequest struct{}

// OffsetAnswer answers OffsetRequest.
type OffsetAnswer struct {
	Member state.MemberID `cbor:"1,keyasint"`
	Offset uint64         `cbor:"2,keyasint"`
}

// Ack acknowledges a message.
type Ack struct{}
