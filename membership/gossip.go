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
	// ownDomainShare of ownDomainScale exchanges go to the own failure domain.
	ownDomainShare = 3
	ownDomainScale = 4
	// fanout is the number of peers to which news is forwarded at once.
	fanout = 3
	// bootstrapTries is the number of first peers asked at the start; gossip
	// goes on with the others.
	bootstrapTries = 3
	// maxRelayBytes bounds the records in one message; the first is always sent.
	maxRelayBytes = 64 << 10
)

// digest tells a peer what a node has.
type digest struct {
	Offset  uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Last is the hash of the record before Offset; zero means unknown.
	Last uint64 `cbor:"3,keyasint"`
	// Outside is a hash over what is known but not in the log.
	Outside uint64 `cbor:"4,keyasint,omitempty"`
	// Closed is set while the node neither gives nor takes records, because
	// its log was rolled back.
	Closed   bool             `cbor:"5,keyasint,omitempty"`
	Suspects []state.MemberID `cbor:"6,keyasint,omitempty"`
	Hearsay  []hearsay        `cbor:"7,keyasint,omitempty"`
}

// news is what one node has and another lacks.
type news struct {
	Records []wireRecord  `cbor:"1,keyasint,omitempty"`
	Outside state.Outside `cbor:"2,keyasint"`
	// Whole says that the records needed are gone and the state must be
	// fetched as a whole.
	Whole bool `cbor:"4,keyasint,omitempty"`
	// Diverged says that the two logs differ.
	Diverged bool `cbor:"5,keyasint,omitempty"`
}

func (n news) empty() bool {
	return len(n.Records) == 0 && n.Outside.Empty() && !n.Diverged
}

type gossipRequest struct {
	Digest digest `cbor:"1,keyasint"`
}

type gossipResponse struct {
	Digest digest `cbor:"1,keyasint"`
	News   news   `cbor:"2,keyasint"`
}

type pushRequest struct {
	News news `cbor:"1,keyasint"`
}

type pushResponse struct {
	Offset uint64 `cbor:"1,keyasint"`
}

type stateRequest struct {
	// Offset is the least offset of a state that is of use to the asker.
	Offset uint64 `cbor:"1,keyasint"`
}

type stateResponse struct {
	State []byte `cbor:"1,keyasint"`
}

func (s *Service) registerHandlers() {
	kernel.HandleRequest(s.o.Peers, kindGossip, s.answerGossip)
	kernel.HandleRequest(s.o.Peers, kindPush, s.answerPush)
	kernel.HandleRequest(s.o.Peers, kindState, s.answerState)
	kernel.HandleRequest(s.o.Peers, kindHead, s.answerHead)
}

// gossip exchanges digests and news with one peer.
func (s *Service) gossip(ctx context.Context) {
	if to, ok := s.gossipTarget(); ok {
		_ = s.exchange(ctx, to)
	}
}

// exchange sends this node's digest to a peer, takes what the peer has, and
// gives what it lacks.
func (s *Service) exchange(ctx context.Context, to state.Member) error {
	resp, err := s.askGossip(ctx, to)
	s.noteContact(to, err)
	if err != nil {
		return err
	}
	s.noteDigest(to.ID, resp.Digest)
	s.take(resp.News)
	if s.needsState(resp.News) {
		s.fetchState(ctx, to)
	}
	if back := s.newsFor(resp.Digest); !back.empty() {
		s.push(ctx, to, back)
	}
	return nil
}

func (s *Service) askGossip(ctx context.Context, to state.Member) (gossipResponse, error) {
	ctx, cancel := s.o.peerContext(ctx)
	defer cancel()
	req := gossipRequest{Digest: s.digest()}
	return kernel.SendRequest[gossipRequest, gossipResponse](ctx, s.o.Peers, to, kindGossip, req)
}

func (s *Service) push(ctx context.Context, to state.Member, n news) bool {
	ctx, cancel := s.o.peerContext(ctx)
	defer cancel()
	_, err := kernel.SendRequest[pushRequest, pushResponse](ctx, s.o.Peers, to, kindPush, pushRequest{News: n})
	if err != nil {
		s.o.Logger.Debug("push failed", "to", to.ID, "error", err)
	}
	return err == nil
}

func (s *Service) answerGossip(_ context.Context, from state.MemberID, req gossipRequest) (gossipResponse, error) {
	s.noteDigest(from, req.Digest)
	return gossipResponse{Digest: s.digest(), News: s.newsFor(req.Digest)}, nil
}

func (s *Service) answerPush(_ context.Context, _ state.MemberID, req pushRequest) (pushResponse, error) {
	s.take(req.News)
	return pushResponse{Offset: s.Snapshot().Offset}, nil
}

func (s *Service) answerState(_ context.Context, _ state.MemberID, req stateRequest) (stateResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold.Offset() < req.Offset || s.rereading() || !s.fold.VersionKnown() {
		return stateResponse{}, nil
	}
	data, err := s.fold.Export()
	return stateResponse{State: data}, err
}

func (s *Service) digest() digest {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return digest{
		Offset:   s.fold.Offset(),
		Version:  s.fold.Version(),
		Last:     s.fold.LastHash(),
		Outside:  s.fold.Outside().Hash(),
		Closed:   s.rereading(),
		Suspects: s.detector.suspects(now),
		Hearsay:  s.hearsay(now),
	}
}

// newsFor returns what this node has and the sender of a digest lacks.
func (s *Service) newsFor(d digest) news {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n news
	if o := s.fold.Outside(); o.Hash() != d.Outside {
		n.Outside = o.Limit()
	}
	if d.Closed || s.rereading() || d.Offset > s.fold.Offset() {
		return n
	}
	s.addRecords(&n, d)
	return n
}

// addRecords adds the records after a digest's offset. It is called with mu
// held.
func (s *Service) addRecords(n *news, d digest) {
	if d.Offset == s.fold.Offset() {
		n.Diverged = d.Last != 0 && s.fold.LastHash() != 0 && d.Last != s.fold.LastHash()
	} else {
		records, found := s.tail.from(d.Offset, d.Last, maxRelayBytes)
		n.Records = records
		n.Whole = found == lookupTooOld
		n.Diverged = found == lookupDiverged
	}
	if n.Diverged {
		s.diverged()
	}
}

// diverged notes that a peer's log differs from this node's. It is called with
// mu held.
func (s *Service) diverged() {
	s.o.Logger.Error("a peer's log differs from this node's", "offset", s.fold.Offset())
	s.compareAgain()
}

// take merges news from a peer and forwards what must spread at once.
func (s *Service) take(n news) {
	fresh := s.merge(n)
	if fresh.Empty() {
		return
	}
	s.async(func() { s.spread(context.Background(), fresh, fanout) })
}

// merge applies news and returns the part of it that lies outside the log and
// was new.
func (s *Service) merge(n news) state.Outside {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	s.mergeRecords(n.Records)
	if n.Diverged {
		s.diverged()
	}
	return s.fold.Merge(n.Outside, now)
}

// mergeRecords applies relayed records that follow this node's prefix. It is
// called with mu held.
func (s *Service) mergeRecords(records []wireRecord) {
	if s.rereading() {
		return
	}
	for _, r := range records {
		if r.Offset < s.fold.Offset() {
			continue
		}
		if err := s.applyEntry(r); err != nil {
			s.o.Logger.Warn("relayed records don't follow", "error", err)
			return
		}
	}
}

// spread pushes items to some random peers and returns how many took them.
func (s *Service) spread(ctx context.Context, o state.Outside, peers int) int {
	taken := 0
	for _, to := range s.randomPeers(peers) {
		if s.push(ctx, to, news{Outside: o}) {
			taken++
		}
	}
	return taken
}

// needsState reports whether only a whole state helps this node: it began in
// mid-log, or it is too far behind its peers and can't read the log. A node that
// can reads the log instead, since a whole state tells nothing of the changes of
// the roster that led to it.
func (s *Service) needsState(n news) bool {
	return !s.versionKnown() || n.Whole && s.logAway(s.o.Now())
}

// join learns the state at the start: from the log if it can be read from the
// beginning, else from a peer.
func (s *Service) join(ctx context.Context) {
	if s.poll(ctx) == nil && s.versionKnown() {
		return
	}
	s.bootstrap(ctx)
}

// bootstrap fetches the state from one of the first peers, if any answers.
func (s *Service) bootstrap(ctx context.Context) {
	peers := s.firstPeers()
	for _, to := range peers[:min(bootstrapTries, len(peers))] {
		if s.fetchState(ctx, to) {
			return
		}
	}
}

// fetchState adopts a peer's whole state if it is later than this node's.
func (s *Service) fetchState(ctx context.Context, from state.Member) bool {
	ctx, cancel := s.o.peerContext(ctx)
	defer cancel()
	req := stateRequest{Offset: s.Snapshot().Offset + 1}
	if !s.versionKnown() {
		req.Offset--
	}
	resp, err := kernel.SendRequest[stateRequest, stateResponse](ctx, s.o.Peers, from, kindState, req)
	if err != nil {
		s.o.Logger.Warn("state not fetched", "from", from.ControlAddr, "error", err)
		return false
	}
	if len(resp.State) == 0 {
		return false
	}
	return s.adopt(resp.State, s.o.Now())
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
		s.o.Logger.Warn("state not adopted", "error", err)
		return false
	}
	s.tail.reset()
	s.cursor = s.fold.Offset()
	s.compareAgain()
	s.publish()
	return true
}
