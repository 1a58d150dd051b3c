package directory

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// kindState is the message by which a node requests a peer's state.
const kindState = "directory.state"

const peerRequestTimeout = 400 * time.Millisecond

// stateRequest states what the requesting node already has.
type stateRequest struct {
	Version uint64 `cbor:"1,keyasint"`
	// Name is the key of the requesting node's record. OwnRecord is the record while
	// the node has not written it to the store, where the peer could read it.
	Name      string `cbor:"2,keyasint"`
	OwnRecord Record `cbor:"3,keyasint"`
	// MembersOffset is the first offset of the requested member records.
	MembersOffset uint64 `cbor:"4,keyasint"`
	// Incarnation is the incarnation of the store to which MembersOffset belongs.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
}

// stateResponse carries the state that the requesting node lacks.
type stateResponse struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is empty unless Version is higher than the requesting node's.
	Document    []byte `cbor:"2,keyasint,omitempty"`
	ConfigAgeMS int64  `cbor:"3,keyasint"`
	// StoreContactAgeMS is the time since the store's latest response known to the peer.
	StoreContactAgeMS int64                   `cbor:"6,keyasint"`
	Records           map[string]storedRecord `cbor:"4,keyasint,omitempty"`
	MembersOffset     uint64                  `cbor:"5,keyasint"`
	// Incarnation is the incarnation of the store to which MembersOffset belongs;
	// Complete is set if Records holds all records.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	Complete    bool   `cbor:"8,keyasint,omitempty"`
	// Evacuations holds the evacuated failure domains as of EvacuationsAt; a position
	// of zero means that the peer knows of none.
	Evacuations   map[string]state.Evacuation `cbor:"9,keyasint,omitempty"`
	EvacuationsAt topicPosition               `cbor:"10,keyasint,omitzero"`
}

// refreshFromPeers requests the state from random nodes of any failure domain
// while neither the store nor a peer in this node's failure domain confirms the
// configuration.
func (d *Directory) refreshFromPeers(ctx context.Context) {
	for wait.For(ctx, peerRefreshInterval) {
		if d.ConfigAge() < peerRefreshAge {
			continue
		}
		for _, m := range d.randomPeers(peerRefreshPeers) {
			if _, err := d.requestState(ctx, m); err != nil {
				d.options.Log.Debug("state request to peer failed", "peer", string(m.ID), "error", err)
			}
		}
	}
}

// randomPeers returns up to n random nodes, with or without an instance.
func (d *Directory) randomPeers(n int) []state.Member {
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

// requestState requests the state of a peer and applies it. It returns the time
// since the peer's last known contact with the store, or maxAge if the peer does
// not confirm the configuration in force here.
func (d *Directory) requestState(ctx context.Context, m state.Member) (time.Duration, error) {
	callCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	req := stateRequest{Version: d.Snapshot().Version, Name: d.options.Name}
	d.mu.Lock()
	req.MembersOffset, req.Incarnation = d.membersOffset, d.membersIncarnation
	if d.own != nil && !d.ownWritten {
		req.OwnRecord = *d.own
	}
	d.mu.Unlock()
	sent := boottime.Now()
	resp, err := kernel.SendRequest[stateRequest, stateResponse](callCtx, d.peers, m, kindState, req)
	if err != nil {
		return maxAge, err
	}
	// Before the first configuration there is none to confirm.
	noConfig := resp.Version == 0 && d.Snapshot().Version == 0
	if !d.applyResponse(resp, sent) && !noConfig {
		return maxAge, nil
	}
	return boottime.Now().Sub(sent) + time.Duration(resp.StoreContactAgeMS)*time.Millisecond, nil
}

// applyResponse applies the state received from a peer. It reports whether the
// peer confirms the configuration in force here.
func (d *Directory) applyResponse(resp stateResponse, sent boottime.Instant) bool {
	d.adoptEvacuations(resp)
	if len(resp.Document) > 0 {
		d.applyDocument(resp.Document, "peer")
	}
	confirmed := resp.Version > 0 && d.Snapshot().Version >= resp.Version
	if confirmed {
		advance(&d.configConfirmedAt, sent.Add(-time.Duration(resp.ConfigAgeMS)*time.Millisecond))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeIncarnation(resp.Incarnation, "peer")
	changed := false
	for name, r := range resp.Records {
		changed = d.mergeValid(name, r) || changed
	}
	if resp.Incarnation == d.incarnation {
		if resp.Complete && d.membersIncarnation < resp.Incarnation {
			own, seen := resp.Records[d.options.Name]
			d.membersReloaded(resp.Incarnation, seen && own.Incarnation == resp.Incarnation)
		}
		if d.membersIncarnation == resp.Incarnation {
			d.membersOffset = max(d.membersOffset, resp.MembersOffset)
		}
	}
	if changed {
		d.publishMembers()
	}
	return confirmed
}

// mergeValid is mergeRecord for a record that must be validated first. d.mu is held.
func (d *Directory) mergeValid(name string, r storedRecord) bool {
	if err := d.options.validate(name, &r.Record, time.Now()); err != nil {
		d.reject(name, r, "peer", err)
		return false
	}
	return d.mergeRecord(name, r)
}

// mergeRecord stores a record received from a peer unless the known record is as
// new. It reports whether the records changed. d.mu is held.
func (d *Directory) mergeRecord(name string, r storedRecord) bool {
	if name == d.options.Name && d.own != nil {
		switch {
		case d.ownStored.olderThan(r) && r.Incarnation >= d.incarnation:
			d.reconcileOwn(r)
		case r.Record.Member.ID != d.own.Member.ID:
			d.adoptPrevious(r.Record)
		}
		return false
	}
	old, known := d.records[name]
	switch {
	case !known:
		// A record that prune has removed returns only from its node or the store.
		if r.lostBefore(d.membersIncarnation) && d.pruneAt == 0 {
			return false
		}
	case r.Offset > 0 && !old.olderThan(r):
		if !newer(r.Record, old.Record) {
			return false
		}
		r.Offset, r.Incarnation = old.Offset, old.Incarnation
	case r.Offset == 0 && !newer(r.Record, old.Record):
		if newer(old.Record, r.Record) || !old.lostBefore(d.incarnation) {
			return false
		}
	default:
		r = r.reconcile(old)
	}
	d.records[name] = r
	return true
}

// handleStateRequest responds to a peer and stores the peer's own record.
func (d *Directory) handleStateRequest(_ context.Context, _ state.MemberID, req stateRequest) (stateResponse, error) {
	// The age is read before the version: a version applied in between is then
	// reported with an age that is too high, never too low.
	resp := stateResponse{ConfigAgeMS: d.ConfigAge().Milliseconds() + 1, StoreContactAgeMS: d.storeContactAge().Milliseconds() + 1}
	resp.Version = d.Snapshot().Version
	d.mu.Lock()
	defer d.mu.Unlock()
	if resp.Version > req.Version {
		resp.Document = d.document
	}
	resp.Evacuations, resp.EvacuationsAt = d.evacuations.known, d.evacuations.at
	resp.Records = map[string]storedRecord{}
	resp.MembersOffset, resp.Incarnation = d.membersOffset, d.membersIncarnation
	from := req.MembersOffset
	if req.Incarnation != resp.Incarnation {
		from = 0
	}
	resp.Complete = from == 0
	for name, r := range d.records {
		if r.Offset >= from || r.Offset == 0 || r.Incarnation < resp.Incarnation {
			resp.Records[name] = r
		}
	}
	if d.own != nil && (d.ownStored.Offset >= from || !d.ownWritten) {
		own := storedRecord{Record: *d.own}
		if d.ownWritten {
			own.Offset, own.Incarnation = d.ownStored.Offset, d.ownStored.Incarnation
		}
		resp.Records[d.options.Name] = own
	}
	if req.Name != "" && req.OwnRecord.Member.AnnouncedMS > 0 && d.mergeValid(req.Name, storedRecord{Record: req.OwnRecord}) {
		d.publishMembers()
	}
	return resp, nil
}
