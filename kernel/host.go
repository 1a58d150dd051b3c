package kernel

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Host gives a plug-in access to its node.
type Host struct {
	Self state.Member
	// Now and Rand are the only sources of time and randomness that decision
	// code may use, so that decisions can be replayed.
	Now  func() time.Time
	Rand func() uint64
	// Snapshot returns the current state. It never returns nil.
	Snapshot func() *state.Snapshot
	// ConfigAge returns how long ago the configuration in the snapshot was last
	// confirmed to be current. It is nil if the age is not known.
	ConfigAge func() time.Duration
	// MaxKeyAge returns the ConfigAge above which no key is accepted. If it is
	// nil, there is no bound.
	MaxKeyAge func() time.Duration
	// Regions maps failure domains to their regions. A failure domain that is missing
	// is in no region. The map is never changed.
	Regions map[string]string
	// InstancesOutliveNodes is set if an instance keeps running when the node
	// beside it ends, so that the loss of a node does not imply the loss of its
	// instance.
	InstancesOutliveNodes bool
	// RateLimit returns the number of calls per second that the instance beside this
	// node accepts; zero means that it names no limit. It is nil if instances never
	// name one.
	RateLimit func() float64
	// Pools configures the ownership of customers' rate pools. AnnounceAssignment
	// tells the other nodes which partitions of the pools this node owns.
	Pools              PoolSettings
	AnnounceAssignment func(a Assignment)
	// AnnounceFanout publishes the fan-out measured at this node's instance to
	// the other nodes and to later processes of this node; see state.Fanout.
	AnnounceFanout func(fanout state.Fanout)
	// Retries bounds the retries of this node.
	Retries RetryBounds
	Peers   Peers
	Log     *slog.Logger
	// Forward sends a call to its owner node and returns the owner's result. If
	// the owner is this node, the call runs in the local owner chain.
	Forward func(ctx context.Context, owner state.Member, c *Call) *Result
	// Publish adds a variable to the node's metrics. It is nil if the node publishes
	// none of its plug-ins.
	Publish func(name string, v expvar.Var)
	// Go runs f on a goroutine that the node waits for at shutdown.
	Go func(f func())
}

// InstanceRateLimit returns the value of RateLimit, or zero if it is nil.
func (h *Host) InstanceRateLimit() float64 {
	if h.RateLimit == nil {
		return 0
	}
	return h.RateLimit()
}

// RefuseNewWork returns the refusal of a call that has not been handed over to the
// instance beside the node, if that takes no new work: it is not there or gone, it or the
// node is leaving, or its failure domain is evacuated. Else it returns nil. Every place
// where a call may have waited asks it before the call goes on.
func (h *Host) RefuseNewWork() *Result {
	s := h.Snapshot()
	self, present := s.Members[h.Self.ID]
	switch {
	case s.Evacuated(h.Self.Domain):
		return Refuse(ReasonEvacuated, "the failure domain is evacuated", 0)
	case !present:
		return Refuse(ReasonNoUpstream, "no instance is beside the node", 0)
	case self.Draining:
		r := Refuse(ReasonDraining, "the instance is leaving", 0)
		r.Load = &Load{Draining: true}
		return r
	}
	return nil
}

// PublishMetric calls Publish unless it is nil.
func (h *Host) PublishMetric(name string, v expvar.Var) {
	if h.Publish != nil {
		h.Publish(name, v)
	}
}

// PoolSettings configures how partitions of customers' rate pools are assigned to
// nodes.
type PoolSettings struct {
	GroupCoordinator GroupCoordinator
	// Partitions is the number of partitions that the customers are hashed to.
	Partitions int
	// SessionTimeout is how long a group membership lasts without renewal.
	SessionTimeout time.Duration
}

// Assignment is the set of partitions assigned to a group member, with the term
// of their ownership.
type Assignment struct {
	Partitions []int
	Term       state.Term
}

// GroupCoordinator assigns partitions to the members of a group.
type GroupCoordinator interface {
	// Join joins the group, or renews the membership, for the session timeout.
	// latest is the term of the member's latest assignment.
	Join(ctx context.Context, member string, sessionTimeout time.Duration, latest state.Term) (Assignment, error)
	// Incarnation returns the newest known incarnation of the store. Assignments
	// by earlier incarnations are void.
	Incarnation() uint64
	// Leave leaves the group and releases all its partitions.
	Leave(ctx context.Context, member string) error
}

// RetryBounds limits the retries of one node. The zero value selects the defaults
// of the retry plug-in.
type RetryBounds struct {
	// Ratio is the number of retries earned by each first attempt at a service;
	// zero selects one budget for all services, with defaults.
	Ratio float64
	// Slack is the number of retries per service that all nodes together may
	// make in Window beyond Ratio; every node gets an equal share.
	Slack  float64
	Window time.Duration
	// MaxReroutes is how often a call that no instance has seen may be sent to
	// another owner without using the retry budget.
	MaxReroutes int
}

// Peers exchanges control messages with other nodes.
type Peers interface {
	// Request sends a message and waits for the response or for ctx. An error
	// that wraps ErrNotSent means that the peer has not seen the message.
	Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error)
	// Handle sets the handler for a kind of message. Plug-ins must call it from
	// Provision only.
	Handle(kind string, h MessageHandler)
}

// Notifier is implemented by Peers that can send one-way messages.
type Notifier interface {
	// Notify sends a message without waiting for a response. The message is lost
	// if the peer cannot be reached immediately.
	Notify(to state.Member, kind string, body []byte)
}

// MessageHandler handles one control message and returns the response.
type MessageHandler func(ctx context.Context, from state.MemberID, body []byte) ([]byte, error)

// ErrNotSent marks a request that never left this node.
var ErrNotSent = errors.New("message not sent")

// SendRequest sends a typed message and decodes the typed response.
func SendRequest[Req, Resp any](ctx context.Context, p Peers, to state.Member, kind string, req Req) (Resp, error) {
	var resp Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("encode %s: %w: %w", kind, ErrNotSent, err)
	}
	data, err := p.Request(ctx, to, kind, body)
	if err != nil {
		return resp, fmt.Errorf("%s to %s: %w", kind, to.ID, err)
	}
	if err := cbor.Unmarshal(data, &resp); err != nil {
		return resp, fmt.Errorf("decode response to %s: %w", kind, err)
	}
	return resp, nil
}

// HandleRequest registers a typed message handler.
func HandleRequest[Req, Resp any](p Peers, kind string, f func(ctx context.Context, from state.MemberID, req Req) (Resp, error)) {
	p.Handle(kind, func(ctx context.Context, from state.MemberID, body []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("decode %s: %w", kind, err)
		}
		resp, err := f(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	})
}

// Credential is the proof of identity sent with a request.
type Credential struct {
	// Key is the caller's key text; empty if none was sent.
	Key string
}

type credentialKey struct{}

// WithCredential attaches a credential to a request's context. The credential
// never leaves the entry node, since Call has no field for it.
func WithCredential(ctx context.Context, c Credential) context.Context {
	return context.WithValue(ctx, credentialKey{}, c)
}

// CredentialFrom returns the credential attached to a request's context.
func CredentialFrom(ctx context.Context) Credential {
	c, _ := ctx.Value(credentialKey{}).(Credential)
	return c
}
