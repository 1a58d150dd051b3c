package routing

import "time"

const (
	// spillPressure is the pressure at home from which other failure domains
	// are considered; spillMargin is how much lower theirs has to be.
	spillPressure = 1.0
	spillMargin   = 0.25
	// spillOccupancy is the occupancy at home from which calls go to instances
	// elsewhere that are less busy by busyMargin. It is counted exactly, while
	// rejections, which add to the pressure, come by chance.
	spillOccupancy = 0.8
	busyMargin     = 0.1
)

// filter decides which members a choice may consider.
type filter func(o *owner) bool

// pick claims a member for a call, or returns nil.
func (g *group) pick(now time.Time, rand func() uint64, t *triedOwners) *owner {
	usable := func(o *owner) bool { return !o.draining(now) && !t.has(o.member.ID) }
	accepted := func(o *owner) bool { return usable(o) && o.accepts(now) }
	// A second round is needed only if another call took the same probe.
	for range 2 {
		o := g.best(now, rand, accepted)
		if o == nil {
			break
		}
		if o.claim() {
			return o
		}
	}
	o := g.best(now, rand, usable)
	if o != nil {
		o.take()
	}
	return o
}

// best returns the member to prefer among those that pass the filter.
func (g *group) best(now time.Time, rand func() uint64, f filter) *owner {
	home := g.better(now, g.self, twoChoices(g.local, now, rand, f), f)
	if home == nil {
		return twoChoices(g.remote, now, rand, f)
	}
	if !home.measured() || home.pressure(now) < spillPressure && home.occupancy(now) < spillOccupancy {
		return home
	}
	if away := twoChoices(g.remote, now, rand, f); away != nil && spills(now, home, away) {
		return away
	}
	return home
}

// spills reports whether a call leaves its failure domain.
func spills(now time.Time, home, away *owner) bool {
	there, here := away.pressure(now), home.pressure(now)
	if here >= spillPressure && there+spillMargin < here {
		return true
	}
	busyThere, busyHere := away.occupancy(now), home.occupancy(now)
	return busyHere >= spillOccupancy && busyThere+busyMargin < busyHere && there+busyMargin < here
}

// better prefers the node's own instance if it is as good as the other.
func (g *group) better(now time.Time, self, other *owner, f filter) *owner {
	if self == nil || !f(self) {
		return other
	}
	if other == nil || self.pressure(now) <= other.pressure(now) {
		return self
	}
	return other
}

// twoChoices draws two different members at random and returns the one under less
// pressure.
func twoChoices(owners []*owner, now time.Time, rand func() uint64, f filter) *owner {
	if len(owners) == 0 {
		return nil
	}
	a := draw(owners, rand(), f, nil)
	if a == nil {
		return nil
	}
	b := draw(owners, rand(), f, a)
	if b != nil && b.pressure(now) < a.pressure(now) {
		return b
	}
	return a
}

// draw returns the first member other than except that passes the filter from
// a random place on.
func draw(owners []*owner, random uint64, f filter, except *owner) *owner {
	first := int(random % uint64(len(owners)))
	for i := range owners {
		o := owners[(first+i)%len(owners)]
		if o != except && f(o) {
			return o
		}
	}
	return nil
}
