package sidecar

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/selfreport"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// reportLogInterval is the least time between two log lines about a rate limit that
// only changes its value.
const reportLogInterval = time.Second

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
	n.selfReport.SetInstance(i.Incarnation())
	i.Draining = i.Draining || n.selfReport.Leaving()
	n.replaceInstance(i)
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
		n.logInvalidLimit(r)
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

func (n *Node) logInvalidLimit(r selfreport.Response) {
	if left, due := n.invalidLog.due(n.host.Now(), true, false); due {
		n.log.Warn("rate limit of the instance not understood", "instance", n.Instance().ID, "error", r.RateLimitError,
			"in_force", n.selfReport.RateLimit(), "not_logged", left)
	}
}

// reportChanged acts on what the instance has said of itself and logs it.
func (n *Node) reportChanged(source string) {
	n.drainIfLeaving()
	limit, leaving := n.selfReport.RateLimit(), n.selfReport.Leaving()
	if left, due := n.reportLog.due(n.host.Now(), limit > 0, leaving); due {
		n.log.Info("instance reports on itself", "instance", n.Instance().ID, "rate_limit", limit, "leaving", leaving,
			"source", source, "not_logged", left)
	}
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

// reportLog limits the log lines about what the instance says of itself, which may
// differ from response to response.
type reportLog struct {
	mu               sync.Mutex
	limited, leaving bool
	loggedAt         time.Time
	left             int // changes that were not logged
}

// due reports whether a change is to be logged, and how many before it were not.
func (l *reportLog) due(now time.Time, limited, leaving bool) (left int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limited == l.limited && leaving == l.leaving && now.Sub(l.loggedAt) < reportLogInterval {
		l.left++
		return 0, false
	}
	left = l.left
	l.limited, l.leaving, l.loggedAt, l.left = limited, leaving, now, 0
	return left, true
}
