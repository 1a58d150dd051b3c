package membership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const kindHead = "membership.head"

// Reads of the log's head through relays.
const (
	// maxDirectReaders is the number of nodes in the whole fleet that read the
	// log themselves. Every other node asks one of them in its failure domain,
	// which is then its relay.
	maxDirectReaders = 32
	// relayedPollFactor is the time between a node's relayed reads, in poll
	// intervals.
	relayedPollFactor = 4
	// maxRelayAttempts is the number of relays asked in one relayed read.
	maxRelayAttempts = 2
	// directFallbackScale is the mean number of failed relayed reads per direct
	// read, so that the log is not flooded when relays fail.
	directFallbackScale = 4
	// batchDelay is how long a relay collects requests before it reads the log.
	batchDelay = 500 * time.Millisecond
	// maxHeadRequests bounds the requests that a node far behind makes in a row.
	maxHeadRequests = 64
)

var errRelayFailed = errors.New("relay cannot provide the log's head")

type headRequest struct {
	// Offset and PrevHash are as in digest.
	Offset   uint64 `cbor:"1,keyasint"`
	PrevHash uint64 `cbor:"2,keyasint"`
}

type headResponse struct {
	// Known is false if the relay does not know the head.
	Known bool `cbor:"1,keyasint"`
	// Next is an offset beyond every record that was appended before the request
	// was sent.
	Next   uint64 `cbor:"2,keyasint"`
	Update update `cbor:"3,keyasint"`
}

// refreshHead reads up to the log's head: directly or, in a large failure domain,
// through a relay.
func (s *Service) refreshHead(ctx context.Context) {
	relays := s.relays()
	if len(relays) == 0 || s.needsLog() {
		_ = s.poll(ctx)
		return
	}
	for range min(maxRelayAttempts, len(relays)) {
		i := int(s.opts.Rand() % uint64(len(relays)))
		if s.fetchHead(ctx, relays[i]) == nil {
			return
		}
		relays = slices.Delete(relays, i, i+1)
	}
	if s.opts.Rand()%directFallbackScale == 0 {
		_ = s.poll(ctx)
	}
}

// needsLog reports whether this node must read the log itself.
func (s *Service) needsLog() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verifyNext || s.rereading() || !s.fold.VersionKnown() || s.Snapshot().LogContact.IsZero()
}

// relays returns the members of this node's failure domain that read the log; none
// if this node is one of them or all members read it.
func (s *Service) relays() []state.Member {
	snap := s.Snapshot()
	domain := snap.Domain(s.opts.Self.Domain)
	readersPerDomain := maxDirectReaders / max(1, len(snap.Domains()))
	if len(domain) <= max(1, readersPerDomain) {
		return nil
	}
	byRank := slices.Clone(domain)
	slices.SortFunc(byRank, func(a, b state.Member) int {
		return cmp.Compare(rendezvousWeight(b.ID, "head"), rendezvousWeight(a.ID, "head"))
	})
	relays := byRank[:max(1, readersPerDomain)]
	if slices.ContainsFunc(relays, func(m state.Member) bool { return m.ID == s.opts.Self.ID }) {
		return nil
	}
	return relays
}

// fetchHead asks a relay for the head until all records up to it are applied.
func (s *Service) fetchHead(ctx context.Context, relay state.Member) error {
	for range maxHeadRequests {
		confirmed, err := s.requestHead(ctx, relay)
		if err != nil {
			return err
		}
		if confirmed {
			return nil
		}
	}
	return errHeadNotReached
}

// requestHead asks a relay for the head once. It reports whether the response
// confirmed a log contact. The contact dates from before the request was sent,
// since the relay's read starts after the request arrived.
func (s *Service) requestHead(ctx context.Context, relay state.Member) (bool, error) {
	sentAt := s.opts.Now()
	ctx, cancel := s.opts.logContext(ctx)
	defer cancel()
	resp, err := kernel.SendRequest[headRequest, headResponse](ctx, s.opts.Peers, relay, kindHead, s.headRequest())
	s.recordExchange(relay, err)
	if err != nil {
		return false, err
	}
	offsetBefore := s.Snapshot().Offset
	s.applyUpdate(resp.Update)
	if !resp.Known || resp.Update.StateNeeded || resp.Update.Diverged {
		return false, fmt.Errorf("%w: %s", errRelayFailed, relay.ID)
	}
	return s.confirmHead(resp.Next, sentAt, offsetBefore)
}

// confirmHead records the log contact if every record before head is applied. If
// not, it fails unless the offset has advanced.
func (s *Service) confirmHead(head uint64, asOf time.Time, offsetBefore uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	if s.rereading() {
		return false, errRelayFailed
	}
	if s.recordLogContact(head, asOf) {
		return true, nil
	}
	if s.fold.Offset() <= offsetBefore {
		return false, errRelayFailed
	}
	return false, nil
}

func (s *Service) headRequest() headRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return headRequest{Offset: s.fold.Offset(), PrevHash: s.fold.LastHash()}
}

// handleHead reads the log after the request arrived and returns its head.
func (s *Service) handleHead(ctx context.Context, _ state.MemberID, req headRequest) (headResponse, error) {
	if err := s.headBatcher.do(ctx); err != nil {
		return headResponse{}, nil
	}
	s.mu.Lock()
	resp := headResponse{Known: !s.rereading(), Next: s.fold.Offset()}
	s.mu.Unlock()
	resp.Update = s.updateFor(digest{Offset: req.Offset, PrevHash: req.PrevHash})
	resp.Update.Unlogged = state.Unlogged{}
	if req.Offset > resp.Next {
		// The requester has records that the log lacks.
		resp.Update.Diverged = true
	}
	return resp, nil
}

// pollForOthers reads the log on behalf of the members that use this relay.
func (s *Service) pollForOthers() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Intervals.LogTimeout)
	defer cancel()
	return s.poll(ctx)
}

// pollInterval returns the time to the next read of the log's head.
func (s *Service) pollInterval() time.Duration {
	if len(s.relays()) > 0 {
		return s.opts.jitter(relayedPollFactor * s.opts.Intervals.Poll)
	}
	return s.opts.jitter(s.opts.Intervals.Poll)
}
