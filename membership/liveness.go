package membership

import (
	"context"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// probeHelpers is the number of nodes of a failure domain that probe a member
// because another suspects it.
const probeHelpers = 4

// noteContact records whether a peer answered.
func (s *Service) noteContact(to state.Member, err error) {
	if to.ID == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.observe(to.ID, err == nil, s.o.Now())
}

// noteSuspects records a peer's suspicions; the nodes that rank first for a
// suspect begin to probe it themselves. It is called with mu held.
func (s *Service) noteSuspects(by state.MemberID, suspects []state.MemberID) {
	now := s.o.Now()
	snap := s.Snapshot()
	suspects = suspects[:min(len(suspects), maxSuspects)]
	s.detector.report(by, suspects, now)
	for _, id := range suspects {
		if id == s.o.Self.ID || s.detector.failing(id) || snap.Members[id].Domain != s.o.Self.Domain {
			continue
		}
		if rankIn(snap.Domain(s.o.Self.Domain), s.o.Self.ID, "probe "+string(id)) < probeHelpers {
			s.detector.watch(id)
		}
	}
}

// probe exchanges digests with a failing peer, if a probe is due.
func (s *Service) probe(ctx context.Context) {
	snap := s.Snapshot()
	s.mu.Lock()
	s.detector.forget(snap.Members)
	id, due := s.detector.dueProbe(s.o.Now())
	s.mu.Unlock()
	if due {
		_ = s.exchange(ctx, snap.Members[id])
	}
}

// removeGone appends the end of members that are gone.
func (s *Service) removeGone(ctx context.Context) {
	for _, id := range s.goneMembers() {
		s.o.Logger.Warn("removing a member that is gone", "member", id)
		if err := s.Remove(ctx, id); err != nil {
			s.o.Logger.Warn("member not removed", "member", id, "error", err)
			return
		}
	}
}

// goneMembers returns the members whose removal is due at this node.
func (s *Service) goneMembers() []state.MemberID {
	now := s.o.Now()
	if s.logAway(now) {
		return nil
	}
	snap := s.Snapshot()
	domain := snap.Domain(s.o.Self.Domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []state.MemberID
	for _, m := range domain {
		since, gone := s.detector.gone(m.ID, domain, now)
		if gone && !now.Before(s.duties.since(since).Add(s.rankWait("remove "+string(m.ID)))) {
			due = append(due, m.ID)
		}
	}
	return due
}
