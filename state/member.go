// Package state folds the records of the platform's log into an immutable
// snapshot. The fold is deterministic: two nodes that have applied the same log
// prefix hold equal snapshots.
package state

import "strings"

// MemberID identifies one incarnation of a node. Every start of the process gets a
// new value, so that a replacement at the same address has a different ID: a random
// UUID, or the node's name, "#" and the start time.
type MemberID string

// NodeName returns the part of an ID before "#", which all incarnations of a node
// share.
func (id MemberID) NodeName() string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

// Member is an announced node with the upstream instance beside it.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Service string   `cbor:"2,keyasint"`
	// Domain is the failure domain of the instance.
	Domain string `cbor:"3,keyasint"`
	// ControlAddr is the UDP address for control messages (QUIC).
	ControlAddr string `cbor:"4,keyasint"`
	// CallAddr is the TCP address for calls between nodes.
	CallAddr string `cbor:"5,keyasint"`
	// CallerAddr is the TCP address for callers (HTTP).
	CallerAddr string `cbor:"6,keyasint"`
	// AnnouncedMS is the time at which the incarnation started, in Unix
	// milliseconds. Repeated announcements do not change it.
	AnnouncedMS int64 `cbor:"7,keyasint"`
	// Draining is set while the member takes no new work.
	Draining bool `cbor:"8,keyasint"`
	// Slots is the number of calls that the instance runs concurrently, if the
	// instance reports it; zero means unknown.
	Slots int `cbor:"9,keyasint,omitempty"`
	// Instance is the latest instance beside the member; its ID is empty if it isn't
	// known. It is set from the node's record and not sent.
	Instance Incarnation `cbor:"-"`
}
