package state

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// maxEvents bounds Snapshot.Events.
const maxEvents = 512

// ErrGap reports a record beyond the first offset that has not been applied.
var ErrGap = errors.New("record does not follow the applied prefix")

// Fold applies the records of the log in order and builds the snapshot. The state
// from the log is a pure function of the applied prefix. Items that peers sent
// outside the log are kept separately and merged into the snapshot. A Fold is not
// safe for concurrent use.
type Fold struct {
	parse    Parse
	logState logState
	cfg      *config.Config
	// withdrawn, resigned and draining hold the items that are not in the applied
	// prefix yet; see Unlogged.
	withdrawn  map[string]bool
	resigned   map[MemberID]bool
	draining   map[MemberID]bool
	events     []RosterEvent
	eventSeq   uint64
	logContact time.Time
	snapshot   *Snapshot
	dirty      bool
}

// NewFold returns a Fold that has applied no records.
func NewFold(parse Parse) *Fold {
	return &Fold{
		parse:     parse,
		logState:  newLogState(),
		withdrawn: map[string]bool{},
		resigned:  map[MemberID]bool{},
		draining:  map[MemberID]bool{},
		dirty:     true,
	}
}

// Offset returns the first offset that has not been applied.
func (f *Fold) Offset() uint64 { return f.logState.Offset }

// Version returns the version of the configuration in force.
func (f *Fold) Version() uint64 { return f.logState.Version }

// LastHash returns the hash of the record at Offset-1; zero means none.
func (f *Fold) LastHash() uint64 { return f.logState.LastHash }

// VersionKnown reports whether the version in force is known, so that
// configurations can be decided. It is false after a start in mid-log or after a
// gap, until a refresh.
func (f *Fold) VersionKnown() bool { return f.logState.VersionKnown }

// Decision returns the decision on a change, if it is still stored.
func (f *Fold) Decision(changeID string) (Decision, bool) { return f.logState.decision(changeID) }

// Apply applies the record at an offset. It returns the record, or nil if it
// cannot be decoded; the error says why the record is void, if it is. An offset
// below Offset is allowed after a rollback of the log: the record is applied and
// Offset stays. An offset beyond Offset gives ErrGap and has no effect; see
// SkipTo.
func (f *Fold) Apply(offset uint64, data []byte, now time.Time) (Record, error) {
	if offset > f.logState.Offset {
		return nil, fmt.Errorf("%w: offset %d, applied up to %d", ErrGap, offset, f.logState.Offset)
	}
	rec, err := Decode(data)
	if err == nil {
		err = f.applyRecord(offset, rec, now)
	}
	f.logState.advance(offset, data)
	return rec, err
}

func (f *Fold) applyRecord(offset uint64, rec Record, now time.Time) error {
	switch r := rec.(type) {
	case ConfigRecord:
		cfg, err := f.logState.applyConfig(offset, r, f.parse)
		f.setConfig(cfg)
		return err
	case RefreshRecord:
		cfg, err := f.logState.applyRefresh(r, f.parse)
		f.setConfig(cfg)
		return err
	case KeysRecord:
		f.dirty = true
		return f.logState.issueKeys(r)
	case WithdrawRecord:
		f.dirty = true
		f.logState.withdrawKeys(r)
		f.dropLoggedWithdrawals(r.KeyIDs)
		return nil
	case AnnounceRecord:
		before := f.logState.Members[r.Member.ID]
		changes, err := f.logState.applyAnnouncement(offset, r)
		f.dirty = f.dirty || f.logState.Members[r.Member.ID] != before
		f.recordChanges(changes, now)
		f.dropLoggedByAnnouncement(r.Member.ID, changes)
		return err
	case EndRecord:
		f.recordChanges(f.logState.endMember(offset, r.ID), now)
		delete(f.resigned, r.ID)
		delete(f.draining, r.ID)
		f.dirty = true
		return nil
	case DrainRecord:
		f.dirty = true
		delete(f.draining, r.ID)
		return f.logState.setDraining(offset, r)
	}
	panic(fmt.Sprintf("state: unhandled record type %T", rec))
}

// dropLoggedByAnnouncement drops the unlogged items that an announcement makes
// redundant.
func (f *Fold) dropLoggedByAnnouncement(id MemberID, changes []memberChange) {
	if f.logState.Members[id].Member.Draining {
		delete(f.draining, id)
	}
	for _, c := range changes {
		if c.ended {
			delete(f.resigned, c.member.ID)
			delete(f.draining, c.member.ID)
		}
	}
}

func (f *Fold) setConfig(cfg *config.Config) {
	if cfg != nil {
		f.cfg = cfg
		f.dirty = true
	}
}

func (f *Fold) dropLoggedWithdrawals(ids []string) {
	for _, id := range ids {
		delete(f.withdrawn, id)
	}
}

// recordChanges appends events for the changes that alter the published roster.
// The end of a resigned member has already been published.
func (f *Fold) recordChanges(changes []memberChange, now time.Time) {
	for _, c := range changes {
		if !f.resigned[c.member.ID] {
			f.appendEvent(c, now)
		}
	}
}

func (f *Fold) appendEvent(c memberChange, now time.Time) {
	f.eventSeq++
	f.events = append(f.events, RosterEvent{Seq: f.eventSeq, Member: c.member, Ended: c.ended, Observed: now})
	if len(f.events) > maxEvents {
		f.events = f.events[len(f.events)-maxEvents:]
	}
}

// SkipTo skips the records before oldest that this node has not applied and the
// log no longer holds, if there are any. If so, the version is unknown until a
// refresh, and the sequence of events has a gap.
func (f *Fold) SkipTo(oldest uint64, now time.Time) {
	if oldest <= f.logState.Offset {
		return
	}
	f.logState.Offset = oldest
	f.logState.ContiguousFrom = oldest
	f.logState.LastHash = 0
	f.logState.VersionKnown = false
	f.logState.Pending = nil
	f.breakEventSequence(now)
	f.dirty = true
}

// breakEventSequence leaves a gap in the sequence of events. The event after the
// gap repeats the announcement of a live member, so that readers detect the gap
// without waiting for the next change.
func (f *Fold) breakEventSequence(now time.Time) {
	f.eventSeq++
	f.events = nil
	members := sortedByAnnouncement(f.logState.Members)
	if len(members) > 0 {
		f.appendEvent(memberChange{member: members[0]}, now)
	}
}

// IssuedKeys returns the keys issued by key records, ordered by ID.
func (f *Fold) IssuedKeys() []IssuedKey {
	var keys []IssuedKey
	for _, id := range slices.Sorted(maps.Keys(f.logState.Keys)) {
		keys = append(keys, f.logState.Keys[id])
	}
	return keys
}

// RecordLogContact records that a read of the log that started at asOf found head
// to be the log's first free offset. It has no effect and returns false unless
// every record before head has been applied.
func (f *Fold) RecordLogContact(head uint64, asOf time.Time) bool {
	if head > f.logState.Offset {
		return false
	}
	if asOf.After(f.logContact) {
		f.logContact = asOf
	}
	return true
}

// Snapshot returns the current state. The returned value is immutable.
func (f *Fold) Snapshot() *Snapshot {
	if f.dirty {
		f.snapshot = f.build().Index()
		f.dirty = false
	}
	s := *f.snapshot
	s.Offset = f.logState.Offset
	s.LogContact = f.logContact
	f.snapshot = &s
	return f.snapshot
}

func (f *Fold) build() *Snapshot {
	s := &Snapshot{
		Version:   f.logState.Version,
		ChangeID:  f.logState.ChangeID,
		Config:    f.cfg,
		File:      f.logState.File,
		Keys:      f.keys(),
		Withdrawn: maps.Clone(f.logState.Withdrawn),
		Members:   make(map[MemberID]Member, len(f.logState.Members)),
		Ended:     make(map[MemberID]bool, len(f.logState.Ended)),
		Events:    slices.Clone(f.events),
	}
	maps.Copy(s.Withdrawn, f.withdrawn)
	for id, m := range f.logState.Members {
		if !f.resigned[id] {
			m.Member.Draining = m.Member.Draining || f.draining[id]
			s.Members[id] = m.Member
		}
	}
	for id := range f.logState.Ended {
		s.Ended[id] = true
	}
	maps.Copy(s.Ended, f.resigned)
	return s
}

// keys returns the issued keys; the file takes precedence over key records.
func (f *Fold) keys() map[string]config.Key {
	keys := make(map[string]config.Key, len(f.logState.Keys))
	for id, k := range f.logState.Keys {
		keys[id] = k.Key()
	}
	if f.cfg == nil {
		return keys
	}
	for _, k := range f.cfg.Keys {
		keys[k.ID] = k
	}
	return keys
}
