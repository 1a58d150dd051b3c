// Package graph admits calls by the slots of instances and by the load of every
// service that a request's call tree will reach. It is for deployments whose
// instances report how many calls they run at once and whose calls carry no
// token of the tree that they belong to.
//
// # Owner: slots
//
// All calls to an instance go through the node beside it, so the calls in
// flight are counted exactly and never exceed the slots. A call that finds no
// free slot waits, ordered by band (nested calls and important routes first),
// then by the latest start that still meets its latency objective. It is
// refused at once if the expected wait is longer than the call may wait: half
// of the time that the objective leaves for a new request, longer for a nested
// call, whose refusal would waste the work already done for its tree.
//
// If the instance names a rate limit, calls start no faster than it allows (package
// pace); what can't start in time is refused, and the load report shows the
// instance as full. A second level follows the rate limit while
// there is one; the lower of both counts.
//
// If the instance reports how long work takes at the moment, run times are scaled by
// the present work time relative to that of the runs that the mean run times come from,
// for the half second that a slow phase may last. A route whose run times don't follow
// the work time, since its runs wait for nested calls, is scaled by as much as they do.
// The scaled times decide on deadlines, waits, capacity and demand. Each tick, waiting
// calls that would wait too long at an instance that has become slow are refused as not
// sent, and the entry node tries another owner. The load report tells the work time, the
// latest figure decaying towards the mean of some seconds.
//
// After a start, slots are kept free for runs that an earlier process may have
// left, according to the load that the instance reports. An idempotent call
// that has been overtaken by many later calls of its route is cancelled: some
// instances never answer a call that they could not queue.
//
// # Owner: level
//
// Each node beside an instance keeps an admission level: the rank from which
// on new trees should be refused. The top level admits all ranks. An integral
// controller moves the level to hold the work offered to the slots at a target
// and to work off the backlog. A node whose level is below the top sends it to
// all nodes in short notices.
//
// # Fan-out
//
// A node also learns how many calls, and on which routes, one run on each of
// its instance's routes makes. It regresses calls on runs per interval by least
// squares. The fan-out is kept in the members' topic, so that a new process
// starts with that of its predecessors. An announced fan-out stays until the
// runs show that it is gone.
//
// # Entry
//
// For a new tree the entry node walks the fan-out from the request's route. It
// refuses the request, not run, if the request's rank is at or above the level
// of any service in that tree. The level of a service is the mean of its members';
// those with a rate limit count only if all members have one, since what doesn't fit
// there goes to the others. The rank is the route's or customer's priority
// plus a random part below one, so requests of equal priority are shed in
// proportion. Nested calls are not refused at the entry.
//
// # Entry: shares of customers
//
// If the configuration gives customers rates, the random part depends on the customer
// while a level is below the top (package fairshare): requests of customers within their
// weighted max-min fair share of the service get the part of the band below the level,
// those of others only in proportion share/demand. The admitted load is the same.
//
// A node is offered too few requests to tell customers apart, and a customer may enter at
// one failure domain only. So each entry node reports its customers' demand on an
// overloaded service to one of the nodes that send notices of that service, the
// collector, in its failure domain if possible. Collectors add the sum to their notices,
// and every node adds up the sums. A node that is not reached by the sum that contains its
// own demand adds what it has measured itself.
//
// # Limits
//
// A level older than levelTTL is ignored, demand older than demandTTL as well. A node
// whose level is below the top sends one message per notice interval to each other node,
// and every node sends one per report interval for each overloaded service. Messages name
// a bounded number of customers. Shares are as exact as the fan-out, whose numbers
// are announced only when the called routes change.
package graph
