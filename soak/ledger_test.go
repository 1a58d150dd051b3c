package soak

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

// Bounds that the fleet of the soak has to keep; those of the standard
// deployments.
const (
	drainPeriod   = 2 * time.Second
	configApply   = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
	keyWithdrawal = 5 * time.Second
	stableWindow  = 3 * time.Second
	quotaWindow   = 5 * time.Second
	quotaOver     = 0.1
	quotaSlack    = 20
	retryWindow   = 10 * time.Second
	retryRatio    = 0.2
	retrySlack    = 50
	recoveryTime  = 15 * time.Second
	recoveryPart  = 0.25
	// busySlack is for the harness itself, which shares the processors with
	// what it measures: a request may be sent some time before it is read.
	busySlack = 500 * time.Millisecond
)

// sent is a request as its caller knows it, with the answer.
type sent struct {
	ID      string
	At      time.Time
	Node    int
	Boot    int // incarnation of the node
	Key     string
	Service string // that the route leads to
	Route   string
	Once    bool // not idempotent
	Want    string
	// Version is that of the configuration whose own route was asked for; zero
	// for the lasting routes.
	Version int

	Ended        time.Time
	Status       int
	ResponseMeta standin.ResponseMeta
	Body         string
	Err          error
	// Kept is set when the request went over a connection that had been used.
	Kept bool
	// Behind is set when the answer to a request before it on its connection
	// closed the connection.
	Behind bool
}

// run is a run as its instance knows it.
type run struct {
	ID       string
	At       time.Time
	Node     int
	Service  string
	Customer string
	Origin   string
	Key      string
}

type span struct{ from, to time.Time }

func (s span) touches(from, to time.Time) bool { return !s.to.Before(from) && !s.from.After(to) }

// leave is an acknowledged word of an instance that it leaves.
type leave struct {
	node     int
	at       time.Time
	replaced time.Time // zero if it never was
}

// change is a configuration as the operator knows it.
type change struct {
	version int
	at      time.Time
	keys    map[string]string // key -> customer
}

// ledger is what callers, instances and the operator have seen.
type ledger struct {
	mu       sync.Mutex
	sent     map[string]*sent
	runs     []run
	arrivals map[string][]time.Time // service -> beyond the first of each request
	firsts   map[string][]time.Time // service -> the first of each request
	arrived  map[string]bool
	leaves   []leave
	changes  []change
	faults   []span         // on all nodes or the store
	hurt     map[int][]span // on one node
	stops    map[int][]span // planned stops, from the signal to the end
	rate     float64
	burst    float64
	services []string // by node
}

func newLedger(services []string) *ledger {
	return &ledger{
		sent: map[string]*sent{}, arrivals: map[string][]time.Time{}, firsts: map[string][]time.Time{},
		arrived: map[string]bool{},
		hurt:    map[int][]span{}, stops: map[int][]span{}, services: services,
	}
}

func (l *ledger) begin(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[s.ID] = s
}

func (l *ledger) end(s *sent, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	s.Ended = time.Now()
}

func (l *ledger) ran(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) arrive(id, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrived[id] {
		l.arrivals[service] = append(l.arrivals[service], time.Now())
	} else {
		l.firsts[service] = append(l.firsts[service], time.Now())
	}
	l.arrived[id] = true
}

// check returns what was broken, by the name of the check.
func (l *ledger) check() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := map[string][]string{}
	report := func(name, format string, args ...any) {
		found[name] = append(found[name], fmt.Sprintf(format, args...))
	}
	sort.Slice(l.runs, func(i, j int) bool { return l.runs[i].At.Before(l.runs[j].At) })
	byID := map[string][]run{}
	for _, r := range l.runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for id, s := range l.sent {
		l.checkAnswer(s, byID[id], report)
		l.checkPlannedStop(s, byID[id], report)
	}
	for _, r := range l.runs {
		if s := l.sent[r.ID]; s != nil {
			l.checkRun(s, r, report)
		}
		l.checkLeave(r, report)
	}
	l.checkVersions(report)
	l.checkRate(report)
	l.checkRetries(report)
	return found
}

type reporter func(name, format string, args ...any)

func (l *ledger) checkAnswer(s *sent, runs []run, report reporter) {
	if s.Once && len(runs) > 1 {
		report("once", "%s ran %d times", s.ID, len(runs))
	}
	if s.Behind && len(runs) > 0 {
		report("behind", "%s ran behind an answer that closed its connection", s.ID)
	}
	if s.Ended.IsZero() || s.Err != nil {
		return
	}
	stamped := s.ResponseMeta.Stamped
	refused := s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests
	if s.Once && refused && !stamped && len(runs) > 0 {
		report("refused", "%s was refused with %d and ran", s.ID, s.Status)
	}
	if refused && !stamped && !s.ResponseMeta.RetryAfter {
		report("refused", "%s was refused with %d without a time to come back", s.ID, s.Status)
	}
	if s.Status == http.StatusOK && (!stamped || s.Body != s.Want || s.ResponseMeta.ID != s.ID) {
		report("whole", "%s got %q as %s, want %q", s.ID, s.Body, s.ResponseMeta.ID, s.Want)
	}
}

func (l *ledger) checkRun(s *sent, r run, report reporter) {
	if r.Key != "" {
		report("hygiene", "%s: the instance got the key", s.ID)
	}
	if want := l.customer(s.Key); s.Key != "" && r.Customer != want {
		report("hygiene", "%s ran for %q, its key is of %q", s.ID, r.Customer, want)
	}
	if r.Origin != l.services[s.Node] {
		report("hygiene", "%s ran with origin %q, it began at %q", s.ID, r.Origin, l.services[s.Node])
	}
	if r.Service != s.Service {
		report("route", "%s ran at %q, its route leads to %q", s.ID, r.Service, s.Service)
	}
	if withdrawn, ok := l.withdrawn(s.Key); ok && s.At.After(withdrawn.Add(keyWithdrawal)) {
		report("revoked", "%s ran with a key withdrawn %s before it was sent", s.ID, s.At.Sub(withdrawn))
	}
}

// customer returns who held a key, by any configuration.
func (l *ledger) customer(key string) string {
	for _, c := range l.changes {
		if name := c.keys[key]; name != "" {
			return name
		}
	}
	return ""
}

// withdrawn returns when a key was taken away for good.
func (l *ledger) withdrawn(key string) (time.Time, bool) {
	if key == "" {
		return time.Time{}, false
	}
	var at time.Time
	gone := false
	for _, c := range l.changes {
		_, has := c.keys[key]
		if !has && !gone {
			at = c.at
		}
		gone = !has
	}
	return at, gone
}

func (l *ledger) checkLeave(r run, report reporter) {
	s := l.sent[r.ID]
	for _, leave := range l.leaves {
		if leave.node != r.Node || s == nil || s.At.Before(leave.at) || r.At.Before(leave.at.Add(drainPeriod)) {
			continue
		}
		if leave.replaced.IsZero() || r.At.Before(leave.replaced) {
			report("drain", "%s ran %s after the instance's leave was acknowledged", r.ID, r.At.Sub(leave.at))
		}
	}
}

// calm reports whether a node was in touch, with the whole fleet, for the
// stable window before and all the while.
func (l *ledger) calm(node int, from, to time.Time) bool {
	from = from.Add(-stableWindow)
	for _, f := range l.faults {
		if f.touches(from, to) {
			return false
		}
	}
	for _, spans := range []map[int][]span{l.hurt, l.stops} {
		for _, f := range spans[node] {
			if f.touches(from, to) {
				return false
			}
		}
	}
	return true
}

// checkPlannedStop finds requests that were read by a stopping node, passed on
// and never answered, without any other fault around.
func (l *ledger) checkPlannedStop(s *sent, runs []run, report reporter) {
	if s.Err == nil || len(runs) == 0 || errors.Is(s.Err, errLeft) {
		return
	}
	for _, stop := range l.stops[s.Node] {
		if !stop.touches(s.At, s.Ended) || l.harmed(s.At.Add(-stableWindow), s.Ended) {
			continue
		}
		report("stop", "%s ran and got no answer (%v) around a planned stop", s.ID, s.Err)
	}
}

// harmed reports whether there was any fault but planned stops.
func (l *ledger) harmed(from, to time.Time) bool {
	for _, f := range l.faults {
		if f.touches(from, to) {
			return true
		}
	}
	for _, spans := range l.hurt {
		for _, f := range spans {
			if f.touches(from, to) {
				return true
			}
		}
	}
	return false
}

// checkVersions looks at requests on routes that only one version has.
func (l *ledger) checkVersions(report reporter) {
	confirmed := map[int]time.Time{}
	next := map[int]time.Time{} // version -> when it was replaced
	for i, c := range l.changes {
		confirmed[c.version] = c.at
		if i > 0 {
			next[l.changes[i-1].version] = c.at
		}
	}
	type place struct{ node, boot int }
	var probes []*sent
	for _, s := range l.sent {
		if s.Version > 0 && s.Err == nil && !s.Ended.IsZero() {
			probes = append(probes, s)
		}
	}
	sort.Slice(probes, func(i, j int) bool { return probes[i].At.Before(probes[j].At) })
	newest := map[place]*sent{} // the highest version whose effect was seen
	for _, s := range probes {
		served := s.Status == http.StatusOK
		replaced, old := next[s.Version]
		if served && old && s.At.After(replaced.Add(configApply+busySlack)) && l.calm(s.Node, replaced, s.Ended) {
			report("config", "%s: version %d served %s after it was replaced", s.ID, s.Version, s.At.Sub(replaced))
		}
		if s.Status == http.StatusNotFound && !old && s.At.After(confirmed[s.Version].Add(configApply+busySlack)) &&
			l.calm(s.Node, confirmed[s.Version], s.Ended) {
			report("config", "%s: version %d not in force %s after its confirmation", s.ID, s.Version, s.At.Sub(confirmed[s.Version]))
		}
		p := place{s.Node, s.Boot}
		if n := newest[p]; served && n != nil && n.Version > s.Version && s.At.After(n.Ended.Add(rollbackSlack)) {
			report("back", "%s: node %d served version %d %s after version %d", s.ID, s.Node, s.Version, s.At.Sub(n.Ended), n.Version)
		}
		if n := newest[p]; served && (n == nil || s.Version > n.Version) {
			newest[p] = s
		}
	}
}

// most returns the most of some sorted times in any span.
func most(times []time.Time, length time.Duration) int {
	found, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > length {
			first++
		}
		found = max(found, i-first+1)
	}
	return found
}

// checkRate counts runs by the time at which they were sent, as a request is
// within the rate of that moment.
func (l *ledger) checkRate(report reporter) {
	times := map[string][]time.Time{}
	for _, r := range l.runs {
		if s := l.sent[r.ID]; s != nil && s.Key != "" {
			times[r.Customer] = append(times[r.Customer], r.At)
		}
	}
	limit := (l.rate*quotaWindow.Seconds()+l.burst)*(1+quotaOver) + quotaSlack
	for customer, at := range times {
		if got := most(at, quotaWindow); float64(got) > limit {
			report("rate", "%d requests of %q ran in %s, allowed %g", got, customer, quotaWindow, limit)
		}
	}
}

// checkRetries compares the arrivals beyond the first of each request with the
// requests for the service: those that callers sent, or, where instances call it
// too, those that arrived.
func (l *ledger) checkRetries(report reporter) {
	requests := map[string][]time.Time{}
	for _, s := range l.sent {
		requests[s.Service] = append(requests[s.Service], s.At)
	}
	for service, repeats := range l.arrivals {
		for i, at := range repeats {
			n := count(repeats[:i+1], at)
			asked := max(count(requests[service], at), count(l.firsts[service], at))
			if allowed := retryRatio*float64(asked) + retrySlack; float64(n) > allowed {
				report("budget", "%d repeats at %q in %s, allowed %g", n, service, retryWindow, allowed)
				break
			}
		}
	}
}

// count returns how many of some times are in the retry window before at.
func count(times []time.Time, at time.Time) int {
	n := 0
	for _, t := range times {
		if !t.After(at) && at.Sub(t) <= retryWindow {
			n++
		}
	}
	return n
}
