package ratelimit

import "time"

// Timing holds the intervals of the lease protocol.
type Timing struct {
	// Lease is the length of a rate lease, Take that of a single token.
	Lease, Take time.Duration
	// Renew is the age at which a lease is renewed.
	Renew time.Duration
	// Contact is how long an owner may act after its last contact with the log
	// in a fleet of up to contactScale members (see contactTime), MaxContact
	// in a large one.
	Contact, MaxContact time.Duration
	// Confirmed is how long an owner may act after it has been confirmed by
	// its failure domain.
	Confirmed time.Duration
	// AskTimeout is when an unanswered ask is given up.
	AskTimeout time.Duration
	// MinRetry and MaxRetry bound the pause between asks that got nothing.
	MinRetry, MaxRetry time.Duration
	// Contended is the pause while others hold what is due to the asker.
	Contended time.Duration
	// Release is the least time between an ask and an early release.
	Release time.Duration
	// Wait bounds the time for which a request waits for an answer.
	Wait time.Duration
	// Stall is the longest time between reading the clock and admitting.
	Stall time.Duration
}

// DefaultTiming is used by the plug-in.
var DefaultTiming = Timing{
	Lease:      2 * time.Second,
	Take:       50 * time.Millisecond,
	Renew:      time.Second,
	Contact:    3 * time.Second,
	MaxContact: 30 * time.Second,
	Confirmed:  3 * time.Second,
	AskTimeout: 100 * time.Millisecond,
	MinRetry:   20 * time.Millisecond,
	MaxRetry:   time.Second,
	Contended:  50 * time.Millisecond,
	Release:    100 * time.Millisecond,
	Wait:       8 * time.Millisecond,
	Stall:      10 * time.Millisecond,
}

// driftAllowance is added by the lender to the length of a lease: 2 % and
// 5 ms cover the difference in rate of two clocks.
func driftAllowance(d time.Duration) time.Duration {
	return d/50 + 5*time.Millisecond
}

// contactScale is the number of members up to which the log is read about once
// a second by each.
const contactScale = 32

// contactTime is how long an owner may act after its last contact with the log.
// In larger fleets every node reads the log more rarely.
func (t Timing) contactTime(members int) time.Duration {
	scaled := t.Contact * time.Duration(members) / contactScale
	return min(max(t.Contact, scaled), t.MaxContact)
}

// takeoverWait is the time from the promise of a majority to the first grant
// of a new owner: until then the authority and the leases of its predecessors
// have ended. A predecessor's fleet was at most twice as large.
func (t Timing) takeoverWait(members int) time.Duration {
	d := max(t.contactTime(2*members), t.Confirmed) + t.Lease
	return d + driftAllowance(d)
}
