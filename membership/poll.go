package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

const (
	// pageRecords is the number of records requested in one read.
	pageRecords = 500
	// maxPages bounds the pages read by one poll.
	maxPages = 10_000
)

// errHeadNotReached reports a log that grows faster than it is read.
var errHeadNotReached = errors.New("log's head not reached")

// logReader serializes reads of the log.
type logReader struct {
	mu sync.Mutex
	// failing is set while reads fail.
	failing bool
}

// poll reads the log up to its head and applies the new records.
func (s *Service) poll(ctx context.Context) error {
	s.logReader.mu.Lock()
	defer s.logReader.mu.Unlock()
	for range maxPages {
		atHead, err := s.readPage(ctx)
		if err != nil {
			s.readFailed(err)
			return err
		}
		if atHead {
			s.readSucceeded()
			return nil
		}
	}
	return errHeadNotReached
}

func (s *Service) readSucceeded() {
	if !s.logReader.failing {
		return
	}
	s.logReader.failing = false
	s.opts.Logger.Info("log can be read again")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maintenance.logReachableSince = s.opts.Now()
}

func (s *Service) readFailed(err error) {
	if !s.logReader.failing {
		s.opts.Logger.Warn("log can't be read", "error", err)
	}
	s.logReader.failing = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requireVerification()
}

// readPage reads and applies one page. It reports whether the read reached the
// head of the log. A page with new records is applied only after a read that
// starts one record earlier has found the last applied record unchanged. An idle
// log is not read twice.
func (s *Service) readPage(ctx context.Context) (bool, error) {
	from, wantHash := s.readPosition()
	readStarted := s.opts.Now()
	ctx, cancel := s.opts.logContext(ctx)
	defer cancel()
	page, err := s.opts.Log.Read(ctx, from, pageRecords)
	if err != nil {
		return false, err
	}
	if err := page.Check(from); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	if rolledBack(page, from, wantHash) {
		s.restartRead(page)
		return false, nil
	}
	if wantHash == 0 && len(page.Entries) > 0 && s.canVerify(from) {
		s.verifyNext = true
		return false, nil
	}
	if wantHash != 0 {
		s.verifiedOffset = from + 1
	}
	atHead, err := s.applyPage(page, from, readStarted)
	// The next page can start with the verification directly, unless this page
	// held nothing but the verified record.
	s.verifyNext = wantHash != 0 && !atHead && s.cursor > s.verifiedOffset
	return atHead, err
}

// canVerify reports whether a read that starts one record before an offset could
// verify that the log still holds the last applied record, and whether that has
// not been verified yet. The caller must hold s.mu.
func (s *Service) canVerify(from uint64) bool {
	return from > 0 && from == s.fold.Offset() && from != s.verifiedOffset && s.fold.LastHash() != 0
}

// requireVerification makes the next read start one record early, to verify the
// last applied record. The caller must hold s.mu.
func (s *Service) requireVerification() {
	s.verifyNext = true
	s.verifiedOffset = 0
}

// readPosition returns the offset to read from and, if the record there is the
// last applied one, its hash.
func (s *Service) readPosition() (from, wantHash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = s.cursor
	if s.verifyNext && s.canVerify(from) {
		return from - 1, s.fold.LastHash()
	}
	return from, 0
}

// rolledBack reports whether the log has lost records that were read earlier.
func rolledBack(page streamlog.Page, from, wantHash uint64) bool {
	if page.Next < from {
		return true
	}
	if wantHash == 0 || page.Oldest > from {
		return false
	}
	if len(page.Entries) == 0 {
		return page.Next == from
	}
	return state.RecordHash(page.Entries[0].Data) != wantHash
}

// restartRead makes the next read start at the log's oldest record. The state is
// kept. The caller must hold s.mu.
func (s *Service) restartRead(page streamlog.Page) {
	s.opts.Logger.Error("log was rolled back; keeping this node's state and reading the log again",
		"offset", s.fold.Offset(), "version", s.fold.Version(), "log_next", page.Next)
	s.cursor = page.Oldest
	s.verifyNext = false
	s.recordTail.reset()
	s.maintenance.makeDue(s.opts.Now())
	s.announce.makeDue()
}

// applyPage applies the entries of a page and records the log contact if the page
// reaches the head. The caller must hold s.mu.
func (s *Service) applyPage(page streamlog.Page, from uint64, readStarted time.Time) (bool, error) {
	rereading := s.rereading()
	if page.Oldest > from && page.Oldest > s.cursor {
		s.skipTo(page.Oldest)
	}
	for _, e := range page.Entries {
		if !rereading && e.Offset < s.fold.Offset() {
			continue
		}
		if err := s.applyEntry(wireRecord{Offset: e.Offset, Data: e.Data}); err != nil {
			return false, err
		}
	}
	if !rereading {
		s.cursor = s.fold.Offset()
	}
	if s.cursor < page.Next {
		if len(page.Entries) == 0 {
			return false, fmt.Errorf("%w: no records before the log's head", streamlog.ErrBadResponse)
		}
		return false, nil
	}
	s.recordLogContact(page.Next, readStarted)
	return true, nil
}

// rereading reports whether a rolled-back log is being read again. The caller
// must hold s.mu.
func (s *Service) rereading() bool { return s.cursor < s.fold.Offset() }

// skipTo skips the records before oldest, which the log no longer holds. The
// caller must hold s.mu.
func (s *Service) skipTo(oldest uint64) {
	s.cursor = oldest
	if oldest <= s.fold.Offset() {
		return
	}
	empty := s.fold.Offset() == 0
	s.fold.SkipTo(oldest, s.opts.Now())
	s.recordTail.reset()
	if empty {
		return
	}
	s.opts.Logger.Error("records expired before this node read them", "oldest", oldest)
	if s.announce.attempted() {
		s.end("its end may be among records that expired unread")
	}
}

// applyEntry applies one record of the log. Records must be applied in order. The
// caller must hold s.mu.
func (s *Service) applyEntry(r wireRecord) error {
	inOrder := r.Offset == s.fold.Offset()
	prevHash := s.fold.LastHash()
	rec, err := s.fold.Apply(r.Offset, r.Data, s.opts.Now())
	if errors.Is(err, state.ErrGap) {
		return err
	}
	if inOrder {
		s.recordTail.add(r, prevHash)
	}
	s.cursor = r.Offset + 1
	if err != nil {
		s.opts.Logger.Info("record is void", "offset", r.Offset, "reason", err)
	}
	s.maintenance.observeRecord(rec, s.fold.Version(), s.opts.Now())
	return nil
}
