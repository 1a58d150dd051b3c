package ratelimit

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Pools holds the pools that a node owns in its failure domain.
type Pools struct {
	mu      sync.Mutex
	self    state.Member
	timing  Timing
	tenure  *Tenure
	config  *config.Config
	ledgers map[string]*Ledger
	// departure is set by a planned stop of this node, fetches are those of
	// pools of other nodes that stop.
	departure *departure
	fetches   map[string]pendingFetch
	fetchSeq  uint64
}

// NewPools returns a node without pools.
func NewPools(self state.Member, t Timing) *Pools {
	return &Pools{
		self:    self,
		timing:  t,
		tenure:  NewTenure(self, t),
		ledgers: map[string]*Ledger{},
		fetches: map[string]pendingFetch{},
	}
}

// Observe takes in a snapshot and opens and closes pools accordingly. A pool
// opens empty. It stays open, but makes no grants, while the node lacks
// authority.
func (p *Pools) Observe(snap *state.Snapshot, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(snap, now)
}

func (p *Pools) observe(snap *state.Snapshot, now time.Time) {
	snap = p.tenure.Observe(snap, now)
	taken := p.tenure.Pools(now)
	for name := range p.ledgers {
		if !taken[name] {
			delete(p.ledgers, name)
		}
	}
	p.applyConfig(snap, now)
	for name := range taken {
		if p.ledgers[name] == nil {
			p.ledgers[name] = NewLedger(p.timing, p.share(snap, name), now)
		}
	}
}

// applyConfig puts the shares of a new configuration in force.
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

// Ask answers an ask of an entry node.
func (p *Pools) Ask(snap *state.Snapshot, from state.MemberID, a Ask, now time.Time) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(snap, now)
	borrower, known := snap.Members[from]
	l := p.ledgers[a.Customer]
	if l == nil || !known || !p.tenure.Acts(a.Customer, now) {
		return p.notOwner(a, now)
	}
	return l.Ask(from, borrower.Domain == p.self.Domain, a, now)
}

// Tick returns the polls to send.
func (p *Pools) Tick(snap *state.Snapshot, now time.Time) []OutgoingPoll {
	p.Observe(snap, now)
	return p.tenure.Tick(now)
}

// Poll answers a poll of another owner.
func (p *Pools) Poll(snap *state.Snapshot, poll Poll, now time.Time) PollAnswer {
	p.Observe(snap, now)
	return p.tenure.Answer(poll, now)
}

// notOwner answers an ask that came to a node which may not act.
func (p *Pools) notOwner(a Ask, now time.Time) Grant {
	g := Grant{Seq: a.Seq, NotOwner: true}
	if p.departure != nil {
		g.Heir = p.departure.heirs[a.Customer].ID
	}
	if f, ok := p.fetches[a.Customer]; ok && now.Sub(f.sent) < handoverTimeout {
		g.RetryMS = uint32(p.timing.MinRetry / time.Millisecond)
	}
	return g
}

// PollAnswered takes in the answer to a poll.
func (p *Pools) PollAnswered(from state.MemberID, a PollAnswer, now time.Time) {
	p.tenure.Answered(from, a, now)
}
