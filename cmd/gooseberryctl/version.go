package main

import (
	"context"
	"fmt"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/gooseberryflow/gooseberryflow/internal/version"
)

func (a *app) versionCommand() *ffcli.Command {
	c := a.newCommand("version", "gooseberryctl version", "print the tool's version", "")
	c.Exec = a.withArgs(nil, func(context.Context, []string) error { return a.showVersion() })
	return c
}

type versionOutput struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (a *app) showVersion() error {
	out := versionOutput{Version: version.Version, Go: runtime.Version()}
	if a.json {
		return a.writeJSON(out)
	}
	_, err := fmt.Fprintf(a.stdout, "gooseberryctl %s %s\n", out.Version, out.Go)
	return err
}
