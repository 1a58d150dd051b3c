package admin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/membership"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// membershipBackend is the Backend of a running node.
type membershipBackend struct {
	self    state.MemberID
	members *membership.Service
	burn    func() report.Report
}

// NewBackend returns the Backend of the node with the given ID. The function burn
// returns the node's burn report.
func NewBackend(self state.MemberID, members *membership.Service, burn func() report.Report) Backend {
	return &membershipBackend{self: self, members: members, burn: burn}
}

func (b *membershipBackend) Snapshot() *state.Snapshot { return b.members.Snapshot() }

func (b *membershipBackend) Burn() report.Report { return b.burn() }

func (b *membershipBackend) Submit(ctx context.Context, file []byte, baseVersion uint64, changeID string) SubmitResult {
	return b.result(b.members.Submit(ctx, file, baseVersion, changeID))
}

func (b *membershipBackend) Outcome(ctx context.Context, changeID string) SubmitResult {
	return b.result(b.members.Outcome(ctx, changeID))
}

func (b *membershipBackend) result(r membership.SubmitResult) SubmitResult {
	if r.Outcome == membership.SubmitAccepted {
		return SubmitResult{Status: SubmitAccepted, Version: r.Version}
	}
	out := SubmitResult{Status: SubmitUnknown, Version: b.Snapshot().Version, Reason: r.Reason}
	if r.Outcome == membership.SubmitRejected {
		out.Status = SubmitRejected
	}
	return out
}

func (b *membershipBackend) IssueKey(ctx context.Context, key config.Key) error {
	return classifyError(b.members.IssueKey(ctx, key))
}

func (b *membershipBackend) Withdraw(ctx context.Context, keyID string) error {
	return classifyError(b.members.Withdraw(ctx, keyID))
}

func (b *membershipBackend) SetDraining(ctx context.Context, id state.MemberID, draining bool) error {
	return classifyError(b.members.SetDraining(ctx, id, draining))
}

func (b *membershipBackend) Remove(ctx context.Context, id state.MemberID) error {
	return classifyError(b.members.Remove(ctx, id))
}

// classifyError marks errors of the membership service as rejections or unknown
// outcomes. A withdrawal that reached neither the log nor another node is in force
// at this node only, so its outcome is unknown.
func classifyError(err error) error {
	switch {
	case errors.Is(err, membership.ErrNoMember):
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	case errors.Is(err, membership.ErrKeyExists), errors.Is(err, membership.ErrKeyWithdrawn):
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	case errors.Is(err, membership.ErrLocalOnly):
		return fmt.Errorf("%w: %w", streamlog.ErrOutcomeUnknown, err)
	}
	return err
}

func (b *membershipBackend) Status() Status {
	snap := b.Snapshot()
	st := Status{Self: b.self, LogNext: snap.Offset, LogContact: snap.LogContact, LastReport: map[state.MemberID]LastReport{}}
	now := time.Now()
	for _, m := range b.members.Status() {
		if m.Known {
			st.LastReport[m.Member.ID] = LastReport{At: now.Add(-m.Age), Version: m.Version, Offset: m.Offset}
		}
	}
	return st
}
