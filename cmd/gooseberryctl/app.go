package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	envPrefix      = "GOOSEBERRYCTL"
	defaultAdmin   = "127.0.0.1:7403"
	defaultTimeout = 30 * time.Second
)

const rootHelp = `gooseberryctl administers a fleet through any of its nodes.

  gooseberryctl get > fleet.toml            fetch the operators' file
  gooseberryctl apply --dry-run fleet.toml  show what an edited file would change
  gooseberryctl apply fleet.toml            put the file in force atomically
  gooseberryctl key issue golf              issue a key for a customer
  gooseberryctl status                      show members, versions and lag
  gooseberryctl nodes 10.1.0.26:9090        show the state of nodes with a keyed store

Flags go before arguments. --admin, --token, --json and --timeout can be given
to every command or, before the command, to gooseberryctl itself, or in the
environment: GOOSEBERRYCTL_ADMIN, GOOSEBERRYCTL_TOKEN, and so on. Several --admin
addresses are tried in turn. Commands are idempotent, except that key issue
issues another key each time.

EXIT CODES
  0  done
  1  failed; nothing was changed
  2  wrong usage
  3  rejected; nothing was changed
  4  unknown: the change may have been made; repeat the command that is printed
  5  no node could be reached; nothing was changed`

// app is one run of the tool, with its output and its common flags.
type app struct {
	stdout io.Writer
	stderr io.Writer

	admin   string
	token   string
	json    bool
	timeout time.Duration
}

func newApp(stdout, stderr io.Writer) *app {
	return &app{stdout: stdout, stderr: stderr}
}

// run parses and runs one command. It returns the exit code.
func (a *app) run(ctx context.Context, args []string) int {
	rootCommand := a.rootCommand()
	err := rootCommand.Parse(args)
	if err == nil {
		err = rootCommand.Run(ctx)
	} else if !errors.Is(err, flag.ErrHelp) {
		err = &exitError{exitUsage, err}
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(a.stderr, "gooseberryctl: %s\n", err)
	}
	return exitCode(err)
}

func (a *app) rootCommand() *ffcli.Command {
	rootCommand := a.newCommand("gooseberryctl", "gooseberryctl [flags] COMMAND", "", rootHelp)
	rootCommand.Options = []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
	rootCommand.Subcommands = []*ffcli.Command{
		a.applyCommand(),
		a.getCommand(),
		a.statusCommand(),
		a.nodesCommand(),
		a.keyCommand(),
		a.drainCommand(),
		a.removeCommand(),
		a.reportCommand(),
		a.devcertCommand(),
		a.demoCommand(),
		a.trialCommand(),
		a.standinCommand(),
		a.versionCommand(),
	}
	rootCommand.Exec = explainGroup(rootCommand)
	return rootCommand
}

// newCommand returns a command with the common flags.
func (a *app) newCommand(name, usage, short, long string) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.stderr)
	fs.StringVar(&a.admin, "admin", defaultAdmin, "admin `addresses` of nodes, separated by commas")
	fs.StringVar(&a.token, "token", "", "operator's `token`; better given in "+envPrefix+"_TOKEN")
	fs.BoolVar(&a.json, "json", false, "write JSON")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "`duration` after which to give up")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  short,
		LongHelp:   long,
		FlagSet:    fs,
	}
}

// explainGroup prints the usage of a group of commands if none of them is named.
func explainGroup(group *ffcli.Command) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return exitf(exitUsage, "%s has no command %q; see --help", group.Name, args[0])
		}
		fmt.Fprintln(group.FlagSet.Output(), ffcli.DefaultUsageFunc(group))
		return exitf(exitUsage, "a command is required")
	}
}

// withArgs returns a command function that checks the number of arguments and
// calls f with a context that ends after the timeout.
func (a *app) withArgs(argNames []string, f func(ctx context.Context, args []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != len(argNames) {
			return exitf(exitUsage, "want %d arguments %v, got %d (flags go before arguments); see --help",
				len(argNames), argNames, len(args))
		}
		ctx, stop := context.WithTimeout(ctx, a.timeout)
		defer stop()
		return f(ctx, args)
	}
}

// writeJSON writes a value as indented JSON.
func (a *app) writeJSON(v any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printDone prints the success of a change that has no further result.
func (a *app) printDone(status, id string) error {
	if a.json {
		return a.writeJSON(doneOutput{Status: status, ID: id})
	}
	_, err := fmt.Fprintf(a.stdout, "%s: %s\n", status, id)
	return err
}

type doneOutput struct {
	Status string `json:"status"`
	ID     string `json:"id"`
}
