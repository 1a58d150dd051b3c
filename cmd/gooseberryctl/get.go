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
comment with the version. apply uses it as the base version, so that it never
overwrites a change made by another operator in the meantime.`

// versionLine is the first line of a file written by get.
var versionLine = regexp.MustCompile(`^# gooseberryflow version ([0-9]+)\r?\n`)

func (a *app) getCommand() *ffcli.Command {
	c := a.newCommand("get", "gooseberryctl get [flags]", "write the operators' file in force", getHelp)
	c.Exec = a.withArgs(nil, a.get)
	return c
}

func (a *app) get(ctx context.Context, _ []string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	currentConfig, err := a.currentConfig(ctx, f)
	if err != nil {
		return err
	}
	file := addVersionLine(currentConfig.File, currentConfig.Version)
	if a.json {
		return a.writeJSON(configOutput{currentConfig.Version, currentConfig.ChangeID, file})
	}
	_, err = fmt.Fprint(a.stdout, file)
	return err
}

type configOutput struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	File     string `json:"file"`
}

func (a *app) currentConfig(ctx context.Context, f *fleet) (*api.ConfigFile, error) {
	return readAnyNode(ctx, f, func(ctx context.Context, c *api.Client) (*api.ConfigFile, error) {
		return c.GetConfig(ctx, &api.Credential{Token: &a.token})
	})
}

// addVersionLine prepends the version line to a file, replacing an older one.
func addVersionLine(file string, version uint64) string {
	body := versionLine.ReplaceAllString(file, "")
	return fmt.Sprintf("# gooseberryflow version %d\n%s", version, body)
}

// parseVersionLine returns the version in the first line of a file, if any.
func parseVersionLine(file string) (uint64, bool) {
	match := versionLine.FindStringSubmatch(file)
	if match == nil {
		return 0, false
	}
	version, err := strconv.ParseUint(match[1], 10, 64)
	return version, err == nil
}
