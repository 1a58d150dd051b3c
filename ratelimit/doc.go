// Package ratelimit limits each customer's requests over the whole fleet.
//
// # Promise
//
// Over any window of t seconds a customer is admitted at most
// burst + rate*t times by all nodes together. Admitted root requests are
// counted when they are decided on; a request goes on at most Timing.Stall
// after that. Nested calls and open routes are not limited. A token is never
// given back once a request has taken it.
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
// lease without a message (Entry). With the lease empty it asks, and a request
// waits at most Timing.Wait for the answer. When the owner of its own domain
// has nothing or does not answer, the entry node asks the owners of the other
// domains, which lend what their own nodes do not want.
//
// Leases are durations (Gray and Cheriton, 1989): the borrower counts from
// before it sends the ask, the lender from after it has received it, plus an
// allowance for the clock rate. A borrower lowers its lease before it reports
// that it has.
//
// An owner acts while it knows that it has not been replaced (Tenure): for
// Timing.contactTime after a read of the log's head, and, while the log is away,
// for Timing.Confirmed after a confirmation by three quarters of the domain's
// roster. A successor first has a majority promise not to confirm its
// predecessors, then waits for the predecessors' authority and leases to end,
// and starts with an empty pool. Meanwhile the other domains lend.
//
// At a planned stop an owner ends its grants, then gives each ledger, once, to
// the member that the roster without it makes the owner. The heir acts in its
// place until the end of the authority which the stopped owner had, counted
// from before the heir sent for the ledger. It does so only if it sees the same
// roster and nothing of the log that the owner had not seen, so that all owners
// before are known to have been waited for. If it sees the owner's end within
// that time, and no end of another member that would have been the owner, it
// goes on by its own authority without a wait: anybody else would have had to
// wait for longer. The heir tells the borrowers. If any of this fails, the heir
// waits as after a death.
//
// # Limits
//
// Clock rates of two nodes differ by at most 2 % for leases; a clock that runs
// fast by more than 0.1 % exceeds a rate by the difference. Clocks need not
// agree. Monotonic time must not stop while the process does not run.
//
// While a change of a customer's rate or burst spreads, the larger of the two
// holds, and for the length of a lease after that. A change of the list of
// failure domains changes all shares; until it is in force everywhere, the sum
// of the shares may exceed the whole.
//
// The confirmation by roster is sound as long as fewer than half as many
// members as the domain has were replaced on the log while the owner and three
// quarters of its old roster could not read it, directly or by a peer.
//
// The time for which an owner may act grows with the size of the fleet, since
// the log is read more rarely in a large one. The wait of a successor allows for
// a fleet that was twice as large; more than half of the members must not end
// within that time.
//
// A domain with less than one token of burst for it has no share of a customer
// and borrows everything. Units: rates in requests per second, bursts in
// requests.
//
// # Priorities
//
// While at least three tenths of a customer's requests of about the last second
// have been refused at an entry node, requests leave tokens to more important
// ones: in the lease of the node (entryCustomer.kept) and, by what the ask tells,
// in the pool (Ledger.available). A denial of a less important request then does
// not keep a critical one from asking. All this only refuses more; it never adds
// tokens. A node that sees few requests learns late, so that a customer of some
// 20 requests per second spread over many nodes gains less.
//
// # Resends
//
// For some seconds after a request of the node failed by overload, requests
// equal to a recently failed one are held to a ratio of the customer's other
// requests (Resends); a retry budget as in Finagle, applied to callers.
package ratelimit
