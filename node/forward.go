package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/peer"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// kindCall is the message kind of a call from the entry node to the owner.
const kindCall = "node.call"

// ownerUnreachableRetryAfter is sent when a call's owner node could not be
// reached.
const ownerUnreachableRetryAfter = 500 * time.Millisecond

// callMessage carries a call to its owner node. The deadline is sent as the time
// remaining, so that the nodes' clocks need not be synchronised.
type callMessage struct {
	Call        kernel.Call `cbor:"1,keyasint"`
	RemainingMS int64       `cbor:"2,keyasint"`
}

// forward sends a call to its owner node, or serves it if that is this node, and
// returns the owner's result. Each attempt gets an ID of its own.
func (n *Node) forward(ctx context.Context, owner state.Member, c *kernel.Call) *kernel.Result {
	attempt := *c
	attempt.ID = newID()
	if owner.ID == n.self.ID {
		return n.serveAsOwner(ctx, &attempt)
	}
	n.metrics.forwarded.Add(1)
	remaining := c.Deadline().Sub(n.host.Now()).Milliseconds()
	if remaining <= 0 {
		return kernel.Refuse(kernel.ReasonDeadline, "the deadline passed before the call was sent", 0)
	}
	body, err := cbor.Marshal(callMessage{Call: attempt, RemainingMS: remaining})
	if err != nil {
		return kernel.Refuse(kernel.ReasonInternal, "encode call: "+err.Error(), 0)
	}
	response, err := n.network.Call(ctx, owner, kindCall, body)
	if err != nil {
		return lostCallResult(ctx, owner, err)
	}
	var result kernel.Result
	if err := cbor.Unmarshal(response, &result); err != nil {
		return kernel.Unknown(kernel.ReasonInternal, "decode result: "+err.Error())
	}
	result.Owner = owner.ID
	return &result
}

// lostCallResult classifies a call whose result did not arrive.
func lostCallResult(ctx context.Context, owner state.Member, err error) *kernel.Result {
	var r *kernel.Result
	switch {
	case errors.Is(err, kernel.ErrNotSent):
		r = kernel.Refuse(kernel.ReasonNoUpstream, "the owner node can't be reached", ownerUnreachableRetryAfter)
	case ctx.Err() != nil:
		r = cancelledResult(ctx)
	case errors.Is(err, peer.ErrRemote):
		r = kernel.Unknown(kernel.ReasonInternal, "the owner node could not handle the call: "+err.Error())
	default:
		r = kernel.Unknown(kernel.ReasonUpstream, "the owner node went away while the call ran")
		r.InstanceLost = true
	}
	r.Owner = owner.ID
	return r
}

// receiveCall serves a call message at the owner node.
func (n *Node) receiveCall(ctx context.Context, _ state.MemberID, body []byte) ([]byte, error) {
	var m callMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	deadline := n.host.Now().Add(time.Duration(m.RemainingMS) * time.Millisecond)
	m.Call.DeadlineMS = deadline.UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return cbor.Marshal(n.serveAsOwner(ctx, &m.Call))
}

// serveAsOwner runs the owner chain. It counts calls in flight, so that a planned
// stop can wait for them, and refuses new calls once the node is stopping.
func (n *Node) serveAsOwner(ctx context.Context, c *kernel.Call) *kernel.Result {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	n.metrics.inFlight.Add(1)
	defer n.metrics.inFlight.Add(-1)
	if n.stopping.Load() || n.selfReport.Leaving() {
		r := kernel.Refuse(kernel.ReasonDraining, "the owner node or its instance is stopping", drainingRetryAfter)
		r.Load = &kernel.Load{Draining: true, Report: n.selfReport.Report(n.host.Now())}
		r.Owner = n.self.ID
		return r
	}
	r := n.owner.Serve(ctx, c)
	n.selfReport.Attach(r, n.host.Now())
	r.Owner = n.self.ID
	return r
}
