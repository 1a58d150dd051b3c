package ratelimit

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// entryCustomer is a customer's leases, one for each failure domain; the first
// is this node's own domain.
type entryCustomer struct {
	mu      sync.Mutex
	config  *config.Config
	sources []*source
	// known also holds the sources of domains that are no longer configured: an
	// ask must name the latest grant that was taken up, for good.
	known map[string]*source
	// refused are the refusals among the demand.
	demand, refused demand
	waiting         waiters
}

// source is the pool of one failure domain as seen by an entry node.
type source struct {
	domain string
	lease  lease
	// pending is the Seq of the ask that waits for its answer; zero if none.
	pending uint64
	sent    time.Time
	owner   state.MemberID
	// waited is set when requests waited for the pending ask.
	waited bool
	// blocked is the time before which no ask is sent, full that before which
	// none is sent to fill up a lease.
	blocked, full time.Time
	// blockedFrom is the most important priority that blocked is about, and
	// askedFor the one for which the pending ask was sent.
	blockedFrom, askedFor config.Priority
	// departed is an owner that has handed the pool over to heir.
	departed, heir state.MemberID
}

// currentOwner is the owner by the roster or the member to which that one has
// handed the pool over.
func (s *source) currentOwner(snap *state.Snapshot, customer string) (state.Member, bool) {
	owner, ok := poolOwner(snap.Domain(s.domain), customer)
	if ok && owner.ID == s.departed {
		if heir, live := snap.Members[s.heir]; live {
			return heir, true
		}
	}
	return owner, ok
}

// refused takes in that an asked node is not the owner. It may hand the pool
// over; a second such node in a row is not followed.
func (s *source) refused(from state.MemberID, g Grant, t Timing, now time.Time) {
	if g.Heir != "" && from != s.heir {
		s.departed, s.heir = from, g.Heir
		return
	}
	pause := t.AskTimeout
	if g.RetryMS > 0 {
		pause = time.Duration(g.RetryMS) * time.Millisecond
	}
	s.block(now.Add(pause), config.PriorityCritical)
}

// take spends a token of the fullest lease. While the customer is above its
// rate, a request leaves tokens to the more important ones.
func (c *entryCustomer) take(p config.Priority, now time.Time) (Decision, bool) {
	var fullest *lease
	for _, s := range c.sources {
		s.lease.fill(now)
		if fullest == nil || s.lease.level > fullest.level {
			fullest = &s.lease
		}
	}
	if fullest == nil {
		return Decision{}, false
	}
	from := fullest
	if kept := c.kept(p, fullest.burst, now); kept > 0 {
		from = c.spare(fullest, kept)
	}
	if from == nil || !from.take(now) {
		return Decision{}, false
	}
	return Decision{Verdict: Admit, Until: from.expires}, true
}

// spare is a lease with a token to spend when the fullest is to keep some; nil
// if there is none. The tokens are kept in one lease, since parts of a token in
// several admit nothing.
func (c *entryCustomer) spare(fullest *lease, kept float64) *lease {
	if fullest.level >= 1+kept {
		return fullest
	}
	if fullest.level < kept {
		return nil
	}
	for _, s := range c.sources {
		if l := &s.lease; l != fullest && l.level >= 1 {
			return l
		}
	}
	return nil
}

// follow takes over the list of failure domains of the configuration in force.
func (c *entryCustomer) follow(snap *state.Snapshot, own string) {
	if c.config == snap.Config || snap.Config == nil {
		return
	}
	c.config = snap.Config
	c.sources = nil
	for _, d := range snap.Config.FailureDomains {
		s := c.known[d]
		if s == nil {
			s = &source{domain: d}
			c.known[d] = s
		}
		c.sources = append(c.sources, s)
		if last := len(c.sources) - 1; d == own && last > 0 {
			c.sources[0], c.sources[last] = c.sources[last], c.sources[0]
		}
	}
}

// want is the demand that the other leases do not cover.
func (c *entryCustomer) want(s *source, now time.Time) (rate, burst float64) {
	rate = c.demand.rate(now)
	waiting := c.waiting.total()
	if rate < minDemand && waiting == 0 {
		return 0, 0
	}
	for _, o := range c.sources {
		if o != s {
			o.lease.fill(now)
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
	if c.pressed(now) {
		burst += priorityStep * config.PriorityCount
	}
	return rate, burst
}

// expects reports whether an answer may arrive within the wait of a request.
func (c *entryCustomer) expects(now time.Time, t Timing) bool {
	for _, s := range c.sources {
		if s.pending != 0 && now.Sub(s.sent) < t.Wait {
			return true
		}
	}
	return false
}

// refusal notes a refusal and estimates when the next token comes.
func (c *entryCustomer) refusal(now time.Time, t Timing) Decision {
	c.refused.add(now)
	wait := t.MaxRetry
	for _, s := range c.sources {
		if d, ok := s.lease.tokenIn(); ok {
			wait = min(wait, d)
		}
		if now.Before(s.blocked) {
			wait = min(wait, s.blocked.Sub(now))
		}
	}
	return Decision{Verdict: Refuse, RetryAfter: max(wait, time.Millisecond)}
}

// pause blocks further asks. An ask for which no request waited tells nothing
// about one for which requests do.
func (s *source) pause(until time.Time) {
	s.full = until
	if s.waited {
		s.block(until, s.askedFor)
	}
}

func (s *source) block(until time.Time, from config.Priority) {
	s.blocked, s.blockedFrom = until, from
}

func (c *entryCustomer) source(domain string) *source {
	for _, s := range c.sources {
		if s.domain == domain {
			return s
		}
	}
	return nil
}
