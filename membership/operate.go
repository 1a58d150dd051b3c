package membership

import (
	"context"
	"errors"
	"fmt"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// Errors of operators' changes.
var (
	// ErrLocalOnly reports a change that is in force on this node only: neither
	// the log nor a peer took it.
	ErrLocalOnly = errors.New("in force on this node only")
	// ErrKeyExists reports a key ID that has been issued with other contents.
	ErrKeyExists = errors.New("key ID has been issued before")
	// ErrKeyWithdrawn reports a key ID that has been withdrawn.
	ErrKeyWithdrawn = errors.New("key ID has been withdrawn")
	// ErrNoMember reports an ID that no live member has.
	ErrNoMember = errors.New("no such member")
)

// appendTries is the number of times an append without answer is repeated.
const appendTries = 3

// acceptFanout is the number of peers that a node tells at once of what it
// accepts outside the log.
const acceptFanout = 8

// IssueKey appends a key and returns once it is in force here.
func (s *Service) IssueKey(ctx context.Context, key config.Key) error {
	snap := s.Snapshot()
	if snap.Withdrawn[key.ID] {
		return fmt.Errorf("issue key %s: %w", key.ID, ErrKeyWithdrawn)
	}
	if have, ok := snap.Keys[key.ID]; ok && have != key {
		return fmt.Errorf("issue key %s: %w", key.ID, ErrKeyExists)
	}
	record := state.KeysRecord{Keys: []state.IssuedKey{state.IssuedKey(key)}}
	if err := s.appendAndRead(ctx, record); err != nil {
		return fmt.Errorf("issue key %s: %w", key.ID, err)
	}
	if s.Snapshot().Keys[key.ID] != key {
		return fmt.Errorf("issue key %s: %w", key.ID, ErrKeyExists)
	}
	return nil
}

// Withdraw withdraws a key for good. It takes effect here at once and is passed
// on to peers; the log gets it now or when it is back.
func (s *Service) Withdraw(ctx context.Context, keyID string) error {
	record := state.WithdrawRecord{KeyIDs: []string{keyID}}
	if _, err := state.Encode(record); err != nil {
		return fmt.Errorf("withdraw key: %w", err)
	}
	if err := s.tell(ctx, state.Outside{Withdrawn: record.KeyIDs}, record); err != nil {
		return fmt.Errorf("withdraw key %s: %w", keyID, err)
	}
	return nil
}

// tell merges what an operator or this node says outside the log, passes it on
// to peers, and appends its record now or when the log is back. It fails only
// if neither a peer nor the log took it.
func (s *Service) tell(ctx context.Context, o state.Outside, r state.Record) error {
	s.merge(news{Outside: o})
	s.mu.Lock()
	s.duties.accepted = true
	s.mu.Unlock()
	told := s.spread(ctx, o, acceptFanout)
	if told > 0 {
		// Upkeep appends the record if the log does not answer soon.
		short, cancel := s.o.peerContext(ctx)
		defer cancel()
		ctx = short
	}
	err := s.appendAndRead(ctx, r)
	if err == nil || told > 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrLocalOnly, err)
}

// SetDraining starts or stops the draining of a member. A start takes effect
// here at once and is passed on to peers also while the log is away; a stop
// needs the log.
func (s *Service) SetDraining(ctx context.Context, id state.MemberID, draining bool) error {
	if _, ok := s.Snapshot().Members[id]; !ok {
		return fmt.Errorf("drain %s: %w", id, ErrNoMember)
	}
	record := state.DrainRecord{ID: id, Draining: draining}
	if err := s.setDraining(ctx, record); err != nil {
		return fmt.Errorf("drain %s: %w", id, err)
	}
	return nil
}

func (s *Service) setDraining(ctx context.Context, r state.DrainRecord) error {
	if !r.Draining {
		return s.appendAndRead(ctx, r)
	}
	return s.tell(ctx, state.Outside{Draining: []state.MemberID{r.ID}}, r)
}

// Remove ends an incarnation through the log. It fails while the log is away:
// a member that can still read the log must find its end there.
func (s *Service) Remove(ctx context.Context, id state.MemberID) error {
	record := state.EndRecord{ID: id, By: s.o.Self.ID, Reason: state.EndRemoved}
	if err := s.appendAndRead(ctx, record); err != nil {
		return fmt.Errorf("remove %s: %w", id, err)
	}
	return nil
}

// Resign ends this incarnation at a planned stop, after its last call. Peers
// are told at once; the log gets it now or from one of them later.
func (s *Service) Resign(ctx context.Context) error {
	self := s.o.Self.ID
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	record := state.EndRecord{ID: self, By: self, Reason: state.EndResigned}
	if err := s.tell(ctx, state.Outside{Resigned: []state.MemberID{self}}, record); err != nil {
		return fmt.Errorf("resign: %w", err)
	}
	return nil
}

// appendAndRead appends a record whose repetition does no harm, and reads the
// log up to it. Its error wraps streamlog.ErrOutcomeUnknown if the record may be
// in the log.
func (s *Service) appendAndRead(ctx context.Context, r state.Record) error {
	var err error
	written := false
	for range appendTries {
		_, err = s.append(ctx, r)
		written = written || err == nil || errors.Is(err, streamlog.ErrOutcomeUnknown)
		if !errors.Is(err, streamlog.ErrOutcomeUnknown) {
			break
		}
	}
	if err == nil {
		err = s.poll(ctx)
	}
	if err != nil && written && !errors.Is(err, streamlog.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", streamlog.ErrOutcomeUnknown, err)
	}
	return err
}
