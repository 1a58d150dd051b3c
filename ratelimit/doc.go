// Package ratelimit limits each customer's requests over the whole fleet.
//
// # Guarantee
//
// Over any window of t seconds a customer is admitted at most
// burst + rate*t times by all nodes together. Admitted root requests are
// counted when they are decided on; a request proceeds at most Timing.MaxStall
// after that. Nested calls and open routes are not limited. A token is never
// returned once a request has taken it.
//
// # Algorithm
//
// A failure domain holds a fixed share of every customer's rate and burst.
// Within the domain, the pool of a customer has one owner, chosen by rendezvous
// hashing over the domain's roster (Thaler and Ravishankar, 1998). The owner
// leases parts of the share (rate, bucket depth and tokens) to entry nodes by
// demand, as in distributed rate limiting (Raghavan et al., SIGCOMM 2007) but
// with hard bounds: what can be spent from the pool and from all leases that
// may be in use sums to the share (Ledger). An entry node spends from its own
// lease without sending a message (Entry). When the lease is empty, it sends a
// lease request, and a request waits at most Timing.MaxWait for the answer. When
// the owner of its own domain has nothing or does not answer, the entry node
// asks the owners of the other domains, which lend what their own nodes do not
// want.
//
// Leases are durations (Gray and Cheriton, 1989): the borrower counts from
// before it sends the lease request, the lender from after it has received it,
// plus an allowance for the clock rate. A borrower reduces its lease before it
// reports the reduction.
//
// An owner acts while it knows that it has not been replaced (Ownership): for
// Timing.logAuthority after a read of the log's head and, while the log is
// unavailable, for Timing.QuorumAuthority after a confirmation by three quarters
// of the domain's roster. A successor first has a majority promise not to
// confirm its predecessors, then waits for the predecessors' authority and
// leases to end, and starts with an empty pool. Meanwhile the other domains
// lend.
//
// At a planned stop an owner ends its grants, then hands each ledger over, once,
// to the successor: the member that is the owner by the roster without the
// stopping node. The successor acts in the owner's place until the end of the
// owner's authority, counted from before the successor sent the handover
// request. It does so only if it sees the same roster and nothing of the log
// that the owner had not seen, so that the owner is known to have waited for all
// earlier owners. If the successor sees the owner's end within that time, and no
// end of another member that would have been the owner, it continues under its
// own authority without a wait, since any other member would have had to wait
// longer. The successor notifies the borrowers. If any of this fails, the
// successor waits as after a crash of the owner.
//
// # Limits
//
// Clock rates of two nodes may differ by at most 2 % for leases; a clock that
// runs fast by more than 0.1 % exceeds a rate by the difference. Clocks need not
// agree. Monotonic time must not stop while the process is suspended.
//
// While a change of a customer's rate or burst spreads, and for one lease
// duration after that, the larger of the two values holds. A change of the list
// of failure domains changes all shares; until it is in force everywhere, the
// sum of the shares may exceed the whole.
//
// The confirmation by roster is sound as long as the number of members replaced
// on the log, while the owner and three quarters of its old roster could not
// read the log directly or through a peer, is below half the domain's size.
//
// The time for which an owner may act grows with the size of the fleet, since
// nodes of a large fleet read the log less often. A successor's wait allows for
// a fleet that was twice as large; no more than half of the members may end
// within that time.
//
// A customer whose pool's owners crash in all domains is refused until one of them
// has been removed from the roster and its successor has waited.
//
// A domain whose part of a customer's burst is below one token has no share and
// borrows everything. Rates are in requests per second, bursts in requests.
//
// # Priorities
//
// While at least three tenths of a customer's requests of about the last second
// have been refused at an entry node, requests leave tokens for more important
// ones: in the node's lease (customerLeases.reservedTokens) and, by the
// priorities in the lease request, in the pool (Ledger.available). The denial of
// a less important request then does not block lease requests for a critical
// one. All this only refuses more requests; it never adds tokens. A node that
// sees few requests detects the refusals late, so a customer with some 20
// requests per second spread over many nodes benefits less.
//
// # Resends
//
// For some seconds after a request of the node failed due to overload, requests
// equal to a recently failed one are limited to a ratio of the customer's other
// requests (ResendLimiter). This is a retry budget as in Finagle, applied to
// callers.
package ratelimit
