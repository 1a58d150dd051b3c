// Package kernel holds what all plug-ins share: the call and its result, the
// registry of plug-ins, the chain built from them, and the host through which
// a plug-in reaches clock, snapshot and peers. It makes no decision itself.
package kernel

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// CallID is a UUIDv7; the first 48 bits are Unix milliseconds.
type CallID [16]byte

// Call is one request on its way through the chain. The entry node makes it;
// the owner node receives a copy.
type Call struct {
	// ID is unique per call and hop attempt; Root is the ID of the root
	// request of the call tree and is shared by all nested calls.
	ID   CallID `cbor:"1,keyasint"`
	Root CallID `cbor:"2,keyasint"`
	// Customer is empty on open routes.
	Customer string `cbor:"3,keyasint"`
	Service  string `cbor:"4,keyasint"`
	// RouteName is the name of the matched route.
	RouteName string `cbor:"5,keyasint"`
	Method    string `cbor:"6,keyasint"`
	// Path is the path and query as the upstream sees it.
	Path     string          `cbor:"7,keyasint"`
	Header   http.Header     `cbor:"8,keyasint"`
	Body     []byte          `cbor:"9,keyasint"`
	Priority config.Priority `cbor:"10,keyasint"`
	// Idempotent calls may be retried after an unknown outcome.
	Idempotent bool `cbor:"11,keyasint"`
	// IdempotencyKey is a UUIDv7 in canonical form. The caller's own if it sent
	// one; else derived from the parent's (nested calls) or the root call's ID.
	// Claims are taken for it only when the call is not idempotent.
	IdempotencyKey string `cbor:"12,keyasint"`
	// DeadlineMS is the deadline in Unix milliseconds.
	DeadlineMS int64 `cbor:"13,keyasint"`
	// Allowance is the number of retries left for this call and all calls
	// nested in it.
	Allowance int `cbor:"14,keyasint"`
	// Depth is 0 for a root request.
	Depth int `cbor:"15,keyasint"`
	// Fingerprint identifies equal requests (service, method, path, body).
	Fingerprint uint64 `cbor:"16,keyasint"`
	// Host is the host that the caller named, empty if the deployment doesn't
	// route by host.
	Host string `cbor:"17,keyasint,omitempty"`
	// CallerID is the caller's own ID of this attempt; the instance gets it
	// and must echo it.
	CallerID string `cbor:"18,keyasint,omitempty"`
	// Origin is the service beside whose instance the call began.
	Origin string `cbor:"19,keyasint,omitempty"`
	// LatencyMS is the response time within which the answer has its full
	// value; zero means unknown.
	LatencyMS int64 `cbor:"20,keyasint,omitempty"`
	// Open calls came on a route that needs no key; not sent on.
	Open bool `cbor:"-"`
	// Arrived is when the entry node had read the request; not sent on.
	Arrived time.Time `cbor:"-"`
}

// Nested reports whether the call was made by an upstream for another call,
// so that work has already begun for its root request.
func (c *Call) Nested() bool { return c.Depth > 0 }

// Deadline returns the deadline as a time.
func (c *Call) Deadline() time.Time { return time.UnixMilli(c.DeadlineMS) }

// Outcome tells what is known about the execution of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeAnswered means the upstream gave a whole answer.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no upstream has run the call or ever will.
	OutcomeNotRun
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown
)

// String returns the value used in the Gooseberry-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Result is the outcome of a call, as a value.
type Result struct {
	Outcome Outcome     `cbor:"1,keyasint"`
	Status  int         `cbor:"2,keyasint"`
	Header  http.Header `cbor:"3,keyasint"`
	Body    []byte      `cbor:"4,keyasint"`
	// Reason is set when the system made the answer itself.
	Reason Reason `cbor:"5,keyasint"`
	Detail string `cbor:"6,keyasint"`
	// RetryAfter tells the caller when to come back; zero means unset.
	RetryAfter time.Duration `cbor:"7,keyasint"`
	// UnusedAllowance is what is left of Call.Allowance.
	UnusedAllowance int `cbor:"8,keyasint"`
	// Load is the owner's load report; nil when no owner was reached.
	Load *Load `cbor:"9,keyasint"`
	// Owner is the member that served or refused the call, if any.
	Owner state.MemberID `cbor:"10,keyasint"`
	// InstanceLost is set when the instance, or the node beside it, went away while
	// the call was in flight.
	InstanceLost bool `cbor:"11,keyasint"`
	// Dispatched is set when the call was sent to an instance, whatever came of it.
	Dispatched bool `cbor:"12,keyasint,omitempty"`
	// InstanceLoad is the load that the instance has told with its answer, nil if it has
	// told none; not sent on.
	InstanceLoad *InstanceLoad `cbor:"-"`
}

// InstanceLoad is an instance's own word on its load; it may be late or false.
type InstanceLoad struct{ Running, Waiting int }

// ErrInstanceUnresponsive is the cause with which a call's context ends when the instance
// has shown that it will not answer.
var ErrInstanceUnresponsive = errors.New("the instance stays silent")

// Load is what an owner node tells on every answer.
type Load struct {
	// Limit is the concurrency limit, InFlight and Queued the calls that
	// run and wait now.
	Limit    int `cbor:"1,keyasint"`
	InFlight int `cbor:"2,keyasint"`
	Queued   int `cbor:"3,keyasint"`
	// Threshold is the admission threshold: a new tree whose shed rank is at
	// or above it is refused at the entry node. MaxThreshold admits all.
	Threshold uint32 `cbor:"4,keyasint"`
	Draining  bool   `cbor:"5,keyasint"`
}

// Reason classifies answers made by the system.
type Reason string

// The reasons, as shown in the Gooseberry-Reason header.
const (
	ReasonNoKey               Reason = "no-key"
	ReasonBadKey              Reason = "bad-key"
	ReasonNoRoute             Reason = "no-route"
	ReasonBadRequest          Reason = "bad-request"
	ReasonTooLarge            Reason = "too-large"
	ReasonHeadTooLarge        Reason = "head-too-large"
	ReasonRate                Reason = "rate"
	ReasonOverload            Reason = "overload"
	ReasonDeadline            Reason = "deadline"
	ReasonDuplicate           Reason = "duplicate"
	ReasonKeyExpired          Reason = "key-expired"
	ReasonKeyOwnerUnreachable Reason = "key-owner-unreachable"
	ReasonQuarantine          Reason = "quarantine"
	ReasonNoUpstream          Reason = "no-upstream"
	ReasonUpstream            Reason = "upstream-failed"
	ReasonDraining            Reason = "draining"
	ReasonCancelled           Reason = "cancelled"
	ReasonParentEnded         Reason = "parent-ended"
	ReasonNotReady            Reason = "not-ready"
	ReasonInternal            Reason = "internal"
	ReasonKeyMissing          Reason = "idempotency-key-missing"
	ReasonResendBudget        Reason = "resend-budget"
)

var reasonStatus = map[Reason]int{
	ReasonNoKey:        http.StatusUnauthorized,
	ReasonBadKey:       http.StatusForbidden,
	ReasonNoRoute:      http.StatusNotFound,
	ReasonBadRequest:   http.StatusBadRequest,
	ReasonKeyMissing:   http.StatusBadRequest,
	ReasonTooLarge:     http.StatusRequestEntityTooLarge,
	ReasonRate:         http.StatusTooManyRequests,
	ReasonResendBudget: http.StatusTooManyRequests,
	ReasonDuplicate:    http.StatusConflict,
	ReasonKeyExpired:   http.StatusConflict,
	ReasonParentEnded:  http.StatusForbidden,
	ReasonDeadline:     http.StatusGatewayTimeout,
	ReasonUpstream:     http.StatusBadGateway,
}

// Refuse returns a result that is provably not run.
func Refuse(r Reason, detail string, retryAfter time.Duration) *Result {
	return made(OutcomeNotRun, r, detail, retryAfter)
}

// Unknown returns a result for a call that may have run.
func Unknown(r Reason, detail string) *Result {
	return made(OutcomeUnknown, r, detail, 0)
}

func made(o Outcome, r Reason, detail string, retryAfter time.Duration) *Result {
	status, ok := reasonStatus[r]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &Result{Outcome: o, Status: status, Reason: r, Detail: detail, RetryAfter: retryAfter}
}

// Handler carries a call further along the chain. It always returns a result.
type Handler interface {
	Serve(ctx context.Context, c *Call) *Result
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, c *Call) *Result

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, c *Call) *Result { return f(ctx, c) }
