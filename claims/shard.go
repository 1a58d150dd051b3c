package claims

import (
	"sync"
	"sync/atomic"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxReleased bounds the attempts of one key that may be given back; it also
// bounds the size of an entry.
const maxReleased = 16

// shard is the table of one shard: the tenures that this node answers for,
// oldest first, and the keys it knows.
type shard struct {
	mu sync.Mutex
	// domain is this node's failure domain, domains the list in force.
	domain  string
	domains []string
	// owner is the current owner as far as this node knows.
	owner   state.Member
	tenures []*Tenure
	entries map[Key]*Entry
	// floorMS never decreases; older keys have been forgotten.
	floorMS int64
	// moving is set while the shard is on its way to the heir of a resigning
	// member, moved once the heir has it.
	moving bool
	moved  bool
	// total counts the entries of all shards of the node.
	total *atomic.Int64
}

// claim decides on a claim by another node or this one.
func (s *shard) claim(req ClaimRequest, maxEntries int64) ClaimAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	minted := req.Key.MintedMS()
	if minted < s.floorMS {
		return ClaimAnswer{Verdict: VerdictExpired}
	}
	if s.moving {
		return ClaimAnswer{Verdict: VerdictMoving}
	}
	if s.moved {
		return ClaimAnswer{Verdict: VerdictNotOwner, Peer: s.owner}
	}
	e := s.entries[req.Key]
	if e != nil {
		if v := e.judge(req); v != 0 {
			return ClaimAnswer{Verdict: v}
		}
	}
	if req.Key.Home(s.domains) != s.domain {
		return ClaimAnswer{Verdict: VerdictNotOwner}
	}
	if !s.covers(minted) {
		return s.outside(req)
	}
	if e != nil && len(e.Released) >= maxReleased {
		return ClaimAnswer{Verdict: VerdictSpent}
	}
	if e == nil && s.total.Load() >= maxEntries {
		return ClaimAnswer{Verdict: VerdictFull}
	}
	e = s.entry(req.Key, req.Content)
	e.Held = true
	e.Attempt = req.Attempt
	return ClaimAnswer{Verdict: VerdictGranted}
}

// judge decides from the key's history; zero means that the key is free.
func (e *Entry) judge(req ClaimRequest) Verdict {
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

// outside answers a claim for a key that no tenure held here covers.
func (s *shard) outside(req ClaimRequest) ClaimAnswer {
	t := s.selected(req.Closing)
	if t == nil && s.open() != nil {
		return ClaimAnswer{Verdict: VerdictEarly}
	}
	if t == nil && req.Closing.known() {
		return ClaimAnswer{Verdict: VerdictForgotten}
	}
	if t == nil {
		return ClaimAnswer{Verdict: VerdictNotOwner, Peer: s.owner}
	}
	minted := req.Key.MintedMS()
	if t.Open && minted >= t.HighMS {
		return ClaimAnswer{Verdict: VerdictEarly}
	}
	for minted < t.LowMS {
		t.deny(minted)
		before := s.selected(t.Opened)
		if !t.Opened.known() || before == nil || !t.follows(before.since(), before.HandedAt) {
			return ClaimAnswer{Verdict: VerdictBefore, Peer: t.Previous, Closing: t.Opened}
		}
		t = before
	}
	return ClaimAnswer{Verdict: VerdictNever}
}

// selected returns the tenure that a change ended, or the open one if the
// change is zero.
func (s *shard) selected(closing Change) *Tenure {
	if !closing.known() {
		return s.open()
	}
	for _, t := range s.tenures {
		if !t.Open && t.Closed == closing {
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

// release gives an attempt back. The attempt is remembered even if its claim
// has not arrived, so that a late claim is not granted.
func (s *shard) release(req ReleaseRequest, maxEntries int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Key.MintedMS() < s.floorMS {
		return
	}
	e := s.entries[req.Key]
	if e == nil && s.total.Load() >= maxEntries {
		return
	}
	e = s.entry(req.Key, req.Content)
	if e.Content != req.Content || e.released(req.Attempt) {
		return
	}
	if e.Held && e.Attempt == req.Attempt {
		e.Held = false
	}
	if len(e.Released) < maxReleased {
		e.Released = append(e.Released, req.Attempt)
	}
}

func (s *shard) entry(k Key, content uint64) *Entry {
	e := s.entries[k]
	if e != nil {
		return e
	}
	e = &Entry{Key: k, Content: content}
	if s.entries == nil {
		s.entries = make(map[Key]*Entry)
	}
	s.entries[k] = e
	s.total.Add(1)
	return e
}

// prune raises the floor and forgets what lies below it.
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
			s.total.Add(-1)
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

// merge adds entries of a resigning member. A held key stays held.
func (s *shard) merge(entries []Entry) {
	for _, in := range entries {
		if in.Key.MintedMS() < s.floorMS {
			continue
		}
		e := s.entry(in.Key, in.Content)
		if in.Held && !e.Held {
			e.Held = true
			e.Attempt = in.Attempt
			e.Content = in.Content
		}
		for _, a := range in.Released {
			if !e.released(a) && len(e.Released) < maxReleased {
				e.Released = append(e.Released, a)
			}
		}
		if e.released(e.Attempt) {
			e.Held = false
		}
	}
}
