package membership

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Announcing.
const (
	// announceRetry is the least time between tries to announce.
	announceRetry = 2 * time.Second
	// maxContactAge is the age of the contact with the log at which a node no
	// longer announces itself: it may have been paused.
	maxContactAge = time.Minute
)

// announcer schedules the announcements of this node.
type announcer struct {
	// tried is when an append was last begun; next when the announcement must
	// be repeated.
	tried time.Time
	next  time.Time
}

// begun reports whether this incarnation may be known to others.
func (a *announcer) begun() bool { return !a.tried.IsZero() }

// due reports whether to announce now. present tells whether the announcement
// is part of the state.
func (a *announcer) due(present bool, now time.Time) bool {
	if now.Before(a.tried.Add(announceRetry)) {
		return false
	}
	return !present || !now.Before(a.next)
}

// restore makes the announcement due again.
func (a *announcer) restore() { a.next = time.Time{} }

// announceSelf announces this incarnation, or repeats the announcement.
func (s *Service) announceSelf(ctx context.Context) {
	r, due := s.nextAnnouncement()
	if !due {
		return
	}
	if _, err := s.append(ctx, r); err != nil {
		s.o.Logger.Warn("announcement failed", "error", err)
		return
	}
	s.mu.Lock()
	s.announce.next = s.o.Now().Add(s.o.jitter(s.o.Intervals.Refresh))
	s.mu.Unlock()
	_ = s.poll(ctx)
}

func (s *Service) nextAnnouncement() (state.AnnounceRecord, bool) {
	now := s.o.Now()
	snap := s.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	member, present := snap.Members[s.o.Self.ID]
	if !present {
		member = s.o.Self
	}
	if !s.active() || now.Sub(snap.LogContact) > maxContactAge || !s.announce.due(present, now) {
		return state.AnnounceRecord{}, false
	}
	s.announce.tried = now
	return state.AnnounceRecord{Member: member, Seen: s.fold.Offset()}, true
}
