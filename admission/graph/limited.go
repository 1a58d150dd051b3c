package graph

import (
	"expvar"
	"log/slog"
	"maps"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// limitedFraction is the admitted fraction of its requests below which a customer
	// counts as limited. Smaller reductions come and go with the noise of the
	// measurement.
	limitedFraction = 0.9
	// limitedHold is how long a customer must not have been limited before that is
	// logged.
	limitedHold = 3 * time.Second
	// limitedLogInterval is the time between two log lines about limited customers,
	// maxLoggedCustomers the number of customers that each list of a line names.
	limitedLogInterval = time.Second
	maxLoggedCustomers = 8
	// maxLimited bounds the limited customers that are remembered.
	maxLimited = 64
)

type customerAtService struct{ customer, service string }

// limitation is the latest limitation of a customer at a service.
type limitation struct {
	at       time.Time
	fraction float64
}

// limitedCustomers remembers which customers are limited at which services, for logs and
// metrics. The zero value is empty.
type limitedCustomers struct {
	latest       map[customerAtService]limitation
	began, ended []string
	notLogged    int
	loggedAt     time.Time
	// refusals counts the requests refused because their customer was beyond its
	// share.
	refusals int64
}

func (l *limitedCustomers) add(k customerAtService, fraction float64, now time.Time) {
	if _, known := l.latest[k]; !known {
		if len(l.latest) >= maxLimited {
			return
		}
		if l.latest == nil {
			l.latest = map[customerAtService]limitation{}
		}
		l.began = l.note(l.began, k)
	}
	l.latest[k] = limitation{now, fraction}
}

func (l *limitedCustomers) note(list []string, k customerAtService) []string {
	if len(list) >= maxLoggedCustomers {
		l.notLogged++
		return list
	}
	return append(list, k.customer+" at "+k.service)
}

// expire removes customers that are no longer limited.
func (l *limitedCustomers) expire(now time.Time) {
	maps.DeleteFunc(l.latest, func(k customerAtService, latest limitation) bool {
		if now.Sub(latest.at) <= limitedHold {
			return false
		}
		l.ended = l.note(l.ended, k)
		return true
	})
}

// log writes at most one line per limitedLogInterval.
func (l *limitedCustomers) log(log *slog.Logger, now time.Time) {
	if len(l.began)+len(l.ended) == 0 || now.Sub(l.loggedAt) < limitedLogInterval {
		return
	}
	log.Info("customers limited to their share", "began", l.began, "ended", l.ended, "not_logged", l.notLogged, "limited", len(l.latest))
	l.began, l.ended, l.notLogged, l.loggedAt = nil, nil, 0, now
}

// updateFairness ends the tick's shares and returns the reports of demand that are due.
// p.mu is held.
func (p *Plugin) updateFairness(s *state.Snapshot, now time.Time) []outgoingReport {
	f := p.fair
	for service, shares := range f.shares {
		shares.Each(func(customer string, fraction float64) {
			if fraction >= limitedFraction {
				return
			}
			if offered, _ := f.meter.Rates(customer, now); offered > 0 {
				f.limited.add(customerAtService{customer, service}, fraction, now)
			}
		})
	}
	f.limited.expire(now)
	f.limited.log(p.host.Log, now)
	clear(f.shares)
	clear(p.serviceLevels)
	f.meter.Advance(now)
	if p.ticks%expireTicks == 0 {
		f.expire(now)
	}
	return p.dueReports(s, now)
}

// limitedMetric is a limited customer at a service in the metrics.
type limitedMetric struct {
	Fraction          float64 `json:"fraction"`
	OfferedPerSecond  float64 `json:"offered_per_s"`
	AdmittedPerSecond float64 `json:"admitted_per_s"`
}

// limitedMetrics returns the limited customers by service and name.
func (p *Plugin) limitedMetrics() map[string]map[string]limitedMetric {
	now := p.host.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]map[string]limitedMetric{}
	for k, latest := range p.fair.limited.latest {
		if out[k.service] == nil {
			out[k.service] = map[string]limitedMetric{}
		}
		offered, admitted := p.fair.meter.Rates(k.customer, now)
		out[k.service][k.customer] = limitedMetric{latest.fraction, offered, admitted}
	}
	return out
}

// publishShareMetrics publishes the metrics of customers' shares.
func (p *Plugin) publishShareMetrics(publish func(name string, v expvar.Var)) {
	publish("customers_limited", expvar.Func(func() any { return p.limitedMetrics() }))
	publish("fair_share_refusals_total", expvar.Func(func() any {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.fair.limited.refusals
	}))
}
