// Package quarantine keeps a request that crashes instances from reaching one
// instance after another.
//
// # Algorithm
//
// Calls are identified by Call.Fingerprint. When an instance is lost
// (Result.InstanceLost), every fingerprint in flight there becomes a suspect
// for this loss, called a death. A second death with the same fingerprint in
// flight quarantines it: it is refused, not run, for 5 minutes. A node numbers
// the deaths of its instance; the number is the epoch of the calls that were in
// flight, so a death counts once, however many calls were lost in it. The death
// of a node together with its instance is detected by the nodes that had calls
// there. It also counts once, since a member ID identifies one incarnation.
// Where instances outlive their nodes (Host.InstancesOutliveNodes), it does not
// count.
//
// At an instance a suspect never runs concurrently with another suspect, or with
// a copy of itself, so a second death points at one suspect. Other suspects wait
// for up to 500 ms. A suspect that is answered while it runs alone is cleared, at
// all nodes, of the deaths known when it began. The record of a suspect that is
// not seen again expires after a minute.
//
// # Messages
//
// Changes are reported to the nodes of the call's service in all failure
// domains, eight at a time (quarantine.report); these are the nodes that could
// run the call. Changes within 5 ms share a message, so for each death every node
// that detected it sends one message to each node, not one for each lost call.
// A lost call is answered when these nodes have received the report or 200 ms
// have passed, so that a caller who resends it at once reaches nodes that know
// of the death. Receivers merge reports: the sets of deaths and cleared deaths
// only grow and an expiry only moves forward, so order and repetition don't
// matter. A node that has started requests the tables of members of its service
// (quarantine.table).
//
// # Bound and limits
//
// A request sent repeatedly, one at a time, crashes at most two instances as
// long as the nodes of the service can reach each other. Copies sent to several
// instances at the same time may crash each of them once. When a node dies
// together with its instance, no other node can report the calls that entered
// the system at that node. Failure domains that are cut off from each other
// count deaths separately. Expiries are in Unix milliseconds on the clock of the
// node that set them, and on receipt are capped at the retention time from the
// receiver's clock. At most 4096 fingerprints are kept; the one that expires
// first is evicted.
package quarantine
