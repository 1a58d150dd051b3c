// Package membership keeps a node's snapshot of the shared state current. It
// reads the platform's log, exchanges records with peers by anti-entropy
// gossip (Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987), announces the node, appends what operators change, and
// removes members that are gone.
//
// # Algorithm
//
// In a small fleet every node reads the head of the log once a second. In a
// large one, a fixed number of nodes does, ranked by rendezvous hashing in each
// failure domain; the others ask one of them. It answers after a read of the
// log that began after the request arrived, so that the asker's contact with
// the log is as old as its request. Once a second it sends a digest (offset, hash of the last record,
// version, hash of what it knows outside the log) to a random peer, mostly in
// its own failure domain; the side that is behind gets the missing records
// with their offsets, or the whole state if they are no longer kept. Records
// are relayed only between nodes whose last common record has equal hashes.
//
// Withdrawals of keys and resignations are monotone. They apply at once, are
// forwarded to a few peers by every node to which they are new, and any node
// appends them when the log can be reached. Removals take effect only through
// the log.
//
// What is appended on behalf of all (refresh of the configuration,
// withdrawals, removals) is appended by the node that ranks first by
// rendezvous hashing; others wait longer by rank and find it done.
//
// # Liveness
//
// A peer that fails a gossip exchange is probed again; one that fails all
// probes for DefaultSuspectAfter is suspected, and suspects ride on digests. A
// member is removed by a node of its own failure domain that suspects it, has
// heard the same from enough others, and reaches a majority of the domain.
// A domain that is lost as a whole is left to the operators.
//
// # Units and limits
//
// Offsets count records; versions count accepted configurations. The log is
// taken to be linearizable: a read returns every append that was answered
// before it began. A log that was rolled back is reported as an error and
// read again from its start; offset, version, withdrawals and ends of this
// node stay, and what the log lost is appended again. If an operator changed
// the configuration between the rollback and that append, nodes may hold
// different files of the same version until the next change.
package membership
