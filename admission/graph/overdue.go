package graph

import (
	"container/list"
	"time"
)

const (
	// overdueOvertakes is the number of later calls on the same route that must
	// have ended before a call is considered overdue. While an instance is slow
	// as a whole, none of these later calls ends.
	overdueOvertakes = 64
	// An overdue call has been running for at least overdueMeanFactor times the
	// route's mean run time and overdueLongestFactor times its longest recent run.
	overdueMeanFactor    = 8
	overdueLongestFactor = 2
	// reportWindow is the number of load reports in a window of unreportedCalls. Two
	// windows are overdueOvertakes, so that all their reports are later than the start
	// of a call that has just become overdue.
	reportWindow = overdueOvertakes / 2
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

// MarkOverdue returns the running calls that have become overdue: the instance has
// answered so many later calls that it may not run them. Some instances never respond
// to a call that they could not queue. Others are at work on a long one, and nothing in
// the run times of other calls tells the two apart, so an overdue call is not ended; its
// slot is used for other calls as far as the load that the instance reports agrees.
func (g *Gate) MarkOverdue(now time.Time) []*Ticket {
	var marked []*Ticket
	for route, runs := range g.routes {
		minAge := max(overdueMeanFactor*g.runTimes[route], overdueLongestFactor*runs.longest)
		if runs.completed < minRunsForLongest {
			continue
		}
		later := runs.tickets.Len()
		for e := runs.tickets.Front(); e != nil; e = e.Next() {
			t := e.Value.(*Ticket)
			later--
			overtaken := runs.started - t.position.sequence - later
			if now.Sub(t.startedAt) <= minAge || overtaken < overdueOvertakes {
				break // all later calls of the route are younger
			}
			if !t.overdue {
				t.overdue = true
				g.overdue++
				marked = append(marked, t)
			}
		}
	}
	if len(marked) > 0 && g.vacant() > 0 {
		g.recordRejection(now)
	}
	return marked
}

// vacant returns the number of running calls that take up no slot of the instance: the
// overdue ones, as far as the instance reports fewer calls than are in flight.
func (g *Gate) vacant() int {
	if g.loadReported {
		return min(g.overdue, g.unreported.least())
	}
	return g.overdue
}

// unreportedCalls tracks how many running calls the load reports of the instance leave
// out. A report also leaves out the calls on their way to the instance and the answers
// on their way back; the least of the latest reports leaves out the fewest of these.
type unreportedCalls struct {
	reports           int // in the current window
	current, previous int // least in the window
}

func (u *unreportedCalls) record(n int) {
	if u.reports == reportWindow {
		u.reports, u.previous = 0, u.current
	}
	if u.reports == 0 || n < u.current {
		u.current = n
	}
	u.reports++
}

// least returns the least number in the latest reports; until there are enough of them,
// zero.
func (u *unreportedCalls) least() int { return min(u.current, u.previous) }
