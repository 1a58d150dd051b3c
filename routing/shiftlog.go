package routing

import (
	"expvar"
	"log/slog"
	"time"
)

// shiftLogInterval is the least time between two logged shifts of one service.
const shiftLogInterval = 10 * time.Second

// shiftLog is what has been logged of a service's shifts. It is used by Tick only.
type shiftLog struct {
	active   bool // at the latest tick
	logged   bool // the shift that is active has been logged
	beganAt  time.Time
	loggedAt time.Time
	movedTo  int64 // calls moved when the shift began
	skipped  int   // shifts that have not been logged since the latest line
}

// update logs that a shift has begun or ended.
func (l *shiftLog) update(now time.Time, service string, s *shift, log *slog.Logger) {
	active := s.active(now)
	if active == l.active {
		return
	}
	l.active = active
	if active {
		l.begin(now, service, s, log)
		return
	}
	if l.logged {
		log.Info("shift to other failure domains ends", "service", service, "moved", s.moved.Load()-l.movedTo,
			"took_ms", now.Sub(l.beganAt).Milliseconds())
	}
}

func (l *shiftLog) begin(now time.Time, service string, s *shift, log *slog.Logger) {
	l.logged = now.Sub(l.loggedAt) >= shiftLogInterval
	if !l.logged {
		l.skipped++
		return
	}
	l.beganAt, l.loggedAt, l.movedTo = now, now, s.moved.Load()
	log.Info("shift to other failure domains begins", "service", service, "call_ms", s.meanCallTime().Milliseconds(),
		"not_logged", l.skipped)
	l.skipped = 0
}

// Tick logs shifts of calls to other failure domains.
func (p *Plugin) Tick(now time.Time) {
	for service, g := range p.current().groups {
		g.shift.log.update(now, service, g.shift, p.host.Log)
	}
}

// publish publishes the metrics of shifts.
func (p *Plugin) publish() {
	p.host.PublishMetric("shifted_calls_total", expvar.Func(func() any {
		moved := map[string]int64{}
		for service, g := range p.current().groups {
			if n := g.shift.moved.Load(); n > 0 {
				moved[service] = n
			}
		}
		return moved
	}))
	p.host.PublishMetric("shifting_services", expvar.Func(func() any {
		n, now := 0, p.host.Now()
		for _, g := range p.current().groups {
			if g.shift.active(now) {
				n++
			}
		}
		return n
	}))
}
