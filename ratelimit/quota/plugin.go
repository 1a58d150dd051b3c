package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Order is the position of the plug-in in the entry chain.
const Order = 400

const (
	kindLease = "quota.lease"
	kindOwner = "quota.owner"
)

// Parameters of pools and leases.
const (
	// poolDepthRatio is the pool's depth as a fraction of the customer's burst.
	poolDepthRatio = 0.5
	// A node that can't reach the owner admits fallbackRatio of the rate it was
	// granted before, plus its part of fallbackExtraRate requests per second for
	// the whole fleet, but at most maxFallbackRatio of the granted rate; or an
	// even share of fallbackEvenShare of the customer's rate if that is more. The
	// rate may be exceeded by a tenth plus 20 requests in 5 s.
	fallbackRatio     = 0.25
	fallbackExtraRate = 2.5
	maxFallbackRatio  = 0.6
	fallbackEvenShare = 0.15
	// Fallback starts with the tokens of fallbackStartTime at the fallback rate,
	// plus fallbackStartTokens for the whole fleet. The fallback bucket holds the
	// tokens of at most fallbackDepthTime.
	fallbackStartTime   = 200 * time.Millisecond
	fallbackStartTokens = 8.0
	fallbackDepthTime   = 300 * time.Millisecond
	// grantedGain is the weight of the latest tick in the granted rate, which so is
	// an average over about grantedTime.
	grantedGain = 0.01
	grantedTime = kernel.TickInterval * 100
	// A node prefetches the tokens for prefetchTime of its demand if these are at
	// least minPrefetchTokens. A lease expires after leaseDuration.
	prefetchTime      = 300 * time.Millisecond
	minPrefetchTokens = 2.0
	leaseDuration     = 1200 * time.Millisecond
	// demandGain is the weight of the latest tick in the demand rate.
	demandGain = 0.1
	// leaseWait bounds how long a request waits for a lease, leaseTimeout the
	// exchange with the owner.
	leaseWait    = 120 * time.Millisecond
	leaseTimeout = 400 * time.Millisecond
	// maxLeaseRounds bounds the lease requests sent in a row for the requests that
	// wait at one time.
	maxLeaseRounds = 3
	// emptyPoolBackoff is the pause after a lease request that failed or found
	// the pool empty.
	emptyPoolBackoff = 100 * time.Millisecond
	// joinInterval is the interval between joins, which renew the membership.
	joinInterval = 500 * time.Millisecond
	// A node is cut off if, within contactWindow, it failed to reach at least
	// minUnreachableOwners owners and more than it reached. It then gives its
	// pools back and takes none until it reaches them again or maxIsolation
	// has passed.
	contactWindow        = 1500 * time.Millisecond
	minUnreachableOwners = 2
	maxIsolation         = 15 * time.Second
	// maxCandidates is the number of nodes that share the pools. Other nodes join
	// as well if an owner has been unreachable for ownerMissingTime.
	maxCandidates    = 9
	ownerMissingTime = 1500 * time.Millisecond
	// settleTime is how long a started node that knows at most maxCandidates
	// members waits for others to become known. Without it, all nodes of a fleet
	// that start together would join.
	settleTime = 2 * time.Second
	// sessionMargin is subtracted from the session timeout to get the time for
	// which an owner grants.
	sessionMargin = 200 * time.Millisecond
	joinTimeout   = 600 * time.Millisecond
	// idleTimeout is how long the local quota of a customer without requests is
	// kept.
	idleTimeout = 30 * time.Second
	// Refused callers are told to retry after a random time between minRetryAfter
	// and maxRetryAfter.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

var errNotOwner = errors.New("not the owner of this customer's rate")

func init() {
	kernel.Register(kernel.PluginInfo{Name: "quota", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the quota plug-in of one node.
type Plugin struct {
	host *kernel.Host

	mu            sync.Mutex // guards the fields below
	ownedPools    *ownedPools
	localQuotas   map[string]*localQuota
	startedAt     time.Time
	lastTick      time.Time
	lastJoin      time.Time
	joining       bool
	contacts      contacts
	isolated      bool
	isolatedSince time.Time
	// incarnation is the newest known incarnation of the store. The owners of
	// earlier incarnations have stopped granting by notBefore.
	incarnation uint64
	notBefore   time.Time
	// announcedOwners maps partitions to owners announced by ownership notices.
	announcedOwners map[int]state.PoolOwner
	resigned        bool // gave up all pools for good
	closed          bool // sends no more lease requests and joins
}

// Provision stores the host and registers the message handlers.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.ownedPools = newOwnedPools(max(h.Pools.Partitions, 1))
	p.localQuotas = map[string]*localQuota{}
	p.startedAt = h.Now()
	p.lastTick = p.startedAt
	p.contacts = contacts{}
	p.announcedOwners = map[int]state.PoolOwner{}
	kernel.HandleRequest(h.Peers, kindLease, p.handleLeaseRequest)
	h.Peers.Handle(kindOwner, p.handleOwnershipNotice)
	return nil
}

// Validate checks that the store assigns partitions to groups.
func (p *Plugin) Validate() error {
	if p.host.Pools.GroupCoordinator == nil {
		return errors.New("plug-in quota needs a store that assigns partitions to groups")
	}
	return nil
}

// Cleanup stops lease requests and joins.
func (p *Plugin) Cleanup() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	return nil
}

// Tick updates the demand estimates, prefetches leases, and joins or leaves the
// group.
func (p *Plugin) Tick(now time.Time) {
	s := p.host.Snapshot()
	p.mu.Lock()
	elapsed := now.Sub(p.lastTick)
	p.lastTick = now
	p.observeIncarnation(now)
	if elapsed > 0 {
		p.updateLocalQuotas(s, now, elapsed)
	}
	leaveGroup := p.checkIsolation(now)
	joinGroup := !leaveGroup && !p.joining && !p.resigned && !p.closed && now.Sub(p.lastJoin) >= joinInterval && anyCustomerLimited(s) && p.isCandidate(s, now)
	if joinGroup {
		p.joining, p.lastJoin = true, now
	}
	p.mu.Unlock()
	if joinGroup {
		p.host.Go(p.joinGroup)
	}
	if leaveGroup {
		p.host.Log.Warn("cut off from other owners of pools, pools given back")
		p.host.Go(p.leaveGroup)
	}
}

// updateLocalQuotas updates the demand estimates, prefetches leases, and deletes
// idle quotas. p.mu is held.
func (p *Plugin) updateLocalQuotas(s *state.Snapshot, now time.Time, elapsed time.Duration) {
	for name, q := range p.localQuotas {
		q.updateRates(elapsed)
		c, known := s.Customer(name)
		if !known || c.Rate <= 0 || now.Sub(q.lastUsed) > idleTimeout {
			delete(p.localQuotas, name)
			continue
		}
		q.setLimit(limitOf(c), p.host.Rand())
		q.refillFallback(now, max(s.Nodes, 1))
		p.requestTokens(q, c, s, now, 0)
	}
}

// WrapEntry takes a token for each request of a customer with a rate.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		s := p.host.Snapshot()
		customer, known := s.Customer(c.Customer)
		if c.Customer == "" || !known || customer.Rate <= 0 {
			return next.Serve(ctx, c)
		}
		if !p.takeToken(ctx, customer, s) {
			return kernel.Refuse(kernel.ReasonRate, p.refusalDetail(customer, s), p.retryAfter())
		}
		r := next.Serve(ctx, c)
		if r.Outcome == kernel.OutcomeNotRun && !r.Dispatched {
			p.refund(customer)
		}
		return r
	})
}

// refusalDetail describes why a request was refused for its customer's rate.
func (p *Plugin) refusalDetail(c config.Customer, s *state.Snapshot) string {
	now := p.host.Now()
	p.mu.Lock()
	q := p.localQuota(c)
	cause, demandRate := "the pool is empty", q.demandRate
	switch {
	case q.ownerUnreachable:
		cause = "the pool's owner can't be reached since " + now.Sub(q.unreachableSince).Truncate(time.Millisecond).String()
	case q.requestDone != nil:
		cause = "no lease in time"
	}
	p.mu.Unlock()
	owner, _ := p.poolOwner(c.Name, s)
	return fmt.Sprintf("rate %g/s, burst %g: %s; owner %s, term %d of incarnation %d, demand here %.1f/s",
		c.Rate, c.Burst, cause, owner.Member.ID, owner.Term.Generation, owner.Term.Incarnation, demandRate)
}

func (p *Plugin) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(p.host.Rand()%uint64(maxRetryAfter-minRetryAfter))
}

// takeToken spends a token, waiting for a lease if none is held.
func (p *Plugin) takeToken(ctx context.Context, c config.Customer, s *state.Snapshot) bool {
	now := p.host.Now()
	p.mu.Lock()
	q := p.localQuota(c)
	q.arrivals++
	q.lastUsed = now
	if q.spend(now) {
		p.requestTokens(q, c, s, now, q.probeTokens())
		p.mu.Unlock()
		return true
	}
	q.waiting++
	p.requestTokens(q, c, s, now, q.waiting)
	requestDone := q.requestDone
	p.mu.Unlock()
	if requestDone == nil {
		p.stopWaiting(q)
		return false
	}
	timer := time.NewTimer(leaseWait)
	defer timer.Stop()
	select {
	case <-requestDone:
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q.waiting--
	return q.spend(p.host.Now())
}

func (p *Plugin) stopWaiting(q *localQuota) {
	p.mu.Lock()
	q.waiting--
	p.mu.Unlock()
}

func (p *Plugin) localQuota(c config.Customer) *localQuota {
	q := p.localQuotas[c.Name]
	if q == nil {
		q = newLocalQuota(limitOf(c))
		p.localQuotas[c.Name] = q
	}
	return q
}

// refund returns the token of a request that was admitted under the limit of c.
func (p *Plugin) refund(c config.Customer) {
	now := p.host.Now()
	p.mu.Lock()
	if q := p.localQuotas[c.Name]; q != nil {
		q.refund(now, limitOf(c))
	}
	p.mu.Unlock()
}

// requestTokens requests tokens from the owner if too few are held. p.mu is held.
func (p *Plugin) requestTokens(q *localQuota, c config.Customer, s *state.Snapshot, now time.Time, waiting float64) {
	if q.requestDone != nil || now.Before(q.backoffUntil) || p.closed {
		return
	}
	tokensWanted := q.tokensWanted(now, waiting)
	if tokensWanted <= 0 {
		return
	}
	q.requestDone = make(chan struct{})
	p.host.Go(func() { p.fetchLeases(q, c, s, tokensWanted) })
}

// fetchLeases fetches the wanted tokens and then, until the pool is empty, tokens
// for the requests that began to wait meanwhile.
func (p *Plugin) fetchLeases(q *localQuota, c config.Customer, s *state.Snapshot, wanted float64) {
	for range maxLeaseRounds {
		granted, err := p.leaseTokens(c, s, wanted)
		if wanted = p.acceptLease(q, s, granted, err); wanted <= 0 {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(q.requestDone)
	q.requestDone = nil
}

// acceptLease adds granted tokens or starts fallback, and returns how many more
// tokens to request.
func (p *Plugin) acceptLease(q *localQuota, s *state.Snapshot, granted leaseAnswer, err error) float64 {
	now := p.host.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q.setOwnerUnreachable(now, err != nil, max(s.Nodes, 1), p.host.Rand())
	if err != nil || granted.Tokens < 1 {
		q.backoffUntil = now.Add(emptyPoolBackoff)
		return 0
	}
	q.addLease(now, granted.Tokens, limit{rate: granted.Rate, burst: granted.Burst})
	return q.tokensWanted(now, q.waiting)
}

// leaseTokens requests tokens from the owner of the customer's pool.
func (p *Plugin) leaseTokens(c config.Customer, s *state.Snapshot, wanted float64) (leaseAnswer, error) {
	owner, known := p.poolOwner(c.Name, s)
	if !known {
		return leaseAnswer{}, errNotOwner
	}
	if owner.Member.ID == p.host.Self.ID {
		granted, err := p.grant(c, wanted)
		return leaseAnswer{Tokens: granted, Rate: c.Rate, Burst: c.Burst}, err
	}
	ctx, stop := context.WithTimeout(context.Background(), leaseTimeout)
	defer stop()
	answer, err := kernel.SendRequest[leaseRequest, leaseAnswer](ctx, p.host.Peers, owner.Member, kindLease, leaseRequest{c.Name, wanted})
	reached := peerReached(ctx, err)
	p.recordContact(owner.Member.ID, reached)
	if err != nil {
		if reached {
			p.forgetAnnouncedOwner(c.Name, owner)
		}
		p.host.Log.Debug("lease request failed", "customer", c.Name, "owner", string(owner.Member.ID), "error", err)
		return leaseAnswer{}, err
	}
	if answer.Rate <= 0 { // an owner of an earlier version doesn't send its limit
		answer.Rate, answer.Burst = c.Rate, c.Burst
	}
	return answer, nil
}

// grant takes tokens from a pool owned by this node.
func (p *Plugin) grant(c config.Customer, wanted float64) (float64, error) {
	bootNow, now := boottime.Now(), p.host.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host.Pools.GroupCoordinator.Incarnation() > p.ownedPools.term.Incarnation {
		return 0, errNotOwner // assignments by an earlier incarnation are void
	}
	granted, ok := p.ownedPools.grant(c, wanted, bootNow, now)
	if !ok {
		return 0, errNotOwner
	}
	return granted, nil
}

type leaseRequest struct {
	Customer     string  `cbor:"1,keyasint"`
	WantedTokens float64 `cbor:"2,keyasint"`
}

// leaseAnswer holds the granted tokens and the limit under which the owner
// granted them; the owner may know a change of the limit earlier or later than
// the node that requests the tokens.
type leaseAnswer struct {
	Tokens float64 `cbor:"1,keyasint"`
	Rate   float64 `cbor:"2,keyasint,omitempty"`
	Burst  float64 `cbor:"3,keyasint,omitempty"`
}

func (p *Plugin) handleLeaseRequest(_ context.Context, _ state.MemberID, r leaseRequest) (leaseAnswer, error) {
	c, known := p.host.Snapshot().Customer(r.Customer)
	if !known {
		return leaseAnswer{}, errNotOwner
	}
	granted, err := p.grant(c, r.WantedTokens)
	return leaseAnswer{Tokens: granted, Rate: c.Rate, Burst: c.Burst}, err
}
