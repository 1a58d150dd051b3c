package graph

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// waitShare is the part of a request's time that the calls of its tree may wait for one
// service; the rest is for their work and for other services.
const waitShare = 0.5

// affordableWait returns how long one call at a service may wait so that the trees which
// call the service most often still meet their objectives: a tree of eight calls, one
// after the other, waits eight times. It returns maxDrainTime if no tree calls the
// service.
func affordableWait(service string, routes []*config.HostRoute, fanout state.Fanout, serviceOf map[string]string) time.Duration {
	shortest := maxDrainTime
	for _, r := range routes {
		if r.Open {
			continue
		}
		calls := treeCost(r.Name, service, fanout, serviceOf, maxTreeDepth)
		if serviceOf[r.Name] == service {
			calls-- // the request itself waits by its own objective
		}
		if calls < 1 {
			continue
		}
		shortest = min(shortest, time.Duration(waitShare*float64(timeOf(r))/calls))
	}
	return shortest
}

// timeOf returns the time within which a request is of use: its objective, or the
// timeout of its route if that is shorter.
func timeOf(r *config.HostRoute) time.Duration {
	objective := r.TargetLatency
	if objective <= 0 {
		objective = defaultObjective
	}
	if r.Deadline > 0 {
		return min(objective, r.Deadline)
	}
	return objective
}
