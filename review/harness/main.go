// Command harness plays one case of the review: it starts the daemon as separate
// processes with the command of the deploy file, beside stand-ins of the platform's
// store, of workers and of clients, all on loopback addresses.
//
//	harness CASE RECORD
//
// The environment variable TROUBLE=0 leaves out the disruption. The exit code is 0 if the
// rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxDuration bounds a case.
	maxDuration = 110 * time.Second
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the names of cases to the functions that play them.
var cases = map[string]func(f *fleet, trouble bool) error{
	"hup-while-stopping":   hupWhileStopping,
	"calls-cut-at-stop":    callsCutAtStop,
	"long-work-given-up":   longWorkGivenUp,
	"queue-after-leaving":  queueAfterLeaving,
	"quota-after-lowering": quotaAfterLowering,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, disruption: %v", args[0], trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() { played <- cases[args[0]](f, trouble) }()
	select {
	case err = <-played:
	case <-time.After(maxDuration):
		err = fmt.Errorf("%w: it takes too long", errCannotRun)
	case <-interrupted:
		err = fmt.Errorf("%w: interrupted", errCannotRun)
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	verdict := "the rule held"
	if err != nil {
		verdict = err.Error()
	}
	r.logf("verdict: %s (exit code %d)", verdict, code)
	fmt.Printf("%s, disruption %v: %s (exit code %d)\n", args[0], trouble, verdict, code)
	return code
}
