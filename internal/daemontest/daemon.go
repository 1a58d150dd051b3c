// Package daemontest builds and runs gooseberryflowd as separate processes for
// tests. It ends only processes that it has started, by their IDs.
package daemontest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// startLimit bounds the time until a daemon says that it serves.
	startLimit = 40 * time.Second
	pollEvery  = 20 * time.Millisecond
	servesLine = `"msg":"node serves"`
	// userField is the place of the time in user mode behind the name in
	// proc(5)'s stat; that in system mode follows. Both count clockTick.
	userField = 11
	clockTick = 10 * time.Millisecond
)

// ErrExited means that a daemon has ended before it served, as it does when
// another process has one of its ports.
var ErrExited = errors.New("daemon ended at its start")

// Run builds the daemon for a test binary, calls run with its path and returns
// the exit code. It is meant for TestMain; dir is the source folder of the daemon.
func Run(dir string, run func(path string) int) int {
	temporary, err := os.MkdirTemp("", "gooseberryflow")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	path := filepath.Join(temporary, "gooseberryflowd")
	if out, err := exec.Command("go", "build", "-o", path, dir).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		return 1
	}
	return run(path)
}

var (
	givenMu sync.Mutex
	given   = map[string]bool{}
)

// FreeTCPAddress returns a loopback address whose TCP port is free now. It never
// returns one twice: the kernel may, before the first is bound again.
func FreeTCPAddress() (string, error) {
	return freeAddress(func() (io.Closer, string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		return l, l.Addr().String(), nil
	})
}

// FreeUDPAddress is FreeTCPAddress for UDP.
func FreeUDPAddress() (string, error) {
	return freeAddress(func() (io.Closer, string, error) {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		return c, c.LocalAddr().String(), nil
	})
}

// freeAddress binds addresses until one has not been given before; those given
// stay bound meanwhile, so that the kernel offers others.
func freeAddress(bind func() (io.Closer, string, error)) (string, error) {
	for {
		bound, address, err := bind()
		if err != nil {
			return "", err
		}
		defer func() { _ = bound.Close() }()
		givenMu.Lock()
		again := given[address]
		given[address] = true
		givenMu.Unlock()
		if !again {
			return address, nil
		}
	}
}

// Daemon is one daemon, which may be started again and again. It is safe for
// concurrent use, but for Start.
type Daemon struct {
	// Executable is the program, SettingsPath its settings file.
	Executable, SettingsPath string

	mu      sync.Mutex
	output  bytes.Buffer
	command *exec.Cmd
	exited  chan struct{}
	boot    int
}

// Start starts the daemon and waits until it serves.
func (d *Daemon) Start() error {
	before := strings.Count(d.Log(), servesLine)
	command := exec.Command(d.Executable, "-settings", d.SettingsPath)
	command.Stdout, command.Stderr = d, d
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	d.mu.Lock()
	d.command, d.exited = command, exited
	d.boot++
	d.mu.Unlock()
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(pollEvery) {
		select {
		case <-exited:
			return fmt.Errorf("%w: %s", ErrExited, d.lastLine())
		default:
		}
		if strings.Count(d.Log(), servesLine) > before {
			return nil
		}
	}
	return fmt.Errorf("daemon does not serve within %s", startLimit)
}

// Write collects what the daemon logs.
func (d *Daemon) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.output.Write(p)
}

// Log returns what all processes of the daemon have logged.
func (d *Daemon) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.output.String()
}

// lastLine returns the last line of the log.
func (d *Daemon) lastLine() string {
	log := strings.TrimSpace(d.Log())
	return log[strings.LastIndexByte(log, '\n')+1:]
}

// Boot returns the number of starts.
func (d *Daemon) Boot() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.boot
}

// Exited returns a channel that is closed when the latest process has ended;
// nil before the first start.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Signal sends a signal; it reports false if there is no process.
func (d *Daemon) Signal(s syscall.Signal) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return false
	}
	select {
	case <-d.exited:
		return false
	default:
		return d.command.Process.Signal(s) == nil
	}
}

// CPUTime returns what the latest process has used so far, in user and
// system mode.
func (d *Daemon) CPUTime() (time.Duration, error) {
	d.mu.Lock()
	command := d.command
	d.mu.Unlock()
	if command == nil {
		return 0, ErrExited
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The name, in brackets, may hold spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var used time.Duration
	for _, field := range fields[userField : userField+2] {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		used += time.Duration(ticks) * clockTick
	}
	return used, nil
}

// Kill ends the process and waits for its end.
func (d *Daemon) Kill() {
	if d.Signal(syscall.SIGKILL) {
		<-d.Exited()
	}
}
