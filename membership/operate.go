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
	// the log nor a peer accepted it.
	ErrLocalOnly = errors.New("in force on this node only")
	// ErrKeyExists reports a key ID that has been issued for a different key.
	ErrKeyExists = errors.New("key ID has been issued before")
	// ErrKeyWithdrawn reports a key ID that has been withdrawn.
	ErrKeyWithdrawn = errors.New("key ID has been withdrawn")
	// ErrNoMember reports an ID that belongs to no live member.
	ErrNoMember = errors.New("no such member")
)

// maxAppendAttempts bounds the attempts of an append whose outcome is unknown.
const maxAppendAttempts = 3

// originFanout is the number of peers to which a node sends an item that it
// accepts outside the log.
const originFanout = 8

// IssueKey appends a key and returns once the key is in force on this node. The
// error wraps ErrKeyExists or ErrKeyWithdrawn if the ID can't be issued.
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

// Withdraw withdraws a key permanently. The withdrawal takes effect on this node
// immediately and is sent to peers; it is appended to the log now or once the log
// is available again. The error wraps ErrLocalOnly if neither the log nor a peer
// accepted it.
func (s *Service) Withdraw(ctx context.Context, keyID string) error {
	record := state.WithdrawRecord{KeyIDs: []string{keyID}}
	if _, err := state.Encode(record); err != nil {
		return fmt.Errorf("withdraw key: %w", err)
	}
	if err := s.submitUnlogged(ctx, state.Unlogged{Withdrawn: record.KeyIDs}, record); err != nil {
		return fmt.Errorf("withdraw key %s: %w", keyID, err)
	}
	return nil
}

// submitUnlogged applies items, sends them to peers, and appends their record now
// or once the log is available again. It fails only if neither a peer nor the log
// accepted them.
func (s *Service) submitUnlogged(ctx context.Context, unlogged state.Unlogged, record state.Record) error {
	s.mergeUpdate(update{Unlogged: unlogged})
	s.mu.Lock()
	s.maintenance.appendOwed = true
	s.mu.Unlock()
	acknowledged := s.pushUnlogged(ctx, unlogged, originFanout)
	if acknowledged > 0 {
		// Maintenance appends the record if the log does not respond in time.
		peerCtx, cancel := s.opts.peerContext(ctx)
		defer cancel()
		ctx = peerCtx
	}
	err := s.appendAndRead(ctx, record)
	if err == nil || acknowledged > 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrLocalOnly, err)
}

// SetDraining starts or stops the draining of a member. A start takes effect on
// this node immediately and is sent to peers even while the log is unavailable; a
// stop requires the log. The error wraps ErrNoMember if the ID is not live.
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
	return s.submitUnlogged(ctx, state.Unlogged{Draining: []state.MemberID{r.ID}}, r)
}

// Remove ends an incarnation through the log. It fails while the log is
// unavailable, since a member that can still read the log must find its end there.
func (s *Service) Remove(ctx context.Context, id state.MemberID) error {
	record := state.EndRecord{ID: id, By: s.opts.Self.ID, Reason: state.EndRemoved}
	if err := s.appendAndRead(ctx, record); err != nil {
		return fmt.Errorf("remove %s: %w", id, err)
	}
	return nil
}

// Resign ends this incarnation at a planned stop, after its last call. The
// resignation is sent to peers immediately; it is appended to the log now, or
// later by one of the peers.
func (s *Service) Resign(ctx context.Context) error {
	self := s.opts.Self.ID
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	record := state.EndRecord{ID: self, By: self, Reason: state.EndResigned}
	if err := s.submitUnlogged(ctx, state.Unlogged{Resigned: []state.MemberID{self}}, record); err != nil {
		return fmt.Errorf("resign: %w", err)
	}
	return nil
}

// appendAndRead appends an idempotent record and reads the log up to it. The
// error wraps streamlog.ErrOutcomeUnknown if the record may be in the log.
func (s *Service) appendAndRead(ctx context.Context, r state.Record) error {
	var err error
	written := false
	for range maxAppendAttempts {
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
