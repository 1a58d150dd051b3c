package experiment

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

const (
	// recoveredRatio is the fraction of the goodput ratio before the surge at
	// which the fleet counts as recovered.
	recoveredRatio = 0.95
	// recoveryWindow is the length of the windows in which recovery is checked.
	recoveryWindow = 500 * time.Millisecond
)

// Goodput counts root requests and those of them that succeeded.
type Goodput struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
}

// Ratio returns Good/Offered, or 1 if nothing was offered.
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
	// Completed counts the successful responses received during the phase.
	Completed int `json:"completed"`
	// Capacity is the number of requests that could have succeeded in the phase,
	// limited by the bottleneck.
	Capacity float64 `json:"capacity"`
	// OfCapacity is Completed divided by Capacity.
	OfCapacity float64 `json:"of_capacity"`
	// WorstCustomer is the lowest goodput ratio of a customer.
	WorstCustomer float64 `json:"worst_customer"`
	// WorstOfFairShare is the lowest ratio, over all customers, of successful
	// requests to the max-min fair share of the capacity.
	WorstOfFairShare float64 `json:"worst_of_fair_share"`
	// Failures counts failed requests by priority and by the reason of the last
	// attempt.
	Failures map[string]map[string]int `json:"failures,omitempty"`
}

// Report is the result of one run of one chain.
type Report struct {
	Chain  string        `json:"chain"`
	Phases []PhaseReport `json:"phases"`
	// RecoverySeconds is the time from the end of the surge until the goodput ratio
	// stays at or above 95% of the ratio before the surge; -1 if that is not reached
	// within the run.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// AttemptsPerRequest is the mean number of attempts per request.
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	// RefusedWithinRate counts requests whose last attempt was refused although
	// all attempts were within the customer's rate.
	RefusedWithinRate int `json:"refused_within_rate"`
	// WrongfulRateRefusals counts attempts refused for the rate limit that an
	// ideal central token bucket would have admitted, out of Attempts.
	WrongfulRateRefusals int `json:"wrongful_rate_refusals"`
	Attempts             int `json:"attempts"`
	// Duplicates counts repeated executions of non-idempotent requests.
	Duplicates int `json:"duplicates"`
}

// summarize computes the report from the samples.
func summarize(d Deployment, phases []Phase, samples []sample) Report {
	var r Report
	start := time.Duration(0)
	for i, p := range phases {
		report := phaseReport(d, p, inPhase(samples, i))
		report.Completed = countCompleted(samples, start, start+p.Length)
		if report.Capacity > 0 {
			report.OfCapacity = float64(report.Completed) / report.Capacity
		}
		r.Phases = append(r.Phases, report)
		start += p.Length
	}
	for _, s := range samples {
		r.Attempts += s.attempts
		r.WrongfulRateRefusals += s.wrongfulRefusals
		if !s.succeeded && s.refusedWithinRate {
			r.RefusedWithinRate++
		}
	}
	r.AttemptsPerRequest = float64(r.Attempts) / float64(max(len(samples), 1))
	r.RecoverySeconds = recoverySeconds(phases, samples)
	return r
}

func inPhase(samples []sample, phase int) []sample {
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
		r.Total.add(s.succeeded)
		g := r.ByPriority[s.priority.String()]
		g.add(s.succeeded)
		r.ByPriority[s.priority.String()] = g
		if !s.succeeded {
			r.countFailure(s.priority.String(), s.lastReason)
		}
		if byCustomer[s.customer] == nil {
			byCustomer[s.customer] = &Goodput{}
		}
		byCustomer[s.customer].add(s.succeeded)
	}
	for _, g := range byCustomer {
		r.WorstCustomer = min(r.WorstCustomer, g.Ratio())
	}
	r.Capacity = requestCapacity(d, p, samples)
	r.WorstOfFairShare = worstOfFairShare(byCustomer, r.Capacity)
	return r
}

// worstOfFairShare divides the capacity max-min fairly: in ascending order of
// demand, each customer gets at most an equal part of the remaining capacity. It
// returns the lowest ratio of successful requests to that share.
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

func (r *PhaseReport) countFailure(priority, reason string) {
	if r.Failures[priority] == nil {
		r.Failures[priority] = make(map[string]int)
	}
	r.Failures[priority][reason]++
}

// countCompleted counts the successful responses received between two times.
func countCompleted(samples []sample, from, to time.Duration) int {
	n := 0
	for _, s := range samples {
		end := s.at + s.latency
		if s.succeeded && end >= from && end < to {
			n++
		}
	}
	return n
}

// recoverySeconds returns the seconds from the end of the surge, which is the
// phase before the last, to the first window of arrivals from which on every
// window has recovered; -1 if there is none.
func recoverySeconds(phases []Phase, samples []sample) float64 {
	last := len(phases) - 1
	target := recoveredRatio * successRatio(inPhase(samples, 0))
	start := time.Duration(0)
	for _, p := range phases[:last] {
		start += p.Length
	}
	windows := make([]Goodput, int(phases[last].Length/recoveryWindow))
	for _, s := range inPhase(samples, last) {
		i := int((s.at - start) / recoveryWindow)
		if i < len(windows) {
			windows[i].add(s.succeeded)
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

func successRatio(samples []sample) float64 {
	var g Goodput
	for _, s := range samples {
		g.add(s.succeeded)
	}
	return g.Ratio()
}

// requestCapacity returns how many requests of a phase could have succeeded:
// all that don't call the bottleneck, and others as far as its slots allow.
func requestCapacity(d Deployment, p Phase, samples []sample) float64 {
	callsPerSecond := 0.0
	for _, s := range d.Services {
		if s.Name == d.Bottleneck {
			callsPerSecond = float64(s.Instances*s.Slots) / (s.Operations[0].MeanServiceTime.Seconds() * p.Slowdown)
		}
	}
	unaffected := 0
	affected := 0
	bottleneckCalls := 0
	for _, s := range samples {
		route := d.route(s.request.Route)
		n := d.bottleneckCalls(route.Service, route.Path)
		if n == 0 {
			unaffected++
			continue
		}
		affected++
		bottleneckCalls += n
	}
	if bottleneckCalls == 0 {
		return float64(unaffected)
	}
	callsPerRequest := float64(bottleneckCalls) / float64(affected)
	return float64(unaffected) + min(float64(affected), callsPerSecond*p.Length.Seconds()/callsPerRequest)
}

// bottleneckCalls returns the number of calls to the bottleneck in the call tree
// of a request.
func (d *Deployment) bottleneckCalls(service, path string) int {
	n := 0
	if service == d.Bottleneck {
		n = 1
	}
	for _, s := range d.Services {
		if s.Name == service {
			n += d.nestedBottleneckCalls(s, path)
		}
	}
	return n
}

func (d *Deployment) nestedBottleneckCalls(s Service, path string) int {
	n := 0
	for _, w := range s.Operations {
		if !strings.HasPrefix(path, w.Prefix) {
			continue
		}
		for _, call := range w.NestedCalls {
			_, target, _ := strings.Cut(call, " /")
			next, rest, _ := strings.Cut(target, "/")
			n += d.bottleneckCalls(next, "/"+rest)
		}
		return n
	}
	return n
}

// CriticalGoodput returns the goodput of requests with priority critical.
func (r PhaseReport) CriticalGoodput() Goodput { return r.ByPriority[config.PriorityCritical.String()] }
