package membership

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxRelayedPositions is the number of other members' positions in a digest.
const maxRelayedPositions = 4

// position is the latest known version and offset of a member.
type position struct {
	version uint64
	offset  uint64
	at      time.Time
}

// relayedPosition is a member's position as relayed by another member.
type relayedPosition struct {
	ID      state.MemberID `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
	Offset  uint64         `cbor:"3,keyasint"`
	AgeMS   int64          `cbor:"4,keyasint"`
}

// MemberStatus is what this node knows about a member.
type MemberStatus struct {
	Member state.Member
	// Known is false if the member's position is unknown.
	Known bool
	// Version and Offset are the member's position as of Age ago.
	Version uint64
	Offset  uint64
	Age     time.Duration
	// Lag is the number of records by which the member was behind this node.
	Lag uint64
	// Suspected is set if this node suspects that the member has failed.
	Suspected bool
}

// Status returns the known position of every member, ordered by ID.
func (s *Service) Status() []MemberStatus {
	now := s.opts.Now()
	snap := s.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]MemberStatus, 0, len(snap.Members))
	for _, id := range sortedIDs(snap.Members) {
		all = append(all, s.memberStatus(snap, id, now))
	}
	return all
}

func (s *Service) memberStatus(snap *state.Snapshot, id state.MemberID, now time.Time) MemberStatus {
	status := MemberStatus{Member: snap.Members[id], Suspected: s.detector.suspected(id, now)}
	pos, ok := s.positions[id]
	if id == s.opts.Self.ID {
		pos, ok = position{version: snap.Version, offset: snap.Offset, at: now}, true
	}
	if !ok {
		return status
	}
	status.Known = true
	status.Version = pos.version
	status.Offset = pos.offset
	status.Age = now.Sub(pos.at)
	if snap.Offset > pos.offset {
		status.Lag = snap.Offset - pos.offset
	}
	return status
}

// recordDigest records a peer's position, its suspicions and the positions it
// relays.
func (s *Service) recordDigest(from state.MemberID, d digest) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordPosition(from, position{version: d.Version, offset: d.Offset, at: now})
	for _, relayed := range d.RelayedPositions[:min(len(d.RelayedPositions), maxRelayedPositions)] {
		age := time.Duration(max(relayed.AgeMS, 0)) * time.Millisecond
		s.recordPosition(relayed.ID, position{version: relayed.Version, offset: relayed.Offset, at: now.Add(-age)})
	}
	s.recordSuspects(from, d.Suspects)
}

// recordPosition records a position of a live member unless a later one is known.
// The caller must hold s.mu.
func (s *Service) recordPosition(id state.MemberID, pos position) {
	if _, live := s.Snapshot().Members[id]; !live {
		delete(s.positions, id)
		return
	}
	if pos.at.After(s.positions[id].at) {
		s.positions[id] = pos
	}
}

// samplePositions returns the known positions of some random members. The caller
// must hold s.mu.
func (s *Service) samplePositions(now time.Time) []relayedPosition {
	snap := s.Snapshot()
	domains := snap.Domains()
	var sample []relayedPosition
	for range maxRelayedPositions {
		id, ok := s.randomMember(snap, domains)
		if pos, known := s.positions[id]; ok && known {
			sample = append(sample, relayedPosition{ID: id, Version: pos.version, Offset: pos.offset, AgeMS: now.Sub(pos.at).Milliseconds()})
		}
	}
	return sample
}

// randomMember picks a random failure domain, then a random member of it.
func (s *Service) randomMember(snap *state.Snapshot, domains []string) (state.MemberID, bool) {
	if len(domains) == 0 {
		return "", false
	}
	domain := snap.Domain(domains[s.opts.Rand()%uint64(len(domains))])
	return domain[s.opts.Rand()%uint64(len(domain))].ID, true
}
