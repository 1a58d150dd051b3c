package routing

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// memoryRetention is how long after a report the next process of its node is told of
// it.
const memoryRetention = 5 * time.Minute

// knownReport is what an instance has said of itself and when.
type knownReport struct {
	kernel.InstanceReport
	at time.Time
}

// nodeMemory is what this node was told of the instance beside another node. It
// outlives the process of that node, whose successor may not have heard from the
// instance yet. A nil memory holds nothing.
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

// load returns the report, or nil if there is nothing to tell.
func (m *nodeMemory) load() *knownReport {
	if m == nil {
		return nil
	}
	return m.report.Load()
}

// tell returns the call with what is known of the owner's instance.
func (m *nodeMemory) tell(c *kernel.Call, now time.Time) *kernel.Call {
	known := m.load()
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
	known := m.load()
	if known == nil || !known.Leaving {
		return false
	}
	if known.Incarnation.StartedMS == 0 && member.Instance.StartedMS > known.at.UnixMilli() {
		return false
	}
	return member.Instance.ID == "" || member.Instance.Same(known.Incarnation)
}

// memories holds the memories of nodes by name, for those whose instances have
// reported. It is not safe for concurrent use.
type memories map[string]*nodeMemory

// add returns the memory of a node, which is created if there is none.
func (ms memories) add(id state.MemberID) *nodeMemory {
	name := id.NodeName()
	m := ms[name]
	if m == nil {
		m = &nodeMemory{}
		ms[name] = m
	}
	return m
}

// expire removes memories without a report within memoryRetention.
func (ms memories) expire(now time.Time) {
	for name, m := range ms {
		if known := m.load(); known == nil || now.Sub(known.at) > memoryRetention {
			delete(ms, name)
		}
	}
}
