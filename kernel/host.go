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
	Peers    Peers
	Log      *slog.Logger
	// Forward carries a call to its owner node (or runs it in the local owner
	// chain when the owner is this node) and returns the owner's result.
	Forward func(ctx context.Context, owner state.Member, c *Call) *Result
	// Go runs f on a goroutine that the node waits for at shutdown.
	Go func(f func())
}

// Peers carries control messages between nodes.
type Peers interface {
	// Request sends a message and waits for the answer or for ctx. An error
	// that wraps ErrNotSent means that the peer has not seen the message.
	Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error)
	// Handle sets the handler for a kind. Call it from Provision only.
	Handle(kind string, h MessageHandler)
}

// MessageHandler answers one control message.
type MessageHandler func(ctx context.Context, from state.MemberID, body []byte) ([]byte, error)

// ErrNotSent marks a request that never left this node.
var ErrNotSent = errors.New("message not sent")

// Ask sends a typed message and decodes the typed answer.
func Ask[Req, Resp any](ctx context.Context, p Peers, to state.Member, kind string, req Req) (Resp, error) {
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

// Answer registers a typed message handler.
func Answer[Req, Resp any](p Peers, kind string, f func(ctx context.Context, from state.MemberID, req Req) (Resp, error)) {
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
