package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
)

// The time between two questions for a change's outcome doubles from
// minPause up to maxPause.
const (
	minPause = 200 * time.Millisecond
	maxPause = 2 * time.Second
)

const applyHelp = `Puts an operators' file in force, as a whole or not at all.

The change is based on a version: that of --base, else that of the comment on
the file's first line (written by get), else the version in force now. If
another change has come into force since, this one is rejected.

When an answer is lost, the change is asked for again by its change ID until
--timeout. If the outcome stays unknown (exit code 4), repeat the command that
is printed: it applies the change at most once.`

// applyFlags are the flags of apply.
type applyFlags struct {
	dryRun   bool
	base     int64
	changeID string
}

// baseUnset means that no base was given.
const baseUnset = -1

func (a *app) applyCommand() *ffcli.Command {
	f := &applyFlags{}
	c := a.command("apply", "gooseberryctl apply [flags] FILE", "put an operators' file in force", applyHelp)
	c.FlagSet.BoolVar(&f.dryRun, "dry-run", false, "only show what the file would change")
	c.FlagSet.Int64Var(&f.base, "base", baseUnset, "`version` that the file was made from")
	c.FlagSet.StringVar(&f.changeID, "change-id", "", "`ID` of a change whose outcome is unknown")
	c.Exec = a.exec([]string{"FILE"}, func(ctx context.Context, args []string) error {
		return a.apply(ctx, f, args[0])
	})
	return c
}

func (a *app) apply(ctx context.Context, flags *applyFlags, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return exitf(exitUsage, "read the file: %w", err)
	}
	if err := checkResumed(flags, string(text)); err != nil {
		return err
	}
	f, err := a.connect()
	if err != nil {
		return err
	}
	base, err := a.base(ctx, f, flags, string(text))
	if err != nil {
		return err
	}
	p := &api.ApplyPayload{
		File:        string(text),
		BaseVersion: base,
		ChangeID:    flags.changeID,
		DryRun:      flags.dryRun,
		Token:       &a.token,
	}
	if p.ChangeID == "" {
		p.ChangeID = uuid.NewString()
	}
	result, err := a.submit(ctx, f, p)
	if exitCode(err) == exitUnknown {
		return exitf(exitUnknown, "%w\nthe outcome is unknown; ask again with:\n  gooseberryctl apply --change-id %s --base %d %s",
			err, p.ChangeID, p.BaseVersion, path)
	}
	if err != nil {
		return err
	}
	return a.showChange(path, result)
}

// checkResumed makes sure that a repeated change keeps its base: with another
// base it would be another change.
func checkResumed(flags *applyFlags, text string) error {
	_, inFile := versionOf(text)
	if flags.changeID != "" && flags.base == baseUnset && !inFile {
		return exitf(exitUsage, "--change-id needs the --base that the change was first sent with")
	}
	return nil
}

func (a *app) base(ctx context.Context, f *fleet, flags *applyFlags, text string) (uint64, error) {
	if flags.base >= 0 {
		return uint64(flags.base), nil
	}
	if version, ok := versionOf(text); ok {
		return version, nil
	}
	current, err := a.current(ctx, f)
	if err != nil {
		return 0, err
	}
	return current.Version, nil
}

// submit sends the change until its outcome is known or ctx ends.
func (a *app) submit(ctx context.Context, f *fleet, p *api.ApplyPayload) (*api.ChangeResult, error) {
	result, err := a.send(ctx, f, p)
	if !outcomeUnknown(result, err) {
		return result, err
	}
	for wait := minPause; pause(ctx, wait); wait = min(2*wait, maxPause) {
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
	case "accepted":
		return true
	case "rejected":
		return r.Version != base || len(r.Faults) > 0
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

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// changeOutput is the outcome of a change as JSON.
type changeOutput struct {
	Status   string          `json:"status"`
	Version  uint64          `json:"version"`
	ChangeID string          `json:"change_id"`
	Reason   string          `json:"reason,omitempty"`
	Faults   []faultOutput   `json:"faults,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"`
}

type faultOutput struct {
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

func newChangeOutput(r *api.ChangeResult) changeOutput {
	out := changeOutput{Status: r.Status, Version: r.Version, ChangeID: r.ChangeID, Reason: reasonOf(r)}
	for _, f := range r.Faults {
		out.Faults = append(out.Faults, faultOutput{f.Line, f.Key, f.Reason})
	}
	for _, c := range r.Changes {
		out.Changes = append(out.Changes, config.Change{Kind: config.ChangeKind(c.Kind), Item: c.Item, Name: c.Name, Fields: c.Fields})
	}
	return out
}

func reasonOf(r *api.ChangeResult) string {
	if r.Reason == nil {
		return ""
	}
	return *r.Reason
}

func (a *app) showChange(path string, r *api.ChangeResult) error {
	out := newChangeOutput(r)
	if a.json {
		if err := a.writeJSON(out); err != nil {
			return err
		}
	} else {
		a.printChange(path, out)
	}
	if r.Status == "rejected" {
		return exitf(exitRejected, "rejected: %s; version %d stays in force", out.Reason, out.Version)
	}
	return nil
}

func (a *app) printChange(path string, out changeOutput) {
	for _, f := range out.Faults {
		fmt.Fprintf(a.stderr, "%s:%d: %s: %s\n", path, f.Line, f.Key, f.Reason)
	}
	switch out.Status {
	case "accepted":
		fmt.Fprintf(a.stdout, "accepted: version %d, change %s\n", out.Version, out.ChangeID)
	case "valid":
		for _, c := range out.Changes {
			fmt.Fprintln(a.stdout, c)
		}
		fmt.Fprintf(a.stdout, "valid: %d changes to version %d; nothing was applied\n", len(out.Changes), out.Version)
	}
}
