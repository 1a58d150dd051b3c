package upstream

import (
	"sync"
	"time"
)

const (
	// sentWindow is the least time for which the IDs of sent requests are remembered. Twice
	// that is the most.
	sentWindow = 10 * time.Second
	// crossedTime is how long an instance counts as one that mixes up its connections after
	// it has sent a response on a connection that has not carried the request.
	crossedTime = 30 * time.Second
)

// sentIDs remembers the hashes of the IDs that were lately sent to an instance. An
// instance may send a second response on another connection than the request's. If the
// request was sent there again under its ID, nothing tells that response from the one to
// the second run. So an instance that mixes up its connections gets no ID again.
type sentIDs struct {
	mu                sync.Mutex
	current, previous map[uint64]struct{}
	turnedAt          time.Time // when current became the one that is written
	crossedUntil      time.Time
}

// add records that a request was sent.
func (s *sentIDs) add(hash uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || now.Sub(s.turnedAt) > sentWindow {
		s.previous, s.current, s.turnedAt = s.current, make(map[uint64]struct{}, len(s.current)), now
	}
	s.current[hash] = struct{}{}
}

// recordCrossed records that the instance has mixed up its connections.
func (s *sentIDs) recordCrossed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crossedUntil = now.Add(crossedTime)
}

// ambiguous reports whether the response to a request could not be told from a second
// response to an earlier one with the same ID.
func (s *sentIDs) ambiguous(hash uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.crossedUntil) {
		return false
	}
	_, current := s.current[hash]
	_, previous := s.previous[hash]
	return current || previous
}
