// Package admission decides whether a call may run. It does so at both ends of
// a call's path: at the node beside the instance (owner part) and at the node
// that the caller is connected to (entry part).
//
// # Limit
//
// The owner part keeps the calls in flight at its instance below a limit that
// follows measured latency; it never reads the load endpoint. The latency of a
// call is its own time: the time between handing the call to the instance and
// its answer, less the time during which the instance waited for nested calls
// of the same tree. A slow service further down therefore doesn't lower the
// limits of the services above it. The limit doubles while it is fully used and
// latency stays near its base (slow start after a cold start), then grows by a
// quarter below 1.1 times the base and by a twentieth below 1.2 times. As in
// TCP Vegas (Brakmo and Peterson, 1995) growth stops there; above 1.5 times the
// limit is reduced slowly. Latency that is far higher, or stays high, starts a
// search for the knee of the latency curve: the limit is cut step by step as
// long as latency falls in proportion. When latency no longer does, the calls
// cut were not queueing inside the instance, and the latency seen there is the
// new base. A service that merely slows down thus keeps its concurrency.
//
// # Queue
//
// Calls above the limit wait for at most twice the mean service time, within
// 50 ms to 500 ms. They are ordered by priority, then nested calls before new
// trees, then by start-time fair queueing across customers (Goyal, Vin and
// Cheng, 1996) with the mean service time of the route as the cost. The limit
// described above holds for the lower priorities; config.PriorityCritical has a
// tenth of it, at least one call, in addition for itself. When the queue is
// full the least important call is refused; among equals it is the newest one
// of the customer with the most calls waiting. A call whose deadline would pass
// before the mean service time has elapsed is refused before it runs.
//
// # Early shedding
//
// Each call has a shed rank: priority in the upper bits, a hash of the root
// request's ID below. The owner keeps a threshold for each customer, similar to
// DAGOR (Zhou et al., Overload Control for Scaling WeChat Microservices, 2018):
// when more than 15% of a customer's calls were refused in a window of 200 ms,
// the threshold moves down to the rank below which a tenth more calls arrived
// than ran; the surplus keeps the fair queue supplied. When less than 5% were
// refused the threshold moves up again in growing steps. Each answer carries
// the threshold (kernel.Load). The answer to a call that itself made nested
// calls carries the lowest threshold of the services below as well, by route,
// so the entry node refuses new trees before any work is spent. All hops use
// the same rank and hence shed the same trees. A threshold that is not renewed
// holds for 500 ms and then opens over 1.5 s. A new tree is refused only if no
// owner that has reported within that time would admit it.
//
// # Guarantees and limits
//
// No call of the top priority is refused for overload at an instance while a
// call of a lower priority is being admitted there; thresholds never enter the
// top priority's band. Refusals are immediate, and a refused call has never
// run. Shares are by slot time, equal for all customers.
//
// The owner's queue is guarded by one mutex per instance, held for about a
// microsecond and never across I/O; the entry part uses atomics only. Memory:
// one flow and 64 counters for each customer active in the last 10 s.
package admission
