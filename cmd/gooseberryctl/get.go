package main

import (
	"context"
	"fmt"
	"regexp"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
)

const getHelp = `Writes the operators' file in force to standard output. Its first line is a
comment with the version; apply takes the base of the change from it, so that
a change made by somebody else in the meantime is never overwritten.`

// versionLine is the first line of a file written by get.
var versionLine = regexp.MustCompile(`^# gooseberryflow version ([0-9]+)\r?\n`)

func (a *app) getCommand() *ffcli.Command {
	c := a.command("get", "gooseberryctl get [flags]", "write the operators' file in force", getHelp)
	c.Exec = a.exec(nil, a.get)
	return c
}

func (a *app) get(ctx context.Context, _ []string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	current, err := a.current(ctx, f)
	if err != nil {
		return err
	}
	file := withVersion(current.File, current.Version)
	if a.json {
		return a.writeJSON(configOutput{current.Version, current.ChangeID, file})
	}
	_, err = fmt.Fprint(a.stdout, file)
	return err
}

type configOutput struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	File     string `json:"file"`
}

func (a *app) current(ctx context.Context, f *fleet) (*api.ConfigFile, error) {
	return read(ctx, f, func(ctx context.Context, c *api.Client) (*api.ConfigFile, error) {
		return c.GetConfig(ctx, &api.Credential{Token: &a.token})
	})
}

// withVersion puts the version line on top of a file in place of an older one.
func withVersion(file string, version uint64) string {
	body := versionLine.ReplaceAllString(file, "")
	return fmt.Sprintf("# gooseberryflow version %d\n%s", version, body)
}

// versionOf returns the version that a file was made from, if it tells.
func versionOf(file string) (uint64, bool) {
	m := versionLine.FindStringSubmatch(file)
	if m == nil {
		return 0, false
	}
	version, err := strconv.ParseUint(m[1], 10, 64)
	return version, err == nil
}
