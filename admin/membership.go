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

// memberBackend is the Backend of a running node.
type memberBackend struct {
	self    state.MemberID
	members *membership.Service
	burn    func() report.Report
}

// NewBackend returns the Backend of the node with the given ID. Burn returns
// its service-level burn.
func NewBackend(self state.MemberID, members *membership.Service, burn func() report.Report) Backend {
	return &memberBackend{self: self, members: members, burn: burn}
}

func (b *memberBackend) Snapshot() *state.Snapshot { return b.members.Snapshot() }

func (b *memberBackend) Burn() report.Report { return b.burn() }

func (b *memberBackend) Submit(ctx context.Context, file []byte, base uint64, changeID string) SubmitResult {
	return b.result(b.members.Submit(ctx, file, base, changeID))
}

func (b *memberBackend) Outcome(ctx context.Context, changeID string) SubmitResult {
	return b.result(b.members.Outcome(ctx, changeID))
}

func (b *memberBackend) result(r membership.SubmitResult) SubmitResult {
	if r.Outcome == membership.SubmitAccepted {
		return SubmitResult{Status: SubmitAccepted, Version: r.Version}
	}
	out := SubmitResult{Status: SubmitUnknown, Version: b.Snapshot().Version, Reason: r.Reason}
	if r.Outcome == membership.SubmitRejected {
		out.Status = SubmitRejected
	}
	return out
}

func (b *memberBackend) IssueKey(ctx context.Context, key config.Key) error {
	return memberError(b.members.IssueKey(ctx, key))
}

func (b *memberBackend) Withdraw(ctx context.Context, keyID string) error {
	return memberError(b.members.Withdraw(ctx, keyID))
}

func (b *memberBackend) SetDraining(ctx context.Context, id state.MemberID, draining bool) error {
	return memberError(b.members.SetDraining(ctx, id, draining))
}

func (b *memberBackend) Remove(ctx context.Context, id state.MemberID) error {
	return memberError(b.members.Remove(ctx, id))
}

// memberError sorts errors into refusals and unknown outcomes. A withdrawal
// that no other node knows of is in force here, so its outcome is unknown.
func memberError(err error) error {
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

func (b *memberBackend) Status() Status {
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
