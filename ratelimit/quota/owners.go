package quota

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Resign gives the partitions back, so that others own them without waiting.
func (p *Plugin) Resign(ctx context.Context) {
	p.mu.Lock()
	held := len(p.tenure.partitions)
	if p.resigned {
		held = 0
	}
	p.resigned = true
	p.tenure.until = 0
	p.mu.Unlock()
	if held == 0 {
		return
	}
	if err := p.host.Pools.GroupCoordinator.Leave(ctx, p.host.Self.ID.NodeName()); err != nil {
		p.host.Log.Warn("pools not given back", "error", err)
	}
}

// checkContacts notices whether the node is cut off from the other owners. It
// reports true when pools have to be given back. p.mu is held.
func (p *Plugin) checkContacts(now time.Time) bool {
	cut := p.contacts.mostFail(now)
	if cut && !p.isolated {
		p.cutSince = now
	}
	p.isolated = cut
	if !p.shunned(now) || len(p.tenure.partitions) == 0 || p.resigned {
		return false
	}
	p.tenure.partitions, p.tenure.until = map[int]time.Time{}, 0
	return true
}

// shunned reports whether the node takes no pools since it is cut off.
func (p *Plugin) shunned(now time.Time) bool {
	return p.isolated && now.Sub(p.cutSince) < isolatedMost
}

// leave gives the partitions back; the node may join again.
func (p *Plugin) leave() {
	ctx, stop := context.WithTimeout(context.Background(), joinTimeout)
	defer stop()
	if err := p.host.Pools.GroupCoordinator.Leave(ctx, p.host.Self.ID.NodeName()); err != nil {
		p.host.Log.Warn("pools not given back", "error", err)
	}
	p.host.AnnounceAssignment(kernel.Assignment{})
}

// stands reports whether this node is to own pools: it is among the first
// nodes in an order that all share, or owners have been missing for a while.
func (p *Plugin) stands(s *state.Snapshot, now time.Time) bool {
	if p.shunned(now) {
		return false
	}
	for _, h := range p.holdings {
		if h.orphaned && now.Sub(h.orphanedAt) > missingTerm {
			return true
		}
	}
	if len(s.Members) <= standing && now.Sub(p.started) < settleTerm {
		return false
	}
	self := xxhash.Sum64String(p.host.Self.ID.NodeName())
	before := 0
	for id := range s.Members {
		if xxhash.Sum64String(id.NodeName()) < self {
			before++
		}
	}
	return before < standing
}

// limited reports whether any customer has a rate.
func limited(s *state.Snapshot) bool {
	if s.Config == nil {
		return false
	}
	for _, c := range s.Config.Customers {
		if c.Rate > 0 {
			return true
		}
	}
	return false
}

// reached reports whether a peer, or at least its machine, has answered.
func reached(ctx context.Context, err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		return true
	case ctx.Err() != nil, errors.Is(err, kernel.ErrNotSent):
		return false
	}
	return true
}

func (p *Plugin) met(owner state.MemberID, reached bool) {
	now := p.host.Now()
	p.mu.Lock()
	p.contacts[owner] = contact{at: now, reached: reached}
	p.mu.Unlock()
}

// ownerOf returns the owner of a customer's pool by the members' topic, or by
// its own word if that is of a later term.
func (p *Plugin) ownerOf(customer string, s *state.Snapshot) (state.PoolOwner, bool) {
	partition := partitionOf(customer, p.tenure.count)
	owner, known := s.Pools[partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	if told, ok := p.news[partition]; ok && (!known || owner.Term.Before(told.Term)) {
		return told, true
	}
	return owner, known
}

// dropNews forgets what an owner has told of a customer's pool, so that the
// members' topic decides.
func (p *Plugin) dropNews(customer string, owner state.PoolOwner) {
	partition := partitionOf(customer, p.tenure.count)
	p.mu.Lock()
	defer p.mu.Unlock()
	if told := p.news[partition]; told.Term == owner.Term && told.Member.ID == owner.Member.ID {
		delete(p.news, partition)
	}
}

// ownership is the word of a node on the partitions that it owns.
type ownership struct {
	Member     state.Member `cbor:"1,keyasint"`
	Partitions []int        `cbor:"2,keyasint"`
	Generation uint64       `cbor:"3,keyasint"`
	// Incarnation is that of the store which has given out the generation.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

func (p *Plugin) onOwner(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) {
	var o ownership
	if err := cbor.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	term := state.Term{Incarnation: o.Incarnation, Generation: o.Generation}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, partition := range o.Partitions {
		if old, known := p.news[partition]; partition >= 0 && partition < p.tenure.count && (!known || old.Term.Before(term)) {
			p.news[partition] = state.PoolOwner{Member: o.Member, Term: term}
		}
	}
	return nil, nil
}

// tell sends the partitions to all nodes; those that miss it read the members'
// topic.
func (p *Plugin) tell(h kernel.Assignment) {
	notifier, ok := p.host.Peers.(kernel.Notifier)
	if !ok || len(h.Partitions) == 0 {
		return
	}
	body, err := cbor.Marshal(ownership{
		Member: p.host.Self, Partitions: h.Partitions, Generation: h.Term.Generation, Incarnation: h.Term.Incarnation,
	})
	if err != nil {
		p.host.Log.Error("owned pools not encoded", "error", err)
		return
	}
	for id, m := range p.host.Snapshot().Members {
		if id != p.host.Self.ID {
			notifier.Notify(m, kindOwner, body)
		}
	}
}

// meet takes note of the store's incarnation. Owners by an earlier one may grant
// for a term from here on; they may not have heard of it. p.mu is held.
func (p *Plugin) meet(now time.Time) {
	if incarnation := p.host.Pools.GroupCoordinator.Incarnation(); incarnation > p.incarnation {
		p.incarnation, p.notBefore = incarnation, now.Add(p.host.Pools.SessionTimeout)
	}
}

// join joins the group or stays in it.
func (p *Plugin) join() {
	p.mu.Lock()
	latest := p.tenure.term
	p.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), joinTimeout)
	defer stop()
	sent := boottime.Now()
	holding, err := p.host.Pools.GroupCoordinator.Join(ctx, p.host.Self.ID.NodeName(), p.host.Pools.SessionTimeout, latest)
	p.mu.Lock()
	p.meet(p.host.Now())
	p.joining = false
	changed := changeNone
	if err == nil && !p.resigned && !p.closed && !p.shunned(p.host.Now()) {
		changed = p.tenure.renew(renewal{
			Assignment: holding, sent: sent, now: p.host.Now(), length: p.host.Pools.SessionTimeout, notBefore: p.notBefore,
		})
	}
	p.mu.Unlock()
	if err != nil {
		p.host.Log.Warn("group of pools not joined", "error", err)
		return
	}
	if changed == changeNone {
		return
	}
	p.host.Log.Info("pools owned", "partitions", holding.Partitions, "generation", holding.Term.Generation,
		"incarnation", holding.Term.Incarnation)
	if changed == changeOwner {
		p.host.AnnounceAssignment(holding)
	}
	p.tell(holding)
}
