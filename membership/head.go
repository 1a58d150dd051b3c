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

// Relayed reads of the log's head.
const (
	// directReaders is the number of nodes in the whole fleet that read the log
	// themselves; the others ask one of those in their failure domain.
	directReaders = 32
	// relayedFactor is the time between a node's relayed reads, in poll
	// intervals.
	relayedFactor = 4
	// relayTries is the number of relays asked before the log itself.
	relayTries = 2
	// fallbackScale is the number of failed relayed reads for each that is
	// followed by a direct one, so that the log isn't flooded when relays fail.
	fallbackScale = 4
	// batchDelay is how long a relay collects requests before it reads.
	batchDelay = 500 * time.Millisecond
	// maxHeadRounds bounds the answers a node that is far behind asks for.
	maxHeadRounds = 64
)

var errRelay = errors.New("relay can't tell the log's head")

type headRequest struct {
	// Offset and Last are as in digest.
	Offset uint64 `cbor:"1,keyasint"`
	Last   uint64 `cbor:"2,keyasint"`
}

type headResponse struct {
	// Known is false if the relay can't tell the head.
	Known bool `cbor:"1,keyasint"`
	// Next is past every record that was appended before the request was sent.
	Next uint64 `cbor:"2,keyasint"`
	News news   `cbor:"3,keyasint"`
}

// readHead learns the log's head: from the log or, in a large failure domain,
// from a member that reads the log.
func (s *Service) readHead(ctx context.Context) {
	relays := s.relays()
	if len(relays) == 0 || s.needsLog() {
		_ = s.poll(ctx)
		return
	}
	for range min(relayTries, len(relays)) {
		i := int(s.o.Rand() % uint64(len(relays)))
		if s.askHeads(ctx, relays[i]) == nil {
			return
		}
		relays = slices.Delete(relays, i, i+1)
	}
	if s.o.Rand()%fallbackScale == 0 {
		_ = s.poll(ctx)
	}
}

// needsLog reports whether only the log itself can help this node.
func (s *Service) needsLog() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verify || s.rereading() || !s.fold.VersionKnown() || s.Snapshot().LogContact.IsZero()
}

// relays returns the members of the own failure domain that read the log, or
// none if this node is one of them.
func (s *Service) relays() []state.Member {
	snap := s.Snapshot()
	domain := snap.Domain(s.o.Self.Domain)
	readers := directReaders / max(1, len(snap.Domains()))
	if len(domain) <= max(1, readers) {
		return nil
	}
	byRank := slices.Clone(domain)
	slices.SortFunc(byRank, func(a, b state.Member) int {
		return cmp.Compare(weight(b.ID, "head"), weight(a.ID, "head"))
	})
	relays := byRank[:max(1, readers)]
	if slices.ContainsFunc(relays, func(m state.Member) bool { return m.ID == s.o.Self.ID }) {
		return nil
	}
	return relays
}

// askHeads asks a relay for the head and for the records up to it.
func (s *Service) askHeads(ctx context.Context, relay state.Member) error {
	for range maxHeadRounds {
		confirmed, err := s.askHead(ctx, relay)
		if err != nil {
			return err
		}
		if confirmed {
			return nil
		}
	}
	return errNoHead
}

// askHead asks a relay once. It reports whether the answer confirmed a contact.
// The contact is as of before the request was sent, since the relay's read
// begins after the request has arrived.
func (s *Service) askHead(ctx context.Context, relay state.Member) (bool, error) {
	begun := s.o.Now()
	ctx, cancel := s.o.logContext(ctx)
	defer cancel()
	resp, err := kernel.SendRequest[headRequest, headResponse](ctx, s.o.Peers, relay, kindHead, s.headRequest())
	s.noteContact(relay, err)
	if err != nil {
		return false, err
	}
	before := s.Snapshot().Offset
	s.take(resp.News)
	if !resp.Known || resp.News.Whole || resp.News.Diverged {
		return false, fmt.Errorf("%w: %s", errRelay, relay.ID)
	}
	return s.confirmHead(resp.Next, begun, before)
}

// confirmHead records the contact if every record before next is applied; else
// there must have been progress.
func (s *Service) confirmHead(next uint64, begun time.Time, before uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publish()
	if s.rereading() {
		return false, errRelay
	}
	if s.confirm(next, begun) {
		return true, nil
	}
	if s.fold.Offset() <= before {
		return false, errRelay
	}
	return false, nil
}

func (s *Service) headRequest() headRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return headRequest{Offset: s.fold.Offset(), Last: s.fold.LastHash()}
}

// answerHead reads the log after the request has arrived and tells its head.
func (s *Service) answerHead(ctx context.Context, _ state.MemberID, req headRequest) (headResponse, error) {
	if err := s.heads.do(ctx); err != nil {
		return headResponse{}, nil
	}
	s.mu.Lock()
	resp := headResponse{Known: !s.rereading(), Next: s.fold.Offset()}
	s.mu.Unlock()
	resp.News = s.newsFor(digest{Offset: req.Offset, Last: req.Last})
	resp.News.Outside = state.Outside{}
	if req.Offset > resp.Next {
		// The asker has records that the log does not.
		resp.News.Diverged = true
	}
	return resp, nil
}

// pollForOthers reads the log for members that wait for it.
func (s *Service) pollForOthers() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.o.Intervals.LogTimeout)
	defer cancel()
	return s.poll(ctx)
}

// pollInterval returns the time to the next read of the log's head.
func (s *Service) pollInterval() time.Duration {
	if len(s.relays()) > 0 {
		return s.o.jitter(relayedFactor * s.o.Intervals.Poll)
	}
	return s.o.jitter(s.o.Intervals.Poll)
}
