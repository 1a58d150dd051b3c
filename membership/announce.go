package membership

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// announceRetryInterval is the least time between attempts to announce.
	announceRetryInterval = 2 * time.Second
	// maxAnnounceContactAge is the age of the log contact above which a node does
	// not announce itself, since it may have been paused.
	maxAnnounceContactAge = time.Minute
)

// announcer schedules the announcements of this node.
type announcer struct {
	// lastAttempt is when the latest append started; repeatAt is when the
	// announcement must be repeated.
	lastAttempt time.Time
	repeatAt    time.Time
}

// attempted reports whether other nodes may know of this incarnation.
func (a *announcer) attempted() bool { return !a.lastAttempt.IsZero() }

// due reports whether to announce now. present says whether the state contains
// the announcement.
func (a *announcer) due(present bool, now time.Time) bool {
	if now.Before(a.lastAttempt.Add(announceRetryInterval)) {
		return false
	}
	return !present || !now.Before(a.repeatAt)
}

// makeDue makes the announcement due again.
func (a *announcer) makeDue() { a.repeatAt = time.Time{} }

// announceSelf announces this incarnation, or repeats the announcement.
func (s *Service) announceSelf(ctx context.Context) {
	r, due := s.nextAnnouncement()
	if !due {
		return
	}
	if _, err := s.append(ctx, r); err != nil {
		s.opts.Logger.Warn("announcement failed", "error", err)
		return
	}
	s.mu.Lock()
	s.announce.repeatAt = s.opts.Now().Add(s.opts.jitter(s.opts.Intervals.Refresh))
	s.mu.Unlock()
	_ = s.poll(ctx)
}

func (s *Service) nextAnnouncement() (state.AnnounceRecord, bool) {
	now := s.opts.Now()
	snap := s.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	member, present := snap.Members[s.opts.Self.ID]
	if !present {
		member = s.opts.Self
	}
	if !s.active() || now.Sub(snap.LogContact) > maxAnnounceContactAge || !s.announce.due(present, now) {
		return state.AnnounceRecord{}, false
	}
	s.announce.lastAttempt = now
	return state.AnnounceRecord{Member: member, AsOfOffset: s.fold.Offset()}, true
}
