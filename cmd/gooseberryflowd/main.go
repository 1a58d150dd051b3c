// Command gooseberryflowd runs the node beside one upstream instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"

	"github.com/gooseberryflow/gooseberryflow/internal/version"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/node"
	"github.com/gooseberryflow/gooseberryflow/peer"
	"github.com/gooseberryflow/gooseberryflow/settings"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// exitFailure is the exit code if the node could not start or failed. Invalid
// settings lead to settings.ExitUsage.
const exitFailure = 1

func main() {
	hangups := handleSignals()
	os.Exit(run(os.Args[1:], hangups, os.Stdout, os.Stderr))
}

// run runs the command and returns its exit code.
func run(args []string, hangups <-chan os.Signal, stdout, stderr io.Writer) int {
	s, err := settings.Parse(args, stdout)
	if err != nil {
		if code := settings.ExitCode(err); code != 0 {
			_, _ = fmt.Fprintln(stderr, "gooseberryflowd:", err)
			return code
		}
		return 0
	}
	if s.ShowVersion {
		_, _ = fmt.Fprintln(stdout, "gooseberryflowd", version.Version)
		return 0
	}
	if err := checkPlugins(s); err != nil {
		_, _ = fmt.Fprintln(stderr, "gooseberryflowd:", err)
		return settings.ExitCode(err)
	}
	if s.CheckOnly {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return 0
	}
	if s.Sidecar != nil {
		if err := serveSidecar(args, s.Sidecar, hangups, stdout); err != nil {
			return exitFailure
		}
		return 0
	}
	logger := slog.New(slog.NewJSONHandler(stderr, &slog.HandlerOptions{Level: s.Node.LogLevel}))
	slog.SetDefault(logger) // for dependencies that log to the default logger
	go logHangups(hangups, logger)
	logStart(logger)
	logger.Info("settings read", "settings", s)
	if err := serve(s, logger); err != nil {
		logger.Error("node ended", "error", err)
		return exitFailure
	}
	return 0
}

// logStart writes the first log line of the process, which names its build.
func logStart(log *slog.Logger) { log.Info("process started", "build", version.Current()) }

func checkPlugins(s *settings.Settings) error {
	if s.Sidecar != nil {
		return s.Sidecar.CheckPlugins(pluginNames())
	}
	return s.CheckPlugins(pluginNames())
}

func pluginNames() []string {
	var names []string
	for _, p := range kernel.Registered() {
		names = append(names, p.Name)
	}
	return names
}

// serve runs a node until a signal arrives. When the fleet ends the node's
// incarnation, serve starts a new node with a new incarnation. A second interrupt
// terminates the process.
func serve(s *settings.Settings, logger *slog.Logger) error {
	ctx, stop := stopContext()
	defer stop()
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	for {
		err := serveOnce(ctx, s, logger)
		if !errors.Is(err, node.ErrIncarnationEnded) || ctx.Err() != nil {
			return err
		}
		logger.Warn("the incarnation was ended; starting a new one")
	}
}

func serveOnce(ctx context.Context, s *settings.Settings, logger *slog.Logger) error {
	log := streamlog.NewHTTPLog("http://"+s.Platform.Address.String(), s.Platform.Stream, nil)
	n, err := node.New(nodeSettings(s), log, logger)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func nodeSettings(s *settings.Settings) node.Settings {
	seedPeers := make([]string, len(s.Peers.SeedPeers))
	for i, a := range s.Peers.SeedPeers {
		seedPeers[i] = a.String()
	}
	return node.Settings{
		Service:              s.Node.Service,
		FailureDomain:        s.Node.FailureDomain,
		CallerAddr:           s.Node.CallerAddress.String(),
		ControlAddr:          s.Node.ControlAddress.String(),
		CallAddr:             s.Node.CallAddress.String(),
		AnnouncedControlAddr: s.Node.AnnouncedControlAddress.String(),
		AnnouncedCallAddr:    s.Node.AnnouncedCallAddress.String(),
		AdminAddr:            s.Node.AdminAddress.String(),
		UpstreamAddr:         s.Node.UpstreamAddress.String(),
		Identity:             peer.Identity{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key},
		Transport:            peer.Transport(s.Node.Transport),
		Plugins:              s.Node.Plugins,
		SeedPeers:            seedPeers,
		OperatorTokens:       s.Operators.Tokens,
		BodyLimitBytes:       s.Node.BodyLimitBytes,
		StopTimeout:          s.Node.StopTimeout,
	}
}
