package ratelimit

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Pools holds the pools that a node owns in its failure domain.
type Pools struct {
	mu        sync.Mutex
	self      state.Member
	timing    Timing
	ownership *Ownership
	config    *config.Config
	ledgers   map[string]*Ledger
	// resignation is set by a planned stop of this node. pendingHandovers are the
	// requests for pools of other nodes that are stopping, by customer.
	resignation      *resignation
	pendingHandovers map[string]pendingHandover
	handoverSeq      uint64
}

// NewPools returns a node without pools.
func NewPools(self state.Member, t Timing) *Pools {
	return &Pools{
		self:             self,
		timing:           t,
		ownership:        NewOwnership(self, t),
		ledgers:          map[string]*Ledger{},
		pendingHandovers: map[string]pendingHandover{},
	}
}

// Observe applies a snapshot, opening and closing pools accordingly. A pool
// starts empty. While the node lacks authority, its pools stay open but make no
// grants.
func (p *Pools) Observe(snap *state.Snapshot, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(snap, now)
}

func (p *Pools) observe(snap *state.Snapshot, now time.Time) {
	snap = p.ownership.Observe(snap, now)
	active := p.ownership.Pools(now)
	for name := range p.ledgers {
		if !active[name] {
			delete(p.ledgers, name)
		}
	}
	p.applyConfig(snap, now)
	for name := range active {
		if p.ledgers[name] == nil {
			p.ledgers[name] = NewLedger(p.timing, p.share(snap, name), now)
		}
	}
}

// applyConfig applies the shares of a new configuration.
func (p *Pools) applyConfig(snap *state.Snapshot, now time.Time) {
	if snap.Config == p.config {
		return
	}
	p.config = snap.Config
	for name, l := range p.ledgers {
		l.SetShare(p.share(snap, name), now)
	}
}

func (p *Pools) share(snap *state.Snapshot, name string) Share {
	c, ok := snap.Customer(name)
	if !ok {
		return Share{}
	}
	return domainShare(c, snap.Config.FailureDomains, p.self.Domain)
}

// HandleLeaseRequest answers a lease request of an entry node.
func (p *Pools) HandleLeaseRequest(snap *state.Snapshot, from state.MemberID, req LeaseRequest, now time.Time) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(snap, now)
	borrower, known := snap.Members[from]
	l := p.ledgers[req.Customer]
	if l == nil || !known || !p.ownership.MayGrant(req.Customer, now) {
		return p.notOwnerGrant(req, now)
	}
	return l.HandleLeaseRequest(from, borrower.Domain == p.self.Domain, req, now)
}

// Tick returns the polls to send.
func (p *Pools) Tick(snap *state.Snapshot, now time.Time) []OutgoingPoll {
	p.Observe(snap, now)
	return p.ownership.Tick(now)
}

// Poll answers another owner's poll.
func (p *Pools) Poll(snap *state.Snapshot, poll Poll, now time.Time) PollAnswer {
	p.Observe(snap, now)
	return p.ownership.Answer(poll, now)
}

// notOwnerGrant answers a lease request sent to a node that may not act as owner.
func (p *Pools) notOwnerGrant(req LeaseRequest, now time.Time) Grant {
	g := Grant{Seq: req.Seq, NotOwner: true}
	if p.resignation != nil {
		g.Successor = p.resignation.successors[req.Customer].ID
	}
	if pending, ok := p.pendingHandovers[req.Customer]; ok && now.Sub(pending.sentAt) < handoverTimeout {
		g.RetryMS = uint32(p.timing.MinRetry / time.Millisecond)
	}
	return g
}

// PollAnswered handles the answer to a poll.
func (p *Pools) PollAnswered(from state.MemberID, a PollAnswer, now time.Time) {
	p.ownership.CountAnswer(from, a, now)
}
