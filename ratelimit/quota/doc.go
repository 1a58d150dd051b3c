// Package quota holds customers to their fleet-wide rate and burst where a
// store hands out partitions to the members of a group.
//
// # Algorithm
//
// Customers are hashed to partitions; the node that holds a partition owns the
// pools of its customers. A pool is a token bucket with the customer's rate and
// half of its burst. Nodes lease whole tokens from it ahead of their demand,
// holdTime's worth at a time, and serve requests from what they hold; leased
// tokens expire after leaseTerm. A node with little demand for a customer holds
// none and asks for each request, which waits for up to askWait.
//
// A node that can't reach the owner goes on with a part of the rate that it
// has been granted of late, since an even share of a small customer's rate is
// less than a request a second on most nodes. A node that stops as planned gives
// its pools back at the beginning of the stop; one that was killed joins under
// the name of its place and has them back at once.
//
// # Cuts
//
// An owner that can reach the store but not the other nodes would keep its pools
// from them. One that reaches fewer of the other owners than it fails to reach
// gives its pools back and takes none until that changes. A new owner tells all
// nodes of itself; those that miss it read the members' topic.
//
// # Bound
//
// In any window the requests of a customer are at most the refill of the pool,
// its depth, and the tokens that nodes held when the window began, about
// holdTime of the rate. An owner grants only as long as its latest join, counted
// from its sending on a clock that counts suspension, is younger than the
// group's term; a new owner starts with an empty pool. Partitions that are dealt
// anew at once overlap for at most one joinInterval. The sum stays below
// rate x window + burst, and above it by a tenth only while owners overlap.
//
// # Incarnations
//
// A store that comes back from a copy gives out partitions and generations again.
// A tenure ends with its incarnation: pools that the same node holds in the next
// one begin empty, others begin a term after the node has met the incarnation,
// when the owners by the earlier one have ended whether they have heard of it or
// not. Owners are ordered by incarnation, then by generation.
//
// # Limits
//
// When an owner dies its customers have a part of what they used until the term
// has ended and the new owner is known. Tokens of requests that no instance has
// seen go back to what the node holds.
package quota
