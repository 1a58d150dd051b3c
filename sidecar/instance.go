package sidecar

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/directory"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/selfreport"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Instance is what is known about the instance beside the node.
type Instance struct {
	ID       string
	Slots    int
	Draining bool
	// Present is false until the instance is known to run, and after it has
	// deregistered.
	Present bool
	// StartedMS is the start of the instance in Unix milliseconds; zero if
	// unknown.
	StartedMS int64
}

// Incarnation identifies this run of the instance.
func (i Instance) Incarnation() state.Incarnation {
	return state.Incarnation{ID: i.ID, StartedMS: i.StartedMS}
}

// Instance returns what is known about the instance beside the node.
func (n *Node) Instance() Instance { return *n.instance.Load() }

// SetInstance sets what is known about the instance from heartbeats,
// deregistrations and health checks, and announces a change to the other nodes. An
// instance that has said in a response that it leaves stays draining.
func (n *Node) SetInstance(i Instance) {
	n.instanceMu.Lock()
	defer n.instanceMu.Unlock()
	n.coldStart.SetInstance(n.host.Now(), i.Incarnation())
	n.selfReport.SetInstance(i.Incarnation(), i.ID != "" && (i.Draining || !i.Present), n.host.Now())
	i.Draining = i.Draining || n.selfReport.Leaving()
	n.replaceInstance(i)
}

// AwaitDepartureStored waits until the store holds that an incarnation of the instance has
// left or begun to drain, so that the next process of the node knows it. It returns the
// error of ctx if that ends first.
func (n *Node) AwaitDepartureStored(ctx context.Context, i state.Incarnation) error {
	return n.directory.AwaitStored(ctx, func(r *directory.Record) bool {
		return r.Instance.Left && r.Instance.ID == i.ID && r.Instance.StartedMS >= i.StartedMS
	})
}

// replaceInstance publishes and announces a changed instance. n.instanceMu is held.
func (n *Node) replaceInstance(i Instance) {
	old := n.instance.Swap(&i)
	if *old == i {
		return
	}
	n.log.Info("instance changed", "instance", i.ID, "slots", i.Slots, "draining", i.Draining, "present", i.Present)
	n.announce()
}

// ObserveResponse records what a complete response says of the incarnation of the
// instance to which the request was sent.
func (n *Node) ObserveResponse(from state.Incarnation, r selfreport.Response) {
	if r.RateLimitError != nil {
		n.reportLog.Invalid(n.host.Now(), n.selfReport, r.RateLimitError)
	}
	if n.selfReport.Observe(from, r) {
		n.reportChanged("response")
	}
}

// adoptReport records what an entry node was told by an earlier process of this node.
func (n *Node) adoptReport(r kernel.InstanceReport) {
	if n.selfReport.Adopt(r, n.host.Now()) {
		n.reportChanged("peer")
	}
}

// reportChanged acts on what the instance has said of itself and logs it.
func (n *Node) reportChanged(source string) {
	n.drainIfLeaving()
	n.reportLog.Changed(n.host.Now(), n.selfReport, source)
}

// drainIfLeaving makes the instance draining once it has said that it leaves.
func (n *Node) drainIfLeaving() {
	n.instanceMu.Lock()
	defer n.instanceMu.Unlock()
	if i := n.Instance(); n.selfReport.Leaving() && i.ID != "" && !i.Draining {
		i.Draining = true
		n.replaceInstance(i)
	}
}
