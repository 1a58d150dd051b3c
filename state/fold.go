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

// Fold applies the records of the log in order and keeps the snapshot. What
// came from the log is a pure function of the applied prefix. Items learned
// from peers outside the log are kept beside it and merged into the snapshot. A Fold is not safe for concurrent use.
type Fold struct {
	parse Parse
	core  core
	cfg   *config.Config
	// withdrawn, resigned and draining hold what is not in the applied prefix
	// yet; see Outside.
	withdrawn map[string]bool
	resigned  map[MemberID]bool
	draining  map[MemberID]bool
	events    []RosterEvent
	seq       uint64
	contact   time.Time
	published *Snapshot
	dirty     bool
}

// NewFold returns the state before the first record.
func NewFold(parse Parse) *Fold {
	return &Fold{
		parse:     parse,
		core:      newCore(),
		withdrawn: map[string]bool{},
		resigned:  map[MemberID]bool{},
		draining:  map[MemberID]bool{},
		dirty:     true,
	}
}

// Offset returns the first offset that has not been applied.
func (f *Fold) Offset() uint64 { return f.core.Offset }

// Version returns the version of the configuration in force.
func (f *Fold) Version() uint64 { return f.core.Version }

// LastHash returns the hash of the record at Offset-1; zero means none.
func (f *Fold) LastHash() uint64 { return f.core.LastHash }

// VersionKnown reports whether configurations can be judged. It is false
// after a start or a gap in the middle of the log.
func (f *Fold) VersionKnown() bool { return f.core.VersionKnown }

// Decision returns the judgement on a change, if it is still remembered.
func (f *Fold) Decision(changeID string) (Decision, bool) { return f.core.decision(changeID) }

// Apply applies the record at an offset. It returns the record, nil if it can't
// be decoded, and why it is void, if it is. An offset below Offset is allowed after the log was rolled back: the record
// is applied and Offset stays. An offset beyond Offset gives ErrGap and has no
// effect; see Skip.
func (f *Fold) Apply(offset uint64, data []byte, now time.Time) (Record, error) {
	if offset > f.core.Offset {
		return nil, fmt.Errorf("%w: offset %d, applied up to %d", ErrGap, offset, f.core.Offset)
	}
	rec, err := Decode(data)
	if err == nil {
		err = f.applyRecord(offset, rec, now)
	}
	f.core.advance(offset, data)
	return rec, err
}

func (f *Fold) applyRecord(offset uint64, rec Record, now time.Time) error {
	switch r := rec.(type) {
	case ConfigRecord:
		cfg, err := f.core.configure(offset, r, f.parse)
		f.install(cfg)
		return err
	case RefreshRecord:
		cfg, err := f.core.refresh(r, f.parse)
		f.install(cfg)
		return err
	case KeysRecord:
		f.dirty = true
		return f.core.issue(r)
	case WithdrawRecord:
		f.dirty = true
		f.core.withdraw(r)
		f.forgetWithdrawn(r.KeyIDs)
		return nil
	case AnnounceRecord:
		before := f.core.Members[r.Member.ID]
		changes, err := f.core.announce(offset, r)
		f.dirty = f.dirty || f.core.Members[r.Member.ID] != before
		f.note(changes, now)
		f.forgetAnnounced(r.Member.ID, changes)
		return err
	case EndRecord:
		f.note(f.core.end(offset, r.ID), now)
		delete(f.resigned, r.ID)
		delete(f.draining, r.ID)
		f.dirty = true
		return nil
	case DrainRecord:
		f.dirty = true
		delete(f.draining, r.ID)
		return f.core.drain(offset, r)
	}
	panic(fmt.Sprintf("state: no rule for %T", rec))
}

// forgetAnnounced drops the items that an announcement brought into the log.
func (f *Fold) forgetAnnounced(id MemberID, changes []change) {
	if f.core.Members[id].Member.Draining {
		delete(f.draining, id)
	}
	for _, c := range changes {
		if c.ended {
			delete(f.resigned, c.member.ID)
			delete(f.draining, c.member.ID)
		}
	}
}

func (f *Fold) install(cfg *config.Config) {
	if cfg != nil {
		f.cfg = cfg
		f.dirty = true
	}
}

func (f *Fold) forgetWithdrawn(ids []string) {
	for _, id := range ids {
		delete(f.withdrawn, id)
	}
}

// note records the changes that alter the published roster.
func (f *Fold) note(changes []change, now time.Time) {
	for _, c := range changes {
		if !f.resigned[c.member.ID] {
			f.event(c, now)
		}
	}
}

func (f *Fold) event(c change, now time.Time) {
	f.seq++
	f.events = append(f.events, RosterEvent{Seq: f.seq, Member: c.member, Ended: c.ended, Observed: now})
	if len(f.events) > maxEvents {
		f.events = f.events[len(f.events)-maxEvents:]
	}
}

// Skip moves past records that are lost to this node, because the log no
// longer holds them. It does nothing if none are. After it the version is
// unknown until a refresh, and the events jump.
func (f *Fold) Skip(oldest uint64, now time.Time) {
	if oldest <= f.core.Offset {
		return
	}
	f.core.Offset = oldest
	f.core.Start = oldest
	f.core.LastHash = 0
	f.core.VersionKnown = false
	f.core.Pending = nil
	f.jump(now)
	f.dirty = true
}

// jump leaves a gap in the sequence of events. The event after the gap repeats
// the announcement of a live member, so that readers see the gap at once.
func (f *Fold) jump(now time.Time) {
	f.seq++
	f.events = nil
	members := inOrderOfAnnouncement(f.core.Members)
	if len(members) > 0 {
		f.event(change{member: members[0]}, now)
	}
}

// IssuedKeys returns the keys issued by key records, ordered by ID.
func (f *Fold) IssuedKeys() []IssuedKey {
	var keys []IssuedKey
	for _, id := range slices.Sorted(maps.Keys(f.core.Keys)) {
		keys = append(keys, f.core.Keys[id])
	}
	return keys
}

// Confirm records a contact with the log: a read begun at the given time found
// next to be its first free offset. It is ignored unless every record before
// next has been applied.
func (f *Fold) Confirm(next uint64, begun time.Time) bool {
	if next > f.core.Offset {
		return false
	}
	if begun.After(f.contact) {
		f.contact = begun
	}
	return true
}

// Snapshot returns the current state. The value is immutable.
func (f *Fold) Snapshot() *Snapshot {
	if f.dirty {
		f.published = f.build().Index()
		f.dirty = false
	}
	s := *f.published
	s.Offset = f.core.Offset
	s.LogContact = f.contact
	f.published = &s
	return f.published
}

func (f *Fold) build() *Snapshot {
	s := &Snapshot{
		Version:   f.core.Version,
		ChangeID:  f.core.ChangeID,
		Config:    f.cfg,
		File:      f.core.File,
		Keys:      f.keys(),
		Withdrawn: maps.Clone(f.core.Withdrawn),
		Members:   make(map[MemberID]Member, len(f.core.Members)),
		Ended:     make(map[MemberID]bool, len(f.core.Ended)),
		Events:    slices.Clone(f.events),
	}
	maps.Copy(s.Withdrawn, f.withdrawn)
	for id, m := range f.core.Members {
		if !f.resigned[id] {
			m.Member.Draining = m.Member.Draining || f.draining[id]
			s.Members[id] = m.Member
		}
	}
	for id := range f.core.Ended {
		s.Ended[id] = true
	}
	maps.Copy(s.Ended, f.resigned)
	return s
}

// keys returns the issued keys; the file takes precedence over key records.
func (f *Fold) keys() map[string]config.Key {
	keys := make(map[string]config.Key, len(f.core.Keys))
	for id, k := range f.core.Keys {
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
