package selfreport

import (
	"log/slog"
	"sync"
	"time"
)

// logInterval is the least time between two lines about the same kind of report.
const logInterval = time.Second

// Log writes log lines about what an instance says of itself. An instance may say
// something else in every response, so lines are left out and counted. It is safe for
// concurrent use.
type Log struct {
	logger *slog.Logger

	mu               sync.Mutex
	limited, leaving bool // in the latest line
	changes, invalid throttle
}

// NewLog returns a log that writes to logger.
func NewLog(logger *slog.Logger) *Log { return &Log{logger: logger} }

// Changed logs a change of what the tracker knows; source is where it comes from.
func (l *Log) Changed(now time.Time, t *Tracker, source string) {
	s := t.state.Load()
	l.mu.Lock()
	urgent := (s.rateLimit > 0) != l.limited || s.leaving != l.leaving
	l.limited, l.leaving = s.rateLimit > 0, s.leaving
	left, due := l.changes.due(now, urgent)
	l.mu.Unlock()
	if due {
		l.logger.Info("instance reports on itself", "instance", s.incarnation.ID, "rate_limit", s.rateLimit,
			"leaving", s.leaving, "source", source, "not_logged", left)
	}
}

// Invalid logs that a rate limit could not be read.
func (l *Log) Invalid(now time.Time, t *Tracker, err error) {
	l.mu.Lock()
	left, due := l.invalid.due(now, false)
	l.mu.Unlock()
	if due {
		l.logger.Warn("rate limit of the instance not understood", "instance", t.state.Load().incarnation.ID, "error", err,
			"in_force", t.RateLimit(), "not_logged", left)
	}
}

// throttle limits the lines of one kind.
type throttle struct {
	loggedAt time.Time
	left     int // lines left out since
}

// due reports whether a line is to be written, and how many before it were left out.
func (t *throttle) due(now time.Time, urgent bool) (left int, due bool) {
	if !urgent && now.Sub(t.loggedAt) < logInterval {
		t.left++
		return 0, false
	}
	left = t.left
	t.loggedAt, t.left = now, 0
	return left, true
}
