package ratelimit

import "time"

// Timing holds the intervals of the lease protocol.
type Timing struct {
	// Lease is the length of a rate lease, Take that of a single token.
	LeaseDuration, TokenLeaseDuration time.Duration
	// Renew is the age at which a lease is renewed.
	RenewAfter time.Duration
	// Contact is how long an owner may act after its last contact with the log
	// in a fleet of up to contactScale members (see contactTime), MaxContact
	// in a large one.
	LogAuthority, MaxLogAuthority time.Duration
	// Confirmed is how long an owner may act after it has been confirmed by
	// its failure domain.
	QuorumAuthority time.Duration
	// AskTimeout is when an unanswered ask is given up.
	RequestTimeout time.Duration
	// MinRetry and MaxRetry bound the pause between asks that got nothing.
	MinRetry, MaxRetry time.Duration
	// Contended is the pause while others hold what is due to the asker.
	ContendedRetry time.Duration
	// Release is the least time between an ask and an early release.
	MinReleaseDelay time.Duration
	// Wait bounds the time for which a request waits for an answer.
	Wait time.Duration
	// Stall is the longest time between reading the clock and admitting.
	MaxStall time.Duration
}

// DefaultTiming is used by the plug-in.
var DefaultTiming = Timing{
	LeaseDuration:      2 * time.Second,
	TokenLeaseDuration: 50 * time.Millisecond,
	RenewAfter:         time.Second,
	LogAuthority:       3 * time.Second,
	MaxLogAuthority:    30 * time.Second,
	QuorumAuthority:    3 * time.Second,
	RequestTimeout:     100 * time.Millisecond,
	MinRetry:           20 * time.Millisecond,
	MaxRetry:           time.Second,
	ContendedRetry:     50 * time.Millisecond,
	MinReleaseDelay:    100 * time.Millisecond,
	Wait:               8 * time.Millisecond,
	MaxStall:           10 * time.Millisecond,
}

// driftAllowance is added by the lender to the length of a lease: 2 % and
// 5 ms cover the difference in rate of two clocks.
func driftAllowance(d time.Duration) time.Duration {
	return d/50 + 5*time.Millisecond
}

// contactScale is the number of members up to which the log is read about once
// a second by each.
const logAuthorityMembers = 32

// contactTime is how long an owner may act after its last contact with the log.
// In larger fleets every node reads the log more rarely.
func (t Timing) logAuthority(members int) time.Duration {
	scaled := t.LogAuthority * time.Duration(members) / logAuthorityMembers
	return min(max(t.LogAuthority, scaled), t.MaxLogAuthority)
}

// takeoverWait is the time from the promise of a majority to the first grant
// of a new owner: until then the authority and the leases of its predecessors
// have ended. A predecessor's fleet was at most twice as large.
func (t Timing) takeoverWait(members int) time.Duration {
	d := max(t.logAuthority(2*members), t.QuorumAuthority) + t.LeaseDuration
	return d + driftAllowance(d)
}
