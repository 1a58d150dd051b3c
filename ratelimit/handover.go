package ratelimit

import (
	"sort"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// HandoverNotice tells the successor for a pool that its owner is about to stop.
// The successor answers with a HandoverRequest.
type HandoverNotice struct {
	Customer string `cbor:"1,keyasint"`
}

// HandoverRequest asks a stopping owner for a pool. The successor counts the
// authority that comes with the pool from before it sent the request.
type HandoverRequest struct {
	Customer string `cbor:"1,keyasint"`
	// Seq increases with every handover request of one node.
	Seq uint64 `cbor:"2,keyasint"`
}

// Handover answers a HandoverRequest with the ledger of a pool. Each ledger is
// handed over at most once.
type Handover struct {
	Seq uint64 `cbor:"1,keyasint"`
	OK  bool   `cbor:"2,keyasint"`
	// Digest identifies the roster and Offset the prefix of the log on which the
	// sender's ownership was based.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	Offset uint64 `cbor:"4,keyasint,omitempty"`
	// AuthorityMS is the remaining time for which the sender could have acted as
	// owner.
	AuthorityMS uint32 `cbor:"5,keyasint,omitempty"`
	// Level is the number of tokens in the pool.
	Level    float64           `cbor:"6,keyasint,omitempty"`
	Accounts []HandoverAccount `cbor:"7,keyasint,omitempty"`
}

// HandoverAccount is one borrower of a pool that is handed over. WantedRate is in
// tokens per second, WantedBurst in tokens.
type HandoverAccount struct {
	Borrower    state.MemberID  `cbor:"1,keyasint"`
	Home        bool            `cbor:"2,keyasint,omitempty"`
	LastSeq     uint64          `cbor:"3,keyasint"`
	WantedRate  float64         `cbor:"4,keyasint,omitempty"`
	WantedBurst float64         `cbor:"5,keyasint,omitempty"`
	Grants      []HandoverGrant `cbor:"6,keyasint,omitempty"`
}

// HandoverGrant is a lease that its borrower may be using. Rate is in tokens per
// second, Burst and Tokens in tokens.
type HandoverGrant struct {
	Seq         uint64  `cbor:"1,keyasint"`
	Rate        float64 `cbor:"2,keyasint,omitempty"`
	Burst       float64 `cbor:"3,keyasint,omitempty"`
	Tokens      float64 `cbor:"4,keyasint,omitempty"`
	RemainingMS uint32  `cbor:"5,keyasint,omitempty"`
}

// PoolMoved tells a borrower of a pool that the sender acts in place of an owner
// that is stopping.
type PoolMoved struct {
	Customer      string         `cbor:"1,keyasint"`
	Domain        string         `cbor:"2,keyasint"`
	PreviousOwner state.MemberID `cbor:"3,keyasint"`
}

// OutgoingPoolMoved is a PoolMoved message with its destinations, the borrowers.
type OutgoingPoolMoved struct {
	To        []state.Member
	PoolMoved PoolMoved
}

// OutgoingHandoverNotice is a handover notice with its destination.
type OutgoingHandoverNotice struct {
	To             state.Member
	HandoverNotice HandoverNotice
}

// resignation holds what a node that has resigned still has to hand over.
type resignation struct {
	digest, offset uint64
	// until is the end of the authority that the node had when it resigned.
	until      time.Time
	ledgers    map[string]*Ledger
	successors map[string]state.Member
}

// pendingHandover is a handover request that waits for its answer.
type pendingHandover struct {
	seq    uint64
	from   state.MemberID
	sentAt time.Time
}

// Resign ends all grants by this node for good and returns the notices to the
// successors for its pools, ordered by customer.
func (p *Pools) Resign(now time.Time) []OutgoingHandoverNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resignation != nil {
		return nil
	}
	p.resignation = p.ownership.Resign(now)
	p.resignation.ledgers = map[string]*Ledger{}
	var out []OutgoingHandoverNotice
	for name, successor := range p.resignation.successors {
		if l := p.ledgers[name]; l != nil {
			p.resignation.ledgers[name] = l
			delete(p.ledgers, name)
			out = append(out, OutgoingHandoverNotice{To: successor, HandoverNotice: HandoverNotice{Customer: name}})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].HandoverNotice.Customer < out[j].HandoverNotice.Customer })
	return out
}

// HandOver answers a handover request. A pool is given away once only, so if the
// answer is lost, the pool's tokens are lost.
func (p *Pools) HandOver(from state.MemberID, req HandoverRequest, now time.Time) Handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.resignation
	if r == nil || r.ledgers[req.Customer] == nil || r.successors[req.Customer].ID != from || !now.Before(r.until) {
		return Handover{Seq: req.Seq}
	}
	h := r.ledgers[req.Customer].export(now)
	h.Seq, h.OK = req.Seq, true
	h.Digest, h.Offset = r.digest, r.offset
	h.AuthorityMS = uint32(r.until.Sub(now) / time.Millisecond)
	delete(r.ledgers, req.Customer)
	return h
}

// HandoverRequest handles a notice and returns the request to send in answer.
func (p *Pools) HandoverRequest(from state.MemberID, n HandoverNotice, now time.Time) HandoverRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handoverSeq++
	p.pendingHandovers[n.Customer] = pendingHandover{seq: p.handoverSeq, from: from, sentAt: now}
	return HandoverRequest{Customer: n.Customer, Seq: p.handoverSeq}
}

// AcceptHandover handles the answer to the latest handover request for a pool. It
// reports whether this node now acts in place of the sender, and returns the
// message to the borrowers.
func (p *Pools) AcceptHandover(snap *state.Snapshot, customer string, h Handover, now time.Time) (OutgoingPoolMoved, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, ok := p.pendingHandovers[customer]
	if !ok || pending.seq != h.Seq {
		return OutgoingPoolMoved{}, false
	}
	delete(p.pendingHandovers, customer)
	if !h.OK {
		return OutgoingPoolMoved{}, false
	}
	p.observe(snap, now)
	authority := time.Duration(h.AuthorityMS) * time.Millisecond
	until := pending.sentAt.Add(authority - driftAllowance(authority))
	if !p.ownership.AcceptDelegation(customer, delegation{from: pending.from, until: until}, h.Digest, h.Offset, now) {
		return OutgoingPoolMoved{}, false
	}
	p.ledgers[customer] = ledgerFromHandover(p.timing, p.share(p.ownership.snapshot(), customer), h, now)
	out := OutgoingPoolMoved{PoolMoved: PoolMoved{Customer: customer, Domain: p.self.Domain, PreviousOwner: pending.from}}
	for _, acct := range h.Accounts {
		if m, live := snap.Members[acct.Borrower]; live && m.ID != pending.from {
			out.To = append(out.To, m)
		}
	}
	return out, true
}

// export returns the contents of the pool as of now.
func (l *Ledger) export(now time.Time) Handover {
	l.advance(now)
	h := Handover{Level: l.level}
	for _, acct := range l.accounts {
		handedOver := HandoverAccount{
			Borrower:    acct.borrower,
			Home:        acct.home,
			LastSeq:     acct.lastSeq,
			WantedRate:  acct.wantedRate,
			WantedBurst: acct.wantedBurst,
		}
		for _, g := range acct.grants {
			remaining := (g.expiresAt.Sub(now) + time.Millisecond - 1) / time.Millisecond
			handedOver.Grants = append(handedOver.Grants, HandoverGrant{
				Seq: g.seq, Rate: g.rate, Burst: g.burst, Tokens: g.tokens, RemainingMS: uint32(remaining),
			})
		}
		h.Accounts = append(h.Accounts, handedOver)
	}
	return h
}

// ledgerFromHandover builds a pool from a handover. Leases are counted from now,
// so the delay of the message only lengthens them.
func ledgerFromHandover(t Timing, s Share, h Handover, now time.Time) *Ledger {
	l := NewLedger(t, s, now)
	for _, handedOver := range h.Accounts {
		acct := l.account(handedOver.Borrower)
		acct.handedOver = true
		acct.home = handedOver.Home
		acct.lastSeq = handedOver.LastSeq
		acct.wantedRate, acct.wantedBurst = handedOver.WantedRate, handedOver.WantedBurst
		acct.lastRequest = now
		for _, g := range handedOver.Grants {
			remaining := time.Duration(g.RemainingMS) * time.Millisecond
			acct.grants = append(acct.grants, grant{
				seq: g.Seq, rate: g.Rate, burst: g.Burst, tokens: g.Tokens,
				expiresAt: now.Add(remaining + driftAllowance(remaining)),
			})
		}
	}
	l.level = max(0, h.Level)
	l.clampLevel()
	return l
}
