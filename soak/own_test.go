package soak

import (
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

// runKey names one run of a request.
type runKey struct {
	id, instance string
	number       int64
}

// callKey names a request, or a nested call of it, such that all runs of it by nodes have
// the same key and each time that its caller sends it has another one.
type callKey struct {
	root, call string
	resent     int
}

func (h *history) recordResponse(r standin.Response) {
	r.Body = shortBody(r.Body)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses[runKey{r.ID, r.Instance, r.Run}] = r
}

// allSent returns the requests of callers; one that was sent again counts each time.
func (h *history) allSent() []*sentRequest {
	var all []*sentRequest
	for id, s := range h.sent {
		all = append(append(all, s), h.resent[id]...)
	}
	return all
}

// sentFor returns the request with an ID as it was last sent before a time.
func (h *history) sentFor(id string, at time.Time) *sentRequest {
	s := h.sent[id]
	for _, later := range h.resent[id] {
		if !later.At.After(at) {
			s = later
		}
	}
	return s
}

func isSuccess(s *sentRequest) bool { return s.Status/100 == 2 }

// checkOwn compares a response with the first response to the run that it names.
func (h *history) checkOwn(s *sentRequest, runs []run, report reportFunc) {
	m := s.ResponseMeta
	if s.EndedAt.IsZero() || s.Err != nil {
		return
	}
	if m.Second {
		report("second", "%s got the second response to run %d at %s, status %d", s.ID, m.Run, m.Instance, s.Status)
	}
	if isSuccess(s) && (s.Body != s.WantBody || m.ID != s.ID) {
		return // the check "whole" reports it
	}
	if m.ID != "" && m.ID != s.ID {
		report("own", "%s got the response to %s, status %d", s.ID, m.ID, s.Status)
	}
	if !m.Stamped {
		return
	}
	first, ok := h.responses[runKey{s.ID, m.Instance, m.Run}]
	switch {
	case !ok:
		report("own", "%s got status %d with the stamp of run %d at %s, which is none of its %d runs", s.ID, s.Status, m.Run, m.Instance, len(runs))
	case first.Status != s.Status:
		report("own", "%s got status %d with the stamp of run %d at %s, which was answered with %d", s.ID, s.Status, m.Run, m.Instance, first.Status)
	case isSuccess(s) && (!first.Whole || first.Body != s.Body):
		report("own", "%s got a success with the stamp of run %d at %s, whose response was broken off or another", s.ID, m.Run, m.Instance)
	}
}

// logCounts logs what a run of the fleet has covered.
func (f *fleet) logCounts(violations map[string][]string) {
	h := f.history
	var sent, answered, served, resent, replayed int
	for _, s := range h.allSent() {
		sent++
		if s.Err == nil && !s.EndedAt.IsZero() {
			answered++
		}
		if s.Status == http.StatusOK {
			served++
		}
		if s.connections > 1 {
			replayed++
		}
	}
	for _, again := range h.resent {
		resent += len(again)
	}
	f.t.Logf("%d of %d requests served, %d runs, version %d", served, sent, len(h.runs), f.version.Load())
	f.t.Logf("%d responses checked, wrong by check: own %d, whole %d, second %d", answered,
		len(violations["own"]), len(violations["whole"]), len(violations["second"]))
	f.t.Logf("%d requests sent again under their ID by callers, %d by net/http", resent, replayed)
	var same, other, sameID, closing, otherStatus int64
	for _, n := range f.nodes {
		c := n.instance.SecondCounts()
		same += c.SameConnection.Load()
		other += c.OtherConnection.Load()
		sameID += c.OtherConnectionSameID.Load()
		closing += c.Closing.Load()
		otherStatus += c.OtherStatus.Load()
	}
	f.t.Logf("second responses: %d on the same connection, %d on another one (%d of them where the same request was due), %d closing, %d of another status",
		same, other, sameID, closing, otherStatus)
	f.logRepeats()
}

// logRepeats logs how many requests were served by a later run although an instance had
// answered the first one with a failure, by who repeated them.
func (f *fleet) logRepeats() {
	h := f.history
	first := map[string]run{}
	for _, r := range h.runs { // in order of time
		if _, ok := first[r.ID]; !ok {
			first[r.ID] = r
		}
	}
	var byNode, brokenOff, byCaller int
	for _, s := range h.allSent() {
		r, ok := first[s.ID]
		if !ok || s.Err != nil || !isSuccess(s) || r.Instance == s.ResponseMeta.Instance && r.Number == s.ResponseMeta.Run {
			continue
		}
		response := h.responses[runKey{r.ID, r.Instance, r.Number}]
		switch {
		case response.Status < http.StatusInternalServerError:
		case h.sentFor(r.ID, r.At) != s:
			byCaller++
		case response.Whole:
			byNode++
		default:
			brokenOff++
		}
	}
	f.t.Logf("served by a later run, after the instance had failed the first: %d repeated by nodes, %d by nodes after a response that was broken off, %d by callers",
		byNode, brokenOff, byCaller)
}
