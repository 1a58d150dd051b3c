// Package quota enforces each customer's fleet-wide rate and burst on a store
// that assigns partitions to the members of a group.
//
// # Algorithm
//
// Customers are hashed to partitions; the node that holds a partition owns the
// pools of its customers. A pool is a token bucket with the customer's rate and
// half of its burst. Nodes lease whole tokens from it ahead of demand, enough
// for prefetchTime, and admit requests from the leased tokens, which expire
// after leaseDuration. A node with little demand for a customer prefetches
// nothing and requests a token for each request, which waits for up to
// leaseWait.
//
// A node that can't reach the owner falls back to a fraction of the rate that it
// was granted before, since an even share of a small customer's rate is less
// than one request per second on most nodes. Meanwhile it goes on requesting a
// token with its requests, so that it notices when the owner is back. A planned
// stop begins with handing the node's partitions back. A node restarted after a
// crash joins under the same node name and gets its partitions back at once.
//
// # Partitioned networks
//
// An owner that reaches the store but not the other nodes would keep its pools
// out of their reach. An owner that reaches fewer of the other owners than it
// fails to reach therefore gives its pools back and takes none until that
// changes. A new owner notifies all nodes; nodes that miss the notice learn of
// it from the members' topic.
//
// # Bound
//
// In any window a customer's admitted requests are at most the refill of the
// pool, its depth, and the tokens that nodes held when the window began (about
// prefetchTime of the rate). An owner grants only while its latest join, counted
// from when it was sent on a clock that includes suspension, is younger than the
// group's session timeout. A new owner starts with an empty pool. When
// the group reassigns a partition at once, its old and new owner overlap for at
// most one joinInterval. The sum stays below rate x window + burst, except while
// owners overlap, when it exceeds that by at most a tenth.
//
// # Changes of a limit
//
// What a node was granted under a limit counts only as far as the limit now in
// force allows. When a customer's rate or burst is lowered, nodes scale down the
// tokens that they hold and, without an owner, the rate and tokens of the
// fallback; the owner's pool is cut to its new depth. The average of the granted
// rate is kept with the average of the limits under which its tokens were
// granted. A lease bears the limit of the owner, since the owner and the node may
// learn of a change at different times; both averages stand still while the owner
// can't be reached, and the limit in force is compared with them each time. A
// raised limit adds only to the even share until an owner grants by it. A lease
// that is on its way while the limit is lowered is not scaled.
//
// # Incarnations
//
// A store restored from a backup assigns partitions and generations anew.
// Ownership ends with the store's incarnation. Pools that the same node owns
// again in the next incarnation start empty. Other pools start one session
// timeout after the node observed the new incarnation: by then the owners of the
// earlier incarnation have stopped, even if they have not heard of the new one.
// Owners are ordered by term: by incarnation, then by generation.
//
// # Limits
//
// When an owner dies, its customers are limited to a fraction of their previous
// rate until its session has ended and the new owner is known. Tokens of
// requests that reached no instance are refunded to the node's leases.
package quota
