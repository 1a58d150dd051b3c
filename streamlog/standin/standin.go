// Package standin is an in-memory stand-in of the platform's log service for
// tests and the demo. Faults can be injected from code or over HTTP: an outage,
// delays, lost requests and responses of appends, retention, and a rolled-back
// tail.
package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// ErrDown reports an outage before the request had any effect.
var ErrDown = errors.New("log service is down")

// Faults are the injected faults. The zero value means none.
type Faults struct {
	// Down refuses every request without effect.
	Down bool `json:"down"`
	// DropResponses is the number of next appends that take effect but whose
	// responses are lost; a negative number means all appends.
	DropResponses int `json:"lose_answers"`
	// DropRequests is the number of next appends that are lost without effect; the
	// client doesn't learn the outcome.
	DropRequests int `json:"lose_requests"`
	// DelayMS delays every request, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Retain is the number of records kept per stream; zero keeps all.
	Retain int `json:"retain"`
}

// Service holds the streams. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	reads   uint64 // reads and appends that took effect
	appends uint64
}

// stream holds the retained records; oldest is the offset of the first.
type stream struct {
	oldest  uint64
	records [][]byte
}

func (st *stream) next() uint64 { return st.oldest + uint64(len(st.records)) }

// New returns an empty service without faults.
func New() *Service { return &Service{streams: map[string]*stream{}} }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.retainLast(f.Retain)
	}
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Rollback drops the records of a stream from an offset on, like a service that
// has lost its latest writes.
func (s *Service) Rollback(name string, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if next >= st.next() {
		return
	}
	if next <= st.oldest {
		st.oldest = next
		st.records = nil
		return
	}
	st.records = st.records[:next-st.oldest]
}

// Expire drops the records of a stream before an offset.
func (s *Service) Expire(name string, oldest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if oldest > st.oldest {
		st.retainLast(int(st.next() - min(oldest, st.next())))
		st.oldest = min(oldest, st.next())
	}
}

// Counts returns the number of reads and appends that took effect.
func (s *Service) Counts() (reads, appends uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.appends
}

// Stream returns an in-process client of one stream, subject to the faults.
func (s *Service) Stream(name string) streamlog.Log { return &localLog{service: s, name: name} }

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{}
		s.streams[name] = st
	}
	return st
}

// retainLast drops all but the last n records; zero keeps all.
func (st *stream) retainLast(n int) {
	if n <= 0 || len(st.records) <= n {
		return
	}
	drop := len(st.records) - n
	st.oldest += uint64(drop)
	st.records = append([][]byte(nil), st.records[drop:]...)
}

func (s *Service) append(ctx context.Context, name string, data []byte) (uint64, error) {
	if err := s.wait(ctx); err != nil {
		return 0, errors.Join(streamlog.ErrOutcomeUnknown, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, ErrDown
	}
	if s.faults.DropRequests > 0 {
		s.faults.DropRequests--
		return 0, streamlog.ErrOutcomeUnknown
	}
	st := s.stream(name)
	offset := st.next()
	st.records = append(st.records, append([]byte(nil), data...))
	st.retainLast(s.faults.Retain)
	s.appends++
	if s.faults.DropResponses == 0 {
		return offset, nil
	}
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
	}
	return 0, streamlog.ErrOutcomeUnknown
}

func (s *Service) read(ctx context.Context, name string, from uint64, limit int) (streamlog.Page, error) {
	if err := s.wait(ctx); err != nil {
		return streamlog.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return streamlog.Page{}, ErrDown
	}
	s.reads++
	st := s.stream(name)
	page := streamlog.Page{Oldest: st.oldest, Next: st.next()}
	for offset := max(from, st.oldest); offset < st.next() && len(page.Entries) < limit; offset++ {
		page.Entries = append(page.Entries, streamlog.Entry{Offset: offset, Data: st.records[offset-st.oldest]})
	}
	return page, nil
}

// wait waits for the injected delay. It returns an error if ctx ends first.
func (s *Service) wait(ctx context.Context) error {
	delay := time.Duration(s.Faults().DelayMS) * time.Millisecond
	wait.For(ctx, delay)
	return ctx.Err()
}

// localLog is an in-process client of one stream.
type localLog struct {
	service *Service
	name    string
}

func (l *localLog) Append(ctx context.Context, data []byte) (uint64, error) {
	return l.service.append(ctx, l.name, data)
}

func (l *localLog) Read(ctx context.Context, from uint64, limit int) (streamlog.Page, error) {
	return l.service.read(ctx, l.name, from, limit)
}
