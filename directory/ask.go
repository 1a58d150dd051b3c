package directory

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// kindState asks a peer for what it knows.
const kindState = "directory.state"

const askTimeout = 400 * time.Millisecond

// question tells what the asking node has.
type question struct {
	Version uint64 `cbor:"1,keyasint"`
	// Name and Own are the asking node's record, which a peer may not have seen
	// while the store refused the node.
	Name string `cbor:"2,keyasint"`
	Own  Record `cbor:"3,keyasint"`
	// MembersNext is the offset from which on records are asked for.
	MembersNext uint64 `cbor:"4,keyasint"`
	// Incarnation is that of the store which MembersNext belongs to.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
}

// answer carries what the peer knows beyond the question.
type answer struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is empty unless Version is higher than the one asked from.
	Document []byte `cbor:"2,keyasint,omitempty"`
	AgeMS    int64  `cbor:"3,keyasint"`
	// SilenceMS is the time since the peer has heard of the store.
	SilenceMS   int64             `cbor:"6,keyasint"`
	Records     map[string]stored `cbor:"4,keyasint,omitempty"`
	MembersNext uint64            `cbor:"5,keyasint"`
	// Incarnation is that of the store which MembersNext belongs to; Whole is set if
	// Records are all.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	Whole       bool   `cbor:"8,keyasint,omitempty"`
}

// ask turns to peers anywhere while neither the store nor the own failure
// domain can vouch for the configuration.
func (d *Directory) ask(ctx context.Context) {
	for wait.For(ctx, askInterval) {
		if d.ConfigAge() < askAfter {
			continue
		}
		for _, m := range d.somePeers(askPeers) {
			if _, err := d.askOne(ctx, m); err != nil {
				d.options.Log.Debug("peer not asked", "peer", string(m.ID), "error", err)
			}
		}
	}
}

// somePeers draws up to n nodes at random, with and without an instance.
func (d *Directory) somePeers(n int) []state.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]state.Member, 0, len(d.records))
	for name, r := range d.records {
		if name != d.options.Name {
			all = append(all, r.Record.Member)
		}
	}
	n = min(n, len(all))
	for i := range n {
		j := i + int(d.options.Rand()%uint64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// askOne takes in what a peer knows. It returns how long ago the store was
// heard of there, or maxAge if the peer vouches for nothing.
func (d *Directory) askOne(ctx context.Context, m state.Member) (time.Duration, error) {
	call, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	q := question{Version: d.Snapshot().Version, Name: d.options.Name}
	d.mu.Lock()
	q.MembersNext, q.Incarnation = d.membersNext, d.membersIncarnation
	if d.own != nil && !d.written {
		q.Own = *d.own
	}
	d.mu.Unlock()
	sent := boottime.Now()
	a, err := kernel.SendRequest[question, answer](call, d.peers, m, kindState, q)
	if err != nil {
		return maxAge, err
	}
	// Before the first configuration there is none to vouch for.
	none := a.Version == 0 && d.Snapshot().Version == 0
	if !d.learn(a, sent) && !none {
		return maxAge, nil
	}
	return boottime.Now().Sub(sent) + time.Duration(a.SilenceMS)*time.Millisecond, nil
}

// learn takes in an answer. It reports whether the peer vouches for the
// configuration in force here.
func (d *Directory) learn(a answer, sent boottime.Instant) bool {
	if len(a.Document) > 0 {
		d.take(a.Document, "peer")
	}
	vouched := a.Version > 0 && d.Snapshot().Version >= a.Version
	if vouched {
		advance(&d.contact, sent.Add(-time.Duration(a.AgeMS)*time.Millisecond))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meet(a.Incarnation, "peer")
	changed := false
	for name, r := range a.Records {
		changed = d.mergeRecord(name, r) || changed
	}
	if a.Incarnation == d.incarnation {
		if a.Whole && d.membersIncarnation < a.Incarnation {
			own, seen := a.Records[d.options.Name]
			d.synced(a.Incarnation, seen && own.Incarnation == a.Incarnation)
		}
		if d.membersIncarnation == a.Incarnation {
			d.membersNext = max(d.membersNext, a.MembersNext)
		}
	}
	if changed {
		d.publishMembers()
	}
	return vouched
}

// mergeRecord takes a record that a peer has passed on, unless what is known
// is as new. It reports a change. d.mu is held.
func (d *Directory) mergeRecord(name string, r stored) bool {
	if name == d.options.Name && d.own != nil {
		switch {
		case d.ownPlace.behind(r) && r.Incarnation >= d.incarnation:
			d.takeOwn(r)
		case r.Record.Member.ID != d.own.Member.ID:
			d.recall(r.Record)
		}
		return false
	}
	old, known := d.records[name]
	switch {
	case !known:
		// A node that was dropped comes back by its own word or by the store's.
		if r.fellOut(d.membersIncarnation) && d.pruneAt == 0 {
			return false
		}
	case r.Offset > 0 && !old.behind(r):
		if !newer(r.Record, old.Record) {
			return false
		}
		r.Offset, r.Incarnation = old.Offset, old.Incarnation
	case r.Offset == 0 && !newer(r.Record, old.Record):
		if newer(old.Record, r.Record) || !old.fellOut(d.incarnation) {
			return false
		}
	default:
		r = r.over(old)
	}
	d.records[name] = r
	return true
}

// onAsk answers a peer and takes in its own record.
func (d *Directory) onAsk(_ context.Context, _ state.MemberID, q question) (answer, error) {
	// The age is read first: it then never vouches for less than the version.
	a := answer{AgeMS: d.ConfigAge().Milliseconds() + 1, SilenceMS: d.silence().Milliseconds() + 1}
	a.Version = d.Snapshot().Version
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Version > q.Version {
		a.Document = d.document
	}
	a.Records = map[string]stored{}
	a.MembersNext, a.Incarnation = d.membersNext, d.membersIncarnation
	from := q.MembersNext
	if q.Incarnation != a.Incarnation {
		from = 0
	}
	a.Whole = from == 0
	for name, r := range d.records {
		if r.Offset >= from || r.Offset == 0 || r.Incarnation < a.Incarnation {
			a.Records[name] = r
		}
	}
	if d.own != nil && (d.ownPlace.Offset >= from || !d.written) {
		own := stored{Record: *d.own}
		if d.written {
			own.Offset, own.Incarnation = d.ownPlace.Offset, d.ownPlace.Incarnation
		}
		a.Records[d.options.Name] = own
	}
	if q.Name != "" && q.Own.Member.AnnouncedMS > 0 && d.mergeRecord(q.Name, stored{Record: q.Own}) {
		d.publishMembers()
	}
	return a, nil
}
