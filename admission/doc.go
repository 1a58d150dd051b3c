// Package admission decides whether a call may run, at the two ends of its
// way: the node beside the instance (owner part) and the node that the caller
// connected to (entry part).
//
// # Limit
//
// The owner part holds the calls in flight at its instance under a limit that
// follows measured latency; the load endpoint is never read. The latency of a
// call is its own time: the time between hand-over and answer less the time
// during which the instance waited for nested calls of the same tree, so that
// a slow service further down doesn't close the services above it. The limit
// doubles while it is fully used and latency stays near its base (slow start
// after a cold start), then grows by a quarter below 1.1 times the base and by a
// twentieth below 1.2 times. As in TCP Vegas (Brakmo and Peterson, 1995) growth
// stops there; above 1.5 times the limit is eased down. Latency that is far
// higher, or stays high, starts a search for the knee: the limit is cut step
// by step as long as latency falls in proportion; when it no longer does, the
// calls cut were not queueing inside the instance, and the latency seen there
// is the new base. So a service that merely slows down keeps its concurrency.
//
// # Queue
//
// Calls above the limit wait for at most twice the mean service time, within
// 50 ms to 500 ms. Order: priority, then nested calls before new trees, then
// start-time fair queueing by customer (Goyal, Vin and Cheng, 1996) with the
// mean service time of the route as the cost. The limit
// so found holds for the lower priorities; config.PriorityCritical has a tenth
// of it, at least one call, on top for itself. When the queue is full the least
// important call is refused; among equals it is the newest one of the
// customer with the most calls waiting. A call whose deadline would pass
// before the mean service time has elapsed is refused before it runs.
//
// # Early shedding
//
// Each call has a shed rank: priority in the upper bits, a hash of the root
// request's ID below. The owner keeps a threshold for each customer, in the
// manner of DAGOR (Zhou et al., Overload Control for Scaling WeChat
// Microservices, 2018): when more than 15% of a customer's calls were refused
// in a window of 200 ms, the threshold moves down to the rank below which a
// tenth more calls arrived than ran; the surplus keeps the fair queue
// supplied. Below 5% it moves back up in growing steps. The threshold rides
// on each answer (kernel.Load). The answer to a call that itself made nested
// calls carries the lowest threshold of the services below as well, by route,
// so the entry node refuses new trees before any work is spent. All hops use
// the same rank and hence shed the same trees. A threshold that is not
// renewed holds for 500 ms and then opens over 1.5 s. A new tree is refused
// only if no owner heard from within that time would take it.
//
// # Bounds and limits
//
// No call of the top priority is refused for overload at an instance while a
// call of a lower priority is being admitted there; thresholds never enter the
// top priority's band. Refusals are immediate and always not run. Shares are
// by slot time, equal for all customers.
//
// The owner's queue is guarded by one mutex per instance, held for about a
// microsecond and never across I/O; the entry part uses atomics only. Memory:
// one flow and 64 counters for each customer active in the last 10 s.
package admission
