package graph

import (
	"container/list"
	"time"
)

const (
	// unansweredOvertakes is the number of later calls on the same route that must
	// have ended before a call is considered unanswered. While an instance is slow
	// as a whole, none of these later calls ends.
	unansweredOvertakes = 64
	// An unanswered call has been running for at least unansweredMeanFactor times
	// the route's mean run time and unansweredLongestFactor times its longest
	// recent run.
	unansweredMeanFactor    = 8
	unansweredLongestFactor = 2
	// minRunsForLongest is the number of completed runs below which the longest
	// run time of a route isn't reliable.
	minRunsForLongest = 200
	// longestDecay is the factor by which the longest run time, or time left, decays
	// with every shorter one.
	longestDecay = 0.9995
)

// routeRuns holds the running calls of one route in the order of their start.
type routeRuns struct {
	tickets   list.List // of *Ticket
	started   int
	completed int // successful runs
	longest   time.Duration
}

// runPosition is the position of a call among the calls of its route.
type runPosition struct {
	element  *list.Element
	sequence int
}

func newRouteRuns() *routeRuns { return &routeRuns{} }

func (r *routeRuns) add(t *Ticket) {
	r.started++
	t.position = runPosition{element: r.tickets.PushBack(t), sequence: r.started}
}

func (r *routeRuns) remove(t *Ticket) { r.tickets.Remove(t.position.element) }

// recordCompletion records the run time of a successful run.
func (r *routeRuns) recordCompletion(runTime time.Duration) {
	r.completed++
	r.longest = max(runTime, time.Duration(longestDecay*float64(r.longest)))
}

// Unanswered returns the running calls that may be cancelled because the
// instance has answered so many later calls that it will not answer these: some
// instances never respond to a call that they could not queue.
func (g *Gate) Unanswered(now time.Time) []*Ticket {
	var unanswered []*Ticket
	for route, runs := range g.routes {
		minAge := max(unansweredMeanFactor*g.runTimes[route], unansweredLongestFactor*runs.longest)
		if runs.completed < minRunsForLongest {
			continue
		}
		later := runs.tickets.Len()
		for e := runs.tickets.Front(); e != nil; e = e.Next() {
			t := e.Value.(*Ticket)
			later--
			overtaken := runs.started - t.position.sequence - later
			if now.Sub(t.startedAt) <= minAge || overtaken < unansweredOvertakes {
				break // all later calls of the route are younger
			}
			if t.CancelUnanswered != nil {
				unanswered = append(unanswered, t)
			}
		}
	}
	return unanswered
}
