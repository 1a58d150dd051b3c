package node

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/selfreport"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// incarnation identifies the run of the instance, which lasts as long as the node's.
func (n *Node) incarnation() state.Incarnation { return state.Incarnation{ID: string(n.self.ID)} }

// observeResponse records what a response says of the instance.
func (n *Node) observeResponse(r selfreport.Response) {
	if r.RateLimitError != nil {
		n.reportLog.Invalid(n.host.Now(), n.selfReport, r.RateLimitError)
	}
	if !n.selfReport.Observe(n.incarnation(), r) {
		return
	}
	n.reportLog.Changed(n.host.Now(), n.selfReport, "response")
	if n.selfReport.Leaving() {
		n.announceLeaving.Do(func() { n.background.Go(n.drain) })
	}
}

// drain announces that the node takes no new work because its instance leaves.
func (n *Node) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	if err := n.membership.SetDraining(ctx, n.self.ID, true); err != nil {
		n.log.Warn("draining could not be announced", "error", err)
	}
}
