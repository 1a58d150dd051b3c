package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) versionCommand() *ffcli.Command {
	c := a.command("version", "gooseberryctl version", "print the tool's version", "")
	c.Exec = a.exec(nil, func(context.Context, []string) error { return a.version() })
	return c
}

type versionOutput struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (a *app) version() error {
	out := versionOutput{Version: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		out.Version = info.Main.Version
	}
	if a.json {
		return a.writeJSON(out)
	}
	_, err := fmt.Fprintf(a.stdout, "gooseberryctl %s %s\n", out.Version, out.Go)
	return err
}
