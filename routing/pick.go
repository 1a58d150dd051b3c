package routing

import "time"

const (
	// spillPressure is the pressure of the best member in the node's own failure
	// domain from which on other domains are considered; spillPressureMargin is
	// how much lower the pressure of a member there must be.
	spillPressure       = 1.0
	spillPressureMargin = 0.25
	// spillOccupancy is the occupancy of that member from which on calls go to a
	// member of another failure domain whose occupancy and pressure are lower by
	// occupancyMargin.
	// The occupancy is counted exactly, whereas the rejections that add to the
	// pressure occur at random.
	spillOccupancy  = 0.8
	occupancyMargin = 0.1
)

// filter reports whether a member may be chosen.
type filter func(o *owner) bool

// both returns a filter of what passes two filters.
func both(f, g filter) filter { return func(o *owner) bool { return f(o) && g(o) } }

// pick claims a member for a call. It returns nil if there is none.
func (g *group) pick(now time.Time, rand func() uint64, t *triedOwners) *owner {
	return g.pickAllowed(now, rand, t, nil)
}

// pickAllowed is like pick but claims only members that pass the filter allowed; nil
// allows all.
func (g *group) pickAllowed(now time.Time, rand func() uint64, t *triedOwners, allowed filter) *owner {
	usable := func(o *owner) bool {
		return (allowed == nil || allowed(o)) && !o.draining(now) && !t.has(o.member.ID)
	}
	eligible := func(o *owner) bool { return usable(o) && o.selectable(now) }
	// A second round is needed only if another call has claimed the same probe.
	for range 2 {
		o := g.choose(now, rand, eligible)
		if o == nil {
			break
		}
		if o.claim() {
			return o
		}
	}
	o := g.choose(now, rand, usable)
	if o != nil {
		o.claimUnconditionally()
	}
	return o
}

// choose returns the preferred member among those that pass the filter.
func (g *group) choose(now time.Time, rand func() uint64, f filter) *owner {
	bestLocal := g.preferSelf(now, g.self, twoChoices(g.local, now, rand, f), f)
	if bestLocal == nil {
		return twoChoices(g.remote, now, rand, f)
	}
	if bestLocal.hasFreshWorkTime(now) {
		return g.chooseByTime(now, rand, bestLocal, f)
	}
	if !bestLocal.hasReport() || bestLocal.pressure(now) < spillPressure && bestLocal.occupancy(now) < spillOccupancy {
		return bestLocal
	}
	if bestLocal.reportsWorkTime() {
		f = both(f, func(o *owner) bool { return o.isReachable(now) })
	}
	if bestRemote := twoChoices(g.remote, now, rand, f); bestRemote != nil && shouldSpill(now, bestLocal, bestRemote) {
		return bestRemote
	}
	return bestLocal
}

// chooseByTime returns the local member or one of another failure domain that would take
// clearly less time.
func (g *group) chooseByTime(now time.Time, rand func() uint64, local *owner, f filter) *owner {
	if len(g.remote) == 0 || !g.shift.considered(now, local) {
		return local
	}
	remote := twoChoices(g.remote, now, rand, both(f, func(o *owner) bool { return o.isRoom(now) }))
	if remote == nil || !g.shift.moves(now, rand(), local, remote) {
		return local
	}
	g.shift.record(now)
	return remote
}

// shouldSpill reports whether a call should go to the remote member instead of
// the local one.
func shouldSpill(now time.Time, local, remote *owner) bool {
	remotePressure, localPressure := remote.pressure(now), local.pressure(now)
	if localPressure >= spillPressure && remotePressure+spillPressureMargin < localPressure {
		return true
	}
	remoteOccupancy, localOccupancy := remote.occupancy(now), local.occupancy(now)
	return localOccupancy >= spillOccupancy && remoteOccupancy+occupancyMargin < localOccupancy && remotePressure+occupancyMargin < localPressure
}

// preferSelf returns the node's own instance unless the alternative is faster.
func (g *group) preferSelf(now time.Time, self, alternative *owner, f filter) *owner {
	if self == nil || !f(self) {
		return alternative
	}
	if alternative == nil || !alternative.faster(self, now) {
		return self
	}
	return alternative
}

// twoChoices draws two different members at random and returns the faster one.
func twoChoices(owners []*owner, now time.Time, rand func() uint64, f filter) *owner {
	if len(owners) == 0 {
		return nil
	}
	a := firstAccepted(owners, rand(), f, nil)
	if a == nil {
		return nil
	}
	b := firstAccepted(owners, rand(), f, a)
	if b != nil && b.faster(a, now) {
		return b
	}
	return a
}

// firstAccepted returns the first member, starting at a random position, that
// passes the filter and isn't excluded.
func firstAccepted(owners []*owner, random uint64, f filter, exclude *owner) *owner {
	start := int(random % uint64(len(owners)))
	for i := range owners {
		o := owners[(start+i)%len(owners)]
		if o != exclude && f(o) {
			return o
		}
	}
	return nil
}
