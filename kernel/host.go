package kernel

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Host is what a plug-in may use of its node.
type Host struct {
	Self state.Member
	// Now and Rand are the only sources of time and randomness that decision
	// code may use, so that it can be replayed.
	Now  func() time.Time
	Rand func() uint64
	// Snapshot returns the current state; never nil.
	Snapshot func() *state.Snapshot
	// ConfigAge returns how long ago the configuration in the snapshot was
	// vouched for; nil where its age isn't known.
	ConfigAge func() time.Duration
	// MaxKeyAge returns the ConfigAge above which no key is accepted; nil means no
	// bound.
	MaxKeyAge func() time.Duration
	// InstancesOutliveNodes is set where an instance goes on running when the node
	// beside it ends, so that the loss of a node says nothing of its instance.
	InstancesOutliveNodes bool
	// Pools configures the owners of customers' rates, and AnnounceAssignment tells the
	// other nodes which partitions of them this node owns.
	Pools              PoolSettings
	AnnounceAssignment func(h Assignment)
	// AnnounceFanout tells the other nodes, and later processes of this one, what
	// runs at the instance need; see state.Snapshot.Fanout.
	AnnounceFanout func(needs state.Fanout)
	// Retries bounds the retries of this node.
	Retries RetryBounds
	Peers   Peers
	Log     *slog.Logger
	// Forward carries a call to its owner node (or runs it in the local owner
	// chain when the owner is this node) and returns the owner's result.
	Forward func(ctx context.Context, owner state.Member, c *Call) *Result
	// Go runs f on a goroutine that the node waits for at shutdown.
	Go func(f func())
}

// PoolSettings configure ownership of customers' rates by groups of a store.
type PoolSettings struct {
	GroupCoordinator GroupCoordinator
	// Partitions is the number of partitions of the customers.
	Partitions int
	// SessionTimeout is how long a membership lasts without renewal.
	SessionTimeout time.Duration
}

// Assignment is what a member of a group holds.
type Assignment struct {
	Partitions []int
	Term       state.Term
}

// GroupCoordinator hands out partitions to the members of a group.
type GroupCoordinator interface {
	// Join joins the group or stays in it; latest is the term of the latest holding.
	Join(ctx context.Context, member string, term time.Duration, latest state.Term) (Assignment, error)
	// Incarnation returns the newest incarnation of the store that is known. What
	// an earlier one has given out is void.
	Incarnation() uint64
	// Leave gives all partitions back.
	Leave(ctx context.Context, member string) error
}

// RetryBounds bounds the repeated attempts of one node. The zero value leaves
// the retry plug-in its own defaults.
type RetryBounds struct {
	// Ratio is the number of attempts earned by each first attempt at a
	// service; zero selects one budget for all services, with defaults.
	Ratio float64
	// Slack is the number of attempts at each service that all nodes may make
	// in Window beyond Ratio; every node has an equal part.
	Slack  float64
	Window time.Duration
	// MaxReroutes is the number of times that a call which no instance has seen may
	// go to another owner, outside the budget.
	MaxReroutes int
}

// Peers carries control messages between nodes.
type Peers interface {
	// Request sends a message and waits for the answer or for ctx. An error
	// that wraps ErrNotSent means that the peer has not seen the message.
	Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error)
	// Handle sets the handler for a kind. Call it from Provision only.
	Handle(kind string, h MessageHandler)
}

// Notifier is implemented by Peers that can send a message without an answer.
type Notifier interface {
	// Notify sends a message and doesn't wait. It is lost if the peer can't be
	// reached at once.
	Notify(to state.Member, kind string, body []byte)
}

// MessageHandler answers one control message.
type MessageHandler func(ctx context.Context, from state.MemberID, body []byte) ([]byte, error)

// ErrNotSent marks a request that never left this node.
var ErrNotSent = errors.New("message not sent")

// SendRequest sends a typed message and decodes the typed answer.
func SendRequest[Req, Resp any](ctx context.Context, p Peers, to state.Member, kind string, req Req) (Resp, error) {
	var resp Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("encode %s: %w: %w", kind, ErrNotSent, err)
	}
	answer, err := p.Request(ctx, to, kind, body)
	if err != nil {
		return resp, fmt.Errorf("%s to %s: %w", kind, to.ID, err)
	}
	if err := cbor.Unmarshal(answer, &resp); err != nil {
		return resp, fmt.Errorf("decode answer to %s: %w", kind, err)
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

// Credential is what came with a request to prove who sent it.
type Credential struct {
	// Key is the caller's key text; empty if none was sent.
	Key string
}

type credentialKey struct{}

// WithCredential attaches a credential to a request's context. It travels only
// within the entry node: a Call has no field for it.
func WithCredential(ctx context.Context, c Credential) context.Context {
	return context.WithValue(ctx, credentialKey{}, c)
}

// CredentialFrom returns the credential of a request.
func CredentialFrom(ctx context.Context) Credential {
	c, _ := ctx.Value(credentialKey{}).(Credential)
	return c
}
