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
	// callTimeout bounds a call beyond the time that it may wait for records.
	callTimeout = 1500 * time.Millisecond
	retryMin    = 100 * time.Millisecond
	retryMax    = time.Second
	// pausePoll is how often a follower that pauses looks whether to go on.
	pausePoll = 100 * time.Millisecond
)

// follower keeps up with one topic.
type follower struct {
	store Store
	topic string
	wait  time.Duration
	// gather is a pause after records have arrived, settle one after the first
	// reading: nodes that start together announce themselves meanwhile.
	gather, settle time.Duration
	// backoff lengthens the pause after a failed call; nil leaves it as it is.
	backoff func(time.Duration) time.Duration
	// first is called between the first reading and its use; it may be nil.
	first func(ctx context.Context)
	// apply takes in a page of the tail, or of all newest records.
	apply func(page Page, whole bool, sent boottime.Instant)
	// resume returns false while somebody else follows the topic for this node,
	// and otherwise what is known by then.
	resume func() (resumption, bool)
	log    *slog.Logger

	next        uint64
	incarnation uint64 // of the store that next belongs to
	synced      bool
	begun       bool // has been synced
	paused      bool // the next poll doesn't wait
	lost        bool
}

// resumption is where to go on following a topic.
type resumption struct {
	next        uint64
	incarnation uint64
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	delay := retryMin
	for ctx.Err() == nil {
		if f.begun && f.resume != nil {
			known, ok := f.resume()
			if !ok {
				f.paused = true
				wait.For(ctx, pausePoll)
				continue
			}
			f.catchUp(known)
		}
		err := f.step(ctx)
		if err == nil {
			f.regained()
			delay = retryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err)
		pause := delay
		if f.backoff != nil {
			pause = f.backoff(delay)
		}
		wait.For(ctx, pause)
		delay = min(2*delay, retryMax)
	}
}

// catchUp goes on from what is known elsewhere in this node. All newest records
// are read again if the store has come back from a copy.
func (f *follower) catchUp(known resumption) {
	switch {
	case known.incarnation > f.incarnation:
		f.synced = false
	case known.incarnation == f.incarnation:
		f.next = max(f.next, known.next)
	}
}

func (f *follower) step(ctx context.Context) error {
	sent := boottime.Now()
	if !f.synced {
		call, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		page, err := f.store.Latest(call, f.topic)
		if err != nil {
			return err
		}
		if !f.begun && f.first != nil {
			f.first(ctx)
		}
		f.next, f.incarnation = page.End, page.Incarnation
		f.apply(page, true, sent)
		if !f.begun {
			wait.For(ctx, f.settle)
		}
		f.synced, f.begun = true, true
		return nil
	}
	records := f.wait
	if f.paused {
		records = 0
	}
	call, stop := context.WithTimeout(ctx, records+callTimeout)
	defer stop()
	page, err := f.store.Tail(call, f.topic, f.next, records)
	if errors.Is(err, ErrCompacted) {
		f.log.Info("history was dropped, reading newest records", "topic", f.topic, "from", f.next)
		f.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	if page.Incarnation != f.incarnation {
		f.synced = false // offsets have been given out again
		return nil
	}
	f.next, f.paused = page.End, false
	f.apply(page, false, sent)
	if len(page.Items) > 0 {
		wait.For(ctx, f.gather)
	}
	return nil
}

func (f *follower) failed(err error) {
	if !f.lost {
		f.log.Warn("store lost", "topic", f.topic, "error", err)
	}
	f.lost = true
}

func (f *follower) regained() {
	if f.lost {
		f.log.Info("store regained", "topic", f.topic)
	}
	f.lost = false
}
