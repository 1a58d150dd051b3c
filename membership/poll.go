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

// Reading the log.
const (
	// pageRecords is the number of records asked for in one read.
	pageRecords = 500
	// maxPages bounds the pages read in one go.
	maxPages = 10_000
)

// errNoHead reports a log that grows faster than it is read.
var errNoHead = errors.New("log's head not reached")

// reader serialises reads of the log.
type reader struct {
	mu sync.Mutex
	// failing is set while reads fail.
	failing bool
}

// poll reads the log up to its head and applies what is new.
func (s *Service) poll(ctx context.Context) error {
	s.reader.mu.Lock()
	defer s.reader.mu.Unlock()
	for range maxPages {
		head, err := s.readPage(ctx)
		if err != nil {
			s.readFailed(err)
			return err
		}
		if head {
			s.readSucceeded()
			return nil
		}
	}
	return errNoHead
}

func (s *Service) readSucceeded() {
	if !s.reader.failing {
		return
	}
	s.reader.failing = false
	s.o.Logger.Info("log can be read again")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.duties.reachable = s.o.Now()
}

func (s *Service) readFailed(err error) {
	if !s.reader.failing {
		s.o.Logger.Warn("log can't be read", "error", err)
	}
	s.reader.failing = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compareAgain()
}

// readPage reads and applies one page. It reports whether the read reached the
// head of the log. A page with news is applied only if it also holds the last
// record applied before, unchanged; an idle log is not read twice.
func (s *Service) readPage(ctx context.Context) (bool, error) {
	from, want := s.readPosition()
	begun := s.o.Now()
	ctx, cancel := s.o.logContext(ctx)
	defer cancel()
	page, err := s.o.Log.Read(ctx, from, pageRecords)
	if err != nil {
		return false, err
	}
	if err := page.Check(from); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	if rolledBack(page, from, want) {
		s.startOver(page)
		return false, nil
	}
	if want == 0 && len(page.Entries) > 0 && s.comparable(from) {
		s.verify = true
		return false, nil
	}
	if want != 0 {
		s.compared = from + 1
	}
	head, err := s.applyPage(page, from, begun)
	// Further pages need no first look without the record before; a page that
	// has room for that record only does.
	s.verify = want != 0 && !head && s.cursor > s.compared
	return head, err
}

// comparable reports whether a read that begins one record before an offset
// would show if the log still holds what was applied, and was not made yet. It
// is called with mu held.
func (s *Service) comparable(from uint64) bool {
	return from > 0 && from == s.fold.Offset() && from != s.compared && s.fold.LastHash() != 0
}

// compareAgain makes the next read begin one record early. It is called with mu
// held.
func (s *Service) compareAgain() {
	s.verify = true
	s.compared = 0
}

// readPosition returns the offset to read from and, if the record there has
// been applied before, its hash.
func (s *Service) readPosition() (from, want uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = s.cursor
	if s.verify && s.comparable(from) {
		return from - 1, s.fold.LastHash()
	}
	return from, 0
}

// rolledBack reports whether the log has lost records that were read before.
func rolledBack(page streamlog.Page, from, want uint64) bool {
	if page.Next < from {
		return true
	}
	if want == 0 || page.Oldest > from {
		return false
	}
	if len(page.Entries) == 0 {
		return page.Next == from
	}
	return state.RecordHash(page.Entries[0].Data) != want
}

// startOver makes the next read begin at the log's start. The state is kept.
// It is called with mu held.
func (s *Service) startOver(page streamlog.Page) {
	s.o.Logger.Error("log was rolled back; keeping this node's state and reading the log again",
		"offset", s.fold.Offset(), "version", s.fold.Version(), "log_next", page.Next)
	s.cursor = page.Oldest
	s.verify = false
	s.tail.reset()
	s.duties.restore(s.o.Now())
	s.announce.restore()
}

// applyPage applies the entries of a page and confirms the contact if the page
// reaches the head. It is called with mu held.
func (s *Service) applyPage(page streamlog.Page, from uint64, begun time.Time) (bool, error) {
	rereading := s.rereading()
	if page.Oldest > from && page.Oldest > s.cursor {
		s.skip(page.Oldest)
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
			return false, fmt.Errorf("%w: no records before its head", streamlog.ErrBadResponse)
		}
		return false, nil
	}
	s.confirm(page.Next, begun)
	return true, nil
}

// rereading reports whether a log that was rolled back is being read again. It
// is called with mu held.
func (s *Service) rereading() bool { return s.cursor < s.fold.Offset() }

// skip passes over records that the log no longer holds. It is called with mu
// held.
func (s *Service) skip(oldest uint64) {
	s.cursor = oldest
	if oldest <= s.fold.Offset() {
		return
	}
	fresh := s.fold.Offset() == 0
	s.fold.Skip(oldest, s.o.Now())
	s.tail.reset()
	if fresh {
		return
	}
	s.o.Logger.Error("records expired before this node read them", "oldest", oldest)
	if s.announce.begun() {
		s.end("its end may be among records that expired unread")
	}
}

// applyEntry applies one record of the log, in order. It is called with mu
// held.
func (s *Service) applyEntry(r wireRecord) error {
	next := r.Offset == s.fold.Offset()
	before := s.fold.LastHash()
	rec, err := s.fold.Apply(r.Offset, r.Data, s.o.Now())
	if errors.Is(err, state.ErrGap) {
		return err
	}
	if next {
		s.tail.add(r, before)
	}
	s.cursor = r.Offset + 1
	if err != nil {
		s.o.Logger.Info("record is void", "offset", r.Offset, "reason", err)
	}
	s.duties.observe(rec, s.fold.Version(), s.o.Now())
	return nil
}
