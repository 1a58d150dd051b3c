// Package admin serves the administration API. The package admin/design defines
// the API, and the code in admin/gen is generated from it. Package admin
// implements the methods with a Backend, checks operators' tokens and logs each
// change.
package admin

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Backend provides the functions of a node that the API exposes.
//
// Methods that return an error return nil once the change is in force at this
// node and certain to reach the other nodes. An error that wraps
// streamlog.ErrOutcomeUnknown or a context error means that the change may have
// been made; any other error means that it was not made. Changes are idempotent.
type Backend interface {
	// Snapshot returns the current state. It never returns nil.
	Snapshot() *state.Snapshot
	// Submit appends a configuration that is based on version baseVersion to the
	// log and waits for the result. Repeating it with the same changeID has no
	// further effect. SubmitRejected means that no record of this change is in
	// force or can come into force later.
	Submit(ctx context.Context, file []byte, baseVersion uint64, changeID string) SubmitResult
	// Outcome reads the log up to its head and returns the result of a change, or
	// SubmitUnknown if the log contains none.
	Outcome(ctx context.Context, changeID string) SubmitResult
	// IssueKey adds a key.
	IssueKey(ctx context.Context, key config.Key) error
	// Withdraw withdraws a key. The key need not be known at this node.
	Withdraw(ctx context.Context, keyID string) error
	// SetDraining starts or stops draining a live member.
	SetDraining(ctx context.Context, id state.MemberID, draining bool) error
	// Remove records the end of a live member's incarnation.
	Remove(ctx context.Context, id state.MemberID) error
	// Status returns the node's view of the log and the members.
	Status() Status
	// Burn returns the request counts and burn rates of requests that entered at
	// this node.
	Burn() report.Report
}

// Errors with which a Backend rejects a change.
var (
	// ErrNotFound rejects a change to a member that the node does not know.
	ErrNotFound = errors.New("not found")
	// ErrInvalid rejects a change that conflicts with an earlier one.
	ErrInvalid = errors.New("invalid")
)

// SubmitStatus is the outcome of a configuration change.
type SubmitStatus string

// The outcomes of a configuration change.
const (
	SubmitAccepted SubmitStatus = "accepted"
	SubmitRejected SubmitStatus = "rejected"
	SubmitUnknown  SubmitStatus = "unknown"
)

// SubmitResult is the result of a configuration change.
type SubmitResult struct {
	Status SubmitStatus
	// Version is the version created by an accepted change, otherwise the version
	// in force.
	Version uint64
	// Reason is set for SubmitRejected and SubmitUnknown.
	Reason string
}

// Status is a node's view of the log and of the other members.
type Status struct {
	Self state.MemberID
	// LogNext is the next offset of the log as of the last read.
	LogNext uint64
	// LogContact is the time of the last read of the log; zero means never.
	LogContact time.Time
	// LastReport holds the latest report of each member that the node has one of.
	LastReport map[state.MemberID]LastReport
}

// LastReport is the latest known state of a member, reported by the member itself
// or relayed by another member.
type LastReport struct {
	At      time.Time // when the member was in this state
	Version uint64    // configuration in force at the member
	Offset  uint64    // next log offset that the member reads
}
