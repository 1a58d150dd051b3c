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

// Order is the place of the plug-in in the entry chain.
const Order = 400

const (
	kindLease = "quota.lease"
	kindOwner = "quota.owner"
)

// Parameters of pools and leases.
const (
	// depthPart of the burst is the depth of the pool.
	depthPart = 0.5
	// Nodes that can't reach the owner go on with orphanPart of the rate that
	// they have been granted of late and, all together, with orphanSlack requests
	// per second more, at most orphanMost of what they were granted; or with an
	// even share of orphanShare of the customer's rate if that is more. The
	// bounds allow a tenth and 20 requests in 5 s beyond the rate.
	orphanPart  = 0.25
	orphanSlack = 2.5
	orphanMost  = 0.6
	orphanShare = 0.15
	// They begin with the tokens of orphanStart and with orphanFirst more, all
	// together, and save tokens for orphanDepth.
	orphanStart = 200 * time.Millisecond
	orphanFirst = 8.0
	orphanDepth = 300 * time.Millisecond
	// grantedGain is the weight of the latest tick in the rate granted of late.
	grantedGain = 0.01
	// holdTime is how much of its demand a node holds, at least minHold tokens,
	// and leaseTerm how long a lease lasts.
	holdTime  = 300 * time.Millisecond
	minHold   = 2.0
	leaseTerm = 1200 * time.Millisecond
	// demandGain is the weight of the latest tick in the demand.
	demandGain = 0.1
	// askWait bounds the wait of a request for a lease, askTimeout the message.
	askWait    = 120 * time.Millisecond
	askTimeout = 400 * time.Millisecond
	// askRounds bounds the messages for the requests that wait at one time.
	askRounds = 3
	// dryPause is how long a pool without tokens isn't asked again.
	dryPause = 100 * time.Millisecond
	// joinInterval is the period of joins, termMargin what is kept of a term.
	joinInterval = 500 * time.Millisecond
	// An owner that reached fewer other owners within contactTerm than it failed
	// to reach, isolatedMin of them at least, is cut off: it gives its pools back
	// and takes none until it reaches them again, or isolatedMost has passed.
	contactTerm  = 1500 * time.Millisecond
	isolatedMin  = 2
	isolatedMost = 15 * time.Second
	// standing is the number of nodes that share the pools, and missingTerm how
	// long owners must be missing until others stand as well.
	standing    = 9
	missingTerm = 1500 * time.Millisecond
	// settleTerm is how long a node waits for the others to become known where
	// no more than standing are: all that start together would join otherwise.
	settleTerm  = 2 * time.Second
	termMargin  = 200 * time.Millisecond
	joinTimeout = 600 * time.Millisecond
	// idleTerm is how long the holding of a customer without requests is kept.
	idleTerm = 30 * time.Second
	// Refused callers are told to come back after comeBackMin to comeBackMax.
	comeBackMin = 500 * time.Millisecond
	comeBackMax = 1500 * time.Millisecond
)

var errNotOwner = errors.New("not the owner of this customer's rate")

func init() {
	kernel.Register(kernel.Info{Name: "quota", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the quota plug-in of one node.
type Plugin struct {
	host *kernel.Host

	mu       sync.Mutex // guards what follows
	tenure   *tenure
	holdings map[string]*holding
	started  time.Time
	ticked   time.Time
	joined   time.Time
	joining  bool
	contacts contacts
	isolated bool
	cutSince time.Time
	// incarnation is that of the store, notBefore when the owners by earlier ones
	// have ended.
	incarnation uint64
	notBefore   time.Time
	// news holds owners that have told this node of themselves.
	news     map[int]state.PoolOwner
	resigned bool // owns no pools any more
	closed   bool // asks for no leases any more
}

// Provision keeps the host and registers the handler of leases.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.tenure = newTenure(max(h.Pools.Partitions, 1))
	p.holdings = map[string]*holding{}
	p.started = h.Now()
	p.ticked = p.started
	p.contacts = contacts{}
	p.news = map[int]state.PoolOwner{}
	kernel.HandleRequest(h.Peers, kindLease, p.onLease)
	h.Peers.Handle(kindOwner, p.onOwner)
	return nil
}

// Validate reports settings without groups.
func (p *Plugin) Validate() error {
	if p.host.Pools.GroupCoordinator == nil {
		return errors.New("quota needs a store with groups")
	}
	return nil
}

// Cleanup stops joining.
func (p *Plugin) Cleanup() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	return nil
}

// Tick moves the demands, asks for leases ahead of them and joins the group.
func (p *Plugin) Tick(now time.Time) {
	s := p.host.Snapshot()
	p.mu.Lock()
	elapsed := now.Sub(p.ticked)
	p.ticked = now
	p.meet(now)
	if elapsed > 0 {
		p.tickHoldings(s, now, elapsed)
	}
	leave := p.checkContacts(now)
	join := !leave && !p.joining && !p.resigned && !p.closed && now.Sub(p.joined) >= joinInterval && limited(s) && p.stands(s, now)
	if join {
		p.joining, p.joined = true, now
	}
	p.mu.Unlock()
	if join {
		p.host.Go(p.join)
	}
	if leave {
		p.host.Log.Warn("cut off from other owners of pools, pools given back")
		p.host.Go(p.leave)
	}
}

// tickHoldings moves the demands and asks for leases ahead of them. p.mu is held.
func (p *Plugin) tickHoldings(s *state.Snapshot, now time.Time, elapsed time.Duration) {
	for name, h := range p.holdings {
		h.tick(elapsed)
		c, known := s.Customer(name)
		if !known || now.Sub(h.used) > idleTerm {
			delete(p.holdings, name)
			continue
		}
		h.refillOwn(now, c.Rate, max(s.Nodes, 1))
		p.askAhead(h, c, s, now, 0)
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
		if !p.take(ctx, customer, s) {
			return kernel.Refuse(kernel.ReasonRate, p.explain(customer, s), p.comeBack())
		}
		r := next.Serve(ctx, c)
		if r.Outcome == kernel.OutcomeNotRun && !r.Dispatched {
			p.refund(customer.Name)
		}
		return r
	})
}

// explain tells what a refusal for the rate rests on.
func (p *Plugin) explain(c config.Customer, s *state.Snapshot) string {
	now := p.host.Now()
	p.mu.Lock()
	h := p.holding(c)
	why, demand := "the pool is empty", h.demand
	switch {
	case h.orphaned:
		why = "the pool's owner can't be reached since " + now.Sub(h.orphanedAt).Truncate(time.Millisecond).String()
	case h.asking != nil:
		why = "no lease in time"
	}
	p.mu.Unlock()
	owner, _ := p.ownerOf(c.Name, s)
	return fmt.Sprintf("rate %g/s, burst %g: %s; owner %s, term %d of incarnation %d, demand here %.1f/s",
		c.Rate, c.Burst, why, owner.Member.ID, owner.Term.Generation, owner.Term.Incarnation, demand)
}

func (p *Plugin) comeBack() time.Duration {
	return comeBackMin + time.Duration(p.host.Rand()%uint64(comeBackMax-comeBackMin))
}

// take spends a token, waiting for a lease if none is held.
func (p *Plugin) take(ctx context.Context, c config.Customer, s *state.Snapshot) bool {
	now := p.host.Now()
	p.mu.Lock()
	h := p.holding(c)
	h.arrived++
	h.used = now
	if h.spend(now) {
		p.askAhead(h, c, s, now, 0)
		p.mu.Unlock()
		return true
	}
	h.waiting++
	p.askAhead(h, c, s, now, h.waiting)
	asking := h.asking
	p.mu.Unlock()
	if asking == nil {
		p.stopWaiting(h)
		return false
	}
	timer := time.NewTimer(askWait)
	defer timer.Stop()
	select {
	case <-asking:
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.waiting--
	return h.spend(p.host.Now())
}

func (p *Plugin) stopWaiting(h *holding) {
	p.mu.Lock()
	h.waiting--
	p.mu.Unlock()
}

func (p *Plugin) holding(c config.Customer) *holding {
	h := p.holdings[c.Name]
	if h == nil {
		h = &holding{}
		p.holdings[c.Name] = h
	}
	return h
}

func (p *Plugin) refund(customer string) {
	now := p.host.Now()
	p.mu.Lock()
	if h := p.holdings[customer]; h != nil {
		h.refund(now)
	}
	p.mu.Unlock()
}

// askAhead asks the owner for tokens if few are left. p.mu is held.
func (p *Plugin) askAhead(h *holding, c config.Customer, s *state.Snapshot, now time.Time, waiting float64) {
	if h.asking != nil || now.Before(h.dryUntil) || p.closed {
		return
	}
	want := h.want(now, waiting)
	if want <= 0 {
		return
	}
	h.asking = make(chan struct{})
	p.host.Go(func() { p.ask(h, c, s, want) })
}

// ask gets tokens for the demand and, until the pool runs dry, for each request
// that has come to wait meanwhile.
func (p *Plugin) ask(h *holding, c config.Customer, s *state.Snapshot, want float64) {
	for range askRounds {
		got, err := p.lease(c, s, want)
		if want = p.leased(h, c, s, got, err); want <= 0 {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(h.asking)
	h.asking = nil
}

// leased takes in the answer to a lease and returns how many tokens are still
// to be asked for.
func (p *Plugin) leased(h *holding, c config.Customer, s *state.Snapshot, got float64, err error) float64 {
	now := p.host.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h.orphan(now, err != nil, c.Rate, max(s.Nodes, 1), p.host.Rand())
	if err != nil || got < 1 {
		h.dryUntil = now.Add(dryPause)
		return 0
	}
	h.leases = append(h.leases, lease{tokens: got, expires: now.Add(leaseTerm)})
	return h.want(now, h.waiting)
}

// lease gets tokens from the owner of the customer's pool.
func (p *Plugin) lease(c config.Customer, s *state.Snapshot, want float64) (float64, error) {
	owner, known := p.ownerOf(c.Name, s)
	if !known {
		return 0, errNotOwner
	}
	if owner.Member.ID == p.host.Self.ID {
		return p.grant(c, want)
	}
	ctx, stop := context.WithTimeout(context.Background(), askTimeout)
	defer stop()
	answer, err := kernel.SendRequest[leaseRequest, leaseAnswer](ctx, p.host.Peers, owner.Member, kindLease, leaseRequest{c.Name, want})
	answered := reached(ctx, err)
	p.met(owner.Member.ID, answered)
	if err != nil {
		if answered {
			p.dropNews(c.Name, owner)
		}
		p.host.Log.Debug("no lease", "customer", c.Name, "owner", string(owner.Member.ID), "error", err)
		return 0, err
	}
	return answer.Tokens, nil
}

// grant takes tokens from a pool that this node owns.
func (p *Plugin) grant(c config.Customer, want float64) (float64, error) {
	at, now := boottime.Now(), p.host.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host.Pools.GroupCoordinator.Incarnation() > p.tenure.term.Incarnation {
		return 0, errNotOwner // what an earlier incarnation has given out is void
	}
	got, ok := p.tenure.grant(c, want, at, now)
	if !ok {
		return 0, errNotOwner
	}
	return got, nil
}

type leaseRequest struct {
	Customer string  `cbor:"1,keyasint"`
	Want     float64 `cbor:"2,keyasint"`
}

type leaseAnswer struct {
	Tokens float64 `cbor:"1,keyasint"`
}

func (p *Plugin) onLease(_ context.Context, _ state.MemberID, r leaseRequest) (leaseAnswer, error) {
	c, known := p.host.Snapshot().Customer(r.Customer)
	if !known {
		return leaseAnswer{}, errNotOwner
	}
	got, err := p.grant(c, r.Want)
	return leaseAnswer{Tokens: got}, err
}
