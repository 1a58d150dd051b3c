package membership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// keysChunk bounds the keys in one record of a refresh.
const keysChunk = 512

// unknownRefreshes is the number of refresh intervals after which a node whose
// version is unknown writes a refresh with what it has. By then every node
// that knows the version has had its turn.
const unknownRefreshes = 2

// duties tracks what this node may have to append on behalf of all.
type duties struct {
	refresh time.Duration
	// refreshDue is when the first-ranked node refreshes the configuration.
	refreshDue time.Time
	// outsideSince is when the first of the items that are not in the log was
	// learned; zero means that there are none.
	outsideSince time.Time
	// reachable is when the log's head was learned again after it could not be.
	// Waits by rank begin then, or all nodes would append at once after an outage.
	reachable time.Time
	// accepted is set while this node owes the log an item that it accepted.
	accepted bool
}

// staleContact is the age of the contact with the log from which a node takes
// the log for away and appends nothing on behalf of all.
const staleContact = 15 * time.Second

// newDuties spreads the first refresh over the interval, so that it happens
// also in a fleet whose nodes are replaced faster than it passes.
func newDuties(now time.Time, rand uint64, refresh time.Duration) duties {
	return duties{refresh: refresh, refreshDue: now.Add(time.Duration(rand % uint64(refresh)))}
}

// observe notes a record of the log; version is the one in force. An earlier
// version's refresh, read again after a rollback, does not count.
func (d *duties) observe(rec state.Record, version uint64, now time.Time) {
	if r, ok := rec.(state.RefreshRecord); ok && r.Version >= version {
		d.refreshDue = now.Add(d.refresh)
	}
}

// restore makes the refresh due now.
func (d *duties) restore(now time.Time) { d.refreshDue = now }

// outside notes whether items are missing from the log.
func (d *duties) outside(missing bool, now time.Time) {
	if !missing {
		d.outsideSince = time.Time{}
		d.accepted = false
		return
	}
	if d.outsideSince.IsZero() {
		d.outsideSince = now
	}
}

// since returns the start of the waits by rank for a duty that fell due at a
// time.
func (d *duties) since(due time.Time) time.Time {
	if d.reachable.After(due) {
		return d.reachable
	}
	return due
}

// upkeep appends what is due.
func (s *Service) upkeep(ctx context.Context) {
	s.announceSelf(ctx)
	s.appendOutside(ctx)
	s.refresh(ctx)
	s.removeGone(ctx)
}

// logAway reports whether this node's contact with the log is stale.
func (s *Service) logAway(now time.Time) bool {
	return now.Sub(s.Snapshot().LogContact) > staleContact
}

// confirm records a contact with the log as of a time if every record before
// next is applied. It is called with mu held.
func (s *Service) confirm(next uint64, begun time.Time) bool {
	before := s.Snapshot().LogContact
	if !s.fold.Confirm(next, begun) {
		return false
	}
	if begun.Sub(before) > staleContact {
		s.duties.reachable = s.o.Now()
	}
	return true
}

// rankWait returns how long this node leaves a duty to those ranked before it.
func (s *Service) rankWait(purpose string) time.Duration {
	return time.Duration(rank(s.Snapshot(), s.o.Self.ID, purpose)) * s.o.Intervals.RankDelay
}

// appendOutside appends what was told outside the log and is not in it.
func (s *Service) appendOutside(ctx context.Context) {
	now := s.o.Now()
	s.mu.Lock()
	outside := s.fold.Outside()
	s.duties.outside(!outside.Empty(), now)
	missing, accepted := !s.duties.outsideSince.IsZero(), s.duties.accepted
	since := s.duties.since(s.duties.outsideSince)
	s.mu.Unlock()
	if !accepted && s.logAway(now) {
		return
	}
	if !missing || !accepted && now.Before(since.Add(s.rankWait("outside"))) {
		return
	}
	if err := s.appendAll(ctx, outside.Records()); err != nil {
		s.o.Logger.Warn("what was told outside the log is not in it yet", "error", err)
		return
	}
	_ = s.poll(ctx)
}

// refresh appends the withdrawals, the issued keys and the configuration again
// before the log forgets them.
func (s *Service) refresh(ctx context.Context) {
	now := s.o.Now()
	s.mu.Lock()
	due := s.duties.refreshDue
	if !s.fold.VersionKnown() {
		due = due.Add(unknownRefreshes * s.o.Intervals.Refresh)
	}
	fresh := s.fold.Offset() == 0
	since := s.duties.since(due)
	s.mu.Unlock()
	if fresh || s.logAway(now) || now.Before(due) || now.Before(since.Add(s.rankWait("refresh"))) {
		return
	}
	s.mu.Lock()
	records := refreshRecords(s.fold)
	s.mu.Unlock()
	if err := s.appendAll(ctx, records); err != nil {
		s.o.Logger.Warn("configuration not refreshed", "error", err)
		return
	}
	_ = s.poll(ctx)
}

// refreshRecords returns the records of a refresh; the configuration is last,
// since it marks the refresh as done.
func refreshRecords(f *state.Fold) []state.Record {
	snap := f.Snapshot()
	records := state.Outside{Withdrawn: slices.Sorted(maps.Keys(snap.Withdrawn))}.Records()
	for keys := range slices.Chunk(f.IssuedKeys(), keysChunk) {
		records = append(records, state.KeysRecord{Keys: keys})
	}
	return append(records, state.RefreshRecord{
		Version:  snap.Version,
		ChangeID: snap.ChangeID,
		File:     snap.File,
		Seen:     snap.Offset,
	})
}

// appendAll appends records whose repetition does no harm.
func (s *Service) appendAll(ctx context.Context, records []state.Record) error {
	for _, r := range records {
		if _, err := s.append(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) append(ctx context.Context, r state.Record) (uint64, error) {
	data, err := state.Encode(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := s.o.logContext(ctx)
	defer cancel()
	return s.o.Log.Append(ctx, data)
}
