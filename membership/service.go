package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Service keeps a node's snapshot of the shared state current. It is safe for
// concurrent use.
type Service struct {
	opts      Options
	snapshot  atomic.Pointer[state.Snapshot]
	logReader logReader
	// headBatcher reads the log on behalf of the members that use this relay.
	headBatcher batcher
	// async runs work that must not block a message handler.
	async func(f func())

	// mu guards what follows.
	mu          sync.Mutex
	fold        *state.Fold
	recordTail  recordTail
	announce    announcer
	maintenance maintenance
	positions   map[state.MemberID]position
	detector    *detector
	// cursor is the next offset to read. It is below the fold's offset only while
	// a rolled-back log is being read again.
	cursor uint64
	// verifyNext makes the next read start one record early, to verify the last
	// applied record.
	verifyNext bool
	// verifiedOffset is the offset up to which the log was last verified.
	verifiedOffset uint64
	// leaving is set by Resign. ended is set once OnEnded has been called.
	leaving bool
	ended   bool
}

// New returns a service with an empty snapshot and registers its message
// handlers. It does no I/O.
func New(opts Options) (*Service, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Service{
		opts:        opts,
		async:       func(f func()) { go f() },
		fold:        state.NewFold(opts.Parse),
		positions:   map[state.MemberID]position{},
		detector:    newDetector(opts.Self, opts.Intervals),
		maintenance: newMaintenance(opts.Now(), opts.Rand(), opts.Intervals.Refresh),
	}
	s.headBatcher.run = s.pollForOthers
	s.headBatcher.wait = func() { time.Sleep(batchDelay) }
	s.publish()
	s.registerHandlers()
	return s, nil
}

// Snapshot returns the current state; it is never nil.
func (s *Service) Snapshot() *state.Snapshot { return s.snapshot.Load() }

// Run loads the state and keeps it current until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	s.loadInitialState(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	s.loop(ctx, &wg, s.pollInterval, s.refreshHead)
	s.loop(ctx, &wg, s.gossipInterval, s.gossip)
	s.loop(ctx, &wg, s.maintenanceInterval, s.maintain)
	s.loop(ctx, &wg, s.probeInterval, s.probe)
	<-ctx.Done()
	return nil
}

// loop calls step repeatedly, with a wait of interval in between, until ctx is
// done.
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

func (s *Service) gossipInterval() time.Duration { return s.opts.jitter(s.opts.Intervals.Gossip) }
func (s *Service) maintenanceInterval() time.Duration {
	return s.opts.jitter(s.opts.Intervals.Maintenance)
}
func (s *Service) probeInterval() time.Duration {
	return s.opts.jitter(s.opts.Intervals.Probe / 2)
}

// publish makes the current state visible to Snapshot. The caller must hold s.mu.
func (s *Service) publish() {
	snap := s.fold.Snapshot()
	s.snapshot.Store(snap)
	if snap.Ended[s.opts.Self.ID] {
		s.end("the log has ended this incarnation")
	}
}

// end reports the end of this incarnation, once. The caller must hold s.mu.
func (s *Service) end(reason string) {
	if s.ended || s.leaving {
		return
	}
	s.ended = true
	s.opts.Logger.Error("incarnation ended", "member", s.opts.Self.ID, "reason", reason)
	s.async(s.opts.OnEnded)
}

// active reports whether this incarnation may still be announced. The caller must
// hold s.mu.
func (s *Service) active() bool { return !s.ended && !s.leaving }
