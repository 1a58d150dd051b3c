package claims

import (
	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxHandoverEntries bounds the keys in one handover message.
const maxHandoverEntries = 500

// Successor is the next owner of a shard of a resigning member.
type Successor struct {
	Shard uint16
	To    state.Member
}

// Resign makes the table ignore all further changes, permanently, and returns the
// next owners of the shards that this node answers for. Its ranges are no longer
// extended; keys within them are granted until Drain.
func (t *Table) Resign() []Successor {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned || t.roster == nil {
		return nil
	}
	t.resigned = true
	var successors []Successor
	for i := range t.shards {
		to, ok := t.roster.successor(uint16(i), t.self.ID)
		if ok && t.shards[i].hasState() {
			successors = append(successors, Successor{Shard: uint16(i), To: to})
		}
	}
	return successors
}

// Drain stops all grants in a shard and returns the messages that hand it over. They
// must be sent in order, each after the previous one has been acknowledged, and to
// no other member. Claims get VerdictHandingOver until FinishHandover is called.
func (t *Table) Drain(successor Successor) []Handover {
	tenures, entries := t.shards[successor.Shard].drain(successor.To)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handoverMessages(successor.Shard, tenures, entries)
}

// FinishHandover ends the handover of a shard; claims are now redirected to the
// successor.
func (t *Table) FinishHandover(successor Successor) {
	s := &t.shards[successor.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handingOver = false
	s.handedOver = true
}

func (s *shard) hasState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tenures)+len(s.entries) > 0
}

// drain empties a shard and returns its tenures and entries.
func (s *shard) drain(successor state.Member) ([]Tenure, []Entry) {
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
	s.totalEntries.Add(-int64(len(entries)))
	s.tenures = nil
	s.entries = nil
	s.owner = successor
	s.handingOver = true
	return tenures, entries
}

func (t *Table) handoverMessages(shard uint16, tenures []Tenure, entries []Entry) []Handover {
	var out []Handover
	h := Handover{From: t.self.ID, DomainsHash: t.domainListHash, Shard: shard, Offset: t.offset}
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

// AcceptHandover applies a handover message. Entries only ever deny claims, so they
// are merged at once; tenures come with the last message.
func (t *Table) AcceptHandover(h Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resigned || t.roster == nil || h.Shard >= shardCount {
		return
	}
	s := &t.shards[h.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeEntries(h.Entries)
	if !t.sameDomains(h.DomainsHash) {
		return
	}
	for _, in := range h.Tenures {
		if !s.hasTenure(&in) && (in.Open || in.endMS() >= s.floorMS) {
			t.adoptTenure(s, h, in)
		}
	}
}

// adoptTenure adds one tenure. An open tenure stays open only if the same tenure is
// in force by this node's roster.
func (t *Table) adoptTenure(s *shard, h Handover, in Tenure) {
	in.LowMS = max(in.LowMS, s.floorMS)
	if in.Open {
		t.adoptOpenTenure(s, h, &in)
	}
	s.tenures = append(s.tenures, &in)
}

func (t *Table) adoptOpenTenure(s *shard, h Handover, in *Tenure) {
	in.HandoverOffset = h.Offset
	current := t.roster.owners[h.Shard]
	open := s.open()
	successor, _ := t.roster.successor(h.Shard, h.From)
	same := current.owner == h.From && current.openedBy == in.acquiredBy() && in.acquiredBy().known() && current.interimJoinOffset <= h.Offset
	if open == nil && same && successor.ID == t.self.ID {
		return
	}
	end := Change{Member: h.From, Ended: true}
	if open == nil || open.OpenedBy != end || !open.directlyFollows(in.acquiredBy(), h.Offset) {
		in.close(Change{}, state.Member{})
		return
	}
	in.close(end, t.self)
	open.lowerStart(in.endMS())
}

func (s *shard) hasTenure(in *Tenure) bool {
	for _, t := range s.tenures {
		if t.sameTenure(in) {
			return true
		}
	}
	return false
}
