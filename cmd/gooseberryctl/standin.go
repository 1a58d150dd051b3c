package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/gooseberryflow/gooseberryflow/internal/standin"
	logstandin "github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

const standinHelp = `Serves a simulated platform log and a simulated upstream, which answers every
request, on loopback until interrupted. Together with devcert they are all that
a single gooseberryflowd needs for a trial. All state is in memory.`

const (
	standinSlots         = 50
	standinQueue         = 500
	standinServiceTime   = 5 * time.Millisecond
	standinHeaderTimeout = 5 * time.Second
)

func (a *app) standinCommand() *ffcli.Command {
	c := a.newCommand("standin", "gooseberryctl standin [flags]", "simulate log and upstream for a trial", standinHelp)
	log := c.FlagSet.String("log", "127.0.0.1:9000", "`address` of the log")
	upstream := c.FlagSet.String("upstream", "127.0.0.1:8080", "`address` of the upstream")
	node := c.FlagSet.String("node", "127.0.0.1:7400", "caller `address` of the node beside the upstream")
	c.Exec = func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return exitf(exitUsage, "standin takes no arguments")
		}
		return a.standin(ctx, *log, *upstream, *node)
	}
	return c
}

func (a *app) standin(ctx context.Context, log, upstream, node string) error {
	up, err := standin.StartAt(standin.Options{
		Service:    "trial",
		Slots:      standinSlots,
		QueueLimit: standinQueue,
		Operations: []standin.Operation{{Prefix: "/", MeanServiceTime: standinServiceTime}},
	}, upstream)
	if err != nil {
		return fmt.Errorf("serve the upstream: %w", err)
	}
	defer up.Close()
	up.SetCallerAddr(node)
	listener, err := net.Listen("tcp", log)
	if err != nil {
		return fmt.Errorf("serve the log: %w", err)
	}
	server := &http.Server{Handler: logstandin.New().Handler(), ReadHeaderTimeout: standinHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if _, err := fmt.Fprintf(a.stdout, "log on %s, upstream on %s; interrupt to stop\n", log, upstream); err != nil {
		return err
	}
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
