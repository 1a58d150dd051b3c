package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/gooseberryflow/gooseberryflow/internal/boundlog"
	"github.com/gooseberryflow/gooseberryflow/platform"
	"github.com/gooseberryflow/gooseberryflow/settings"
)

const (
	// logRate is the number of log lines a second below the level warn.
	logRate = 60
	// gcPercent trades processor time for memory; memoryPart of the limit is
	// what the collector may use before it works harder.
	gcPercent  = 100
	memoryPart = 0.8
	megabyte   = 1 << 20
)

// errNoSidecar reports a file for a node of another kind.
var errNoSidecar = errors.New("the file has no table sidecar")

// daemon is a node of a keyed deployment with the settings in force.
type daemon struct {
	args     []string
	settings *settings.Sidecar
	level    slog.LevelVar
	log      *slog.Logger
	changes  chan *settings.Sidecar
}

// serveSidecar runs a node of a keyed deployment until a signal. args are those
// of the command line, from which the settings are read again on SIGHUP.
func serveSidecar(args []string, s *settings.Sidecar, stdout io.Writer) error {
	writer := boundlog.NewWriter(stdout)
	defer writer.Close()
	d := &daemon{args: args, settings: s, changes: make(chan *settings.Sidecar)}
	handler := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: &d.level})
	d.log = slog.New(boundlog.NewHandler(handler, writer, logRate))
	slog.SetDefault(d.log) // for packages without a logger of their own
	debug.SetGCPercent(gcPercent)
	d.apply(s)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go d.reloadOnSignal(ctx)
	err := platform.Run(ctx, s, d.changes, d.log)
	if err != nil {
		d.log.Error("node ended", "error", err)
	}
	return err
}

// apply takes over what belongs to the process as a whole.
func (d *daemon) apply(s *settings.Sidecar) {
	d.level.Set(s.LogLevel)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB*megabyte)))
}

func (d *daemon) reloadOnSignal(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			d.reload(ctx)
		}
	}
}

// reload reads the settings again and takes over what can change. Settings
// with a fault leave those in force as they are.
func (d *daemon) reload(ctx context.Context) {
	all, err := settings.Parse(d.args, io.Discard)
	if err == nil && all.Sidecar == nil {
		err = errNoSidecar
	}
	if err == nil {
		err = all.Sidecar.CheckPlugins(pluginNames())
	}
	if err != nil {
		for _, e := range split(err) {
			d.log.Error("settings not reloaded, those in force stay", "error", e)
		}
		return
	}
	live, fixed := d.settings.Changed(all.Sidecar)
	d.apply(all.Sidecar)
	select {
	case d.changes <- all.Sidecar:
	case <-ctx.Done():
		return
	}
	d.log.Info("settings reloaded", "changed", live, "need_restart", fixed)
	// What needs a restart is named again with the next signal.
	next := *d.settings
	next.MemoryMB, next.LogLevel = all.Sidecar.MemoryMB, all.Sidecar.LogLevel
	next.StopTimeout, next.KeyWithdrawal = all.Sidecar.StopTimeout, all.Sidecar.KeyWithdrawal
	d.settings = &next
}

// split returns the errors that have been joined.
func split(err error) []error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}
