package membership

import (
	"context"
	"errors"
	"fmt"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// SubmitOutcome is the outcome of a submitted change.
type SubmitOutcome uint8

// The outcomes of Submit.
const (
	// SubmitAccepted means that the file became a version of the configuration.
	SubmitAccepted SubmitOutcome = iota + 1
	// SubmitRejected means that this change has not put the file in force and
	// never will.
	SubmitRejected
	// SubmitUnknown means that the file may have come, or may yet come, into
	// force. Submitting it again under the same change ID is safe.
	SubmitUnknown
)

// String returns the outcome's name.
func (o SubmitOutcome) String() string {
	switch o {
	case SubmitAccepted:
		return "accepted"
	case SubmitRejected:
		return "rejected"
	case SubmitUnknown:
		return "unknown"
	}
	return "invalid"
}

// SubmitResult is the result of Submit and Outcome.
type SubmitResult struct {
	Outcome SubmitOutcome
	// Version is the number of the accepted configuration.
	Version uint64
	// Reason says why the change was rejected or why its outcome is unknown.
	Reason string
}

func rejectedResult(reason string) SubmitResult {
	return SubmitResult{Outcome: SubmitRejected, Reason: reason}
}

func unknownResult(err error) SubmitResult {
	return SubmitResult{Outcome: SubmitUnknown, Reason: err.Error()}
}

// Submit proposes a complete operators' file based on a version. The change ID
// identifies the change if it is submitted again after an unknown outcome.
func (s *Service) Submit(ctx context.Context, file []byte, base uint64, changeID string) SubmitResult {
	record := state.ConfigRecord{ChangeID: changeID, Base: base, File: file}
	if _, err := state.Encode(record); err != nil {
		return rejectedResult(err.Error())
	}
	if _, err := s.opts.Parse(file); err != nil {
		return rejectedResult("invalid file: " + err.Error())
	}
	if result, done := s.decideWithoutAppend(ctx, record); done {
		return result
	}
	return s.appendConfig(ctx, record)
}

// decideWithoutAppend returns the result of a change that needs no append, because
// it has been decided already or is not based on the version in force.
func (s *Service) decideWithoutAppend(ctx context.Context, r state.ConfigRecord) (SubmitResult, bool) {
	if err := s.poll(ctx); err != nil {
		// An earlier attempt under this ID may have reached the log.
		return unknownResult(fmt.Errorf("log cannot be read: %w", err)), true
	}
	if d, ok := s.decision(r.ChangeID); ok {
		return decisionResult(d), true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fold.VersionKnown() {
		return unknownResult(errors.New("this node does not know the version in force yet")), true
	}
	if v := s.fold.Version(); v != r.Base {
		return rejectedResult(fmt.Sprintf("it is based on version %d, but version %d is in force", r.Base, v)), true
	}
	return SubmitResult{}, false
}

// appendConfig appends a change until the log holds a decision on it. A first
// append that arrives after the second one is harmless, since at most one of them
// can be based on the version in force.
func (s *Service) appendConfig(ctx context.Context, r state.ConfigRecord) SubmitResult {
	var lastErr error
	written := false
	for range maxAppendAttempts {
		_, lastErr = s.append(ctx, r)
		written = written || lastErr == nil || errors.Is(lastErr, streamlog.ErrOutcomeUnknown)
		if !written {
			return rejectedResult("not written: " + lastErr.Error())
		}
		if err := s.poll(ctx); err != nil {
			return unknownResult(errors.Join(lastErr, fmt.Errorf("log cannot be read back: %w", err)))
		}
		if d, ok := s.decision(r.ChangeID); ok {
			return decisionResult(d)
		}
	}
	return unknownResult(errors.Join(errors.New("the log holds no decision on the change"), lastErr))
}

func (s *Service) decision(changeID string) (state.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Decision(changeID)
}

func decisionResult(d state.Decision) SubmitResult {
	if d.Accepted() {
		return SubmitResult{Outcome: SubmitAccepted, Version: d.Version}
	}
	return rejectedResult(d.Reason)
}

// Outcome reads the log up to its head and returns the decision on a change. The
// outcome is SubmitUnknown if the log holds no decision or cannot be read.
func (s *Service) Outcome(ctx context.Context, changeID string) SubmitResult {
	if err := s.poll(ctx); err != nil {
		return unknownResult(fmt.Errorf("log cannot be read: %w", err))
	}
	d, ok := s.decision(changeID)
	if !ok {
		return unknownResult(errors.New("the log holds no such change"))
	}
	return decisionResult(d)
}
