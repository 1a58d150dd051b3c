package ratelimit

import (
	"sort"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Notice tells the next owner of a pool that its owner is about to stop. The
// next owner answers by a Fetch.
type Notice struct {
	Customer string `cbor:"1,keyasint"`
}

// Fetch asks a stopping owner for a pool. The next owner counts the authority
// that comes with it from before the fetch was sent.
type Fetch struct {
	Customer string `cbor:"1,keyasint"`
	// Seq increases with every fetch of one node.
	Seq uint64 `cbor:"2,keyasint"`
}

// Handover answers a Fetch with the ledger of a pool. It is given once.
type Handover struct {
	Seq uint64 `cbor:"1,keyasint"`
	OK  bool   `cbor:"2,keyasint"`
	// Digest identifies the roster and Offset the prefix of the log by which
	// the sender was the owner.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	Offset uint64 `cbor:"4,keyasint,omitempty"`
	// AuthorityMS is how long the sender could have gone on.
	AuthorityMS uint32 `cbor:"5,keyasint,omitempty"`
	// Level is the number of tokens in the pool.
	Level    float64         `cbor:"6,keyasint,omitempty"`
	Accounts []HandedAccount `cbor:"7,keyasint,omitempty"`
}

// HandedAccount is one borrower of a pool that is handed over. WantRate is in
// tokens per second, WantBurst in tokens.
type HandedAccount struct {
	Borrower  state.MemberID `cbor:"1,keyasint"`
	Home      bool           `cbor:"2,keyasint,omitempty"`
	LastSeq   uint64         `cbor:"3,keyasint"`
	WantRate  float64        `cbor:"4,keyasint,omitempty"`
	WantBurst float64        `cbor:"5,keyasint,omitempty"`
	Grants    []HandedGrant  `cbor:"6,keyasint,omitempty"`
}

// HandedGrant is a lease that its borrower may be using. Rate is in tokens per
// second, Burst and Tokens in tokens.
type HandedGrant struct {
	Seq         uint64  `cbor:"1,keyasint"`
	Rate        float64 `cbor:"2,keyasint,omitempty"`
	Burst       float64 `cbor:"3,keyasint,omitempty"`
	Tokens      float64 `cbor:"4,keyasint,omitempty"`
	RemainingMS uint32  `cbor:"5,keyasint,omitempty"`
}

// Moved tells a borrower of a pool that the sender acts in place of an owner
// that stops.
type Moved struct {
	Customer string         `cbor:"1,keyasint"`
	Domain   string         `cbor:"2,keyasint"`
	Departed state.MemberID `cbor:"3,keyasint"`
}

// OutgoingMoved is a message to borrowers with its destinations.
type OutgoingMoved struct {
	To    []state.Member
	Moved Moved
}

// OutgoingNotice is a notice with its destination.
type OutgoingNotice struct {
	To     state.Member
	Notice Notice
}

// departure is what a node that has resigned still has to hand over.
type departure struct {
	digest, offset uint64
	// until is the end of the authority that the node had.
	until   time.Time
	ledgers map[string]*Ledger
	heirs   map[string]state.Member
}

// pendingFetch is a fetch that waits for its answer.
type pendingFetch struct {
	seq  uint64
	from state.MemberID
	sent time.Time
}

// Resign ends all grants of this node for good and returns the notices to the
// next owners of its pools, ordered by customer.
func (p *Pools) Resign(now time.Time) []OutgoingNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.departure != nil {
		return nil
	}
	p.departure = p.tenure.Resign(now)
	p.departure.ledgers = map[string]*Ledger{}
	var out []OutgoingNotice
	for name, heir := range p.departure.heirs {
		if l := p.ledgers[name]; l != nil {
			p.departure.ledgers[name] = l
			delete(p.ledgers, name)
			out = append(out, OutgoingNotice{To: heir, Notice: Notice{Customer: name}})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Notice.Customer < out[j].Notice.Customer })
	return out
}

// HandOver answers a fetch. A pool is given away once, so that a lost answer
// loses it.
func (p *Pools) HandOver(from state.MemberID, f Fetch, now time.Time) Handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.departure
	if d == nil || d.ledgers[f.Customer] == nil || d.heirs[f.Customer].ID != from || !now.Before(d.until) {
		return Handover{Seq: f.Seq}
	}
	h := d.ledgers[f.Customer].export(now)
	h.Seq, h.OK = f.Seq, true
	h.Digest, h.Offset = d.digest, d.offset
	h.AuthorityMS = uint32(d.until.Sub(now) / time.Millisecond)
	delete(d.ledgers, f.Customer)
	return h
}

// Fetch answers a notice by the message to send back.
func (p *Pools) Fetch(from state.MemberID, n Notice, now time.Time) Fetch {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetchSeq++
	p.fetches[n.Customer] = pendingFetch{seq: p.fetchSeq, from: from, sent: now}
	return Fetch{Customer: n.Customer, Seq: p.fetchSeq}
}

// Adopt takes in the answer to the latest fetch of a pool and reports whether
// this node now acts in place of the sender, with what to tell the borrowers.
func (p *Pools) Adopt(snap *state.Snapshot, customer string, h Handover, now time.Time) (OutgoingMoved, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.fetches[customer]
	if !ok || f.seq != h.Seq {
		return OutgoingMoved{}, false
	}
	delete(p.fetches, customer)
	if !h.OK {
		return OutgoingMoved{}, false
	}
	p.observe(snap, now)
	authority := time.Duration(h.AuthorityMS) * time.Millisecond
	until := f.sent.Add(authority - driftAllowance(authority))
	if !p.tenure.Inherit(customer, inheritance{from: f.from, until: until}, h.Digest, h.Offset, now) {
		return OutgoingMoved{}, false
	}
	p.ledgers[customer] = adoptLedger(p.timing, p.share(p.tenure.snapshot(), customer), h, now)
	out := OutgoingMoved{Moved: Moved{Customer: customer, Domain: p.self.Domain, Departed: f.from}}
	for _, acct := range h.Accounts {
		if m, live := snap.Members[acct.Borrower]; live && m.ID != f.from {
			out.To = append(out.To, m)
		}
	}
	return out, true
}

// export describes the pool as of now.
func (l *Ledger) export(now time.Time) Handover {
	l.advance(now)
	h := Handover{Level: l.level}
	for _, acct := range l.accounts {
		handed := HandedAccount{
			Borrower:  acct.borrower,
			Home:      acct.home,
			LastSeq:   acct.lastSeq,
			WantRate:  acct.wantRate,
			WantBurst: acct.wantBurst,
		}
		for _, g := range acct.grants {
			remaining := (g.expires.Sub(now) + time.Millisecond - 1) / time.Millisecond
			handed.Grants = append(handed.Grants, HandedGrant{
				Seq: g.seq, Rate: g.rate, Burst: g.burst, Tokens: g.tokens, RemainingMS: uint32(remaining),
			})
		}
		h.Accounts = append(h.Accounts, handed)
	}
	return h
}

// adoptLedger makes a pool of what was handed over. Leases count from now, so
// that the time of the message only lengthens them.
func adoptLedger(t Timing, s Share, h Handover, now time.Time) *Ledger {
	l := NewLedger(t, s, now)
	for _, handed := range h.Accounts {
		acct := l.account(handed.Borrower)
		acct.handed = true
		acct.home = handed.Home
		acct.lastSeq = handed.LastSeq
		acct.wantRate, acct.wantBurst = handed.WantRate, handed.WantBurst
		acct.asked = now
		for _, g := range handed.Grants {
			remaining := time.Duration(g.RemainingMS) * time.Millisecond
			acct.grants = append(acct.grants, grant{
				seq: g.Seq, rate: g.Rate, burst: g.Burst, tokens: g.Tokens,
				expires: now.Add(remaining + driftAllowance(remaining)),
			})
		}
	}
	l.level = max(0, h.Level)
	l.clamp()
	return l
}
