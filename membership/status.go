package membership

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// hearsayLen is the number of other members' positions in a digest.
const hearsayLen = 4

// heard is the latest known position of a member.
type heard struct {
	version uint64
	offset  uint64
	at      time.Time
}

// hearsay is a member's position as relayed by another.
type hearsay struct {
	ID      state.MemberID `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
	Offset  uint64         `cbor:"3,keyasint"`
	AgeMS   int64          `cbor:"4,keyasint"`
}

// MemberStatus is what this node knows about a member.
type MemberStatus struct {
	Member state.Member
	// Known is false if nothing was heard of the member's position.
	Known bool
	// Version and Offset were in force at the member Age ago.
	Version uint64
	Offset  uint64
	Age     time.Duration
	// Lag is the number of records by which the member was behind this node.
	Lag uint64
	// Suspected is set if this node takes the member for gone.
	Suspected bool
}

// Status returns the known position of every member, ordered by ID.
func (s *Service) Status() []MemberStatus {
	now := s.o.Now()
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
	st := MemberStatus{Member: snap.Members[id], Suspected: s.detector.suspected(id, now)}
	h, ok := s.heard[id]
	if id == s.o.Self.ID {
		h, ok = heard{version: snap.Version, offset: snap.Offset, at: now}, true
	}
	if !ok {
		return st
	}
	st.Known = true
	st.Version = h.version
	st.Offset = h.offset
	st.Age = now.Sub(h.at)
	if snap.Offset > h.offset {
		st.Lag = snap.Offset - h.offset
	}
	return st
}

// noteDigest records a peer's position, suspicions and hearsay.
func (s *Service) noteDigest(from state.MemberID, d digest) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(from, heard{version: d.Version, offset: d.Offset, at: now})
	for _, h := range d.Hearsay[:min(len(d.Hearsay), hearsayLen)] {
		age := time.Duration(max(h.AgeMS, 0)) * time.Millisecond
		s.note(h.ID, heard{version: h.Version, offset: h.Offset, at: now.Add(-age)})
	}
	s.noteSuspects(from, d.Suspects)
}

// note keeps the later of two positions of a live member. It is called with mu
// held.
func (s *Service) note(id state.MemberID, h heard) {
	if _, live := s.Snapshot().Members[id]; !live {
		delete(s.heard, id)
		return
	}
	if h.at.After(s.heard[id].at) {
		s.heard[id] = h
	}
}

// hearsay returns the positions of some random members. It is called with mu
// held.
func (s *Service) hearsay(now time.Time) []hearsay {
	snap := s.Snapshot()
	domains := snap.Domains()
	var picked []hearsay
	for range hearsayLen {
		id, ok := s.randomMember(snap, domains)
		if h, known := s.heard[id]; ok && known {
			picked = append(picked, hearsay{ID: id, Version: h.version, Offset: h.offset, AgeMS: now.Sub(h.at).Milliseconds()})
		}
	}
	return picked
}

// randomMember picks a failure domain, then a member of it.
func (s *Service) randomMember(snap *state.Snapshot, domains []string) (state.MemberID, bool) {
	if len(domains) == 0 {
		return "", false
	}
	domain := snap.Domain(domains[s.o.Rand()%uint64(len(domains))])
	return domain[s.o.Rand()%uint64(len(domain))].ID, true
}
