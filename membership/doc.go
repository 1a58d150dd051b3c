// Package membership keeps a node's snapshot of the shared state current. It
// reads the platform's log, exchanges records with peers by anti-entropy
// gossip (Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987), announces the node, appends operators' changes, and
// removes failed members.
//
// # Algorithm
//
// In a small fleet, every node reads the head of the log once a second. In a
// large fleet, a fixed number of nodes, chosen by rendezvous hashing within each
// failure domain, read the log and act as relays; every other node asks a relay
// in its domain. A relay responds after a read of the log that started after the
// request arrived, so that the requester's log contact dates from its request.
//
// Once a second, every node sends a digest (offset, hash of the last record,
// version, hash of the items that are not in the log) to a random peer, usually
// in its own failure domain. The side that is behind gets the missing records
// with their offsets, or the whole state if they are no longer kept. Records
// are relayed only between nodes whose last common record has equal hashes.
//
// Key withdrawals and resignations are monotonic. They take effect immediately,
// every node that receives a new one forwards it to a few peers, and any node
// appends it when the log is reachable. Removals take effect only through the
// log.
//
// Records appended on behalf of all nodes (refreshes of the configuration,
// withdrawals, removals) are appended by the node that ranks first by rendezvous
// hashing. The other nodes wait in proportion to their rank and append only what
// is still missing.
//
// # Failure detection
//
// A peer that fails a gossip exchange is probed repeatedly. A peer that fails
// all probes for DefaultSuspectAfter is suspected, and digests carry the
// suspicions. A member is removed by a node of its own failure domain that
// suspects it, has received the same suspicion from enough other nodes, and
// reaches a majority of the domain. If a whole domain fails, its members are left
// for the operators to remove.
//
// # Units and limits
//
// Offsets count records; versions count accepted configurations. The log is
// assumed to be linearizable: a read returns every append that was acknowledged
// before the read started. A rolled-back log is reported as an error and read
// again from its start. The node keeps its offset, version, withdrawals and
// ended incarnations, and appends again what the log lost. If an operator
// changed the configuration between the rollback and that append, nodes may hold
// different files of the same version until the next change.
package membership
