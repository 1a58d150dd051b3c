// Package directory keeps a node's view of its fleet: the member nodes with the
// instances beside them, and the configuration in force.
//
// # Algorithm
//
// Members and configuration live in topics of a keyed store, which keeps the
// latest record of each key for good and older records for some seconds. A node
// reads the latest record of every key, then follows the tail of the topic by
// long polls. It starts the tail at the end offset that the first page named,
// because the pages of one read are not a snapshot. When the store has compacted
// the tail away, the node reads the latest records again.
//
// A configuration is applied only if its version is higher than the one in
// force, so a stale document from the store or a peer never reverts a node. A
// document that can't be decoded is logged and the last good one stays in force.
//
// # Age
//
// The age of the configuration is the time since the read that last confirmed it
// was sent, on a clock that includes time spent suspended. In each failure
// domain the nodes are ordered by a hash of their names. A node requests the
// state from the nodes that precede it, at most maxPullPeers of them. It polls
// the store itself while none of them has had contact with the store within
// configPollWait + peerContactSlack, so in an undisturbed domain one node, the
// reader, polls for all.
//
// The age of the configuration and the time since the last contact with the
// store differ: a poll that ends without records was sent configPollWait before,
// but shows that the peer still reaches the store. A peer's response carries both
// times, to which the requester adds the duration of the exchange, and the member
// records that have changed. While the age is above peerRefreshAge a node requests
// the state from nodes of all failure domains.
//
// # Members
//
// A node writes its own record when it changes, and again when it finds a
// different record under its name in the store. Records of nodes that are gone
// stay until a node of the same name replaces them; routing detects that such
// nodes don't respond.
//
// # Incarnations
//
// A store restored from a backup is a new incarnation. Writes since the backup
// are lost and offsets are assigned again, so offsets of different incarnations
// are never compared: each reader of the store reads the latest records again,
// and records of one node are ordered by the start of its process and by the
// process's own revision counter. A record that the restored store lacks is kept for
// lostRecordGrace, in which its node can write it again. A read in a new
// incarnation confirms the configuration in force only once a version was written
// in that incarnation, or after configTrustDelay. A fresh process requests the
// configuration from peers before it uses that of a store that may have been
// restored.
//
// # Limits
//
// The reader of a failure domain has one poll of the configuration and one of the
// members outstanding, 1/configPollWait calls a second, whatever the size of the
// domain. A change reaches the other nodes within pullInterval, or, when the
// reader has just lost the store, within peerContactSlack + pullInterval +
// maxPullTime and one response of a peer.
package directory
