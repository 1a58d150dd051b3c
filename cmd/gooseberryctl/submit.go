package main

import (
	"context"
	"errors"
	"time"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
)

// The backoff between two requests for the outcome of a change doubles from
// minBackoff to maxBackoff.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// submitUntilSettled sends the change and repeats it until its outcome is known
// or ctx ends. sentBefore means that an earlier command already sent it.
func (a *app) submitUntilSettled(ctx context.Context, f *fleet, p *api.ApplyPayload, sentBefore bool) (*api.ChangeResult, error) {
	result, err := a.sendChange(ctx, f, p)
	if !sentBefore && !outcomeUnknown(result, err) {
		return result, err
	}
	if err == nil && settled(result, p.BaseVersion) {
		return result, nil
	}
	for backoff := minBackoff; wait.For(ctx, backoff); backoff = min(2*backoff, maxBackoff) {
		result, err = a.resolveChange(ctx, f, p)
		if err == nil && settled(result, p.BaseVersion) {
			return result, nil
		}
	}
	return nil, unknownOutcomeError(result, err)
}

// settled reports whether a result is the final outcome of a change that may have
// been sent more than once. A rejection is final if no earlier attempt can come
// into force any more: a later version is in force, or the file is invalid.
func settled(r *api.ChangeResult, base uint64) bool {
	switch r.Status {
	case "accepted", "valid":
		return true
	case "rejected":
		return r.Version > base || len(r.Faults) > 0
	}
	return false
}

func (a *app) sendChange(ctx context.Context, f *fleet, p *api.ApplyPayload) (*api.ChangeResult, error) {
	return callAnyNode(ctx, f, func(ctx context.Context, c *api.Client) (*api.ChangeResult, error) {
		return c.Apply(ctx, p)
	})
}

// resolveChange reads the outcome of a change. If that is not final, it sends the
// change again, which is idempotent by the change ID.
func (a *app) resolveChange(ctx context.Context, f *fleet, p *api.ApplyPayload) (*api.ChangeResult, error) {
	result, err := a.readOutcome(ctx, f, p.ChangeID)
	if err == nil && settled(result, p.BaseVersion) {
		return result, nil
	}
	return a.sendChange(ctx, f, p)
}

func (a *app) readOutcome(ctx context.Context, f *fleet, changeID string) (*api.ChangeResult, error) {
	return callAnyNode(ctx, f, func(ctx context.Context, c *api.Client) (*api.ChangeResult, error) {
		return c.GetChange(ctx, &api.GetChangePayload{ChangeID: changeID, Token: &a.token})
	})
}

func outcomeUnknown(r *api.ChangeResult, err error) bool {
	if err != nil {
		return exitCode(err) == exitUnknown
	}
	return r.Status == "unknown"
}

func unknownOutcomeError(r *api.ChangeResult, err error) error {
	if err == nil {
		err = errors.New(changeReason(r))
	}
	return &exitError{exitUnknown, err}
}
