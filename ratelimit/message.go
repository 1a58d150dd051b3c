package ratelimit

import "github.com/gooseberryflow/gooseberryflow/state"

// Kinds of control messages.
const (
	kindLeaseRequest = "ratelimit.ask"
	kindPoll         = "ratelimit.poll"

	kindHandoverNotice  = "ratelimit.notice"
	kindHandoverRequest = "ratelimit.fetch"
	kindPoolMoved       = "ratelimit.moved"
)

// LeaseRequest is sent by an entry node to the owner of a customer's pool. Before
// sending it, the entry node reduces the lease that it holds to Rate and Burst
// and takes Returned tokens out of its bucket. It gives up every grant except
// HeldSeq.
type LeaseRequest struct {
	Customer string `cbor:"1,keyasint"`
	// Seq increases with every lease request of one entry node.
	Seq uint64 `cbor:"2,keyasint"`
	// HeldSeq is the Seq of the grant that is kept; zero means none.
	HeldSeq uint64 `cbor:"3,keyasint,omitempty"`
	// Rate is in tokens per second; Burst, Level and Returned are in tokens.
	Rate     float32 `cbor:"4,keyasint,omitempty"`
	Burst    float32 `cbor:"5,keyasint,omitempty"`
	Level    float32 `cbor:"6,keyasint,omitempty"`
	Returned float32 `cbor:"7,keyasint,omitempty"`
	// WantedRate and WantedBurst are the demand of the entry node. Waiting is the
	// number of requests that wait for the answer.
	WantedRate  float32 `cbor:"8,keyasint,omitempty"`
	WantedBurst float32 `cbor:"9,keyasint,omitempty"`
	Waiting     uint16  `cbor:"10,keyasint,omitempty"`
	// Critical is the number of waiting requests with priority critical,
	// Important the number of those with priority critical or high.
	Critical  uint16 `cbor:"11,keyasint,omitempty"`
	Important uint16 `cbor:"12,keyasint,omitempty"`
	// AboveRate is set when the customer is above its rate at the entry node.
	AboveRate bool `cbor:"13,keyasint,omitempty"`
}

// Grant answers a LeaseRequest. It replaces the lease held before. A grant with
// zero DurationMS leaves the held lease, as reduced by the request, unchanged.
type Grant struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Rate is in tokens per second; Burst and Tokens are in tokens. Tokens are
	// added to the entry node's bucket.
	Rate   float32 `cbor:"2,keyasint,omitempty"`
	Burst  float32 `cbor:"3,keyasint,omitempty"`
	Tokens float32 `cbor:"4,keyasint,omitempty"`
	// DurationMS is counted from before the request was sent, on the entry node's
	// clock.
	DurationMS uint32 `cbor:"5,keyasint,omitempty"`
	// RetryMS is the time until the next request is useful; zero means that more
	// tokens may be available at once.
	RetryMS uint32 `cbor:"6,keyasint,omitempty"`
	// NotOwner is set by a node that may not act as the pool's owner.
	NotOwner bool `cbor:"7,keyasint,omitempty"`
	// Successor is the member to which the pool is being handed over, if any.
	Successor state.MemberID `cbor:"8,keyasint,omitempty"`
	// KeepTokens is set by a new owner to which the held lease has been handed
	// over: the tokens in the entry node's bucket stay valid.
	KeepTokens bool `cbor:"9,keyasint,omitempty"`
}

// Poll is sent to all members of the sender's failure domain: by an owner that
// has lost contact with the log, to have its ownership confirmed, and by a new
// owner before it starts (Takeover), to end confirmations of its predecessors.
type Poll struct {
	// Digest identifies the sender's roster of its failure domain.
	Digest   uint64 `cbor:"1,keyasint"`
	Round    uint64 `cbor:"2,keyasint"`
	Takeover bool   `cbor:"3,keyasint,omitempty"`
}

// PollAnswer answers a Poll.
type PollAnswer struct {
	Round uint64 `cbor:"1,keyasint"`
	OK    bool   `cbor:"2,keyasint"`
}

// OutgoingLeaseRequest is a lease request with its destination and the failure
// domain of the pool.
type OutgoingLeaseRequest struct {
	To           state.Member
	Domain       string
	LeaseRequest LeaseRequest
}

// OutgoingPoll is a poll with its destination.
type OutgoingPoll struct {
	To   state.Member
	Poll Poll
}
