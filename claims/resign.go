package claims

import (
	"iter"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxHandoverEntries bounds the keys in one handover message.
const maxHandoverEntries = 500

// OutgoingHandover is one shard to be handed over: the messages must be sent
// in order, each after the one before has been acknowledged, all to one member.
type OutgoingHandover struct {
	To       state.Member
	Messages []Handover
}

// Resign lets go of one shard after the other, for good, and yields what its
// next owner needs to go on in this node's place. The caller sends it before
// it asks for the next shard; meanwhile claims on this shard are answered
// VerdictMoving, so that nobody asks the heir too early.
func (t *Table) Resign() iter.Seq[OutgoingHandover] {
	return func(yield func(OutgoingHandover) bool) {
		t.mu.Lock()
		if t.resigned || t.roster == nil {
			t.mu.Unlock()
			return
		}
		t.resigned = true
		t.mu.Unlock()
		for i := range t.shards {
			if !t.handOver(uint16(i), yield) {
				return
			}
		}
	}
}

func (t *Table) handOver(i uint16, yield func(OutgoingHandover) bool) bool {
	heir, ok := t.roster.heir(i, t.self.ID)
	tenures, entries := t.shards[i].drain(heir)
	defer t.shards[i].setMoved()
	if !ok || len(tenures)+len(entries) == 0 {
		return true
	}
	return yield(OutgoingHandover{To: heir, Messages: t.messages(i, tenures, entries)})
}

func (s *shard) setMoved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moving = false
	s.moved = true
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
	h := Handover{From: t.self.ID, Domains: t.domains, Shard: shard}
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
	if h.Domains != t.domains {
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
	now := t.roster.owners[h.Shard]
	open := s.open()
	heir, _ := t.roster.heir(h.Shard, h.From)
	same := now.owner == h.From && now.opened == in.since() && in.since().known()
	if open == nil && same && heir.ID == t.self.ID {
		return
	}
	end := Change{Member: h.From, Ended: true}
	if open == nil || open.Opened != end || !open.follows(in.since()) {
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
