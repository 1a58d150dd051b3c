package claims

import (
	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxHandoverEntries bounds the keys in one handover message.
const maxHandoverEntries = 500

// Heir is the next owner of a shard of a resigning member.
type Heir struct {
	Shard uint16
	To    state.Member
}

// Resign ends this node's part in all changes, for good, and returns the next
// owners of the shards that it answers for. Its ranges no longer grow; what
// lies within them is granted until Drain.
func (t *Table) Resign() []Heir {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned || t.roster == nil {
		return nil
	}
	t.resigned = true
	var heirs []Heir
	for i := range t.shards {
		to, ok := t.roster.heir(uint16(i), t.self.ID)
		if ok && t.shards[i].used() {
			heirs = append(heirs, Heir{Shard: uint16(i), To: to})
		}
	}
	return heirs
}

// Drain stops all granting in a shard and returns the messages that hand it
// over. They must be sent in order, each after the one before has been
// acknowledged, and to no other member. Claims are answered VerdictMoving until
// Moved is called.
func (t *Table) Drain(h Heir) []Handover {
	tenures, entries := t.shards[h.Shard].drain(h.To)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.messages(h.Shard, tenures, entries)
}

// Moved ends the handover of a shard; claims are now sent to the heir.
func (t *Table) Moved(h Heir) {
	s := &t.shards[h.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moving = false
	s.moved = true
}

func (s *shard) used() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tenures)+len(s.entries) > 0
}

// drain empties a shard.
func (s *shard) drain(heir state.Member) ([]Tenure, []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tenures := make([]Tenure, 0, len(s.tenures))
	for _, t := range s.tenures {
		handed := *t
		handed.LowMS = max(handed.LowMS, s.floorMS)
		tenures = append(tenures, handed)
	}
	entries := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, *e)
	}
	s.total.Add(-int64(len(entries)))
	s.tenures = nil
	s.entries = nil
	s.owner = heir
	s.moving = true
	return tenures, entries
}

func (t *Table) messages(shard uint16, tenures []Tenure, entries []Entry) []Handover {
	var out []Handover
	h := Handover{From: t.self.ID, Domains: t.domains, Shard: shard, Offset: t.offset}
	for len(entries) > maxHandoverEntries {
		part := h
		part.Entries = entries[:maxHandoverEntries]
		entries = entries[maxHandoverEntries:]
		out = append(out, part)
	}
	h.Entries = entries
	h.Tenures = tenures
	return append(out, h)
}

// Adopt takes in a handover. Adopted entries only ever deny claims, so they
// are taken at once; tenures come with the last message.
func (t *Table) Adopt(h Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned || t.roster == nil || h.Shard >= shardCount {
		return
	}
	s := &t.shards[h.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(h.Entries)
	if !t.sameDomains(h.Domains) {
		return
	}
	for _, in := range h.Tenures {
		if !s.knows(&in) && (in.Open || in.endMS() >= s.floorMS) {
			t.adopt(s, h, in)
		}
	}
}

// adopt adds one tenure. An open one stays open only if this node sees the
// very same tenure in force.
func (t *Table) adopt(s *shard, h Handover, in Tenure) {
	in.LowMS = max(in.LowMS, s.floorMS)
	if in.Open {
		t.adoptOpen(s, h, &in)
	}
	s.tenures = append(s.tenures, &in)
}

func (t *Table) adoptOpen(s *shard, h Handover, in *Tenure) {
	in.HandedAt = h.Offset
	now := t.roster.owners[h.Shard]
	open := s.open()
	heir, _ := t.roster.heir(h.Shard, h.From)
	same := now.owner == h.From && now.opened == in.since() && in.since().known() && now.overtakenAt <= h.Offset
	if open == nil && same && heir.ID == t.self.ID {
		return
	}
	end := Change{Member: h.From, Ended: true}
	if open == nil || open.Opened != end || !open.follows(in.since(), h.Offset) {
		in.close(Change{}, state.Member{})
		return
	}
	in.close(end, t.self)
	open.lower(in.endMS())
}

func (s *shard) knows(in *Tenure) bool {
	for _, t := range s.tenures {
		if t.same(in) {
			return true
		}
	}
	return false
}
