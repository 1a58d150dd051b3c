package experiment

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// recoveredRatio is the part of the calm goodput that counts as recovered.
	recoveredRatio = 0.95
	// recoveryWindow is the width of the windows for the recovery time.
	recoveryWindow = 500 * time.Millisecond
)

// Goodput counts root requests and those answered whole in time.
type Goodput struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
}

// Ratio returns Good/Offered; 1 when nothing was offered.
func (g Goodput) Ratio() float64 {
	if g.Offered == 0 {
		return 1
	}
	return float64(g.Good) / float64(g.Offered)
}

func (g *Goodput) add(good bool) {
	g.Offered++
	if good {
		g.Good++
	}
}

// PhaseReport is the goodput during one phase.
type PhaseReport struct {
	Name       string             `json:"name"`
	Total      Goodput            `json:"total"`
	ByPriority map[string]Goodput `json:"by_priority"`
	// Completed counts the whole answers given while the phase lasted.
	Completed int `json:"completed"`
	// Capacity is the number of whole requests that the graph could have
	// answered in the phase, limited by the deep service.
	Capacity float64 `json:"capacity"`
	// OfCapacity is Completed over Capacity.
	OfCapacity float64 `json:"of_capacity"`
	// WorstCustomer is the lowest ratio of good to offered over customers.
	WorstCustomer float64 `json:"worst_customer"`
	// WorstOfFairShare is the lowest ratio of good to the smaller of offered
	// and the customer's max-min fair share of the capacity.
	WorstOfFairShare float64 `json:"worst_of_fair_share"`
	// Failures counts requests without a whole answer by priority and by the
	// reason of the last attempt.
	Failures map[string]map[string]int `json:"failures,omitempty"`
}

// Report is the outcome of one run of one chain.
type Report struct {
	Chain  string        `json:"chain"`
	Phases []PhaseReport `json:"phases"`
	// RecoverySeconds is the time after the surge's end until the goodput
	// ratio stays at 95% of the calm one; -1 if it did not within the run.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// AttemptsPerRequest is the callers' mean number of attempts.
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	// RefusedWithinRate counts requests that ended in a refusal although all
	// their attempts were within the customer's rate.
	RefusedWithinRate int `json:"refused_within_rate"`
	// WrongfulRateRefusals counts attempts refused for the rate that a
	// perfect central token bucket would have admitted, of RateAttempts.
	WrongfulRateRefusals int `json:"wrongful_rate_refusals"`
	Attempts             int `json:"attempts"`
	// Duplicates counts repeated runs of non-idempotent work.
	Duplicates int `json:"duplicates"`
}

// summarize computes the report from the samples.
func summarize(d Deployment, phases []Phase, samples []sample) Report {
	var r Report
	start := time.Duration(0)
	for i, p := range phases {
		report := phaseReport(d, p, of(samples, i))
		report.Completed = completed(samples, start, start+p.For)
		if report.Capacity > 0 {
			report.OfCapacity = float64(report.Completed) / report.Capacity
		}
		r.Phases = append(r.Phases, report)
		start += p.For
	}
	for _, s := range samples {
		r.Attempts += s.attempts
		r.WrongfulRateRefusals += s.wrongful
		if !s.good && s.refusedWithinRate {
			r.RefusedWithinRate++
		}
	}
	r.AttemptsPerRequest = float64(r.Attempts) / float64(max(len(samples), 1))
	r.RecoverySeconds = recovery(phases, samples)
	return r
}

func of(samples []sample, phase int) []sample {
	var list []sample
	for _, s := range samples {
		if s.phase == phase {
			list = append(list, s)
		}
	}
	return list
}

func phaseReport(d Deployment, p Phase, samples []sample) PhaseReport {
	r := PhaseReport{Name: p.Name, ByPriority: make(map[string]Goodput), WorstCustomer: 1, Failures: make(map[string]map[string]int)}
	byCustomer := make(map[string]*Goodput)
	for _, s := range samples {
		r.Total.add(s.good)
		g := r.ByPriority[s.priority.String()]
		g.add(s.good)
		r.ByPriority[s.priority.String()] = g
		if !s.good {
			r.fail(s.priority.String(), s.lastReason)
		}
		if byCustomer[s.customer] == nil {
			byCustomer[s.customer] = &Goodput{}
		}
		byCustomer[s.customer].add(s.good)
	}
	for _, g := range byCustomer {
		r.WorstCustomer = min(r.WorstCustomer, g.Ratio())
	}
	r.Capacity = capacity(d, p, samples)
	r.WorstOfFairShare = worstOfFairShare(byCustomer, r.Capacity)
	return r
}

// worstOfFairShare splits the capacity max-min fairly: those who want least are
// served first, and what they leave is split among the rest.
func worstOfFairShare(customers map[string]*Goodput, capacity float64) float64 {
	list := slices.SortedFunc(maps.Values(customers), func(a, b *Goodput) int { return a.Offered - b.Offered })
	worst := 1.0
	for i, g := range list {
		share := min(float64(g.Offered), capacity/float64(len(list)-i))
		capacity -= share
		worst = min(worst, float64(g.Good)/max(share, 1))
	}
	return worst
}

func (r *PhaseReport) fail(priority, reason string) {
	if r.Failures[priority] == nil {
		r.Failures[priority] = make(map[string]int)
	}
	r.Failures[priority][reason]++
}

// completed counts the whole answers given from one time to another.
func completed(samples []sample, from, to time.Duration) int {
	n := 0
	for _, s := range samples {
		end := s.at + s.took
		if s.good && end >= from && end < to {
			n++
		}
	}
	return n
}

// recovery returns the seconds from the end of the surge (the phase before the
// last) to the first window from which on every window of arrivals is good.
func recovery(phases []Phase, samples []sample) float64 {
	last := len(phases) - 1
	target := recoveredRatio * ratio(of(samples, 0))
	start := time.Duration(0)
	for _, p := range phases[:last] {
		start += p.For
	}
	windows := make([]Goodput, int(phases[last].For/recoveryWindow))
	for _, s := range of(samples, last) {
		i := int((s.at - start) / recoveryWindow)
		if i < len(windows) {
			windows[i].add(s.good)
		}
	}
	from := len(windows)
	for from > 0 && windows[from-1].Ratio() >= target {
		from--
	}
	if from == len(windows) {
		return -1
	}
	return (time.Duration(from) * recoveryWindow).Seconds()
}

func ratio(samples []sample) float64 {
	var g Goodput
	for _, s := range samples {
		g.add(s.good)
	}
	return g.Ratio()
}

// capacity bounds the whole requests of a phase by the deep service: requests
// that don't visit it all count, the others as far as its slots reach.
func capacity(d Deployment, p Phase, samples []sample) float64 {
	perSecond := 0.0
	for _, s := range d.Services {
		if s.Name == d.Deep {
			perSecond = float64(s.Instances*s.Slots) / (s.Operations[0].MeanServiceTime.Seconds() * p.Slow)
		}
	}
	free := 0
	deep := 0
	visits := 0
	for _, s := range samples {
		route := d.route(s.kind.Route)
		v := d.visits(route.Service, route.Path)
		if v == 0 {
			free++
			continue
		}
		deep++
		visits += v
	}
	if visits == 0 {
		return float64(free)
	}
	perRequest := float64(visits) / float64(deep)
	return float64(free) + min(float64(deep), perSecond*p.For.Seconds()/perRequest)
}

// visits returns how many calls of a whole answer's tree reach the deep service.
func (d *Deployment) visits(service, path string) int {
	n := 0
	if service == d.Deep {
		n = 1
	}
	for _, s := range d.Services {
		if s.Name == service {
			n += d.childVisits(s, path)
		}
	}
	return n
}

func (d *Deployment) childVisits(s Service, path string) int {
	n := 0
	for _, w := range s.Operations {
		if !strings.HasPrefix(path, w.Prefix) {
			continue
		}
		for _, child := range w.NestedCalls {
			_, target, _ := strings.Cut(child, " /")
			next, rest, _ := strings.Cut(target, "/")
			n += d.visits(next, "/"+rest)
		}
		return n
	}
	return n
}

// Top returns the goodput of the most important priority.
func (r PhaseReport) Top() Goodput { return r.ByPriority[config.PriorityCritical.String()] }
