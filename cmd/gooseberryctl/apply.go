package main

import (
	"context"
	"os"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
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
	p := a.payload(flags, string(text), base)
	result, err := a.submit(ctx, f, p, flags.changeID != "")
	if exitCode(err) == exitUnknown {
		return exitf(exitUnknown, "%w\nthe outcome is unknown; ask again with:\n  gooseberryctl apply --change-id %s --base %d %s",
			err, p.ChangeID, p.BaseVersion, path)
	}
	if err != nil {
		return err
	}
	return a.showChange(path, result)
}

func (a *app) payload(flags *applyFlags, text string, base uint64) *api.ApplyPayload {
	p := &api.ApplyPayload{
		File:        text,
		BaseVersion: base,
		ChangeID:    flags.changeID,
		DryRun:      flags.dryRun,
		Token:       &a.token,
	}
	if p.ChangeID == "" {
		p.ChangeID = uuid.NewString()
	}
	return p
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
