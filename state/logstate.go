package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Limits of the folded state, in records unless stated otherwise.
const (
	// AnnounceWindow is how many records late an announcement may reach the
	// log. It prevents a writer that was paused before its append from reviving
	// an incarnation whose end is no longer kept.
	AnnounceWindow = 1 << 14
	// endRetention is how long the end of an incarnation is kept.
	endRetention = 4 * AnnounceWindow
	// pruneInterval is the number of records between prunings of old ends.
	pruneInterval = 1 << 10
	// maxDecisions bounds the stored decisions on configurations.
	maxDecisions = 512
	// maxPending bounds the configurations that wait until the version is known.
	maxPending = 64
)

// logState is the part of the state that depends on the log prefix alone.
type logState struct {
	// Offset is the first offset not applied. All records from ContiguousFrom up
	// to Offset have been applied.
	Offset         uint64 `cbor:"1,keyasint"`
	ContiguousFrom uint64 `cbor:"2,keyasint"`
	// LastHash is the hash of the record at Offset-1; zero means none.
	LastHash uint64 `cbor:"3,keyasint"`
	// VersionKnown is false after a start in mid-log or after a gap, until a
	// refresh record provides the version.
	VersionKnown bool                     `cbor:"4,keyasint"`
	Version      uint64                   `cbor:"5,keyasint"`
	ChangeID     string                   `cbor:"6,keyasint"`
	File         []byte                   `cbor:"7,keyasint"`
	Pending      []pendingConfig          `cbor:"8,keyasint"`
	Decisions    []Decision               `cbor:"9,keyasint"`
	Keys         map[string]IssuedKey     `cbor:"10,keyasint"`
	Withdrawn    map[string]bool          `cbor:"11,keyasint"`
	Members      map[MemberID]memberState `cbor:"12,keyasint"`
	// Ended maps ended incarnations to the offset of their end.
	Ended map[MemberID]uint64 `cbor:"13,keyasint"`
}

// pendingConfig is a configuration that cannot be decided yet, because the version
// in force is unknown.
type pendingConfig struct {
	Offset uint64       `cbor:"1,keyasint"`
	Record ConfigRecord `cbor:"2,keyasint"`
}

// memberState is a live incarnation.
type memberState struct {
	Member Member `cbor:"1,keyasint"`
	// DrainedAt is the offset of the latest drain record plus one. Announcements
	// as of an earlier offset do not change Member.Draining.
	DrainedAt uint64 `cbor:"2,keyasint"`
	// JoinedAt is the offset of the first announcement that this node applied.
	// It differs between nodes if the log no longer holds the first announcement.
	JoinedAt uint64 `cbor:"3,keyasint"`
}

// Decision is the outcome of one configuration record.
type Decision struct {
	ChangeID string `cbor:"1,keyasint"`
	// Version is the version that the change became; zero means that the change
	// is void.
	Version uint64 `cbor:"2,keyasint"`
	// Reason says why the change is void.
	Reason string `cbor:"3,keyasint"`
}

// Accepted reports whether the change came into force.
func (d Decision) Accepted() bool { return d.Version > 0 }

func newLogState() logState {
	return logState{
		VersionKnown: true,
		Keys:         map[string]IssuedKey{},
		Withdrawn:    map[string]bool{},
		Members:      map[MemberID]memberState{},
		Ended:        map[MemberID]uint64{},
	}
}

// RecordHash returns the hash by which nodes compare encoded records.
func RecordHash(data []byte) uint64 { return xxhash.Sum64(data) }

func (s *logState) advance(offset uint64, data []byte) {
	if offset+1 < s.Offset {
		return
	}
	s.Offset = offset + 1
	s.LastHash = RecordHash(data)
	if s.Offset%pruneInterval == 0 {
		s.pruneEnded()
	}
}

func (s *logState) pruneEnded() {
	for id, at := range s.Ended {
		if at+endRetention < s.Offset {
			delete(s.Ended, id)
		}
	}
}

func (s *logState) issueKeys(r KeysRecord) error {
	var conflict error
	for _, k := range r.Keys {
		known, dup := s.Keys[k.ID]
		if !dup {
			s.Keys[k.ID] = k
		} else if known != k {
			conflict = fmt.Errorf("key %s was issued before", k.ID)
		}
	}
	return conflict
}

func (s *logState) withdrawKeys(r WithdrawRecord) {
	for _, id := range r.KeyIDs {
		s.Withdrawn[id] = true
	}
}

func (s *logState) setDraining(offset uint64, r DrainRecord) error {
	m, ok := s.Members[r.ID]
	if !ok {
		return fmt.Errorf("no live member %s", r.ID)
	}
	m.Member.Draining = r.Draining
	m.DrainedAt = offset + 1
	s.Members[r.ID] = m
	return nil
}

// memberChange is one change of the roster.
type memberChange struct {
	member Member
	ended  bool
}

func (s *logState) applyAnnouncement(offset uint64, r AnnounceRecord) ([]memberChange, error) {
	m := r.Member
	if _, ended := s.Ended[m.ID]; ended {
		return nil, fmt.Errorf("incarnation %s has ended", m.ID)
	}
	if offset > r.AsOfOffset+AnnounceWindow {
		return nil, fmt.Errorf("announcement of %s is %d records late", m.ID, offset-r.AsOfOffset)
	}
	if current, ok := s.Members[m.ID]; ok {
		if r.AsOfOffset >= current.DrainedAt {
			current.Member.Draining = m.Draining
			s.Members[m.ID] = current
		}
		return nil, nil
	}
	changes := s.endByAddress(offset, m.ControlAddr)
	s.Members[m.ID] = memberState{Member: m, JoinedAt: offset}
	return append(changes, memberChange{member: m}), nil
}

// endByAddress ends the earlier incarnation that uses a control address.
func (s *logState) endByAddress(offset uint64, addr string) []memberChange {
	var changes []memberChange
	for id, old := range s.Members {
		if old.Member.ControlAddr == addr {
			changes = append(changes, s.endMember(offset, id)...)
		}
	}
	return changes
}

func (s *logState) endMember(offset uint64, id MemberID) []memberChange {
	if _, alreadyEnded := s.Ended[id]; alreadyEnded {
		return nil
	}
	s.Ended[id] = offset
	m, ok := s.Members[id]
	if !ok {
		return nil
	}
	delete(s.Members, id)
	return []memberChange{{member: m.Member, ended: true}}
}
