package ratelimit

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// customerLeases holds an entry node's leases for one customer, one for each
// failure domain; the first is from the node's own domain.
type customerLeases struct {
	mu      sync.Mutex
	config  *config.Config
	sources []*poolSource
	// allSources also contains the sources of domains that are no longer
	// configured: if the domain returns, a lease request must still name the
	// latest grant that was received.
	allSources map[string]*poolSource
	// refusals estimates the refused part of the demand.
	demand, refusals demand
	waiting          waiters
}

// poolSource is the pool of one failure domain as seen by an entry node.
type poolSource struct {
	domain string
	lease  lease
	// pendingSeq is the Seq of the lease request that waits for its answer; zero
	// if none.
	pendingSeq uint64
	sentAt     time.Time
	owner      state.MemberID
	// requestsWaited is set when requests were waiting for the pending lease
	// request.
	requestsWaited bool
	// No lease request is sent before blockedUntil, and no prefetch before
	// noPrefetchUntil.
	blockedUntil, noPrefetchUntil time.Time
	// blockedPriority is the most important priority that blockedUntil applies
	// to, and requestedPriority the one for which the pending lease request was
	// sent.
	blockedPriority, requestedPriority config.Priority
	// previousOwner has handed the pool over to successor.
	previousOwner, successor state.MemberID
}

// currentOwner returns the owner by the roster, or the member to which that owner
// has handed the pool over.
func (s *poolSource) currentOwner(snap *state.Snapshot, customer string) (state.Member, bool) {
	owner, ok := PoolOwner(snap.Domain(s.domain), customer)
	if ok && owner.ID == s.previousOwner {
		if successor, live := snap.Members[s.successor]; live {
			return successor, true
		}
	}
	return owner, ok
}

// handleNotOwner handles the answer of a node that is not the owner. It follows a
// handover to a successor, but not a second one in a row.
func (s *poolSource) handleNotOwner(from state.MemberID, g Grant, t Timing, now time.Time) {
	if g.Successor != "" && from != s.successor {
		s.previousOwner, s.successor = from, g.Successor
		return
	}
	pause := t.RequestTimeout
	if g.RetryMS > 0 {
		pause = time.Duration(g.RetryMS) * time.Millisecond
	}
	s.blockRequests(now.Add(pause), config.PriorityCritical)
}

// take spends a token of the fullest lease. While the customer is above its rate,
// a request leaves tokens for more important requests.
func (c *customerLeases) take(p config.Priority, now time.Time) (Decision, bool) {
	var fullest *lease
	for _, s := range c.sources {
		s.lease.refill(now)
		if fullest == nil || s.lease.level > fullest.level {
			fullest = &s.lease
		}
	}
	if fullest == nil {
		return Decision{}, false
	}
	from := fullest
	if reservedTokens := c.reservedTokens(p, fullest.burst, now); reservedTokens > 0 {
		from = c.spareLease(fullest, reservedTokens)
	}
	if from == nil || !from.take(now) {
		return Decision{}, false
	}
	return Decision{Verdict: Admit, Until: from.expiresAt}, true
}

// spareLease returns a lease with a token to spend while reservedTokens stay in
// the fullest lease, or nil if there is none. The reserve is kept in one lease,
// since fractions of a token in several leases admit nothing.
func (c *customerLeases) spareLease(fullest *lease, reservedTokens float64) *lease {
	if fullest.level >= 1+reservedTokens {
		return fullest
	}
	if fullest.level < reservedTokens {
		return nil
	}
	for _, s := range c.sources {
		if l := &s.lease; l != fullest && l.level >= 1 {
			return l
		}
	}
	return nil
}

// updateSources applies the list of failure domains of the current configuration.
func (c *customerLeases) updateSources(snap *state.Snapshot, ownDomain string) {
	if c.config == snap.Config || snap.Config == nil {
		return
	}
	c.config = snap.Config
	c.sources = nil
	for _, d := range snap.Config.FailureDomains {
		s := c.allSources[d]
		if s == nil {
			s = &poolSource{domain: d}
			c.allSources[d] = s
		}
		c.sources = append(c.sources, s)
		if last := len(c.sources) - 1; d == ownDomain && last > 0 {
			c.sources[0], c.sources[last] = c.sources[last], c.sources[0]
		}
	}
}

// wanted returns the demand that the other leases do not cover.
func (c *customerLeases) wanted(s *poolSource, now time.Time) (rate, burst float64) {
	rate = c.demand.rate(now)
	waiting := c.waiting.total()
	if rate < minDemandRate && waiting == 0 {
		return 0, 0
	}
	for _, o := range c.sources {
		if o != s {
			o.lease.refill(now)
			rate -= o.lease.rate
		}
	}
	rate = max(0, rate)
	if rate == 0 && waiting == 0 {
		return 0, 0
	}
	burst = rate*burstWindow.Seconds() + float64(waiting)
	if rate > 0 {
		burst++
	}
	if c.aboveRate(now) {
		burst += reserveStepTokens * config.PriorityCount
	}
	return rate, burst
}

// answerExpected reports whether an answer may arrive while a request waits.
func (c *customerLeases) answerExpected(now time.Time, t Timing) bool {
	for _, s := range c.sources {
		if s.pendingSeq != 0 && now.Sub(s.sentAt) < t.MaxWait {
			return true
		}
	}
	return false
}

// refusal records a refusal and estimates when the next token is available.
func (c *customerLeases) refusal(now time.Time, t Timing) Decision {
	c.refusals.add(now)
	wait := t.MaxRetry
	for _, s := range c.sources {
		if d, ok := s.lease.timeToToken(); ok {
			wait = min(wait, d)
		}
		if now.Before(s.blockedUntil) {
			wait = min(wait, s.blockedUntil.Sub(now))
		}
	}
	return Decision{Verdict: Refuse, RetryAfter: max(wait, time.Millisecond)}
}

// backOff blocks further requests for a time. A denied request for which no
// caller waited does not block requests for which callers wait.
func (s *poolSource) backOff(until time.Time) {
	s.noPrefetchUntil = until
	if s.requestsWaited {
		s.blockRequests(until, s.requestedPriority)
	}
}

func (s *poolSource) blockRequests(until time.Time, priority config.Priority) {
	s.blockedUntil, s.blockedPriority = until, priority
}

func (c *customerLeases) poolSource(domain string) *poolSource {
	for _, s := range c.sources {
		if s.domain == domain {
			return s
		}
	}
	return nil
}
