// Package quarantine keeps a request that crashes instances from reaching
// one after the other.
//
// # Algorithm
//
// Calls are known by Call.Fingerprint. When an instance is lost
// (Result.InstanceLost), every fingerprint in flight there is a suspect of that death.
// A second death with the same fingerprint in flight quarantines it: it is
// refused, not run, for 5 minutes. A node numbers the deaths of its instance;
// the number is the epoch of the calls that were in flight, so a death counts
// once, however many calls were lost in it. The death of a node together with
// its instance is seen by the nodes that had calls there and counts once as
// well, since a member ID names one incarnation; where instances outlive their
// nodes (Host.InstancesOutliveNodes) it counts for nothing.
//
// At an instance no suspect runs beside another one (also not beside a copy of
// itself), so a second death points at one suspect. Others wait for up to
// 500 ms. A suspect that gets an answer while it is the only one is cleared of
// the deaths known by then, at all nodes; a suspect that is not seen again
// lapses after a minute.
//
// # Messages
//
// Changes go to the nodes of the call's service in all failure domains, eight
// at a time (quarantine.report); they are the ones that could run it. Changes
// within 5 ms share a message, so a death costs one message to each node from
// each witness, not one for each lost call. A lost
// call is answered after these nodes have been told or 200 ms have passed, so
// that a caller who sends it again at once meets nodes that know. Receivers
// merge: deaths and pardons are sets that only grow, an expiry only moves
// forward, so order and repetition don't matter. A node that has started asks
// members of its service for their table (quarantine.table).
//
// # Bound and limits
//
// A request sent again and again, one at a time, takes down at most two
// instances as long as the nodes of the service hear each other. Copies sent
// at the same time to several instances may take down each of them once. A
// node that dies together with its instance leaves no witness for the calls
// that entered the system at that same node.
// Failure domains that are cut off from each other count apart. Expiries are
// in Unix milliseconds of the node that set them and are capped on receipt at
// the longest term from the receiver's own clock. At most 4096 fingerprints
// are kept; the one that expires first makes room.
package quarantine
