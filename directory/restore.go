package directory

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
)

const (
	// configTrustDelay is how long after a new incarnation of the store was first
	// seen a read of its configuration confirms nothing unless the configuration was
	// written in that incarnation: a lost version that no node here has seen may have
	// withdrawn keys, and the operator writes lost versions again. The delay stays
	// below the bound for key withdrawal less the age of the configuration at an
	// outage.
	configTrustDelay = 2 * time.Second
	// lostRecordGrace is how long records lost by the store are kept: about 2 s
	// within which live nodes write theirs again, and the time until this node sees
	// the new incarnation.
	lostRecordGrace = 3 * time.Second
	// Nodes write their records again spread over rewriteSpreadPerNode for each node,
	// at most maxRewriteSpread.
	rewriteSpreadPerNode = time.Millisecond
	maxRewriteSpread     = time.Second
	// A fresh process requests the state from configFetchPeers peers, for at most
	// configFetchTimeout, before it puts the configuration of a store in force that
	// may have been restored from a backup.
	configFetchPeers   = 4
	configFetchTimeout = 500 * time.Millisecond
)

// incarnationState is what a Directory knows about the store's incarnations. It is
// embedded in the Directory and guarded by its mutex.
type incarnationState struct {
	// incarnation is the newest known incarnation; incarnationSeenAt is when it
	// became known.
	incarnation       uint64
	incarnationSeenAt boottime.Instant
	// membersIncarnation is the incarnation of which all member records are applied.
	membersIncarnation uint64
	// configUntrusted is set while reads of the configuration don't confirm it;
	// olderConfigLogged once the store has returned a configuration older than the
	// one in force.
	configUntrusted   bool
	olderConfigLogged bool
	// pruneAt is when records lost by the store are dropped; zero if there are none.
	pruneAt boottime.Instant
}

// observeIncarnation records an incarnation of the store if it is newer than the
// known one. It resets the offsets, since those of earlier incarnations don't apply, and
// the record that the store is known to hold, which may be lost, and has reads confirm the
// configuration in force only as confirmsConfig allows. d.mu is held.
func (d *Directory) observeIncarnation(incarnation uint64, from string) {
	if incarnation <= d.incarnation {
		return
	}
	s := d.Snapshot()
	d.options.Log.Info("store incarnation", "incarnation", incarnation, "before", d.incarnation, "from", from,
		"config_version", s.Version, "config_age_ms", d.ConfigAge().Milliseconds(), "members", len(d.records))
	d.incarnation, d.incarnationSeenAt = incarnation, boottime.Now()
	d.membersOffset = 0
	d.configOffset.Store(0)
	d.ownStored = storedRecord{Incarnation: incarnation}
	d.held.replace(Record{}) // until it is read or written again
	d.configUntrusted, d.olderConfigLogged = s.Config != nil, false
}

// membersReloaded is called after all member records of an incarnation were read.
// Records that the incarnation lacks are scheduled to be pruned, and the node's own
// record to be written again. d.mu is held.
func (d *Directory) membersReloaded(incarnation uint64, ownSeen bool) {
	d.membersIncarnation = incarnation
	if !ownSeen && d.ownWritten && d.ownWrittenIncarnation < incarnation {
		d.ownWritten = false
		d.signalWrite()
	}
	for _, r := range d.records {
		if r.lostBefore(incarnation) {
			d.pruneAt = d.incarnationSeenAt.Add(lostRecordGrace)
			return
		}
	}
}

// lostBefore reports whether a record was read from the store, but only in an
// incarnation before the given one. Records received from their nodes are not lost.
func (s storedRecord) lostBefore(incarnation uint64) bool {
	return s.Offset > 0 && s.Incarnation < incarnation
}

// prune drops lost records that their nodes have not written again in time.
func (d *Directory) prune() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pruneAt == 0 || boottime.Now() < d.pruneAt {
		return
	}
	d.pruneAt = 0
	var gone []string
	for name, r := range d.records {
		if r.lostBefore(d.membersIncarnation) {
			gone = append(gone, name)
			delete(d.records, name)
		}
	}
	if len(gone) > 0 {
		d.options.Log.Warn("records fell out of the store and were not written again", "nodes", gone, "incarnation", d.incarnation)
		d.publishMembers()
	}
}

// confirmsConfig reports whether a read of the configuration confirms that no newer
// one was written before the read was sent. d.mu is held.
func (d *Directory) confirmsConfig(page Page, whole bool, sent boottime.Instant) bool {
	if !d.configUntrusted {
		return true
	}
	for _, i := range page.Items {
		// Records of the tail were written in this incarnation.
		if !whole && i.Key == d.options.Topics.ConfigKey {
			d.configUntrusted = false
		}
	}
	if sent > d.incarnationSeenAt.Add(configTrustDelay) {
		d.configUntrusted = false
	}
	return !d.configUntrusted
}

// logOlderConfig logs once per incarnation that a received configuration is older
// than the one in force. d.mu is held.
func (d *Directory) logOlderConfig(version uint64, from string) {
	if d.olderConfigLogged || version >= d.Snapshot().Version {
		return
	}
	d.olderConfigLogged = true
	d.options.Log.Warn("older configuration left aside", "version", version, "in_force", d.Snapshot().Version,
		"from", from, "incarnation", d.incarnation)
}

// fetchConfigFromPeers requests the state of peers before the first configuration
// of a store that may have been restored from a backup is put in force.
func (d *Directory) fetchConfigFromPeers(ctx context.Context) {
	if d.options.Store.Incarnation() == 0 || d.Snapshot().Config != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	select {
	case <-d.membersLoaded:
	case <-ctx.Done():
	}
	peers := d.randomPeers(configFetchPeers)
	done := make(chan struct{}, len(peers))
	for _, m := range peers {
		go func() {
			if _, err := d.requestState(ctx, m); err != nil {
				d.options.Log.Debug("state request to peer failed", "peer", string(m.ID), "error", err)
			}
			done <- struct{}{}
		}()
	}
	for range peers {
		if <-done; d.Snapshot().Config != nil {
			return
		}
	}
}

// Incarnation returns the newest known incarnation of the store and how long it has
// been known; zero while the store reports none.
func (d *Directory) Incarnation() (uint64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.incarnation == 0 {
		return 0, 0
	}
	return d.incarnation, boottime.Now().Sub(d.incarnationSeenAt)
}
