// Command harness3 plays the scripts of the third review. Its argument is the name of a
// case; it writes record.txt into the folder named by the second argument.
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

// verdict is the result of a case.
type verdict struct {
	broken bool
	what   string
}

var cases = map[string]func(dir string, rec *recorder, trouble bool) (verdict, error){
	"departure": playDeparture,
	"head":      playHead,
	"http10":    playHTTP10,
	"clock":     playClock,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness3:", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "harness3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness3:", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	go cleanUpOnSignal(dir)
	v, err := cases[name](dir, rec, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case v.broken:
		rec.printf("BROKEN: %s", v.what)
		fmt.Println("broken:", v.what)
		return exitBroken
	}
	rec.printf("held: %s", v.what)
	fmt.Println("held:", v.what)
	return exitHeld
}

// cleanUpOnSignal ends what the script has started, if the script itself is ended.
func cleanUpOnSignal(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	if f := started.Load(); f != nil {
		f.close()
	}
	_ = os.RemoveAll(dir)
	os.Exit(exitNotRun)
}
