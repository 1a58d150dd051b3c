package claims

import (
	"sync"
	"sync/atomic"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxReleasedAttempts bounds the attempts of one key that may be released, and thereby
// the size of an entry.
const maxReleasedAttempts = 16

// shard holds the tenures of one shard that this node answers for, oldest first, and
// the keys that it knows.
type shard struct {
	mu sync.Mutex
	// domain is this node's failure domain, domains the list of failure domains in
	// force.
	domain  string
	domains []string
	// owner is the current owner as far as this node knows.
	owner   state.Member
	tenures []*Tenure
	entries map[Key]*Entry
	// floorMS is the minting time before which keys have been pruned; it never
	// decreases.
	floorMS int64
	// handingOver is set while this node, having resigned, hands the shard over to its
	// successor, handedOver once the handover has ended.
	handingOver bool
	handedOver  bool
	// totalEntries counts the entries of all shards of the node.
	totalEntries *atomic.Int64
}

// claim decides on a claim.
func (s *shard) claim(req ClaimRequest, maxEntries int64) ClaimResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	minted := req.Key.MintedMS()
	if minted < s.floorMS {
		return ClaimResponse{Verdict: VerdictExpired}
	}
	if s.handingOver {
		return ClaimResponse{Verdict: VerdictHandingOver}
	}
	if s.handedOver {
		return ClaimResponse{Verdict: VerdictNotOwner, Peer: s.owner}
	}
	e := s.entries[req.Key]
	if e != nil {
		if v := e.decide(req); v != 0 {
			return ClaimResponse{Verdict: v}
		}
	}
	if req.Key.Home(s.domains) != s.domain {
		return ClaimResponse{Verdict: VerdictNotOwner}
	}
	if !s.covers(minted) {
		return s.answerUncovered(req)
	}
	if e != nil && len(e.Released) >= maxReleasedAttempts {
		return ClaimResponse{Verdict: VerdictAttemptsExhausted}
	}
	if e == nil && s.totalEntries.Load() >= maxEntries {
		return ClaimResponse{Verdict: VerdictTableFull}
	}
	e = s.getOrAddEntry(req.Key, req.Content)
	e.Held = true
	e.Attempt = req.Attempt
	return ClaimResponse{Verdict: VerdictGranted}
}

// decide returns the verdict that follows from the key's history; zero means that the
// key is free.
func (e *Entry) decide(req ClaimRequest) Verdict {
	switch {
	case e.Content != req.Content:
		return VerdictMismatch
	case e.Held && e.Attempt == req.Attempt:
		return VerdictGranted
	case e.released(req.Attempt):
		return VerdictReleased
	case e.Held:
		return VerdictDuplicate
	}
	return 0
}

func (e *Entry) released(a Attempt) bool {
	for _, r := range e.Released {
		if r == a {
			return true
		}
	}
	return false
}

func (s *shard) covers(mintedMS int64) bool {
	for _, t := range s.tenures {
		if t.contains(mintedMS) {
			return true
		}
	}
	return false
}

// answerUncovered returns the response to a claim for a key that no tenure held here
// covers.
func (s *shard) answerUncovered(req ClaimRequest) ClaimResponse {
	t := s.tenureClosedBy(req.ClosedBy)
	if t == nil && s.open() != nil {
		return ClaimResponse{Verdict: VerdictTooNew}
	}
	if t == nil && req.ClosedBy.known() {
		return ClaimResponse{Verdict: VerdictUnknownTenure}
	}
	if t == nil {
		return ClaimResponse{Verdict: VerdictNotOwner, Peer: s.owner}
	}
	minted := req.Key.MintedMS()
	if t.Open && minted >= t.HighMS {
		return ClaimResponse{Verdict: VerdictTooNew}
	}
	for minted < t.LowMS {
		t.recordDenied(minted)
		previous := s.tenureClosedBy(t.OpenedBy)
		if !t.OpenedBy.known() || previous == nil || !t.directlyFollows(previous.acquiredBy(), previous.HandoverOffset) {
			return ClaimResponse{Verdict: VerdictEarlierTenure, Peer: t.Previous, ClosedBy: t.OpenedBy}
		}
		t = previous
	}
	return ClaimResponse{Verdict: VerdictBetweenTenures}
}

// tenureClosedBy returns the tenure that a change ended, or the open one if the
// change is zero.
func (s *shard) tenureClosedBy(closedBy Change) *Tenure {
	if !closedBy.known() {
		return s.open()
	}
	for _, t := range s.tenures {
		if !t.Open && t.ClosedBy == closedBy {
			return t
		}
	}
	return nil
}

func (s *shard) open() *Tenure {
	for _, t := range s.tenures {
		if t.Open {
			return t
		}
	}
	return nil
}

// release releases an attempt. The release is recorded even if the attempt's claim has
// not arrived, so that a late claim is not granted.
func (s *shard) release(req ReleaseRequest, maxEntries int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Key.MintedMS() < s.floorMS {
		return
	}
	e := s.entries[req.Key]
	if e == nil && s.totalEntries.Load() >= maxEntries {
		return
	}
	e = s.getOrAddEntry(req.Key, req.Content)
	if e.Content != req.Content || e.released(req.Attempt) {
		return
	}
	if e.Held && e.Attempt == req.Attempt {
		e.Held = false
	}
	if len(e.Released) < maxReleasedAttempts {
		e.Released = append(e.Released, req.Attempt)
	}
}

func (s *shard) getOrAddEntry(k Key, content uint64) *Entry {
	e := s.entries[k]
	if e != nil {
		return e
	}
	e = &Entry{Key: k, Content: content}
	if s.entries == nil {
		s.entries = make(map[Key]*Entry)
	}
	s.entries[k] = e
	s.totalEntries.Add(1)
	return e
}

// prune raises floorMS and removes the entries and tenures below it.
func (s *shard) prune(floorMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if floorMS <= s.floorMS {
		return
	}
	s.floorMS = floorMS
	for k := range s.entries {
		if k.MintedMS() < floorMS {
			delete(s.entries, k)
			s.totalEntries.Add(-1)
		}
	}
	kept := s.tenures[:0]
	for _, t := range s.tenures {
		if t.Open || t.endMS() >= floorMS {
			kept = append(kept, t)
		}
	}
	clear(s.tenures[len(kept):])
	s.tenures = kept
}

// mergeEntries adds entries of a resigning member. A key that is held in either table
// stays held, unless its attempt was released.
func (s *shard) mergeEntries(entries []Entry) {
	for _, in := range entries {
		if in.Key.MintedMS() < s.floorMS {
			continue
		}
		e := s.getOrAddEntry(in.Key, in.Content)
		if in.Held && !e.Held {
			e.Held = true
			e.Attempt = in.Attempt
			e.Content = in.Content
		}
		for _, a := range in.Released {
			if !e.released(a) && len(e.Released) < maxReleasedAttempts {
				e.Released = append(e.Released, a)
			}
		}
		if e.released(e.Attempt) {
			e.Held = false
		}
	}
}
