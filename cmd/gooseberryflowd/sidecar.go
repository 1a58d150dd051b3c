package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/gooseberryflow/gooseberryflow/internal/boundlog"
	"github.com/gooseberryflow/gooseberryflow/platform"
	"github.com/gooseberryflow/gooseberryflow/settings"
)

const (
	// logLinesPerSecond is the rate limit of log lines below level warn.
	logLinesPerSecond = 60
	// gcPercent (GOGC) trades CPU time for memory. The Go runtime's soft memory
	// limit (GOMEMLIMIT) is softLimitRatio of the memory that the settings allow.
	gcPercent      = 100
	softLimitRatio = 0.8
	megabyte       = 1 << 20
	// notReloadedInStop is logged for a SIGHUP during a planned stop.
	notReloadedInStop = "settings not reloaded, the node is stopping"
)

// errNoSidecarTable means that a reloaded file is for another kind of node.
var errNoSidecarTable = errors.New("the settings file has no table sidecar")

// daemon is a sidecar node with the settings in force.
type daemon struct {
	args            []string
	settings        *settings.Sidecar
	level           slog.LevelVar
	log             *slog.Logger
	changedSettings chan *settings.Sidecar
}

// serveSidecar runs a sidecar node until a signal arrives. args are the command
// line arguments, by which the settings are read again on each signal from hangups.
func serveSidecar(args []string, s *settings.Sidecar, hangups <-chan os.Signal, stdout io.Writer) error {
	writer := boundlog.NewWriter(stdout)
	defer writer.Close()
	d := &daemon{args: args, settings: s, changedSettings: make(chan *settings.Sidecar)}
	handler := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: &d.level})
	d.log = slog.New(boundlog.NewHandler(handler, writer, logLinesPerSecond))
	slog.SetDefault(d.log) // for dependencies that log to the default logger
	logStart(d.log)
	debug.SetGCPercent(gcPercent)
	d.applyToProcess(s)
	ctx, stop := stopContext()
	defer stop()
	go d.reloadOnSignal(ctx, hangups)
	err := platform.Run(ctx, s, d.changedSettings, d.log)
	if err != nil {
		d.log.Error("node ended", "error", err)
	}
	return err
}

// applyToProcess applies the settings that are global to the process.
func (d *daemon) applyToProcess(s *settings.Sidecar) {
	d.level.Set(s.LogLevel)
	debug.SetMemoryLimit(int64(softLimitRatio * float64(s.MemoryMB*megabyte)))
}

// reloadOnSignal reloads the settings on each signal until ctx, which the planned stop
// ends, and then logs each signal only.
func (d *daemon) reloadOnSignal(ctx context.Context, hangups <-chan os.Signal) {
	for range hangups {
		if ctx.Err() != nil {
			d.log.Info(notReloadedInStop)
			continue
		}
		d.reload(ctx)
	}
}

// reload reads the settings again and applies those that can change at run time.
// If the new settings are invalid, the current ones stay in force.
func (d *daemon) reload(ctx context.Context) {
	parsed, err := settings.Parse(d.args, io.Discard)
	if err == nil && parsed.Sidecar == nil {
		err = errNoSidecarTable
	}
	if err == nil {
		err = parsed.Sidecar.CheckPlugins(pluginNames())
	}
	if err != nil {
		for _, e := range joinedErrors(err) {
			d.log.Error("settings not reloaded, those in force stay", "error", e)
		}
		return
	}
	applied, needRestart := d.settings.Changed(parsed.Sidecar)
	d.applyToProcess(parsed.Sidecar)
	select {
	case d.changedSettings <- parsed.Sidecar:
	case <-ctx.Done():
		d.log.Info(notReloadedInStop)
		return
	}
	d.log.Info("settings reloaded", "changed", applied, "need_restart", needRestart)
	// Settings that need a restart keep their old values in d.settings, so that
	// the next reload reports them again.
	next := *d.settings
	next.MemoryMB, next.LogLevel = parsed.Sidecar.MemoryMB, parsed.Sidecar.LogLevel
	next.StopTimeout, next.KeyWithdrawal = parsed.Sidecar.StopTimeout, parsed.Sidecar.KeyWithdrawal
	d.settings = &next
}

// joinedErrors returns the errors joined in err, or err alone.
func joinedErrors(err error) []error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}
