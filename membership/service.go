package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Service keeps the snapshot current. It is safe for concurrent use.
type Service struct {
	o        Options
	snapshot atomic.Pointer[state.Snapshot]
	reader   reader
	// heads reads the log on behalf of members that don't.
	heads batcher
	// async runs work that must not hold up a message handler.
	async func(f func())

	// mu guards what follows.
	mu       sync.Mutex
	fold     *state.Fold
	tail     tail
	announce announcer
	duties   duties
	heard    map[state.MemberID]heard
	detector *detector
	// cursor is the next offset to read. It stands below the fold's offset
	// only while a log that was rolled back is read again.
	cursor uint64
	// verify makes the next read begin one record early, to compare it.
	verify bool
	// compared is the offset before which the log was last compared.
	compared uint64
	// leaving is set by Resign; ended once OnEnded was called.
	leaving bool
	ended   bool
}

// New returns a service with an empty snapshot and registers its message
// handlers. It does no I/O.
func New(o Options) (*Service, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Service{
		o:        o,
		async:    func(f func()) { go f() },
		fold:     state.NewFold(o.Parse),
		heard:    map[state.MemberID]heard{},
		detector: newDetector(o.Self, o.Intervals),
		duties:   newDuties(o.Now(), o.Rand(), o.Intervals.Refresh),
	}
	s.heads.run = s.pollForOthers
	s.heads.delay = func() { time.Sleep(batchDelay) }
	s.publish()
	s.registerHandlers()
	return s, nil
}

// Snapshot returns the current state; it is never nil.
func (s *Service) Snapshot() *state.Snapshot { return s.snapshot.Load() }

// Run works until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	s.join(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	s.loop(ctx, &wg, s.pollInterval, s.readHead)
	s.loop(ctx, &wg, s.gossipInterval, s.gossip)
	s.loop(ctx, &wg, s.upkeepInterval, s.upkeep)
	s.loop(ctx, &wg, s.probeInterval, s.probe)
	<-ctx.Done()
	return nil
}

// loop calls step, then waits for an interval, until ctx is done.
func (s *Service) loop(ctx context.Context, wg *sync.WaitGroup, interval func() time.Duration, step func(context.Context)) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			step(ctx)
			if !wait.For(ctx, interval()) {
				return
			}
		}
	}()
}

func (s *Service) gossipInterval() time.Duration { return s.o.jitter(s.o.Intervals.Gossip) }
func (s *Service) upkeepInterval() time.Duration { return s.o.jitter(s.o.Intervals.Upkeep) }
func (s *Service) probeInterval() time.Duration  { return s.o.jitter(s.o.Intervals.Probe / 2) }

// publish makes the state visible. It is called with mu held.
func (s *Service) publish() {
	snap := s.fold.Snapshot()
	s.snapshot.Store(snap)
	if snap.Ended[s.o.Self.ID] {
		s.end("the log has ended this incarnation")
	}
}

// end reports the end of this incarnation, once. It is called with mu held.
func (s *Service) end(reason string) {
	if s.ended || s.leaving {
		return
	}
	s.ended = true
	s.o.Logger.Error("incarnation ended", "member", s.o.Self.ID, "reason", reason)
	s.async(s.o.OnEnded)
}

// active reports whether this incarnation may still be announced. It is
// called with mu held.
func (s *Service) active() bool { return !s.ended && !s.leaving }
