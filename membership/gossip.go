package membership

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Message kinds.
const (
	kindGossip = "membership.gossip"
	kindPush   = "membership.push"
	kindState  = "membership.state"
)

// Gossip parameters.
const (
	// localExchangeShare of localExchangeScale exchanges go to a peer in this
	// node's failure domain.
	localExchangeShare = 3
	localExchangeScale = 4
	// forwardFanout is the number of peers to which new items are forwarded
	// immediately.
	forwardFanout = 3
	// maxBootstrapPeers is the number of seed peers asked for the state at the
	// start; gossip reaches the others later.
	maxBootstrapPeers = 3
	// maxUpdateBytes bounds the records in one update; its first record is sent
	// whatever its size.
	maxUpdateBytes = 64 << 10
)

// digest summarizes a node's state for a gossip exchange.
type digest struct {
	Offset  uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// PrevHash is the hash of the record before Offset; zero means unknown.
	PrevHash uint64 `cbor:"3,keyasint"`
	// UnloggedHash is a hash over the items that are not in the log.
	UnloggedHash uint64 `cbor:"4,keyasint,omitempty"`
	// Rereading is set while the node neither sends nor accepts records, because
	// the log was rolled back.
	Rereading        bool              `cbor:"5,keyasint,omitempty"`
	Suspects         []state.MemberID  `cbor:"6,keyasint,omitempty"`
	RelayedPositions []relayedPosition `cbor:"7,keyasint,omitempty"`
}

// update carries the records and items that the receiver lacks.
type update struct {
	Records  []wireRecord   `cbor:"1,keyasint,omitempty"`
	Unlogged state.Unlogged `cbor:"2,keyasint"`
	// StateNeeded is set if the sender no longer has the needed records, so that
	// the receiver must fetch the whole state.
	StateNeeded bool `cbor:"4,keyasint,omitempty"`
	// Diverged is set if the logs of sender and receiver differ.
	Diverged bool `cbor:"5,keyasint,omitempty"`
}

func (u update) empty() bool {
	return len(u.Records) == 0 && u.Unlogged.Empty() && !u.Diverged
}

type gossipRequest struct {
	Digest digest `cbor:"1,keyasint"`
}

type gossipResponse struct {
	Digest digest `cbor:"1,keyasint"`
	Update update `cbor:"2,keyasint"`
}

type pushRequest struct {
	Update update `cbor:"1,keyasint"`
}

type pushResponse struct {
	Offset uint64 `cbor:"1,keyasint"`
}

type stateRequest struct {
	// Offset is the least offset of a state that the requester can use.
	Offset uint64 `cbor:"1,keyasint"`
}

type stateResponse struct {
	State []byte `cbor:"1,keyasint"`
}

func (s *Service) registerHandlers() {
	kernel.HandleRequest(s.opts.Peers, kindGossip, s.handleGossip)
	kernel.HandleRequest(s.opts.Peers, kindPush, s.handlePush)
	kernel.HandleRequest(s.opts.Peers, kindState, s.handleState)
	kernel.HandleRequest(s.opts.Peers, kindHead, s.handleHead)
}

// gossip exchanges digests and updates with one peer.
func (s *Service) gossip(ctx context.Context) {
	if peer, ok := s.gossipTarget(); ok {
		_ = s.exchange(ctx, peer)
	}
}

// exchange sends this node's digest to a peer, applies the update in the
// response, and sends the peer what it lacks.
func (s *Service) exchange(ctx context.Context, peer state.Member) error {
	resp, err := s.sendDigest(ctx, peer)
	s.recordExchange(peer, err)
	if err != nil {
		return err
	}
	s.recordDigest(peer.ID, resp.Digest)
	s.applyUpdate(resp.Update)
	if s.needsState(resp.Update) {
		s.fetchState(ctx, peer)
	}
	if reply := s.updateFor(resp.Digest); !reply.empty() {
		s.push(ctx, peer, reply)
	}
	return nil
}

func (s *Service) sendDigest(ctx context.Context, peer state.Member) (gossipResponse, error) {
	ctx, cancel := s.opts.peerContext(ctx)
	defer cancel()
	req := gossipRequest{Digest: s.digest()}
	return kernel.SendRequest[gossipRequest, gossipResponse](ctx, s.opts.Peers, peer, kindGossip, req)
}

func (s *Service) push(ctx context.Context, peer state.Member, u update) bool {
	ctx, cancel := s.opts.peerContext(ctx)
	defer cancel()
	_, err := kernel.SendRequest[pushRequest, pushResponse](ctx, s.opts.Peers, peer, kindPush, pushRequest{Update: u})
	if err != nil {
		s.opts.Logger.Debug("push failed", "to", peer.ID, "error", err)
	}
	return err == nil
}

func (s *Service) handleGossip(_ context.Context, from state.MemberID, req gossipRequest) (gossipResponse, error) {
	s.recordDigest(from, req.Digest)
	return gossipResponse{Digest: s.digest(), Update: s.updateFor(req.Digest)}, nil
}

func (s *Service) handlePush(_ context.Context, _ state.MemberID, req pushRequest) (pushResponse, error) {
	s.applyUpdate(req.Update)
	return pushResponse{Offset: s.Snapshot().Offset}, nil
}

func (s *Service) handleState(_ context.Context, _ state.MemberID, req stateRequest) (stateResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold.Offset() < req.Offset || s.rereading() || !s.fold.VersionKnown() {
		return stateResponse{}, nil
	}
	data, err := s.fold.Export()
	return stateResponse{State: data}, err
}

func (s *Service) digest() digest {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return digest{
		Offset:           s.fold.Offset(),
		Version:          s.fold.Version(),
		PrevHash:         s.fold.LastHash(),
		UnloggedHash:     s.fold.Unlogged().Hash(),
		Rereading:        s.rereading(),
		Suspects:         s.detector.suspects(now),
		RelayedPositions: s.samplePositions(now),
	}
}

// updateFor returns what the sender of a digest lacks.
func (s *Service) updateFor(d digest) update {
	s.mu.Lock()
	defer s.mu.Unlock()
	var u update
	if unlogged := s.fold.Unlogged(); unlogged.Hash() != d.UnloggedHash {
		u.Unlogged = unlogged.Truncate()
	}
	if d.Rereading || s.rereading() || d.Offset > s.fold.Offset() {
		return u
	}
	s.addRecords(&u, d)
	return u
}

// addRecords adds the records from a digest's offset on. The caller must hold
// s.mu.
func (s *Service) addRecords(u *update, d digest) {
	if d.Offset == s.fold.Offset() {
		u.Diverged = d.PrevHash != 0 && s.fold.LastHash() != 0 && d.PrevHash != s.fold.LastHash()
	} else {
		records, result := s.recordTail.recordsFrom(d.Offset, d.PrevHash, maxUpdateBytes)
		u.Records = records
		u.StateNeeded = result == lookupTooOld
		u.Diverged = result == lookupDiverged
	}
	if u.Diverged {
		s.reportDivergence()
	}
}

// reportDivergence logs that a peer's log differs from this node's and makes the
// next read verify the log. The caller must hold s.mu.
func (s *Service) reportDivergence() {
	s.opts.Logger.Error("a peer's log differs from this node's", "offset", s.fold.Offset())
	s.requireVerification()
}

// applyUpdate applies an update from a peer and forwards the items that are new
// and not in the log.
func (s *Service) applyUpdate(u update) {
	added := s.mergeUpdate(u)
	if added.Empty() {
		return
	}
	s.async(func() { s.pushUnlogged(context.Background(), added, forwardFanout) })
}

// mergeUpdate applies an update and returns its items that were new and are not
// in the log.
func (s *Service) mergeUpdate(u update) state.Unlogged {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	s.mergeRecords(u.Records)
	if u.Diverged {
		s.reportDivergence()
	}
	return s.fold.Merge(u.Unlogged, now)
}

// mergeRecords applies relayed records that follow this node's prefix. The caller
// must hold s.mu.
func (s *Service) mergeRecords(records []wireRecord) {
	if s.rereading() {
		return
	}
	for _, r := range records {
		if r.Offset < s.fold.Offset() {
			continue
		}
		if err := s.applyEntry(r); err != nil {
			s.opts.Logger.Warn("relayed records don't follow", "error", err)
			return
		}
	}
}

// pushUnlogged pushes items to up to maxPeers random peers and returns how many
// acknowledged them.
func (s *Service) pushUnlogged(ctx context.Context, unlogged state.Unlogged, maxPeers int) int {
	acknowledged := 0
	for _, peer := range s.randomPeers(maxPeers) {
		if s.push(ctx, peer, update{Unlogged: unlogged}) {
			acknowledged++
		}
	}
	return acknowledged
}

// needsState reports whether this node can catch up only by fetching a whole
// state: it started in mid-log, or it is too far behind its peers and the log is
// unavailable. If the log is available, the node reads it instead, since a whole
// state lacks the roster events that led to it.
func (s *Service) needsState(u update) bool {
	return !s.versionKnown() || u.StateNeeded && s.logUnavailable(s.opts.Now())
}

// loadInitialState loads the state at the start: from the log if it can be read
// from the beginning, else from a peer.
func (s *Service) loadInitialState(ctx context.Context) {
	if s.poll(ctx) == nil && s.versionKnown() {
		return
	}
	s.bootstrapFromPeers(ctx)
}

// bootstrapFromPeers fetches the state from a seed peer, if any responds.
func (s *Service) bootstrapFromPeers(ctx context.Context) {
	peers := s.seedPeers()
	for _, peer := range peers[:min(maxBootstrapPeers, len(peers))] {
		if s.fetchState(ctx, peer) {
			return
		}
	}
}

// fetchState adopts a peer's whole state if it is later than this node's.
func (s *Service) fetchState(ctx context.Context, peer state.Member) bool {
	ctx, cancel := s.opts.peerContext(ctx)
	defer cancel()
	req := stateRequest{Offset: s.Snapshot().Offset + 1}
	if !s.versionKnown() {
		req.Offset--
	}
	resp, err := kernel.SendRequest[stateRequest, stateResponse](ctx, s.opts.Peers, peer, kindState, req)
	if err != nil {
		s.opts.Logger.Warn("state not fetched", "from", peer.ControlAddr, "error", err)
		return false
	}
	if len(resp.State) == 0 {
		return false
	}
	return s.adopt(resp.State, s.opts.Now())
}

func (s *Service) versionKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.VersionKnown()
}

func (s *Service) adopt(data []byte, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rereading() {
		return false
	}
	if err := s.fold.Adopt(data, now); err != nil {
		s.opts.Logger.Warn("state not adopted", "error", err)
		return false
	}
	s.recordTail.reset()
	s.cursor = s.fold.Offset()
	s.requireVerification()
	s.publish()
	return true
}
