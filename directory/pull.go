package directory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// pullInterval is the time between two pulls. Together with peerContactSlack it
	// stays below the time within which a configuration must be in force on all
	// nodes.
	pullInterval = 500 * time.Millisecond
	// maxPullPeers and maxPullTime bound the attempts to reach a peer before the
	// node reads the store itself: the store may be unreachable for a third of the
	// nodes or more.
	maxPullPeers = 5
	maxPullTime  = 500 * time.Millisecond
	// peerContactSlack plus the wait of a poll is the longest time since a peer's
	// contact with the store up to which the peer's state is relied on: it covers
	// the poll's response and some delay.
	peerContactSlack = 300 * time.Millisecond
	// unreachablePeerBackoff is how long a peer that didn't respond is skipped.
	unreachablePeerBackoff = 3 * time.Second
)

// pullLoop bounds the age of the state: it requests the state from preceding nodes
// of the failure domain, and makes this node a reader of the store if there are
// none or they have no recent contact with it. While all nodes are reachable one
// node of a failure domain reads for the others.
func (d *Directory) pullLoop(ctx context.Context) {
	for wait.For(ctx, pullInterval) {
		d.mu.Lock()
		d.observeIncarnation(d.options.Store.Incarnation(), "store")
		d.mu.Unlock()
		d.prune()
		d.expireEvacuations()
		reads := !d.pullFromPeers(ctx)
		if d.isReader.Swap(reads) != reads {
			d.options.Log.Info("reader of the store for the failure domain changed", "self", reads,
				"config_age_ms", d.ConfigAge().Milliseconds())
		}
	}
}

// pullFromPeers reports whether a peer has brought the state up to date.
func (d *Directory) pullFromPeers(ctx context.Context) bool {
	began := time.Now()
	for _, peer := range d.precedingPeers() {
		if time.Since(began) > maxPullTime {
			break
		}
		contactAge, err := d.requestState(ctx, peer.member)
		if err != nil {
			d.mu.Lock()
			d.unreachableUntil[peer.name] = time.Now().Add(unreachablePeerBackoff)
			d.mu.Unlock()
			continue
		}
		if contactAge <= d.options.configPollWait()+peerContactSlack {
			advance(&d.storeContactAt, boottime.Now().Add(-contactAge))
			return true
		}
	}
	return false
}

// candidate is a node that precedes this one in its failure domain.
type candidate struct {
	name   string
	rank   uint64
	member state.Member
}

// precedingPeers returns the first maxPullPeers nodes of the failure domain that
// precede this one in the order of the hashes of their names, without those that
// recently didn't respond.
func (d *Directory) precedingPeers() []candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own == nil {
		return nil
	}
	self := xxhash.Sum64String(d.options.Name)
	now := time.Now()
	var found []candidate
	for name, r := range d.records {
		rank := xxhash.Sum64String(name)
		if r.Record.Member.Domain != d.own.Member.Domain || rank >= self || now.Before(d.unreachableUntil[name]) {
			continue
		}
		found = append(found, candidate{name, rank, r.Record.Member})
	}
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	return found[:min(maxPullPeers, len(found))]
}
