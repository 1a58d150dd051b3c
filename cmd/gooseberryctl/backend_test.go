package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// fault is a failure injected into the next change.
type fault string

const (
	// faultLoseResponse applies the change but reports an unknown outcome.
	faultLoseResponse fault = "lose-answer"
	// faultReadOnly applies each change but reports an unknown outcome until it
	// is reset. Outcomes can still be read back.
	faultReadOnly fault = "read-only"
	// faultDropChange reports an unknown outcome without applying the change.
	faultDropChange fault = "drop-change"
	// faultCutConnection applies the change and closes the connection.
	faultCutConnection fault = "cut-connection"
	// faultConcurrentChange applies another operator's change first.
	faultConcurrentChange fault = "win-race"
	// faultRejectLater reports an unknown outcome for the next change without
	// applying it, and turns into faultReject.
	faultRejectLater fault = "refuse-late"
	// faultReject rejects every change without recording an outcome.
	faultReject fault = "refusing"
	// faultOutage makes every outcome unknown, also when it is read back.
	faultOutage fault = "outage"
)

// memoryBackend is an admin backend that keeps the state of a fleet in memory.
type memoryBackend struct {
	mu        sync.Mutex
	snapshot  *state.Snapshot
	outcomes  map[string]admin.SubmitResult
	nextFault fault
	// requestBodies holds the bodies of all requests.
	requestBodies bytes.Buffer
	// accepted counts the accepted changes.
	accepted int
}

func newMemoryBackend() *memoryBackend {
	self := state.Member{ID: "node-1", Service: "mapas", Domain: "evora-a", CallerAddr: "10.0.0.1:7400"}
	other := state.Member{ID: "node-2", Service: "avisos", Domain: "beja-a", CallerAddr: "10.0.0.2:7400"}
	s := &state.Snapshot{
		Offset:    7,
		Keys:      map[string]config.Key{"0000000000": {ID: "0000000000", Customer: "tennis"}},
		Withdrawn: map[string]bool{},
		Members:   map[state.MemberID]state.Member{self.ID: self, other.ID: other},
		Ended:     map[state.MemberID]bool{},
	}
	return &memoryBackend{snapshot: s.Index(), outcomes: map[string]admin.SubmitResult{}}
}

func (b *memoryBackend) setFault(f fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextFault = f
}

// takeFault returns the pending fault and resets it unless it is persistent.
func (b *memoryBackend) takeFault() fault {
	f := b.nextFault
	switch f {
	case faultOutage, faultReadOnly, faultReject:
	case faultRejectLater:
		b.nextFault = faultReject
	default:
		b.nextFault = ""
	}
	return f
}

func (b *memoryBackend) Snapshot() *state.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snapshot
}

// publish publishes a changed copy of the snapshot.
func (b *memoryBackend) publish(f func(s *state.Snapshot)) {
	s := *b.snapshot
	s.Keys = maps.Clone(s.Keys)
	s.Withdrawn = maps.Clone(s.Withdrawn)
	s.Members = maps.Clone(s.Members)
	s.Ended = maps.Clone(s.Ended)
	f(&s)
	b.snapshot = s.Index()
}

func (b *memoryBackend) Submit(_ context.Context, file []byte, base uint64, changeID string) admin.SubmitResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	unknown := admin.SubmitResult{Status: admin.SubmitUnknown, Reason: "the log did not answer"}
	switch f := b.takeFault(); f {
	case faultReject:
		return admin.SubmitResult{Status: admin.SubmitRejected, Version: b.snapshot.Version, Reason: "not written"}
	case faultOutage, faultDropChange, faultRejectLater:
		return unknown
	case faultConcurrentChange:
		b.decide([]byte(`failure_domains = ["rival"]`), b.snapshot.Version, "rival-change")
	case faultLoseResponse, faultReadOnly:
		b.decide(file, base, changeID)
		return unknown
	case faultCutConnection:
		b.decide(file, base, changeID)
		panic(http.ErrAbortHandler)
	}
	return b.decide(file, base, changeID)
}

func (b *memoryBackend) decide(file []byte, base uint64, changeID string) admin.SubmitResult {
	if r, known := b.outcomes[changeID]; known {
		return r
	}
	r := admin.SubmitResult{Status: admin.SubmitRejected, Version: b.snapshot.Version}
	parsed, err := config.Parse(file)
	switch {
	case err != nil:
		r.Reason = err.Error()
	case base != b.snapshot.Version:
		r.Reason = fmt.Sprintf("it is based on version %d, but version %d is in force", base, b.snapshot.Version)
	default:
		b.accepted++
		r = admin.SubmitResult{Status: admin.SubmitAccepted, Version: base + 1}
		b.publish(func(s *state.Snapshot) {
			s.Version, s.ChangeID, s.File, s.Config = r.Version, changeID, file, parsed
		})
	}
	b.outcomes[changeID] = r
	return r
}

func (b *memoryBackend) Outcome(_ context.Context, changeID string) admin.SubmitResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, known := b.outcomes[changeID]; known && b.nextFault != faultOutage {
		return r
	}
	return admin.SubmitResult{Status: admin.SubmitUnknown, Version: b.snapshot.Version, Reason: "no record of the change"}
}

// applyUnversioned applies a change that has no version and can't be rejected.
func (b *memoryBackend) applyUnversioned(f func(s *state.Snapshot)) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.takeFault()
	if pending == faultOutage {
		return streamlog.ErrOutcomeUnknown
	}
	b.publish(f)
	if pending == faultLoseResponse {
		return streamlog.ErrOutcomeUnknown
	}
	return nil
}

func (b *memoryBackend) IssueKey(_ context.Context, key config.Key) error {
	return b.applyUnversioned(func(s *state.Snapshot) { s.Keys[key.ID] = key })
}

func (b *memoryBackend) Withdraw(_ context.Context, keyID string) error {
	return b.applyUnversioned(func(s *state.Snapshot) { s.Withdrawn[keyID] = true })
}

func (b *memoryBackend) SetDraining(_ context.Context, id state.MemberID, draining bool) error {
	return b.applyUnversioned(func(s *state.Snapshot) {
		m := s.Members[id]
		m.Draining = draining
		s.Members[id] = m
	})
}

func (b *memoryBackend) Remove(_ context.Context, id state.MemberID) error {
	return b.applyUnversioned(func(s *state.Snapshot) {
		delete(s.Members, id)
		s.Ended[id] = true
	})
}

func (b *memoryBackend) Status() admin.Status {
	return admin.Status{Self: "node-1", LogNext: 9, LastReport: map[state.MemberID]admin.LastReport{}}
}

func (b *memoryBackend) Burn() report.Report {
	r := report.NewRecorder()
	now := time.Now()
	r.Observe("golf", "strike-map", true, time.Millisecond, now)
	r.Observe("golf", "strike-map", false, time.Millisecond, now)
	return r.Report(now, func(string) float64 { return 0.99 })
}

// recordBodies keeps the bodies of all requests.
func (b *memoryBackend) recordBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(err)
		}
		b.mu.Lock()
		b.requestBodies.Write(body)
		b.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
