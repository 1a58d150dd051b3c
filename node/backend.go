package node

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/membership"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// backend offers the node's membership service and counters to the admin API.
type backend struct {
	node *Node
}

var submitStatus = map[membership.SubmitOutcome]admin.SubmitStatus{
	membership.SubmitAccepted: admin.SubmitAccepted,
	membership.SubmitRejected: admin.SubmitRejected,
	membership.SubmitUnknown:  admin.SubmitUnknown,
}

func (b backend) Snapshot() *state.Snapshot { return b.node.Snapshot() }

func (b backend) Submit(ctx context.Context, file []byte, base uint64, changeID string) admin.SubmitResult {
	return b.result(b.node.membership.Submit(ctx, file, base, changeID))
}

func (b backend) Outcome(ctx context.Context, changeID string) admin.SubmitResult {
	return b.result(b.node.membership.Outcome(ctx, changeID))
}

func (b backend) result(r membership.SubmitResult) admin.SubmitResult {
	version := r.Version
	if r.Outcome != membership.SubmitAccepted {
		version = b.node.Snapshot().Version
	}
	return admin.SubmitResult{Status: submitStatus[r.Outcome], Version: version, Reason: r.Reason}
}

func (b backend) IssueKey(ctx context.Context, key config.Key) error {
	return b.node.membership.IssueKey(ctx, key)
}

func (b backend) Withdraw(ctx context.Context, keyID string) error {
	return b.node.membership.Withdraw(ctx, keyID)
}

func (b backend) SetDraining(ctx context.Context, id state.MemberID, draining bool) error {
	if _, ok := b.node.Snapshot().Members[id]; !ok {
		return admin.ErrNotFound
	}
	return b.node.membership.SetDraining(ctx, id, draining)
}

func (b backend) Remove(ctx context.Context, id state.MemberID) error {
	if _, ok := b.node.Snapshot().Members[id]; !ok {
		return admin.ErrNotFound
	}
	return b.node.membership.Remove(ctx, id)
}

func (b backend) Status() admin.Status {
	s := b.node.Snapshot()
	now := b.node.host.Now()
	out := admin.Status{
		Self:       b.node.self.ID,
		LogNext:    s.Offset,
		LogContact: s.Contact,
		Heard:      make(map[state.MemberID]admin.Heard),
	}
	for _, m := range b.node.membership.Status() {
		if m.Known {
			out.Heard[m.Member.ID] = admin.Heard{At: now.Add(-m.Age), Version: m.Version, Offset: m.Offset}
		}
	}
	return out
}

func (b backend) Burn() report.Report {
	objectives := make(map[string]float64)
	if c := b.node.Snapshot().Config; c != nil {
		for _, r := range c.Routes {
			objectives[r.Name] = r.Objective
		}
	}
	return b.node.recorder.Report(time.Now(), func(route string) float64 { return objectives[route] })
}
