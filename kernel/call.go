// Package kernel defines what all plug-ins share: the call and its result, the
// plug-in registry, the handler chains built from the plug-ins, and the host
// through which a plug-in reaches the clock, the state snapshot and its peers.
// It makes no admission or routing decisions.
package kernel

import (
	"context"
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// CallID is a UUIDv7; the first 48 bits are Unix milliseconds.
type CallID [16]byte

// Call is one request on its way through the handler chain. The entry node
// creates it; the owner node receives a copy.
type Call struct {
	// ID is unique per attempt of a call. Root is the ID of the root request of
	// the call tree; all nested calls share it.
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
	// Idempotent is set for calls that may be retried after an unknown outcome.
	Idempotent bool `cbor:"11,keyasint"`
	// IdempotencyKey is a UUIDv7 in canonical form: the caller's key if it sent
	// one, else derived from the parent's ID (nested calls) or the root call's ID.
	// It is claimed only for calls that are not idempotent.
	IdempotencyKey string `cbor:"12,keyasint"`
	// DeadlineMS is the deadline in Unix milliseconds.
	DeadlineMS int64 `cbor:"13,keyasint"`
	// Allowance is the number of retries left for this call and all calls
	// nested in it.
	Allowance int `cbor:"14,keyasint"`
	// Depth is 0 for a root request.
	Depth int `cbor:"15,keyasint"`
	// Fingerprint is a hash over service, method, path and body; equal requests
	// have equal fingerprints.
	Fingerprint uint64 `cbor:"16,keyasint"`
	// Host is the host that the caller addressed; empty if the deployment does
	// not route by host.
	Host string `cbor:"17,keyasint,omitempty"`
	// CallerID is the ID that the caller gave this attempt. It is passed to the
	// instance, which must echo it.
	CallerID string `cbor:"18,keyasint,omitempty"`
	// Origin is the service of the instance beside the entry node.
	Origin string `cbor:"19,keyasint,omitempty"`
	// TargetLatencyMS is the response time in milliseconds within which the
	// response has its full value to the caller; zero means unknown.
	TargetLatencyMS int64 `cbor:"20,keyasint,omitempty"`
	// Known is what the entry node was told of the owner's instance; nil if there is
	// nothing to tell.
	Known *InstanceReport `cbor:"21,keyasint,omitempty"`
	// OpenRoute is set for calls on a route that needs no key. It is not sent to
	// the owner.
	OpenRoute bool `cbor:"-"`
	// RouteRegions lists the regions in which the route allows the call to run; empty:
	// all. It is not sent to the owner.
	RouteRegions []string `cbor:"-"`
	// Arrived is when the entry node had read the request. It is not sent to the
	// owner.
	Arrived time.Time `cbor:"-"`
}

// Nested reports whether an upstream made the call while serving another one,
// which means that work has already begun for the root request.
func (c *Call) Nested() bool { return c.Depth > 0 }

// Deadline returns the deadline as a time.
func (c *Call) Deadline() time.Time { return time.UnixMilli(c.DeadlineMS) }

// Outcome says what is known about the execution of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeAnswered means that the upstream returned a complete response.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no upstream has run the call or ever will run it.
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

// Result is the response to a call, or the reason why there is none.
type Result struct {
	Outcome Outcome     `cbor:"1,keyasint"`
	Status  int         `cbor:"2,keyasint"`
	Header  http.Header `cbor:"3,keyasint"`
	Body    []byte      `cbor:"4,keyasint"`
	// Reason is set if a node rather than an upstream produced the result.
	Reason Reason `cbor:"5,keyasint"`
	Detail string `cbor:"6,keyasint"`
	// RetryAfter is how long the caller should wait before it retries; zero means
	// unset.
	RetryAfter time.Duration `cbor:"7,keyasint"`
	// UnusedAllowance is the number of retries left of Call.Allowance.
	UnusedAllowance int `cbor:"8,keyasint"`
	// Load is the owner's load report; nil if no owner was reached.
	Load *Load `cbor:"9,keyasint"`
	// Owner is the member that served or refused the call, if any.
	Owner state.MemberID `cbor:"10,keyasint"`
	// InstanceLost is set if the instance, or the node beside it, failed while
	// the call was in flight.
	InstanceLost bool `cbor:"11,keyasint"`
	// Dispatched is set if the call was sent to an instance, whatever the outcome.
	Dispatched bool `cbor:"12,keyasint,omitempty"`
	// InstanceLoad is the load that the instance reported with its response; nil
	// if it reported none. It is not sent to other nodes.
	InstanceLoad *InstanceLoad `cbor:"-"`
}

// InstanceLoad is the load reported by an instance itself. It may be outdated or
// wrong.
type InstanceLoad struct {
	Running, Waiting int
	// Slots is the number of requests that the instance runs at once; zero if it
	// wasn't reported.
	Slots int
	// WorkTime is how long work takes at the moment relative to the usual time; zero
	// if it wasn't reported.
	WorkTime float64
}

// Load is the load report that an owner node attaches to every result.
type Load struct {
	// Limit is the concurrency limit; InFlight and Queued are the numbers of
	// calls running and waiting.
	Limit    int `cbor:"1,keyasint"`
	InFlight int `cbor:"2,keyasint"`
	Queued   int `cbor:"3,keyasint"`
	// Threshold is the admission threshold: a new call tree whose shed rank is
	// at or above it is refused at the entry node. admission.MaxThreshold admits
	// all calls.
	Threshold uint32 `cbor:"4,keyasint"`
	Draining  bool   `cbor:"5,keyasint"`
	// Report is what the instance has said of itself; nil if there is nothing to
	// tell.
	Report *InstanceReport `cbor:"6,keyasint,omitempty"`
	// Work is the work time of the instance; zero if it reports none.
	Work WorkTime `cbor:"7,keyasint,omitzero"`
}

// Reason classifies results produced by a node rather than an upstream.
type Reason string

// The reasons, with the values used in the Gooseberry-Reason header.
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
	ReasonEvacuated           Reason = "evacuated"
	ReasonRegion              Reason = "region"
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

// Refuse returns a result for a call that has not run and never will.
func Refuse(r Reason, detail string, retryAfter time.Duration) *Result {
	return newResult(OutcomeNotRun, r, detail, retryAfter)
}

// Unknown returns a result for a call that may have run.
func Unknown(r Reason, detail string) *Result {
	return newResult(OutcomeUnknown, r, detail, 0)
}

func newResult(o Outcome, r Reason, detail string, retryAfter time.Duration) *Result {
	status, ok := reasonStatus[r]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &Result{Outcome: o, Status: status, Reason: r, Detail: detail, RetryAfter: retryAfter}
}

// Handler serves a call, itself or through the next handler of the chain. It
// always returns a result.
type Handler interface {
	Serve(ctx context.Context, c *Call) *Result
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, c *Call) *Result

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, c *Call) *Result { return f(ctx, c) }
