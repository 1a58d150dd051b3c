package graph

import (
	"container/list"
	"time"
)

const (
	// silentOvertaken is the number of later calls on the same route that must
	// have ended before a call counts as never to be answered. An instance that is
	// slow as a whole lets none of them pass.
	silentOvertaken = 64
	// silentRuns and silentLongest are the least time of such a call in units of
	// the route's mean and of its longest of late.
	silentRuns    = 8
	silentLongest = 2
	// silentKnown is the number of whole runs from which on the longest one says
	// something.
	silentKnown = 200
	// longestKept is what is left of the longest run with every shorter one.
	longestKept = 0.9995
)

// routeRuns is the calls that run on one route, in the order of their start.
type routeRuns struct {
	calls   list.List // of *Ticket
	begun   int
	ended   int // whole runs
	longest time.Duration
}

// runPlace is the place of a call among those of its route.
type runPlace struct {
	element *list.Element
	number  int
}

func newRouteRuns() *routeRuns { return &routeRuns{} }

func (r *routeRuns) add(t *Ticket) {
	r.begun++
	t.place = runPlace{element: r.calls.PushBack(t), number: r.begun}
}

func (r *routeRuns) remove(t *Ticket) { r.calls.Remove(t.place.element) }

// ran takes in the time of a whole run.
func (r *routeRuns) ran(took time.Duration) {
	r.ended++
	r.longest = max(took, time.Duration(longestKept*float64(r.longest)))
}

// Silent returns the running calls that may be given up since the instance has
// answered so many later ones that it will not answer them: some instances
// never respond to a call that they could not queue.
func (g *Gate) Silent(now time.Time) []*Ticket {
	var silent []*Ticket
	for route, runs := range g.running {
		least := max(silentRuns*g.runTimes[route], silentLongest*runs.longest)
		if runs.ended < silentKnown {
			continue
		}
		behind := runs.calls.Len()
		for e := runs.calls.Front(); e != nil; e = e.Next() {
			t := e.Value.(*Ticket)
			behind--
			overtaken := runs.begun - t.place.number - behind
			if now.Sub(t.began) <= least || overtaken < silentOvertaken {
				break // the calls behind it began later
			}
			if t.GiveUpSilent != nil {
				silent = append(silent, t)
			}
		}
	}
	return silent
}
