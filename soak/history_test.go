package soak

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

// Bounds checked by the soak, the same as those of the standard deployments.
const (
	drainPeriod      = 2 * time.Second
	configApply      = 2 * time.Second
	rollbackSlack    = 250 * time.Millisecond
	keyWithdrawal    = 5 * time.Second
	stableWindow     = 3 * time.Second
	quotaWindow      = 5 * time.Second
	quotaTolerance   = 0.1
	quotaSlack       = 20
	retryWindow      = 10 * time.Second
	retryRatio       = 0.2
	retrySlack       = 50
	recoveryTimeout  = 15 * time.Second
	recoveryFraction = 0.25
	// harnessSlack allows for delays of the harness, which shares the CPUs with
	// the daemons: a node may read a request some time after it was sent.
	harnessSlack = 500 * time.Millisecond
)

// sentRequest records a request and its response as the caller saw them.
type sentRequest struct {
	ID            string
	At            time.Time // when it was sent
	Node          int
	Boot          int // start number of the node's process
	Key           string
	Service       string // service of the request's route
	Route         string
	NonIdempotent bool
	WantBody      string
	// Version is the configuration version whose version-specific route was
	// requested, or zero for a route that every version has.
	Version int

	EndedAt      time.Time
	Status       int
	ResponseMeta standin.ResponseMeta
	Body         string
	Err          error
	// connections counts the connections on which net/http has tried to send it.
	connections int
	// ConnReused is set if an earlier request used the same connection.
	ConnReused bool
	// AfterClose is set if the response to an earlier pipelined request closed
	// the connection.
	AfterClose bool
}

// run records one execution of a request as its instance saw it.
type run struct {
	ID       string
	At       time.Time
	Node     int
	Instance string
	Number   int64 // at the instance
	Service  string
	Customer string
	Origin   string
	Key      string
}

// arrival records that a request reached an instance, which may have rejected it.
type arrival struct {
	id string
	at time.Time
}

// namedLimit records that an instance named a rate limit in its responses.
type namedLimit struct {
	instance  string
	perSecond float64
	interval
}

type interval struct{ from, to time.Time }

func (s interval) overlaps(from, to time.Time) bool { return !s.to.Before(from) && !s.from.After(to) }

// acknowledgedDrain records that a node acknowledged its instance's draining
// heartbeat.
type acknowledgedDrain struct {
	node       int
	at         time.Time
	replacedAt time.Time // zero if the instance was not replaced
}

// configChange records a configuration version written by the operator.
type configChange struct {
	version int
	at      time.Time
	keys    map[string]string // key -> customer
}

// history records what callers, instances and the operator observed during a run.
type history struct {
	mu             sync.Mutex
	sent           map[string]*sentRequest   // the first time that each ID was sent
	resent         map[string][]*sentRequest // the later times
	runs           []run
	responses      map[runKey]standin.Response
	repeatArrivals map[string][]time.Time // service -> arrivals after the first of each request
	firstArrivals  map[string][]time.Time // service -> first arrival of each request
	seenIDs        map[callKey]bool
	arrivals       map[string][]arrival // instance -> requests that arrived there
	limits         []namedLimit
	nodeArrivals   map[int][]time.Time // requests that arrived at the instance beside a node
	overloads      []overload
	evacuations    []evacuation
	outages        map[int][]interval // faults that keep a node, or for -1 any, from learning of changes
	drains         []acknowledgedDrain
	changes        []configChange
	fleetFaults    []interval         // faults of the store, of links or of instances
	nodeFaults     map[int][]interval // faults of a node's process, by node
	plannedStops   map[int][]interval // by node, from the signal until the process runs again
	rate           float64
	burst          float64
	services       []string // by node
	domains        []string // by node
}

func newHistory(services []string) *history {
	return &history{
		sent: map[string]*sentRequest{}, repeatArrivals: map[string][]time.Time{}, firstArrivals: map[string][]time.Time{},
		seenIDs: map[callKey]bool{}, resent: map[string][]*sentRequest{}, responses: map[runKey]standin.Response{}, arrivals: map[string][]arrival{},
		nodeArrivals: map[int][]time.Time{}, outages: map[int][]interval{},
		nodeFaults: map[int][]interval{}, plannedStops: map[int][]interval{}, services: services,
	}
}

func (h *history) recordSent(s *sentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sent[s.ID] == nil {
		h.sent[s.ID] = s
		return
	}
	h.resent[s.ID] = append(h.resent[s.ID], s)
}

// maxKeptBodyBytes bounds the bodies that a history keeps as they are.
const maxKeptBodyBytes = 1 << 10

// shortBody returns a body, or what tells a long one from any other: a run with uploads would
// keep gigabytes.
func shortBody(body string) string {
	if len(body) <= maxKeptBodyBytes {
		return body
	}
	return fmt.Sprintf("%s... (%d bytes, hash %x)", body[:maxKeptBodyBytes/8], len(body), sha256.Sum256([]byte(body)))
}

func (h *history) recordEnd(s *sentRequest, update func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	update()
	s.EndedAt = time.Now()
}

func (h *history) recordRun(r run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

func (h *history) recordArrival(id, service, instance string, node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodeArrivals[node] = append(h.nodeArrivals[node], time.Now())
	h.arrivals[instance] = append(h.arrivals[instance], arrival{id, time.Now()})
	root, call := standin.SplitID(id)
	key := callKey{root, call, len(h.resent[root])}
	if h.seenIDs[key] {
		h.repeatArrivals[service] = append(h.repeatArrivals[service], time.Now())
	} else {
		h.firstArrivals[service] = append(h.firstArrivals[service], time.Now())
	}
	h.seenIDs[key] = true
}

// check runs all checks and returns the violations by check name:
//
//   - once: a non-idempotent request ran at most once
//   - behind: a request pipelined after a response that closes the connection
//     did not run
//   - refused: a refused non-idempotent request did not run, and refusals carry
//     Retry-After
//   - whole: a success is the complete response to its own request
//   - own: a response with a stamp names a run of its own request, which was answered
//     with its status and, for a success, with its body and whole
//   - second: no response is a second response to a run
//   - hygiene: a run has the right customer and origin and no API key
//   - route: a run was at the service of its route
//   - revoked: no run with a key withdrawn more than keyWithdrawal before
//   - drain: a draining instance gets no new requests
//   - limit: an instance gets no more requests than the rate limit that it names
//     allows
//   - leaving: an instance that says in its responses that it leaves gets no new
//     requests from nodes that have passed on such a response
//   - cold: a cold instance gets no more in any second than it bears
//   - evacuated: nothing reaches an instance of an evacuated failure domain later than
//     allowed
//   - stop: a planned stop loses no response
//   - config: a version takes effect and is replaced within configApply
//   - back: a process does not go back to an older version
//   - rate: a customer's rate limit holds across the fleet
//   - budget: retries stay within the retry budget
func (h *history) check() map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := map[string][]string{}
	report := func(name, format string, args ...any) {
		violations[name] = append(violations[name], fmt.Sprintf(format, args...))
	}
	sort.Slice(h.runs, func(i, j int) bool { return h.runs[i].At.Before(h.runs[j].At) })
	byID := map[string][]run{}
	for _, r := range h.runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for _, s := range h.allSent() {
		h.checkResponse(s, byID[s.ID], report)
		h.checkOwn(s, byID[s.ID], report)
		h.checkPlannedStop(s, byID[s.ID], report)
	}
	for _, r := range h.runs {
		if s := h.sentFor(r.ID, r.At); s != nil {
			h.checkRun(s, r, report)
		}
		h.checkDrain(r, report)
	}
	h.checkConfigVersions(report)
	h.checkLimits(report)
	h.checkLeaving(report)
	h.checkCold(report)
	h.checkEvacuations(report)
	h.checkRate(report)
	h.checkRetries(report)
	return violations
}

type reportFunc func(name, format string, args ...any)

func (h *history) checkResponse(s *sentRequest, runs []run, report reportFunc) {
	if s.NonIdempotent && len(runs) > 1 {
		report("once", "%s ran %d times", s.ID, len(runs))
	}
	if s.AfterClose && len(runs) > 0 {
		report("behind", "%s ran although an earlier response closed its connection", s.ID)
	}
	if s.EndedAt.IsZero() || s.Err != nil {
		return
	}
	stamped := s.ResponseMeta.Stamped
	refused := s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests
	if s.NonIdempotent && refused && !stamped && len(runs) > 0 {
		report("refused", "%s was refused with status %d but ran", s.ID, s.Status)
	}
	if refused && !stamped && !s.ResponseMeta.RetryAfter {
		report("refused", "%s was refused with status %d without Retry-After", s.ID, s.Status)
	}
	if isSuccess(s) && (!stamped || s.Body != s.WantBody || s.ResponseMeta.ID != s.ID) {
		report("whole", "%s got body %q for request %s, want body %q", s.ID, s.Body, s.ResponseMeta.ID, s.WantBody)
	}
}

func (h *history) checkRun(s *sentRequest, r run, report reportFunc) {
	if r.Key != "" {
		report("hygiene", "%s: the instance received the API key", s.ID)
	}
	if want := h.customerOf(s.Key); s.Key != "" && r.Customer != want {
		report("hygiene", "%s ran for customer %q, but its key belongs to %q", s.ID, r.Customer, want)
	}
	if r.Origin != h.services[s.Node] {
		report("hygiene", "%s ran with origin %q, but entered at %q", s.ID, r.Origin, h.services[s.Node])
	}
	if r.Service != s.Service {
		report("route", "%s ran at service %q, but its route leads to %q", s.ID, r.Service, s.Service)
	}
	if withdrawnAt, ok := h.withdrawnAt(s.Key); ok && s.At.After(withdrawnAt.Add(keyWithdrawal)) {
		report("revoked", "%s ran with a key withdrawn %s before it was sent", s.ID, s.At.Sub(withdrawnAt))
	}
}

// customerOf returns the customer to which any version assigned the key.
func (h *history) customerOf(key string) string {
	for _, c := range h.changes {
		if name := c.keys[key]; name != "" {
			return name
		}
	}
	return ""
}

// withdrawnAt returns when a key was withdrawn, if the latest version lacks it.
func (h *history) withdrawnAt(key string) (time.Time, bool) {
	if key == "" {
		return time.Time{}, false
	}
	var at time.Time
	gone := false
	for _, c := range h.changes {
		_, inForce := c.keys[key]
		if !inForce && !gone {
			at = c.at
		}
		gone = !inForce
	}
	return at, gone
}

func (h *history) checkDrain(r run, report reportFunc) {
	s := h.sentFor(r.ID, r.At)
	for _, drain := range h.drains {
		if drain.node != r.Node || s == nil || s.At.Before(drain.at) || r.At.Before(drain.at.Add(drainPeriod)) {
			continue
		}
		if drain.replacedAt.IsZero() || r.At.Before(drain.replacedAt) {
			report("drain", "%s ran %s after the instance's drain was acknowledged", r.ID, r.At.Sub(drain.at))
		}
	}
}

// undisturbed reports whether no fault affected the node, from stableWindow
// before the interval until its end.
func (h *history) undisturbed(node int, from, to time.Time) bool {
	from = from.Add(-stableWindow)
	for _, f := range h.fleetFaults {
		if f.overlaps(from, to) {
			return false
		}
	}
	for _, spans := range []map[int][]interval{h.nodeFaults, h.plannedStops} {
		for _, f := range spans[node] {
			if f.overlaps(from, to) {
				return false
			}
		}
	}
	return true
}

// checkPlannedStop finds requests that a stopping node forwarded and never
// answered, or answered by a failure of its own before their deadline, while there was
// no other fault.
func (h *history) checkPlannedStop(s *sentRequest, runs []run, report reportFunc) {
	brokenOff := s.Err == nil && s.Status == http.StatusBadGateway && !s.ResponseMeta.Stamped && s.EndedAt.Sub(s.At) < callTimeout
	runs = slices.DeleteFunc(slices.Clone(runs), func(r run) bool { return h.sentFor(r.ID, r.At) != s })
	if s.Err == nil && !brokenOff || len(runs) == 0 || errors.Is(s.Err, errCallerLeft) {
		return
	}
	for _, stop := range h.plannedStops[s.Node] {
		if !stop.overlaps(s.At, s.EndedAt) || h.disturbed(s.At.Add(-stableWindow), s.EndedAt) {
			continue
		}
		report("stop", "%s ran but got no response of its instance (status %d, %v) during a planned stop", s.ID, s.Status, s.Err)
	}
}

// disturbed reports whether there was any fault other than planned stops.
func (h *history) disturbed(from, to time.Time) bool {
	for _, f := range h.fleetFaults {
		if f.overlaps(from, to) {
			return true
		}
	}
	for _, spans := range h.nodeFaults {
		for _, f := range spans {
			if f.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

// checkConfigVersions checks requests on version-specific routes.
func (h *history) checkConfigVersions(report reportFunc) {
	writtenAt := map[int]time.Time{}
	replacedAt := map[int]time.Time{}
	for i, c := range h.changes {
		writtenAt[c.version] = c.at
		if i > 0 {
			replacedAt[h.changes[i-1].version] = c.at
		}
	}
	type incarnation struct{ node, boot int }
	var probes []*sentRequest
	for _, s := range h.allSent() {
		if s.Version > 0 && s.Err == nil && !s.EndedAt.IsZero() {
			probes = append(probes, s)
		}
	}
	sort.Slice(probes, func(i, j int) bool { return probes[i].At.Before(probes[j].At) })
	newest := map[incarnation]*sentRequest{} // request that saw the highest version
	for _, s := range probes {
		served := s.Status == http.StatusOK
		replaced, superseded := replacedAt[s.Version]
		if served && superseded && s.At.After(replaced.Add(configApply+harnessSlack)) && h.undisturbed(s.Node, replaced, s.EndedAt) {
			report("config", "%s: version %d still served %s after it was replaced", s.ID, s.Version, s.At.Sub(replaced))
		}
		if s.Status == http.StatusNotFound && !superseded && s.At.After(writtenAt[s.Version].Add(configApply+harnessSlack)) &&
			h.undisturbed(s.Node, writtenAt[s.Version], s.EndedAt) {
			report("config", "%s: version %d is not in force %s after it was written", s.ID, s.Version, s.At.Sub(writtenAt[s.Version]))
		}
		process := incarnation{s.Node, s.Boot}
		if latest := newest[process]; served && latest != nil && latest.Version > s.Version && s.At.After(latest.EndedAt.Add(rollbackSlack)) {
			report("back", "%s: node %d served version %d %s after version %d", s.ID, s.Node, s.Version, s.At.Sub(latest.EndedAt), latest.Version)
		}
		if latest := newest[process]; served && (latest == nil || s.Version > latest.Version) {
			newest[process] = s
		}
	}
}
