package kernel

import (
	"context"
	"errors"
)

// ErrNodeStopping is the cause with which the contexts of the calls end that are in
// flight when the planned stop of a node runs out of time.
var ErrNodeStopping = errors.New("the node is stopping")

// CancelReason returns why a call ended whose context was cancelled before its deadline:
// ReasonDraining if a planned stop has ended it, else ReasonCancelled.
func CancelReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), ErrNodeStopping) {
		return ReasonDraining
	}
	return ReasonCancelled
}
