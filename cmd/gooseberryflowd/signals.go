package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// handleSignals takes over the signals whose default action would end the process and
// cut the requests in flight: SIGHUP, which the returned channel receives, and SIGPIPE,
// so that a write to a closed standard output fails instead. It is called once, before
// anything else, and its effect lasts until the process exits.
func handleSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// stopContext returns a context that ends at the first SIGTERM or interrupt. Further
// ones have no effect, since the planned stop has begun.
func stopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// logHangups logs each SIGHUP of a node that can't reload its settings.
func logHangups(hangups <-chan os.Signal, log *slog.Logger) {
	for range hangups {
		log.Warn("settings not reloaded, this kind of node reads them at its start only")
	}
}
