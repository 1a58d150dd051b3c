package main

import (
	"context"
	"errors"
	"time"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
)

// The time between two questions for a change's outcome doubles from
// minPause up to maxPause.
const (
	minPause = 200 * time.Millisecond
	maxPause = 2 * time.Second
)

// submit sends the change until its outcome is known or ctx ends. Resumed tells
// that it was sent before, by an earlier command.
func (a *app) submit(ctx context.Context, f *fleet, p *api.ApplyPayload, resumed bool) (*api.ChangeResult, error) {
	result, err := a.send(ctx, f, p)
	if !resumed && !outcomeUnknown(result, err) {
		return result, err
	}
	if err == nil && final(result, p.BaseVersion) {
		return result, nil
	}
	for delay := minPause; wait.For(ctx, delay); delay = min(2*delay, maxPause) {
		result, err = a.resolve(ctx, f, p)
		if err == nil && final(result, p.BaseVersion) {
			return result, nil
		}
	}
	return nil, unknownChange(result, err)
}

// final reports whether a result settles a change that was sent before. A
// rejection does if the change can't come into force any more, whatever
// becomes of the earlier attempt.
func final(r *api.ChangeResult, base uint64) bool {
	switch r.Status {
	case "accepted", "valid":
		return true
	case "rejected":
		return r.Version > base || len(r.Faults) > 0
	}
	return false
}

func (a *app) send(ctx context.Context, f *fleet, p *api.ApplyPayload) (*api.ChangeResult, error) {
	return ask(ctx, f, func(ctx context.Context, c *api.Client) (*api.ChangeResult, error) {
		return c.Apply(ctx, p)
	})
}

// resolve reads the outcome of a change back or else sends the change again,
// which is idempotent in the change ID.
func (a *app) resolve(ctx context.Context, f *fleet, p *api.ApplyPayload) (*api.ChangeResult, error) {
	result, err := a.readBack(ctx, f, p.ChangeID)
	if err == nil && final(result, p.BaseVersion) {
		return result, nil
	}
	return a.send(ctx, f, p)
}

func (a *app) readBack(ctx context.Context, f *fleet, changeID string) (*api.ChangeResult, error) {
	return ask(ctx, f, func(ctx context.Context, c *api.Client) (*api.ChangeResult, error) {
		return c.GetChange(ctx, &api.GetChangePayload{ChangeID: changeID, Token: &a.token})
	})
}

func outcomeUnknown(r *api.ChangeResult, err error) bool {
	if err != nil {
		return exitCode(err) == exitUnknown
	}
	return r.Status == "unknown"
}

func unknownChange(r *api.ChangeResult, err error) error {
	if err == nil {
		err = errors.New(reasonOf(r))
	}
	return &exitError{exitUnknown, err}
}
