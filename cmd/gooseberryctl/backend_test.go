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

// fault is a failure that the next change meets.
type fault string

const (
	// loseAnswer makes the change and reports an unknown outcome.
	loseAnswer fault = "lose-answer"
	// readOnly makes one change and reports every outcome as unknown from
	// then on, while changes can still be read back.
	readOnly fault = "read-only"
	// dropChange reports an unknown outcome without making the change.
	dropChange fault = "drop-change"
	// cutConnection makes the change and cuts the connection.
	cutConnection fault = "cut-connection"
	// winRace lets another operator's change come first.
	winRace fault = "win-race"
	// refuseLate answers the next change as unknown and the ones after it as
	// rejected without a judgement.
	refuseLate fault = "refuse-late"
	refusing   fault = "refusing"
	// outage makes every change and every reading back unknown.
	outage fault = "outage"
)

// memoryBackend keeps the state of a fleet in memory.
type memoryBackend struct {
	mu       sync.Mutex
	snapshot *state.Snapshot
	outcomes map[string]admin.SubmitResult
	next     fault
	// bodies holds every request body received.
	bodies bytes.Buffer
	// submits counts the changes that took effect.
	submits int
}

func newMemoryBackend() *memoryBackend {
	self := state.Member{ID: "node-1", Service: "mapas", Domain: "evora-a", CallerAddr: "10.0.0.1:7400"}
	ended := state.Member{ID: "node-2", Service: "avisos", Domain: "beja-a", CallerAddr: "10.0.0.2:7400"}
	s := &state.Snapshot{
		Offset:    7,
		Keys:      map[string]config.Key{"0000000000": {ID: "0000000000", Customer: "tennis"}},
		Withdrawn: map[string]bool{},
		Members:   map[state.MemberID]state.Member{self.ID: self, ended.ID: ended},
		Ended:     map[state.MemberID]bool{},
	}
	return &memoryBackend{snapshot: s.Index(), outcomes: map[string]admin.SubmitResult{}}
}

func (b *memoryBackend) setFault(f fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = f
}

// take returns the pending fault and ends it, unless it lasts.
func (b *memoryBackend) take() fault {
	f := b.next
	switch f {
	case outage, readOnly, refusing:
	case refuseLate:
		b.next = refusing
	default:
		b.next = ""
	}
	return f
}

func (b *memoryBackend) Snapshot() *state.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snapshot
}

// update publishes a changed copy of the snapshot.
func (b *memoryBackend) update(f func(s *state.Snapshot)) {
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
	switch f := b.take(); f {
	case refusing:
		return admin.SubmitResult{Status: admin.SubmitRejected, Version: b.snapshot.Version, Reason: "not written"}
	case outage, dropChange, refuseLate:
		return unknown
	case winRace:
		b.judge([]byte(`failure_domains = ["rival"]`), b.snapshot.Version, "rival-change")
	case loseAnswer, readOnly:
		b.judge(file, base, changeID)
		return unknown
	case cutConnection:
		b.judge(file, base, changeID)
		panic(http.ErrAbortHandler)
	}
	return b.judge(file, base, changeID)
}

func (b *memoryBackend) judge(file []byte, base uint64, changeID string) admin.SubmitResult {
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
		b.submits++
		r = admin.SubmitResult{Status: admin.SubmitAccepted, Version: base + 1}
		b.update(func(s *state.Snapshot) {
			s.Version, s.ChangeID, s.File, s.Config = r.Version, changeID, file, parsed
		})
	}
	b.outcomes[changeID] = r
	return r
}

func (b *memoryBackend) Outcome(_ context.Context, changeID string) admin.SubmitResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, known := b.outcomes[changeID]; known && b.next != outage {
		return r
	}
	return admin.SubmitResult{Status: admin.SubmitUnknown, Version: b.snapshot.Version, Reason: "no record of the change"}
}

// changed makes a change that has no judgement.
func (b *memoryBackend) changed(f func(s *state.Snapshot)) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.take()
	if next == outage {
		return streamlog.ErrOutcomeUnknown
	}
	b.update(f)
	if next == loseAnswer {
		return streamlog.ErrOutcomeUnknown
	}
	return nil
}

func (b *memoryBackend) IssueKey(_ context.Context, key config.Key) error {
	return b.changed(func(s *state.Snapshot) { s.Keys[key.ID] = key })
}

func (b *memoryBackend) Withdraw(_ context.Context, keyID string) error {
	return b.changed(func(s *state.Snapshot) { s.Withdrawn[keyID] = true })
}

func (b *memoryBackend) SetDraining(_ context.Context, id state.MemberID, draining bool) error {
	return b.changed(func(s *state.Snapshot) {
		m := s.Members[id]
		m.Draining = draining
		s.Members[id] = m
	})
}

func (b *memoryBackend) Remove(_ context.Context, id state.MemberID) error {
	return b.changed(func(s *state.Snapshot) {
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

// record keeps the bodies of all requests.
func (b *memoryBackend) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(err)
		}
		b.mu.Lock()
		b.bodies.Write(body)
		b.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
