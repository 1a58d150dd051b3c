package routing

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// memoryRetention is how long a report of an instance whose node is no longer a
// member is kept.
const memoryRetention = 5 * time.Minute

// knownReport is what an instance has said of itself and when.
type knownReport struct {
	kernel.InstanceReport
	at time.Time
}

// nodeMemory is what this node was told of the instance beside another node. It
// outlives the process of that node, whose successor may not have heard from the
// instance yet.
type nodeMemory struct {
	report atomic.Pointer[knownReport] // nil: nothing to tell
}

// record updates the memory with the result of a call to the node. A result without a
// report ends a rate limit only if the instance has answered; that an instance leaves
// holds for its incarnation.
func (m *nodeMemory) record(r *kernel.Result, now time.Time) {
	known := m.report.Load()
	if r.Load != nil && r.Load.Report != nil {
		report := *r.Load.Report
		// The results of concurrent calls may cross.
		report.Leaving = report.Leaving || known != nil && known.Leaving && known.Incarnation.Same(report.Incarnation)
		m.report.Store(&knownReport{InstanceReport: report, at: now.Add(-report.Age)})
		return
	}
	if known == nil || r.Outcome != kernel.OutcomeAnswered || known.RateLimit == 0 {
		return
	}
	if !known.Leaving {
		m.report.Store(nil)
		return
	}
	leaving := *known
	leaving.RateLimit = 0
	m.report.Store(&leaving)
}

// tell returns the call with what is known of the owner's instance.
func (m *nodeMemory) tell(c *kernel.Call, now time.Time) *kernel.Call {
	known := m.report.Load()
	if known == nil {
		return c
	}
	report := known.InstanceReport
	report.Age = max(now.Sub(known.at), 0)
	told := *c
	told.Known = &report
	return &told
}

// leaving reports whether the instance beside a member has said that it shuts down.
func (m *nodeMemory) leaving(member state.Member) bool {
	known := m.report.Load()
	if known == nil || !known.Leaving {
		return false
	}
	if known.Incarnation.StartedMS == 0 && member.Instance.StartedMS > known.at.UnixMilli() {
		return false
	}
	return member.Instance.ID == "" || member.Instance.Same(known.Incarnation)
}

// memories holds the memory of each node by its name. It is not safe for concurrent
// use.
type memories map[string]*nodeMemory

func (ms memories) of(id state.MemberID) *nodeMemory {
	name := id.NodeName()
	m := ms[name]
	if m == nil {
		m = &nodeMemory{}
		ms[name] = m
	}
	return m
}

// expire removes the memories of nodes that are not members, unless they hold a
// report within memoryRetention.
func (ms memories) expire(members map[state.MemberID]state.Member, now time.Time) {
	present := make(map[string]bool, len(members))
	for id := range members {
		present[id.NodeName()] = true
	}
	for name, m := range ms {
		known := m.report.Load()
		if !present[name] && (known == nil || now.Sub(known.at) > memoryRetention) {
			delete(ms, name)
		}
	}
}
