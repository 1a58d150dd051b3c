// Package graph admits calls by the slots of instances and by the pressure at
// every service that a request's tree of calls will reach. It is for
// deployments whose instances tell how many calls they run at once and whose
// calls carry no token of the tree they belong to.
//
// # Owner: slots
//
// All calls to an instance go through the node beside it, so the calls in
// flight are counted exactly and never exceed the slots. A call that finds
// none waits, ordered by band (begun work and important routes first), then
// by the latest start that still meets its latency objective. It is refused
// at once if the expected wait is longer than it may wait: half of what its
// objective leaves for a new request, longer for a call of begun work, whose
// refusal would waste what the tree has cost so far.
//
// After a start, slots are kept free for runs that an earlier process may have
// left, by what the instance tells of its load. A call that may be repeated and
// was overtaken by many later ones of its route is given up: some instances never
// answer what they could not queue.
//
// # Owner: level
//
// Each node beside an instance keeps an admission level: the rank from which
// on new trees should be refused, moved by an integral controller that holds
// the work offered to the slots at a target and works off what waits. Levels
// below the top go to all nodes in short notices.
//
// # Needs
//
// A node also learns how many calls, and on which routes, one run on each of
// its instance's routes makes: calls are regressed on runs in each
// interval by least squares. Needs are kept in the members' topic, so that a
// new process begins with those of its predecessors; one that was told stays
// until the runs show that it is gone.
//
// # Entry
//
// For a new tree the entry node walks the needs from the request's route and
// refuses it, not run, if its rank is at or above the level of any service in
// that tree. The rank is the route's or customer's priority plus a random part
// below one, so a band is shed in proportion. Calls of begun work pass.
//
// # Limits
//
// A level older than levelTerm is forgotten. Notices cost every node that is
// under pressure one message to each other node per interval.
package graph
