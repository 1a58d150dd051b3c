package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// MaxStateBytes bounds an exported state.
const MaxStateBytes = 8 << 20

// maxStateLen bounds each collection in an exported state.
const maxStateLen = 1 << 17

// ErrStaleState reports an exported state that is not newer than this node's.
var ErrStaleState = errors.New("state is not newer than this node's")

var stateDecMode = mustDecMode(maxStateLen)

// exportedState is the encoded form of a whole state.
type exportedState struct {
	Format   uint8    `cbor:"1,keyasint"`
	LogState logState `cbor:"2,keyasint"`
	Unlogged Unlogged `cbor:"3,keyasint"`
}

// Export encodes the whole state for a node that cannot read the log.
func (f *Fold) Export() ([]byte, error) {
	data, err := encMode.Marshal(exportedState{Format: recordFormat, LogState: f.logState, Unlogged: f.Unlogged()})
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if len(data) > MaxStateBytes {
		return nil, fmt.Errorf("encode state: %d bytes", len(data))
	}
	return data, nil
}

// Adopt replaces the state by a peer's exported state if that is newer; otherwise
// the error wraps ErrStaleState. Withdrawals and ends are merged, never dropped.
// The log contact stays as it is, since a peer's state does not prove a read of
// the log.
func (f *Fold) Adopt(data []byte, now time.Time) error {
	exported, err := decodeState(data)
	if err != nil {
		return fmt.Errorf("adopt state: %w", err)
	}
	if f.isStale(exported.LogState) {
		return fmt.Errorf("adopt state at offset %d, version %d: %w", exported.LogState.Offset, exported.LogState.Version, ErrStaleState)
	}
	var cfg *config.Config
	if exported.LogState.Version > 0 {
		if cfg, err = f.parse(exported.LogState.File); err != nil {
			return fmt.Errorf("adopt state: %w", err)
		}
	}
	f.replace(exported.LogState, cfg, now)
	f.Merge(exported.Unlogged, now)
	return nil
}

// isStale reports whether another state is older than this node's or adds
// nothing to it. At the same offset, it is useful only to a node that does not
// know the version.
func (f *Fold) isStale(other logState) bool {
	if !other.VersionKnown || other.Version < f.logState.Version {
		return true
	}
	if f.logState.VersionKnown {
		return other.Offset <= f.logState.Offset
	}
	return other.Offset < f.logState.Offset
}

func decodeState(data []byte) (exportedState, error) {
	var exported exportedState
	if len(data) > MaxStateBytes {
		return exported, fmt.Errorf("%w: %d bytes", ErrBadRecord, len(data))
	}
	if err := stateDecMode.Unmarshal(data, &exported); err != nil {
		return exported, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if exported.Format != recordFormat {
		return exported, fmt.Errorf("%w: format %d", ErrBadRecord, exported.Format)
	}
	return exported, exported.LogState.check()
}

// check verifies the limits and the invariants on which the fold relies.
func (s *logState) check() error {
	if s.Keys == nil || s.Withdrawn == nil || s.Members == nil || s.Ended == nil {
		return fmt.Errorf("%w: a collection is missing", ErrBadRecord)
	}
	if s.ContiguousFrom > s.Offset || len(s.Pending) > maxPending || len(s.Decisions) > maxDecisions {
		return fmt.Errorf("%w: state exceeds its limits", ErrBadRecord)
	}
	if len(s.File) > MaxFileBytes {
		return fmt.Errorf("%w: file of %d bytes", ErrBadRecord, len(s.File))
	}
	for id, m := range s.Members {
		if id != m.Member.ID {
			return fmt.Errorf("%w: member %s under ID %s", ErrBadRecord, m.Member.ID, id)
		}
		if err := (AnnounceRecord{Member: m.Member}).check(); err != nil {
			return err
		}
	}
	return nil
}

// replace installs a newer log state and keeps every withdrawal and end known to
// this node.
func (f *Fold) replace(next logState, cfg *config.Config, now time.Time) {
	old := f.logState
	f.logState = next
	f.cfg = cfg
	f.dirty = true
	f.Merge(Unlogged{Withdrawn: slices.Collect(maps.Keys(old.Withdrawn))}, now)
	for id, at := range old.Ended {
		if _, known := f.logState.Ended[id]; !known && at+endRetention >= next.Offset {
			f.logState.Ended[id] = at
			delete(f.logState.Members, id)
		}
	}
	f.dropLogged()
	f.breakEventSequence(now)
	f.recordDifferences(old, now)
}

// dropLogged drops the unlogged items that the applied prefix contains.
func (f *Fold) dropLogged() {
	f.dropLoggedWithdrawals(slices.Collect(maps.Keys(f.logState.Withdrawn)))
	f.dropLoggedEnds()
}

func (f *Fold) recordDifferences(old logState, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(old.Members)) {
		if _, live := f.logState.Members[id]; !live {
			f.recordChanges([]memberChange{{member: old.Members[id].Member, ended: true}}, now)
		}
	}
	for _, m := range sortedByAnnouncement(f.logState.Members) {
		if _, before := old.Members[m.ID]; !before {
			f.recordChanges([]memberChange{{member: m}}, now)
		}
	}
}

// sortedByAnnouncement sorts members in the order of their announcements in the
// log, so that the events of a node that adopted a state show the same
// predecessors as those of a node that read the log.
func sortedByAnnouncement(members map[MemberID]memberState) []Member {
	sorted := slices.SortedFunc(maps.Values(members), func(a, b memberState) int {
		return cmp.Or(cmp.Compare(a.JoinedAt, b.JoinedAt), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	list := make([]Member, len(sorted))
	for i, m := range sorted {
		list[i] = m.Member
	}
	return list
}

// Digest returns a hash over the state that comes from the log. Two nodes that
// applied the same prefix have equal digests.
func (f *Fold) Digest() uint64 {
	s := f.logState
	s.ContiguousFrom = 0
	s.Pending = nil
	s.Decisions = nil
	s.Members = withoutJoinedAt(s.Members)
	data, err := encMode.Marshal(s)
	if err != nil {
		panic("state: log state cannot be encoded: " + err.Error())
	}
	return RecordHash(data)
}

func withoutJoinedAt(members map[MemberID]memberState) map[MemberID]memberState {
	out := make(map[MemberID]memberState, len(members))
	for id, m := range members {
		m.JoinedAt = 0
		out[id] = m
	}
	return out
}
