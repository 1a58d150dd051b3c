package directory

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
)

const (
	// restoreTrust is how long after a new incarnation of the store was met its
	// configuration vouches for nothing unless it is written anew: the operator
	// writes again what fell out, and a version that nobody here has seen may have
	// withdrawn keys. It stays below the revocation bound less the age at an outage.
	restoreTrust = 2 * time.Second
	// restoreGrace is how long records that fell out of the store are believed: the
	// time within which living nodes have written theirs again, about 2 s, and the
	// time until this node has met the incarnation.
	restoreGrace = 3 * time.Second
	// rewriteSpread for each node, at most rewriteSpreadMax, is the time over which
	// records are written again.
	rewriteSpread    = time.Millisecond
	rewriteSpreadMax = time.Second
	// consultPeers are asked before a fresh process puts the configuration of a
	// store in force that may be a copy, for consultTime at most.
	consultPeers = 4
	consultTime  = 500 * time.Millisecond
)

// restored is what the directory keeps of the store's incarnations. It is part
// of a Directory and guarded by its mutex.
type restored struct {
	// incarnation is the newest that is known, met when it became known.
	incarnation uint64
	met         boottime.Instant
	// membersIncarnation is the one that the records reflect.
	membersIncarnation uint64
	// untrusted is set while reads of the configuration don't vouch for it,
	// doubted once the store has shown an older one than is in force.
	untrusted bool
	doubted   bool
	// pruneAt is when records that fell out are dropped; zero if there are none.
	pruneAt boottime.Instant
}

// meet takes note of an incarnation of the store. Offsets of earlier ones say
// nothing in it. d.mu is held.
func (d *Directory) meet(incarnation uint64, from string) {
	if incarnation <= d.incarnation {
		return
	}
	s := d.Snapshot()
	d.options.Log.Info("store incarnation", "incarnation", incarnation, "before", d.incarnation, "from", from,
		"config_version", s.Version, "config_age_ms", d.ConfigAge().Milliseconds(), "members", len(d.records))
	d.incarnation, d.met = incarnation, boottime.Now()
	d.membersNext = 0
	d.configNext.Store(0)
	d.ownPlace = stored{Incarnation: incarnation}
	d.untrusted, d.doubted = s.Config != nil, false
}

// synced follows a whole reading of the members in an incarnation: records that
// it doesn't hold have fallen out. d.mu is held.
func (d *Directory) synced(incarnation uint64, ownSeen bool) {
	d.membersIncarnation = incarnation
	if !ownSeen && d.written && d.writtenIn < incarnation {
		d.written = false
		d.signal()
	}
	for _, r := range d.records {
		if r.fellOut(incarnation) {
			d.pruneAt = d.met.Add(restoreGrace)
			return
		}
	}
}

// fellOut reports whether a record has been in an earlier incarnation only.
// Those that have come from their nodes have not.
func (s stored) fellOut(incarnation uint64) bool { return s.Offset > 0 && s.Incarnation < incarnation }

// prune drops the records of nodes that have not written them again in time.
func (d *Directory) prune() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pruneAt == 0 || boottime.Now() < d.pruneAt {
		return
	}
	d.pruneAt = 0
	var gone []string
	for name, r := range d.records {
		if r.fellOut(d.membersIncarnation) {
			gone = append(gone, name)
			delete(d.records, name)
		}
	}
	if len(gone) > 0 {
		d.options.Log.Warn("records fell out of the store and were not written again", "nodes", gone, "incarnation", d.incarnation)
		d.publishMembers()
	}
}

// vouches reports whether a read of the configuration, sent at an instant, shows
// that no newer one was confirmed before. d.mu is held.
func (d *Directory) vouches(page Page, whole bool, sent boottime.Instant) bool {
	if !d.untrusted {
		return true
	}
	for _, i := range page.Items {
		// What the tail brings was written in this incarnation.
		if !whole && i.Key == d.options.Topics.ConfigKey {
			d.untrusted = false
		}
	}
	if sent > d.met.Add(restoreTrust) {
		d.untrusted = false
	}
	return !d.untrusted
}

// doubt logs that the store holds an older configuration than is in force. d.mu
// is held.
func (d *Directory) doubt(version uint64, from string) {
	if d.doubted || version >= d.Snapshot().Version {
		return
	}
	d.doubted = true
	d.options.Log.Warn("older configuration left aside", "version", version, "in_force", d.Snapshot().Version,
		"from", from, "incarnation", d.incarnation)
}

// consult asks peers for their configuration before the first one of a store
// that may have come back from a copy is put in force.
func (d *Directory) consult(ctx context.Context) {
	if d.options.Store.Incarnation() == 0 || d.Snapshot().Config != nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, consultTime)
	defer stop()
	select {
	case <-d.membersRead:
	case <-ctx.Done():
	}
	peers := d.somePeers(consultPeers)
	done := make(chan struct{}, len(peers))
	for _, m := range peers {
		go func() {
			if _, err := d.askOne(ctx, m); err != nil {
				d.options.Log.Debug("peer not asked", "peer", string(m.ID), "error", err)
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

// Incarnation returns the newest incarnation of the store that is known, and how
// long it has been known; zero while the store tells none.
func (d *Directory) Incarnation() (uint64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.incarnation == 0 {
		return 0, 0
	}
	return d.incarnation, boottime.Now().Sub(d.met)
}
