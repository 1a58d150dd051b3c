package membership

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Failure detection.
const (
	// suspectProbes is the least number of failed exchanges in a row for a
	// suspicion.
	suspectProbes = 4
	// removalReporters is the number of nodes of a failure domain that must
	// suspect a member before one of them removes it; fewer if the domain has
	// fewer.
	removalReporters = 3
	// reportWindow is how long a reported suspicion counts.
	reportWindow = 2 * time.Minute
	// reachWindow is how long an exchange counts as proof of reachability.
	reachWindow = time.Minute
	// reachSample is the number of peers in a large failure domain that must
	// have been tried for a statement about its majority.
	reachSample = 8
	// maxSuspects bounds the suspicions in a digest.
	maxSuspects = 16
)

// failure is a run of failed exchanges with a peer.
type failure struct {
	since time.Time
	last  time.Time
	count int
}

// attempt is the latest exchange with a peer of the own failure domain.
type attempt struct {
	at time.Time
	ok bool
}

// detector decides which members are gone. It does no I/O and takes the time
// as a parameter.
type detector struct {
	self      state.Member
	intervals Intervals
	failures  map[state.MemberID]failure
	attempts  map[state.MemberID]attempt
	// reports holds who suspects a member, and when that was last heard.
	reports map[state.MemberID]map[state.MemberID]time.Time
	// agreed is when the conditions for a removal were first met.
	agreed map[state.MemberID]time.Time
}

func newDetector(self state.Member, intervals Intervals) *detector {
	return &detector{
		self:      self,
		intervals: intervals,
		failures:  map[state.MemberID]failure{},
		attempts:  map[state.MemberID]attempt{},
		reports:   map[state.MemberID]map[state.MemberID]time.Time{},
		agreed:    map[state.MemberID]time.Time{},
	}
}

// observe notes the outcome of an exchange with a peer.
func (d *detector) observe(id state.MemberID, ok bool, now time.Time) {
	d.attempts[id] = attempt{at: now, ok: ok}
	if ok {
		delete(d.failures, id)
		delete(d.reports, id)
		delete(d.agreed, id)
		return
	}
	f, known := d.failures[id]
	if !known || f.count == 0 {
		f.since = now
	}
	f.count++
	f.last = now
	d.failures[id] = f
}

// failing reports whether the latest exchange with a peer failed.
func (d *detector) failing(id state.MemberID) bool {
	_, ok := d.failures[id]
	return ok
}

// suspected reports whether this node takes a peer for gone.
func (d *detector) suspected(id state.MemberID, now time.Time) bool {
	f, ok := d.failures[id]
	return ok && f.count >= suspectProbes && now.Sub(f.since) >= d.intervals.SuspectAfter
}

// suspects returns the peers that this node takes for gone, in order.
func (d *detector) suspects(now time.Time) []state.MemberID {
	var ids []state.MemberID
	for _, id := range sortedIDs(d.failures) {
		if d.suspected(id, now) && len(ids) < maxSuspects {
			ids = append(ids, id)
		}
	}
	return ids
}

// dueProbe returns a failing peer whose next probe is due, the longest waiting
// first.
func (d *detector) dueProbe(now time.Time) (state.MemberID, bool) {
	var due state.MemberID
	var oldest time.Time
	for _, id := range sortedIDs(d.failures) {
		last := d.failures[id].last
		if now.Sub(last) < d.intervals.Probe {
			continue
		}
		if due == "" || last.Before(oldest) {
			due, oldest = id, last
		}
	}
	return due, due != ""
}

// report notes that a peer suspects others.
func (d *detector) report(by state.MemberID, suspects []state.MemberID, now time.Time) {
	for _, id := range suspects {
		if d.reports[id] == nil {
			d.reports[id] = map[state.MemberID]time.Time{}
		}
		d.reports[id][by] = now
	}
}

// watch makes a peer be probed though no exchange with it has failed here.
func (d *detector) watch(id state.MemberID) { d.failures[id] = failure{} }

// forget drops what is known about members that are no longer live.
func (d *detector) forget(live map[state.MemberID]state.Member) {
	dropAbsent(d.failures, live)
	dropAbsent(d.attempts, live)
	dropAbsent(d.reports, live)
	dropAbsent(d.agreed, live)
}

func dropAbsent[V any](set map[state.MemberID]V, live map[state.MemberID]state.Member) {
	for id := range set {
		if _, ok := live[id]; !ok {
			delete(set, id)
		}
	}
}

// gone returns when the conditions for removing a member of the own failure
// domain were first met, and whether they are met now.
func (d *detector) gone(id state.MemberID, domain []state.Member, now time.Time) (time.Time, bool) {
	if !d.suspected(id, now) || !d.reachesMajority(domain, now) || d.reporters(id, domain, now) < quorum(domain) {
		delete(d.agreed, id)
		return time.Time{}, false
	}
	if _, ok := d.agreed[id]; !ok {
		d.agreed[id] = now
	}
	return d.agreed[id], true
}

// quorum returns the number of members of a domain that must suspect one.
func quorum(domain []state.Member) int { return min(removalReporters, len(domain)-1) }

// reporters counts the members of a domain that suspect a peer, with self.
func (d *detector) reporters(id state.MemberID, domain []state.Member, now time.Time) int {
	n := 1
	for _, m := range domain {
		at, ok := d.reports[id][m.ID]
		if ok && m.ID != d.self.ID && m.ID != id && now.Sub(at) <= reportWindow {
			n++
		}
	}
	return n
}

// reachesMajority reports whether this node reached a majority of its failure
// domain lately. In a large domain a sample stands for the whole.
func (d *detector) reachesMajority(domain []state.Member, now time.Time) bool {
	tried, reached := 0, 0
	for _, m := range domain {
		a, ok := d.attempts[m.ID]
		if !ok || m.ID == d.self.ID || now.Sub(a.at) > reachWindow {
			continue
		}
		tried++
		if a.ok {
			reached++
		}
	}
	if len(domain)-1 <= reachSample {
		return 2*(reached+1) > len(domain)
	}
	return tried >= reachSample && 2*reached > tried
}
