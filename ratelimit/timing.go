package ratelimit

import "time"

// Timing holds the intervals of the lease protocol.
type Timing struct {
	// LeaseDuration is the duration of a rate lease, TokenLeaseDuration that of a
	// lease of single tokens.
	LeaseDuration, TokenLeaseDuration time.Duration
	// RenewAfter is the age at which a lease is renewed.
	RenewAfter time.Duration
	// LogAuthority is how long an owner may act after its last contact with the
	// log in a fleet of up to logAuthorityMembers members; MaxLogAuthority is the
	// limit in larger fleets. See logAuthority.
	LogAuthority, MaxLogAuthority time.Duration
	// QuorumAuthority is how long an owner may act after its failure domain has
	// confirmed it.
	QuorumAuthority time.Duration
	// RequestTimeout is when an unanswered lease request is given up.
	RequestTimeout time.Duration
	// MinRetry and MaxRetry bound the pause after a lease request that got
	// nothing.
	MinRetry, MaxRetry time.Duration
	// ContendedRetry is the pause while other borrowers hold what is due to the
	// requester.
	ContendedRetry time.Duration
	// MinReleaseDelay is the minimum time between a lease request and an early
	// release.
	MinReleaseDelay time.Duration
	// MaxWait bounds how long a request waits for the answer to a lease request.
	MaxWait time.Duration
	// MaxStall is the longest time between reading the clock and admitting a
	// request.
	MaxStall time.Duration
}

// DefaultTiming is the timing used by the plug-in.
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
	MaxWait:            8 * time.Millisecond,
	MaxStall:           10 * time.Millisecond,
}

// driftAllowance is added by the lender to the duration of a lease. 2 % plus 5 ms
// cover the difference in rate of two clocks.
func driftAllowance(d time.Duration) time.Duration {
	return d/50 + 5*time.Millisecond
}

// logAuthorityMembers is the number of members up to which each member reads the
// log about once a second.
const logAuthorityMembers = 32

// logAuthority returns how long an owner may act after its last contact with the
// log. In larger fleets every node reads the log less often.
func (t Timing) logAuthority(members int) time.Duration {
	scaled := t.LogAuthority * time.Duration(members) / logAuthorityMembers
	return min(max(t.LogAuthority, scaled), t.MaxLogAuthority)
}

// takeoverWait returns the time from the promise of a majority to the first grant
// of a new owner. By then the authority and the leases of its predecessors have
// ended. It assumes that a predecessor's fleet was at most twice as large.
func (t Timing) takeoverWait(members int) time.Duration {
	d := max(t.logAuthority(2*members), t.QuorumAuthority) + t.LeaseDuration
	return d + driftAllowance(d)
}
