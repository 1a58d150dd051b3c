// Package directory keeps what a node believes about its fleet: the members
// with the instances beside them, and the configuration in force.
//
// # Algorithm
//
// Both live in topics of a keyed store, which keeps the newest record of each
// key for good and older ones for some seconds. A node reads all newest
// records, then follows the tail by long polls, from the end that the first
// page named, since pages are no snapshot. When the tail has been cut off, it
// reads the newest records again.
//
// A configuration is taken only if its version is higher than the one in
// force, so nothing a store or a peer repeats takes a node back. A document
// that can't be decoded is logged and the last good one stays in force.
//
// # Age
//
// The configuration is as old as the read that vouched for it, counted from
// the moment at which that read was sent, on a clock that counts suspension.
// In each failure domain the nodes have an order. A node asks those before it,
// at most pullPeers of them, and polls the store itself while none of them has
// heard of it within pullSilence, so in a calm domain one node polls for all.
// Age and silence differ: a poll that ends without records was sent configWait
// before, but shows that the peer is still in touch. An answer carries both, to
// which the exchange is added, and the records of members that have changed. While the age is above askAfter a node asks nodes
// of all failure domains.
//
// # Members
//
// A node writes its own record when it changes, and again when it finds that
// the store has another one under its name. Records of nodes that are gone
// stay until a node of the same name replaces them; routing finds out.
//
// # Incarnations
//
// A store that comes back from a copy is another incarnation. What was written
// since the copy is gone and offsets are given out again, so that nothing read
// in one incarnation is compared by offset with what is read in another: each
// reader of the store reads all newest records again, and records of a node are
// ordered by the start of its process and its own revision. A record that fell
// out is believed for restoreGrace, which is time for its node to write it again.
// A read in a new incarnation vouches for the configuration in force only once a
// version was written in it, or after restoreTrust. A fresh process asks peers
// before it uses the configuration of a store that may be a copy.
//
// # Limits
//
// The leading node of a failure domain has one poll of the configuration and one
// of the members outstanding, 1/configWait calls a second, whatever the size of
// the domain. A change reaches the other nodes within pullInterval, and within
// pullSilence + pullInterval + pullTime and one answer to a peer when the leading
// node has just lost the store.
package directory
