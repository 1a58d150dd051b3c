package claims

import (
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Kinds of control messages.
const (
	kindClaim     = "claims.claim"
	kindRelease   = "claims.release"
	kindTenureEnd = "claims.closed"
	kindHandover  = "claims.handover"
	kindOffset    = "claims.offset"
)

// Attempt identifies one submission of a request at an entry node.
type Attempt [16]byte

// Change identifies a change of the roster: the join of a member or, if Ended is
// set, its end. Each happens once for a member ID. The zero value is an unknown
// change.
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

// ClaimRequest asks for the right to run the request with a key once.
type ClaimRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	// Content is a hash of customer and fingerprint; a key is bound to it.
	Content uint64 `cbor:"3,keyasint"`
	// ClosedBy selects the tenure that this change ended; zero selects the tenure of
	// the current owner.
	ClosedBy Change `cbor:"4,keyasint"`
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
	// VerdictReleased: this attempt has been released.
	VerdictReleased
	// VerdictAttemptsExhausted: every attempt was released and no more are allowed,
	// so the key has not run and never will.
	VerdictAttemptsExhausted
	// VerdictExpired: minted before the retention period.
	VerdictExpired
	// VerdictTooNew: minted after the owner's last contact plus the margin.
	VerdictTooNew
	// VerdictEarlierTenure: minted before the tenure; ClaimResponse.Peer answers for
	// the previous one, which ClaimResponse.ClosedBy ended.
	VerdictEarlierTenure
	// VerdictBetweenTenures: minted between two tenures; no owner has granted the key
	// or ever will.
	VerdictBetweenTenures
	// VerdictUnknownTenure: the selected tenure is not known here.
	VerdictUnknownTenure
	// VerdictNotOwner: as far as this member knows, ClaimResponse.Peer owns the shard.
	VerdictNotOwner
	// VerdictHandingOver: the shard is being handed over; retry soon.
	VerdictHandingOver
	// VerdictTableFull: the table has reached its maximum size.
	VerdictTableFull
)

// ClaimResponse is the response to ClaimRequest.
type ClaimResponse struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Peer is the member to which the claim should be sent next; its ID is empty if
	// there is none.
	Peer     state.Member `cbor:"2,keyasint"`
	ClosedBy Change       `cbor:"3,keyasint"`
}

// ReleaseRequest releases a claim. It is sent only for an attempt that has not run
// and never will.
type ReleaseRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Content uint64  `cbor:"3,keyasint"`
}

// TenureEndNotice tells a new owner where the tenures before its own end, so
// that its tenures start there instead of a margin after the change.
type TenureEndNotice struct {
	Change Change `cbor:"1,keyasint"`
	// DomainsHash is a hash of the list of failure domains in force at the sender.
	DomainsHash uint64 `cbor:"2,keyasint"`
	// Holder is the member that answers for the closed tenures.
	Holder state.Member `cbor:"3,keyasint"`
	Ends   []TenureEnd  `cbor:"4,keyasint"`
}

// TenureEnd is the first minting time that a closed tenure does not cover.
type TenureEnd struct {
	Shard uint16 `cbor:"1,keyasint"`
	// EndMS is in Unix milliseconds.
	EndMS int64 `cbor:"2,keyasint"`
	// AcquiredBy is the change by which the previous owner came to own the shard.
	AcquiredBy Change `cbor:"3,keyasint"`
	// HandoverOffset is Tenure.HandoverOffset of the closed tenure.
	HandoverOffset uint64 `cbor:"4,keyasint"`
}

// Handover carries a shard of a resigning member to its next owner. Large
// tables are sent in several messages; only the last one carries tenures.
// DomainsHash is as in TenureEndNotice.
type Handover struct {
	From        state.MemberID `cbor:"1,keyasint"`
	DomainsHash uint64         `cbor:"2,keyasint"`
	Shard       uint16         `cbor:"3,keyasint"`
	Tenures     []Tenure       `cbor:"4,keyasint"`
	Entries     []Entry        `cbor:"5,keyasint"`
	// Offset is the log offset that the resigning member has applied.
	Offset uint64 `cbor:"6,keyasint"`
}

// Entry is the claim state of one key.
type Entry struct {
	Key     Key    `cbor:"1,keyasint"`
	Content uint64 `cbor:"2,keyasint"`
	// Held is set while Attempt has the key; it stays set after a run.
	Held    bool    `cbor:"3,keyasint"`
	Attempt Attempt `cbor:"4,keyasint"`
	// Released lists the attempts that were released.
	Released []Attempt `cbor:"5,keyasint"`
}

// OffsetRequest asks a member for the log offset that it has applied.
type OffsetRequest struct{}

// OffsetResponse is the response to OffsetRequest.
type OffsetResponse struct {
	Member state.MemberID `cbor:"1,keyasint"`
	Offset uint64         `cbor:"2,keyasint"`
}

// Ack acknowledges a message.
type Ack struct{}
