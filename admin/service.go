package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// service implements the generated interfaces api.Service and api.Auther.
type service struct {
	backend Backend
	tokens  tokenSet
	log     *slog.Logger
	now     func() time.Time
}

// GetConfig returns the operators' file in force.
func (s *service) GetConfig(context.Context, *api.Credential) (*api.ConfigFile, error) {
	snap := s.backend.Snapshot()
	return &api.ConfigFile{File: string(snap.File), Version: snap.Version, ChangeID: snap.ChangeID}, nil
}

// Apply validates a file and submits it. A dry run compares it with the file in
// force instead.
func (s *service) Apply(ctx context.Context, p *api.ApplyPayload) (*api.ChangeResult, error) {
	parsed, err := config.Parse([]byte(p.File))
	if err != nil {
		return s.invalidFile(p.ChangeID, err), nil
	}
	if p.DryRun {
		return s.dryRun(p.ChangeID, p.BaseVersion, parsed), nil
	}
	r := s.backend.Submit(ctx, []byte(p.File), p.BaseVersion, p.ChangeID)
	s.log.Info("configuration submitted", "change_id", p.ChangeID, "base", p.BaseVersion,
		"status", string(r.Status), "version", r.Version, "reason", r.Reason)
	return changeResult(p.ChangeID, r), nil
}

func (s *service) invalidFile(changeID string, err error) *api.ChangeResult {
	reason := "the file is invalid"
	var faults config.Errors
	if !errors.As(err, &faults) {
		reason = err.Error()
	}
	return &api.ChangeResult{
		Status:   string(SubmitRejected),
		Version:  s.backend.Snapshot().Version,
		ChangeID: changeID,
		Reason:   &reason,
		Faults:   fileFaults(faults),
	}
}

// dryRun returns the changes that next would make to the configuration in force
// at this node.
func (s *service) dryRun(changeID string, baseVersion uint64, next *config.Config) *api.ChangeResult {
	snap := s.backend.Snapshot()
	if baseVersion != snap.Version {
		reason := fmt.Sprintf("it is based on version %d, but version %d is in force", baseVersion, snap.Version)
		return changeResult(changeID, SubmitResult{Status: SubmitRejected, Version: snap.Version, Reason: reason})
	}
	return &api.ChangeResult{
		Status:   "valid",
		Version:  snap.Version,
		ChangeID: changeID,
		Changes:  configChanges(config.Diff(snap.Config, next)),
	}
}

// GetChange returns the outcome of a submitted change.
func (s *service) GetChange(ctx context.Context, p *api.GetChangePayload) (*api.ChangeResult, error) {
	return changeResult(p.ChangeID, s.backend.Outcome(ctx, p.ChangeID)), nil
}

// ListKeys returns all issued keys, or those of one customer.
func (s *service) ListKeys(_ context.Context, p *api.ListKeysPayload) (*api.KeyList, error) {
	return keyList(s.backend.Snapshot(), p.Customer), nil
}

// IssueKey adds a key for a customer of the configuration in force.
func (s *service) IssueKey(ctx context.Context, p *api.KeyPayload) error {
	if _, ok := s.backend.Snapshot().Customer(p.Customer); !ok {
		return api.MakeInvalid(fmt.Errorf("no customer is named %q", p.Customer))
	}
	key := config.Key{ID: p.ID, Customer: p.Customer, Salt: p.Salt, Hash: p.Hash}
	err := s.backend.IssueKey(ctx, key)
	s.log.Info("key issued", "key_id", p.ID, "customer", p.Customer, "error", errorText(err))
	return changeError(err)
}

// WithdrawKey withdraws a key. It also accepts a key that is unknown to this node,
// which may not have read the record of the key yet.
func (s *service) WithdrawKey(ctx context.Context, p *api.WithdrawKeyPayload) (*api.WithdrawResult, error) {
	_, known := s.backend.Snapshot().Keys[p.ID]
	err := s.backend.Withdraw(ctx, p.ID)
	s.log.Info("key withdrawn", "key_id", p.ID, "known", known, "error", errorText(err))
	if err != nil {
		return nil, changeError(err)
	}
	return &api.WithdrawResult{Known: known}, nil
}

// Status returns the node's view of the fleet.
func (s *service) Status(context.Context, *api.Credential) (*api.FleetStatus, error) {
	return fleetStatus(s.now(), s.backend.Snapshot(), s.backend.Status()), nil
}

// Drain starts or stops draining a member.
func (s *service) Drain(ctx context.Context, p *api.DrainPayload) error {
	id := state.MemberID(p.ID)
	if _, live := s.backend.Snapshot().Members[id]; !live {
		return api.MakeNotFound(fmt.Errorf("no live member has the ID %q", p.ID))
	}
	err := s.backend.SetDraining(ctx, id, p.On)
	s.log.Info("draining set", "member", p.ID, "draining", p.On, "error", errorText(err))
	return changeError(err)
}

// Remove records the end of a member's incarnation. Removing a member that has
// already ended succeeds without effect.
func (s *service) Remove(ctx context.Context, p *api.RemovePayload) error {
	id := state.MemberID(p.ID)
	snap := s.backend.Snapshot()
	if snap.Ended[id] {
		return nil
	}
	if _, live := snap.Members[id]; !live {
		return api.MakeNotFound(fmt.Errorf("no live member has the ID %q", p.ID))
	}
	err := s.backend.Remove(ctx, id)
	s.log.Info("member removed", "member", p.ID, "error", errorText(err))
	return changeError(err)
}

// ReportBurn returns the burn report of requests that entered at this node.
func (s *service) ReportBurn(context.Context, *api.Credential) (*api.BurnReport, error) {
	return burnReport(s.backend.Status().Self, s.now(), s.backend.Burn()), nil
}

// Health reports whether the node can serve requests.
func (s *service) Health(context.Context) (*api.NodeHealth, error) {
	snap := s.backend.Snapshot()
	self := s.backend.Status().Self
	h := &api.NodeHealth{Status: "ok", Member: string(self), Version: snap.Version}
	switch {
	case snap.Config == nil:
		h.Status = "starting"
	case snap.Members[self].Draining || snap.Ended[self]:
		h.Status = "draining"
	}
	return h, nil
}

// changeError maps an error of the Backend to an error of the API.
func changeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotFound):
		return api.MakeNotFound(err)
	case errors.Is(err, ErrInvalid):
		return api.MakeInvalid(err)
	case outcomeUnknown(err):
		return api.MakeUnknownOutcome(err)
	}
	return api.MakeUnavailable(err)
}

func outcomeUnknown(err error) bool {
	return errors.Is(err, streamlog.ErrOutcomeUnknown) ||
		errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
