package main

import (
	"context"
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

// serveSidecar runs a node of a keyed deployment until a signal.
func serveSidecar(s *settings.Sidecar, stdout io.Writer) error {
	writer := boundlog.NewWriter(stdout)
	defer writer.Close()
	handler := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: s.LogLevel})
	logger := slog.New(boundlog.NewHandler(handler, writer, logRate))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB*megabyte)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Settings are read at the start; a change needs a restart.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() {
		for range hup {
			logger.Info("settings file changed; it is read at the next start")
		}
	}()
	err := platform.Run(ctx, s, logger)
	if err != nil {
		logger.Error("node ended", "error", err)
	}
	return err
}
