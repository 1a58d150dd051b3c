package graph

import (
	"expvar"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// followWorkTime refuses the calls that wait too long at an instance that has become
// slow. Another instance beside the node has not reported a work time yet. p.mu is held.
func (p *Plugin) followWorkTime(now time.Time, self state.Member) {
	if !self.Instance.Same(p.instance) {
		p.gate.ForgetWorkTime()
	}
	p.instance = self.Instance
	p.refusedLate += p.gate.RefuseLate(now)
}

// publish publishes the metrics of the work time.
func (p *Plugin) publish() {
	p.host.PublishMetric("instance_work_time", expvar.Func(func() any {
		w := p.reportedWorkTime()
		return map[string]float64{"now": w.Now, "mean": w.Mean}
	}))
	p.host.PublishMetric("late_waiting_calls_refused_total", expvar.Func(func() any {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.refusedLate
	}))
}

func (p *Plugin) reportedWorkTime() kernel.WorkTime {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.workTime.report(p.host.Now())
}
