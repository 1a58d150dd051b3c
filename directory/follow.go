package directory

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
)

const (
	// callTimeout bounds a call, in addition to the time that it may wait for records.
	callTimeout   = 1500 * time.Millisecond
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// pausedCheckInterval is how often a paused follower checks whether to resume.
	pausedCheckInterval = 100 * time.Millisecond
)

// follower reads the latest records of one topic, then follows its tail.
type follower struct {
	store Store
	topic string
	wait  time.Duration // how long a poll waits for records
	// batchDelay is the pause after records have arrived, settleDelay the pause
	// after the first read, in which nodes that start together announce themselves.
	batchDelay, settleDelay time.Duration
	// backoff lengthens the pause after a failed call; nil leaves it as it is.
	backoff func(time.Duration) time.Duration
	// beforeFirstApply is called between the first read and its apply; it may be nil.
	beforeFirstApply func(ctx context.Context)
	// apply applies a page of the tail, or of all latest records if whole is set. sent
	// is when the read was sent.
	apply func(page Page, whole bool, sent boottime.Instant)
	// resume returns false while another node follows the topic for this one,
	// otherwise the position up to which this node knows the topic.
	resume func() (position, bool)
	log    *slog.Logger

	offset      uint64
	incarnation uint64 // incarnation of the store to which offset belongs
	synced      bool
	everSynced  bool // has been synced at least once
	skipWait    bool // the next poll doesn't wait
	unavailable bool
}

// position is where to resume following a topic.
type position struct {
	offset      uint64
	incarnation uint64
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if f.everSynced && f.resume != nil {
			known, ok := f.resume()
			if !ok {
				f.skipWait = true
				wait.For(ctx, pausedCheckInterval)
				continue
			}
			f.catchUp(known)
		}
		err := f.readOnce(ctx)
		if err == nil {
			f.logRegained()
			delay = minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.logLost(err)
		pause := delay
		if f.backoff != nil {
			pause = f.backoff(delay)
		}
		wait.For(ctx, pause)
		delay = min(2*delay, maxRetryDelay)
	}
}

// catchUp advances the follower to a position learned from peers. In a newer
// incarnation of the store, all latest records are read again.
func (f *follower) catchUp(known position) {
	switch {
	case known.incarnation > f.incarnation:
		f.synced = false
	case known.incarnation == f.incarnation:
		f.offset = max(f.offset, known.offset)
	}
}

func (f *follower) readOnce(ctx context.Context) error {
	sent := boottime.Now()
	if !f.synced {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		page, err := f.store.Latest(callCtx, f.topic)
		if err != nil {
			return err
		}
		if !f.everSynced && f.beforeFirstApply != nil {
			f.beforeFirstApply(ctx)
		}
		f.offset, f.incarnation = page.End, page.Incarnation
		f.apply(page, true, sent)
		if !f.everSynced {
			wait.For(ctx, f.settleDelay)
		}
		f.synced, f.everSynced = true, true
		return nil
	}
	pollWait := f.wait
	if f.skipWait {
		pollWait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	page, err := f.store.Tail(callCtx, f.topic, f.offset, pollWait)
	if errors.Is(err, ErrCompacted) {
		f.log.Info("tail was compacted, reading latest records", "topic", f.topic, "from", f.offset)
		f.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	if page.Incarnation != f.incarnation {
		f.synced = false // offsets have been assigned again
		return nil
	}
	f.offset, f.skipWait = page.End, false
	f.apply(page, false, sent)
	if len(page.Items) > 0 {
		wait.For(ctx, f.batchDelay)
	}
	return nil
}

func (f *follower) logLost(err error) {
	if !f.unavailable {
		f.log.Warn("store lost", "topic", f.topic, "error", err)
	}
	f.unavailable = true
}

func (f *follower) logRegained() {
	if f.unavailable {
		f.log.Info("store regained", "topic", f.topic)
	}
	f.unavailable = false
}
