package membership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// maxKeysPerRecord bounds the keys in one record of a refresh.
const maxKeysPerRecord = 512

// unknownVersionRefreshIntervals is the number of refresh intervals after which a
// node that does not know the version writes a refresh with the state it has. By
// then every node that knows the version has had its turn.
const unknownVersionRefreshIntervals = 2

// maintenance tracks the records that this node may have to append on behalf of
// all nodes.
type maintenance struct {
	refreshInterval time.Duration
	// refreshDue is when the first-ranked node refreshes the configuration.
	refreshDue time.Time
	// unloggedSince is when this node first had items that are not in the log;
	// zero means that there are none.
	unloggedSince time.Time
	// logReachableSince is when the log's head could be read again after an
	// outage. The waits by rank start then; otherwise all nodes would append at
	// the same time after an outage.
	logReachableSince time.Time
	// appendOwed is set while an item that this node accepted itself is not in
	// the log.
	appendOwed bool
}

// maxLogContactAge is the age of the log contact above which a node considers the
// log unavailable and appends nothing on behalf of all nodes.
const maxLogContactAge = 15 * time.Second

// newMaintenance spreads the first refresh over the interval, so that refreshes
// happen even in a fleet whose nodes are replaced more often than once per
// interval.
func newMaintenance(now time.Time, rand uint64, refreshInterval time.Duration) maintenance {
	return maintenance{refreshInterval: refreshInterval, refreshDue: now.Add(time.Duration(rand % uint64(refreshInterval)))}
}

// observeRecord postpones the refresh if a record of the log is a refresh of
// version, the one in force. The refresh of an earlier version, read again after a
// rollback, does not count.
func (m *maintenance) observeRecord(rec state.Record, version uint64, now time.Time) {
	if r, ok := rec.(state.RefreshRecord); ok && r.Version >= version {
		m.refreshDue = now.Add(m.refreshInterval)
	}
}

// makeDue makes the refresh due now.
func (m *maintenance) makeDue(now time.Time) { m.refreshDue = now }

// trackUnlogged records whether items are missing from the log.
func (m *maintenance) trackUnlogged(missing bool, now time.Time) {
	if !missing {
		m.unloggedSince = time.Time{}
		m.appendOwed = false
		return
	}
	if m.unloggedSince.IsZero() {
		m.unloggedSince = now
	}
}

// waitStart returns when the waits by rank start for an append that became due at
// dueSince.
func (m *maintenance) waitStart(dueSince time.Time) time.Time {
	if m.logReachableSince.After(dueSince) {
		return m.logReachableSince
	}
	return dueSince
}

// maintain appends all records that are due.
func (s *Service) maintain(ctx context.Context) {
	s.announceSelf(ctx)
	s.appendUnlogged(ctx)
	s.appendRefresh(ctx)
	s.removeDeadMembers(ctx)
}

// logUnavailable reports whether this node's log contact is too old.
func (s *Service) logUnavailable(now time.Time) bool {
	return now.Sub(s.Snapshot().LogContact) > maxLogContactAge
}

// recordLogContact records a log contact as of a time if every record before head
// is applied. The caller must hold s.mu.
func (s *Service) recordLogContact(head uint64, asOf time.Time) bool {
	previous := s.Snapshot().LogContact
	if !s.fold.RecordLogContact(head, asOf) {
		return false
	}
	if asOf.Sub(previous) > maxLogContactAge {
		s.maintenance.logReachableSince = s.opts.Now()
	}
	return true
}

// rankWait returns how long this node leaves an append to the nodes ranked before
// it.
func (s *Service) rankWait(purpose string) time.Duration {
	return time.Duration(rendezvousRank(s.Snapshot(), s.opts.Self.ID, purpose)) * s.opts.Intervals.RankDelay
}

// appendUnlogged appends the items that were learned outside the log and are not
// in it yet.
func (s *Service) appendUnlogged(ctx context.Context) {
	now := s.opts.Now()
	s.mu.Lock()
	unlogged := s.fold.Unlogged()
	s.maintenance.trackUnlogged(!unlogged.Empty(), now)
	hasUnlogged, appendOwed := !s.maintenance.unloggedSince.IsZero(), s.maintenance.appendOwed
	waitStart := s.maintenance.waitStart(s.maintenance.unloggedSince)
	s.mu.Unlock()
	if !appendOwed && s.logUnavailable(now) {
		return
	}
	if !hasUnlogged || !appendOwed && now.Before(waitStart.Add(s.rankWait("outside"))) {
		return
	}
	if err := s.appendAll(ctx, unlogged.Records()); err != nil {
		s.opts.Logger.Warn("pending items not appended to the log", "error", err)
		return
	}
	_ = s.poll(ctx)
}

// appendRefresh appends the withdrawals, the issued keys and the configuration
// again before the log's retention drops them.
func (s *Service) appendRefresh(ctx context.Context) {
	now := s.opts.Now()
	s.mu.Lock()
	due := s.maintenance.refreshDue
	if !s.fold.VersionKnown() {
		due = due.Add(unknownVersionRefreshIntervals * s.opts.Intervals.Refresh)
	}
	empty := s.fold.Offset() == 0
	waitStart := s.maintenance.waitStart(due)
	s.mu.Unlock()
	if empty || s.logUnavailable(now) || now.Before(due) || now.Before(waitStart.Add(s.rankWait("refresh"))) {
		return
	}
	s.mu.Lock()
	records := refreshRecords(s.fold)
	s.mu.Unlock()
	if err := s.appendAll(ctx, records); err != nil {
		s.opts.Logger.Warn("configuration not refreshed", "error", err)
		return
	}
	_ = s.poll(ctx)
}

// refreshRecords returns the records of a refresh. The configuration comes last,
// since it marks the refresh as complete.
func refreshRecords(fold *state.Fold) []state.Record {
	snap := fold.Snapshot()
	records := state.Unlogged{Withdrawn: slices.Sorted(maps.Keys(snap.Withdrawn))}.Records()
	for keys := range slices.Chunk(fold.IssuedKeys(), maxKeysPerRecord) {
		records = append(records, state.KeysRecord{Keys: keys})
	}
	return append(records, state.RefreshRecord{
		Version:    snap.Version,
		ChangeID:   snap.ChangeID,
		File:       snap.File,
		AsOfOffset: snap.Offset,
	})
}

// appendAll appends idempotent records.
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
	ctx, cancel := s.opts.logContext(ctx)
	defer cancel()
	return s.opts.Log.Append(ctx, data)
}
