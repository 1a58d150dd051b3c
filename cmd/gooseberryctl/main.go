// Command gooseberryctl administers a fleet through the administration API of
// any of its nodes. Run it with --help for a list of its commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := newApp(os.Stdout, os.Stderr)
	os.Exit(a.run(ctx, os.Args[1:]))
}
