package membership

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// minSuspectFailures is the number of consecutive failed exchanges after
	// which a peer may be suspected.
	minSuspectFailures = 4
	// maxRemovalQuorum is the number of nodes of a failure domain that must
	// suspect a member before one of them removes it. In a smaller domain, all
	// other nodes must suspect it.
	maxRemovalQuorum = 3
	// reportLifetime is how long a reported suspicion counts.
	reportLifetime = 2 * time.Minute
	// reachabilityWindow is how long an exchange counts as evidence of
	// reachability.
	reachabilityWindow = time.Minute
	// minReachabilitySample is the number of peers in a large failure domain
	// that must have been contacted to judge whether a majority is reachable.
	minReachabilitySample = 8
	// maxSuspects bounds the suspicions in a digest.
	maxSuspects = 16
)

// failureRun is a series of consecutive failed exchanges with a peer.
type failureRun struct {
	since time.Time
	last  time.Time
	count int
}

// attempt is the latest exchange with a peer.
type attempt struct {
	at time.Time
	ok bool
}

// detector is the failure detector: it decides which members have failed for
// good. It does no I/O and takes the time as a parameter.
type detector struct {
	self      state.Member
	intervals Intervals
	failures  map[state.MemberID]failureRun
	attempts  map[state.MemberID]attempt
	// reports maps a suspect to the members that suspect it, with the time of
	// their latest report.
	reports map[state.MemberID]map[state.MemberID]time.Time
	// removableSince is when the conditions for a removal were first met.
	removableSince map[state.MemberID]time.Time
}

func newDetector(self state.Member, intervals Intervals) *detector {
	return &detector{
		self:           self,
		intervals:      intervals,
		failures:       map[state.MemberID]failureRun{},
		attempts:       map[state.MemberID]attempt{},
		reports:        map[state.MemberID]map[state.MemberID]time.Time{},
		removableSince: map[state.MemberID]time.Time{},
	}
}

// observe records the outcome of an exchange with a peer.
func (d *detector) observe(id state.MemberID, ok bool, now time.Time) {
	d.attempts[id] = attempt{at: now, ok: ok}
	if ok {
		delete(d.failures, id)
		delete(d.reports, id)
		delete(d.removableSince, id)
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

// suspected reports whether this node suspects that a peer has failed.
func (d *detector) suspected(id state.MemberID, now time.Time) bool {
	f, ok := d.failures[id]
	return ok && f.count >= minSuspectFailures && now.Sub(f.since) >= d.intervals.SuspectAfter
}

// suspects returns the peers that this node suspects, ordered by ID.
func (d *detector) suspects(now time.Time) []state.MemberID {
	var ids []state.MemberID
	for _, id := range sortedIDs(d.failures) {
		if d.suspected(id, now) && len(ids) < maxSuspects {
			ids = append(ids, id)
		}
	}
	return ids
}

// dueProbe returns the failing peer whose probe is due and has waited longest.
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

// recordReports records the members that a peer suspects.
func (d *detector) recordReports(reporter state.MemberID, suspects []state.MemberID, now time.Time) {
	for _, id := range suspects {
		if d.reports[id] == nil {
			d.reports[id] = map[state.MemberID]time.Time{}
		}
		d.reports[id][reporter] = now
	}
}

// startProbing schedules probes of a peer although no exchange with it has failed
// at this node.
func (d *detector) startProbing(id state.MemberID) { d.failures[id] = failureRun{} }

// retainLive drops everything known about members that are no longer live.
func (d *detector) retainLive(live map[state.MemberID]state.Member) {
	dropAbsent(d.failures, live)
	dropAbsent(d.attempts, live)
	dropAbsent(d.reports, live)
	dropAbsent(d.removableSince, live)
}

func dropAbsent[V any](set map[state.MemberID]V, live map[state.MemberID]state.Member) {
	for id := range set {
		if _, ok := live[id]; !ok {
			delete(set, id)
		}
	}
}

// removable returns when the conditions for removing a member of this node's
// failure domain were first met, and whether they are met now.
func (d *detector) removable(id state.MemberID, domain []state.Member, now time.Time) (time.Time, bool) {
	if !d.suspected(id, now) || !d.reachesMajority(domain, now) || d.countReporters(id, domain, now) < removalQuorum(domain) {
		delete(d.removableSince, id)
		return time.Time{}, false
	}
	if _, ok := d.removableSince[id]; !ok {
		d.removableSince[id] = now
	}
	return d.removableSince[id], true
}

// removalQuorum returns the number of members of a domain that must suspect a
// member before it is removed.
func removalQuorum(domain []state.Member) int { return min(maxRemovalQuorum, len(domain)-1) }

// countReporters counts the members of a domain that suspect a peer, including
// this node.
func (d *detector) countReporters(id state.MemberID, domain []state.Member, now time.Time) int {
	n := 1
	for _, m := range domain {
		at, ok := d.reports[id][m.ID]
		if ok && m.ID != d.self.ID && m.ID != id && now.Sub(at) <= reportLifetime {
			n++
		}
	}
	return n
}

// reachesMajority reports whether this node has recently reached a majority of
// its failure domain. In a large domain, a sample is sufficient.
func (d *detector) reachesMajority(domain []state.Member, now time.Time) bool {
	tried, reached := 0, 0
	for _, m := range domain {
		a, ok := d.attempts[m.ID]
		if !ok || m.ID == d.self.ID || now.Sub(a.at) > reachabilityWindow {
			continue
		}
		tried++
		if a.ok {
			reached++
		}
	}
	if len(domain)-1 <= minReachabilitySample {
		return 2*(reached+1) > len(domain)
	}
	return tried >= minReachabilitySample && 2*reached > tried
}
