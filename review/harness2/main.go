// Command review2 plays the scripted cases of the second review: it starts the daemon
// as separate processes with the command of the deploy file, stands in for the store, the
// workers and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case: how often the rule was broken, or why the case could
// not run.
type verdict struct {
	broken bool
	text   string
	err    error
}

// cases maps the names of cases to their scripts. trouble is false for the run without
// the disruption.
var cases = map[string]func(f *fleet, trouble bool) verdict{
	"forgotten-leave": forgottenLeave,
	"late-leave":      lateLeave,
	"uploads":         uploads,
	"popular":         popular,
	"late-calls":      lateCalls,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %v", args[0], trouble)
	v := cases[args[0]](f, trouble)
	if v.err != nil {
		v.text = "not run: " + v.err.Error()
	}
	r.add("result: %s", v.text)
	fmt.Println(v.text)
	switch {
	case v.err != nil:
		return exitNotRun
	case v.broken:
		return exitBroken
	}
	return exitHeld
}
