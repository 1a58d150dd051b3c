package sidecar

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/coldstart"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// coldStartPolicy returns the cold start of the node's service; the zero value if its
// instances are never cold.
func (n *Node) coldStartPolicy() config.ColdStart {
	c := n.Snapshot().Config
	if c == nil {
		return config.ColdStart{}
	}
	return c.ColdStarts[n.settings.Service]
}

// instanceRateLimit returns the calls per second that the instance accepts: the rate
// limit that it names or the one of a cold instance, whichever is lower. Zero means that
// there is no limit.
func (n *Node) instanceRateLimit() float64 {
	named := n.selfReport.RateLimit()
	_, cold := n.coldStart.Rate(n.host.Now(), n.coldStartPolicy())
	if cold == 0 || named > 0 && named < cold {
		return named
	}
	return cold
}

// followEvacuation reports whether the failure domain is evacuated. It makes the instance
// unknown when the evacuation has ended, before a call can be sent.
func (n *Node) followEvacuation() bool {
	evacuated := n.Snapshot().Evacuated(n.settings.Domain)
	if was := n.wasEvacuated.Load(); was == evacuated {
		return evacuated
	}
	if !evacuated {
		n.coldStart.SetUnknown(n.host.Now())
		n.wantHealthCheck()
	}
	n.wasEvacuated.Store(evacuated)
	return evacuated
}

// followColdStart logs a change of the instance's phase.
func (n *Node) followColdStart(now time.Time) {
	n.followEvacuation()
	policy := n.coldStartPolicy()
	phase, rate := n.coldStart.Rate(now, policy)
	if former := coldstart.Phase(n.coldPhase.Swap(uint32(phase))); former != phase {
		n.log.Info("cold start of the instance", "instance", n.Instance().ID, "phase", phase.String(), "before", former.String(),
			"rate_limit", rate, "cold_ms", policy.Duration.Milliseconds())
	}
}

func (n *Node) wantHealthCheck() {
	if n.settings.OnHealthCheckWanted != nil {
		n.settings.OnHealthCheckWanted()
	}
}

// ObserveHeartbeat records the remaining cold time in a heartbeat.
func (n *Node) ObserveHeartbeat(from state.Incarnation, remaining time.Duration) {
	n.coldStart.Heartbeat(n.host.Now(), from, remaining)
	if n.NeedsHealthCheck() {
		n.wantHealthCheck()
	}
}

// ObserveHealthCheck records the remaining cold time in the response to a health check
// that was sent at the given time.
func (n *Node) ObserveHealthCheck(from state.Incarnation, sent time.Time, remaining time.Duration) {
	n.coldStart.HealthCheck(n.host.Now(), sent, from, remaining)
}

// InstanceUnreachable records that the instance accepts no connection, or that another
// one has its address. It may be cold when it answers again.
func (n *Node) InstanceUnreachable() {
	n.coldStart.SetUnknown(n.host.Now())
	n.wantHealthCheck()
}

// InstanceDisconnected records that the instance has ended a connection without a
// response. It may have restarted.
func (n *Node) InstanceDisconnected() {
	n.coldStart.RequestCheck(n.host.Now())
	if n.NeedsHealthCheck() {
		n.wantHealthCheck()
	}
}

// NeedsHealthCheck reports whether a health check has to say whether the instance is
// cold.
func (n *Node) NeedsHealthCheck() bool {
	return n.coldStart.NeedsCheck(n.host.Now(), n.coldStartPolicy())
}
