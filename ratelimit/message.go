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

// Ask is sent by an entry node to the owner of a customer's pool. Before it is
// sent, the entry node lowers the lease that it holds to Rate and Burst and
// takes Returned out of its bucket; it gives up every grant but Holding.
type LeaseRequest struct {
	Customer string `cbor:"1,keyasint"`
	// Seq increases with every ask of one entry node.
	Seq uint64 `cbor:"2,keyasint"`
	// Holding is the Seq of the grant that is kept; zero means none.
	HeldSeq uint64 `cbor:"3,keyasint,omitempty"`
	// Rate is in tokens per second, Burst, Level and Returned in tokens.
	Rate     float32 `cbor:"4,keyasint,omitempty"`
	Burst    float32 `cbor:"5,keyasint,omitempty"`
	Level    float32 `cbor:"6,keyasint,omitempty"`
	Returned float32 `cbor:"7,keyasint,omitempty"`
	// WantRate and WantBurst are the demand of the entry node. Waiting is the
	// number of requests that wait for the answer.
	WantedRate  float32 `cbor:"8,keyasint,omitempty"`
	WantedBurst float32 `cbor:"9,keyasint,omitempty"`
	Waiting     uint16  `cbor:"10,keyasint,omitempty"`
	// Critical is the number of those with priority critical, Important that
	// of those with priority critical or high.
	Critical  uint16 `cbor:"11,keyasint,omitempty"`
	Important uint16 `cbor:"12,keyasint,omitempty"`
	// Pressed is set when the customer is above its rate at the entry node.
	AboveRate bool `cbor:"13,keyasint,omitempty"`
}

// Grant answers an Ask. It replaces the lease held before. A grant with a zero
// Duration leaves the held lease, as lowered by the ask, unchanged.
type Grant struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Rate is in tokens per second, Burst and Tokens in tokens. Tokens are
	// added to the bucket of the entry node.
	Rate   float32 `cbor:"2,keyasint,omitempty"`
	Burst  float32 `cbor:"3,keyasint,omitempty"`
	Tokens float32 `cbor:"4,keyasint,omitempty"`
	// DurationMS counts from before the ask was sent, on the clock of the
	// entry node.
	DurationMS uint32 `cbor:"5,keyasint,omitempty"`
	// RetryMS tells when to ask again; zero means that more may be had at once.
	RetryMS uint32 `cbor:"6,keyasint,omitempty"`
	// NotOwner is set by a node that may not act as owner of the pool.
	NotOwner bool `cbor:"7,keyasint,omitempty"`
	// Heir is the member to which the pool is handed over, if so.
	Successor state.MemberID `cbor:"8,keyasint,omitempty"`
	// Kept is set by a new owner to which the held lease has been handed over:
	// the tokens in the bucket of the entry node stay valid.
	KeepTokens bool `cbor:"9,keyasint,omitempty"`
}

// Poll is sent to all members of the sender's failure domain: by an owner that
// has lost contact with the log, to be confirmed, and by a new owner before it
// starts, to end such confirmations (Takeover).
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

// OutgoingAsk is an ask with its destination.
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
