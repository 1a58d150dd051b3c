// Package admin serves the administration API. The API is designed in
// admin/design; the code in admin/gen is generated from it. This package maps
// its methods to a Backend, checks operators' tokens and logs each change.
package admin

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Backend is what the API needs of a node.
//
// Methods that return an error return nil once the change is in force at this
// node and certain to reach the others. An error that wraps
// platform.ErrOutcomeUnknown, or the context's own error, means that the
// change may have been made; any other error means that it was not. Repeating
// a change is idempotent.
type Backend interface {
	// Snapshot returns the current state; never nil.
	Snapshot() *state.Snapshot
	// Submit appends a configuration and waits for the judgement on it. It
	// is idempotent in changeID. SubmitRejected means that no record of this
	// change is in force or can come into force any more.
	Submit(ctx context.Context, file []byte, base uint64, changeID string) SubmitResult
	// Outcome reads the log up to its head and returns the judgement on a
	// change; SubmitUnknown when none is found.
	Outcome(ctx context.Context, changeID string) SubmitResult
	// IssueKey adds a key.
	IssueKey(ctx context.Context, key config.Key) error
	// Withdraw withdraws a key, whether it is known here or not.
	Withdraw(ctx context.Context, keyID string) error
	// SetDraining starts or ends the draining of a live member.
	SetDraining(ctx context.Context, id state.MemberID, draining bool) error
	// Remove records the end of a live member's incarnation.
	Remove(ctx context.Context, id state.MemberID) error
	// Status returns what the node knows of log and members.
	Status() Status
	// Burn returns the node's own service-level burn.
	Burn() report.Report
}

// Errors by which a Backend refuses a change.
var (
	// ErrNotFound refuses a change of a member that the node does not know.
	ErrNotFound = errors.New("not found")
	// ErrInvalid refuses a change that contradicts an earlier one.
	ErrInvalid = errors.New("invalid")
)

// SubmitStatus is the outcome of a change of the configuration.
type SubmitStatus string

// The outcomes of a change.
const (
	SubmitAccepted SubmitStatus = "accepted"
	SubmitRejected SubmitStatus = "rejected"
	SubmitUnknown  SubmitStatus = "unknown"
)

// SubmitResult is the judgement on a change of the configuration.
type SubmitResult struct {
	Status SubmitStatus
	// Version is the one that an accepted change has become, else the one in
	// force.
	Version uint64
	// Reason is set for rejected and unknown changes.
	Reason string
}

// Status is what a node knows of the log and of the other nodes.
type Status struct {
	Self state.MemberID
	// LogNext is the next offset of the log as last read.
	LogNext uint64
	// LogContact is the time of the last read; zero means never.
	LogContact time.Time
	// LastReport holds what other members last told, by member.
	LastReport map[state.MemberID]LastReport
}

// LastReport is what a member last told of itself.
type LastReport struct {
	At      time.Time
	Version uint64
	Offset  uint64
}
