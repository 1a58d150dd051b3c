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

If a response is lost, the outcome is requested again by the change ID until
--timeout. If it stays unknown (exit code 4), repeat the command that is
printed: it applies the change at most once.`

type applyFlags struct {
	dryRun      bool
	baseVersion int64
	changeID    string
}

// noBase is the value of --base if the flag is not set.
const noBase = -1

func (a *app) applyCommand() *ffcli.Command {
	f := &applyFlags{}
	c := a.newCommand("apply", "gooseberryctl apply [flags] FILE", "put an operators' file in force", applyHelp)
	c.FlagSet.BoolVar(&f.dryRun, "dry-run", false, "only show what the file would change")
	c.FlagSet.Int64Var(&f.baseVersion, "base", noBase, "`version` that the file was made from")
	c.FlagSet.StringVar(&f.changeID, "change-id", "", "`ID` of a change whose outcome is unknown")
	c.Exec = a.withArgs([]string{"FILE"}, func(ctx context.Context, args []string) error {
		return a.apply(ctx, f, args[0])
	})
	return c
}

func (a *app) apply(ctx context.Context, flags *applyFlags, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return exitf(exitUsage, "read the file: %w", err)
	}
	if err := checkRepeatedChange(flags, string(text)); err != nil {
		return err
	}
	f, err := a.connect()
	if err != nil {
		return err
	}
	baseVersion, err := a.baseVersion(ctx, f, flags, string(text))
	if err != nil {
		return err
	}
	p := a.applyPayload(flags, string(text), baseVersion)
	result, err := a.submitUntilSettled(ctx, f, p, flags.changeID != "")
	if exitCode(err) == exitUnknown {
		return exitf(exitUnknown, "%w\nthe outcome is unknown; ask again with:\n  gooseberryctl apply --change-id %s --base %d %s",
			err, p.ChangeID, p.BaseVersion, path)
	}
	if err != nil {
		return err
	}
	return a.showChange(path, result)
}

func (a *app) applyPayload(flags *applyFlags, text string, base uint64) *api.ApplyPayload {
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

// checkRepeatedChange checks that a change sent again with --change-id has an
// explicit base version: with another base it would be another change.
func checkRepeatedChange(flags *applyFlags, text string) error {
	_, versionInFile := parseVersionLine(text)
	if flags.changeID != "" && flags.baseVersion == noBase && !versionInFile {
		return exitf(exitUsage, "--change-id needs the --base that the change was first sent with")
	}
	return nil
}

func (a *app) baseVersion(ctx context.Context, f *fleet, flags *applyFlags, text string) (uint64, error) {
	if flags.baseVersion >= 0 {
		return uint64(flags.baseVersion), nil
	}
	if version, ok := parseVersionLine(text); ok {
		return version, nil
	}
	currentConfig, err := a.currentConfig(ctx, f)
	if err != nil {
		return 0, err
	}
	return currentConfig.Version, nil
}
