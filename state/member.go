// Package state folds the records of the platform's log into an immutable
// snapshot. The fold is pure: two nodes that have applied the same log prefix
// hold equal snapshots.
package state

import "strings"

// MemberID names one incarnation of a node: a fresh random value for each
// start of the process, so a replaced instance at a reused address differs.
type MemberID string

// NodeName returns the part of an ID before "#", which all incarnations of a node
// in one place of the fleet share.
func (id MemberID) NodeName() string {
	place, _, _ := strings.Cut(string(id), "#")
	return place
}

// Member is an announced node and the upstream instance beside it.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Service string   `cbor:"2,keyasint"`
	// Domain is the failure domain the instance stands in.
	Domain string `cbor:"3,keyasint"`
	// ControlAddr is the UDP address for control messages (QUIC).
	ControlAddr string `cbor:"4,keyasint"`
	// CallAddr is the TCP address for calls between nodes.
	CallAddr string `cbor:"5,keyasint"`
	// CallerAddr is the TCP address for callers (HTTP).
	CallerAddr string `cbor:"6,keyasint"`
	// AnnouncedMS is the time at which the incarnation began, in Unix
	// milliseconds; announcing it again doesn't change it.
	AnnouncedMS int64 `cbor:"7,keyasint"`
	// Draining members take no new work.
	Draining bool `cbor:"8,keyasint"`
	// Slots is the number of calls that the instance runs at once, where it
	// tells; zero means unknown.
	Slots int `cbor:"9,keyasint,omitempty"`
}
