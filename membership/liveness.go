package membership

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// probersPerSuspect is the number of nodes of a failure domain that start to probe
// a member because another node suspects it.
const probersPerSuspect = 4

// recordExchange records whether a peer responded.
func (s *Service) recordExchange(peer state.Member, err error) {
	if peer.ID == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.observe(peer.ID, err == nil, s.opts.Now())
}

// recordSuspects records a peer's suspicions. The nodes that rank first for a
// suspect start to probe it themselves. The caller must hold s.mu.
func (s *Service) recordSuspects(reporter state.MemberID, suspects []state.MemberID) {
	now := s.opts.Now()
	snap := s.Snapshot()
	suspects = suspects[:min(len(suspects), maxSuspects)]
	s.detector.recordReports(reporter, suspects, now)
	for _, id := range suspects {
		if id == s.opts.Self.ID || s.detector.failing(id) || snap.Members[id].Domain != s.opts.Self.Domain {
			continue
		}
		if rendezvousRankAmong(snap.Domain(s.opts.Self.Domain), s.opts.Self.ID, "probe "+string(id)) < probersPerSuspect {
			s.detector.startProbing(id)
		}
	}
}

// probe exchanges digests with a failing peer, if a probe is due.
func (s *Service) probe(ctx context.Context) {
	snap := s.Snapshot()
	s.mu.Lock()
	s.detector.retainLive(snap.Members)
	id, due := s.detector.dueProbe(s.opts.Now())
	s.mu.Unlock()
	if due {
		_ = s.exchange(ctx, snap.Members[id])
	}
}

// removeDeadMembers appends the ends of the members whose removal is due.
func (s *Service) removeDeadMembers(ctx context.Context) {
	for _, id := range s.removableMembers() {
		s.opts.Logger.Warn("removing a member that is gone", "member", id)
		if err := s.Remove(ctx, id); err != nil {
			s.opts.Logger.Warn("member not removed", "member", id, "error", err)
			return
		}
	}
}

// removableMembers returns the members that this node has to remove now.
func (s *Service) removableMembers() []state.MemberID {
	now := s.opts.Now()
	if s.logUnavailable(now) {
		return nil
	}
	snap := s.Snapshot()
	domain := snap.Domain(s.opts.Self.Domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []state.MemberID
	for _, m := range domain {
		since, removable := s.detector.removable(m.ID, domain, now)
		if removable && !now.Before(s.maintenance.waitStart(since).Add(s.rankWait("remove "+string(m.ID)))) {
			due = append(due, m.ID)
		}
	}
	return due
}
