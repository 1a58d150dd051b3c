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
	// pullInterval is the time between two pulls. With pullSilence it stays
	// below the time in which a configuration has to be in force everywhere.
	pullInterval = 500 * time.Millisecond
	// pullPeers and pullTime bound the peers asked before the store is read: the
	// store may refuse a third of the nodes and more.
	pullPeers = 5
	pullTime  = 500 * time.Millisecond
	// pullSilence is the time without word of the store, beyond a poll of the
	// leading node, above which a peer is passed over: its answer and some delay.
	pullSilence = 300 * time.Millisecond
	// avoidFor is how long a peer that didn't answer is passed over.
	avoidFor = 3 * time.Second
)

// pull bounds the age of the state: it asks the nodes that come first in the
// failure domain, and has the store read if there are none or they haven't
// heard of it. While all are reachable one node of a domain reads for the others.
func (d *Directory) pull(ctx context.Context) {
	for wait.For(ctx, pullInterval) {
		d.mu.Lock()
		d.meet(d.options.Store.Incarnation(), "store")
		d.mu.Unlock()
		d.prune()
		leads := !d.pullPeers(ctx)
		if d.leading.Swap(leads) != leads {
			d.options.Log.Info("reader of the store for the failure domain changed", "self", leads,
				"config_age_ms", d.ConfigAge().Milliseconds())
		}
	}
}

// pullPeers reports whether a peer has brought the state up to date.
func (d *Directory) pullPeers(ctx context.Context) bool {
	began := time.Now()
	for _, m := range d.ahead() {
		if time.Since(began) > pullTime {
			break
		}
		silence, err := d.askOne(ctx, m.member)
		if err != nil {
			d.mu.Lock()
			d.avoid[m.name] = time.Now().Add(avoidFor)
			d.mu.Unlock()
			continue
		}
		if silence <= d.options.configWait()+pullSilence {
			advance(&d.heard, boottime.Now().Add(-silence))
			return true
		}
	}
	return false
}

type candidate struct {
	name   string
	order  uint64
	member state.Member
}

// ahead returns the nodes of the failure domain that come before this one, in
// an order that all nodes share, without those that didn't answer of late.
func (d *Directory) ahead() []candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own == nil {
		return nil
	}
	self := xxhash.Sum64String(d.options.Name)
	now := time.Now()
	var found []candidate
	for name, r := range d.records {
		order := xxhash.Sum64String(name)
		if r.Record.Member.Domain != d.own.Member.Domain || order >= self || now.Before(d.avoid[name]) {
			continue
		}
		found = append(found, candidate{name, order, r.Record.Member})
	}
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	return found[:min(pullPeers, len(found))]
}
