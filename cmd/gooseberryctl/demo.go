package main

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/gooseberryflow/gooseberryflow/experiment"
)

const demoHelp = `Starts a fleet in this process: nodes with the real transport between them and
simulated upstreams and platform log, on loopback. It sends load in three
phases: calm, a surge during which a service deep in the call graph is slow and
callers retry aggressively, and recovery. It does so once with a naive chain of
plug-ins and once with gooseberryflow, on the same arrivals, and prints both
results side by side.`

const (
	demoSeconds    = 20
	demoMinSeconds = 5
	demoMaxSeconds = 600
)

// deployments are the call graphs by the value of --deployment.
var deployments = map[string]func() experiment.Deployment{
	"logistics": experiment.Logistics,
	"alerts":    experiment.Alerts,
}

type demoFlags struct {
	seconds    int
	seed       uint64
	deployment string
	factor     float64
	slow       float64
}

func (a *app) demoCommand() *ffcli.Command {
	c := a.newCommand("demo", "gooseberryctl demo [flags]", "demonstrate overload protection of a call graph", demoHelp)
	var f demoFlags
	c.FlagSet.IntVar(&f.seconds, "seconds", demoSeconds, "duration of the load for each chain in `seconds`")
	c.FlagSet.Uint64Var(&f.seed, "seed", 1, "`seed` of the arrivals")
	c.FlagSet.StringVar(&f.deployment, "deployment", "logistics", "call `graph`: logistics or alerts")
	c.FlagSet.Float64Var(&f.factor, "factor", experiment.DefaultDemandFactor, "surge `factor` of the demand")
	c.FlagSet.Float64Var(&f.slow, "slow", experiment.DefaultSlowdown, "slow-down `factor` of the deep service during the surge")
	c.Exec = func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return exitf(exitUsage, "demo takes no arguments")
		}
		return a.demo(ctx, f)
	}
	return c
}

func (a *app) demo(ctx context.Context, f demoFlags) error {
	deployment, known := deployments[f.deployment]
	if !known {
		return exitf(exitUsage, "--deployment %q: must be logistics or alerts", f.deployment)
	}
	if f.seconds < demoMinSeconds || f.seconds > demoMaxSeconds {
		return exitf(exitUsage, "--seconds %d: must be from %d to %d", f.seconds, demoMinSeconds, demoMaxSeconds)
	}
	if f.factor < 1 || f.slow < 1 {
		return exitf(exitUsage, "--factor and --slow must be at least 1")
	}
	comparison, err := experiment.Compare(ctx, experiment.Options{
		Deployment:   deployment(),
		Seconds:      f.seconds,
		Seed:         f.seed,
		DemandFactor: f.factor,
		Slowdown:     f.slow,
		Progress:     a.stderr,
		Logger:       slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if a.json {
		return a.writeJSON(comparison)
	}
	comparison.Print(a.stdout)
	return nil
}
