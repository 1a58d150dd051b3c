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
	// startTimeout bounds the time until a daemon logs that it serves.
	startTimeout   = 40 * time.Second
	pollInterval   = 20 * time.Millisecond
	servingLogText = `"msg":"node serves"`
	// utimeField is the index of utime, the user-mode CPU time, among the
	// fields that follow the process name in /proc/PID/stat (see proc(5)).
	// stime, the system-mode time, is the next field. The unit is clockTick.
	utimeField = 11
	clockTick  = 10 * time.Millisecond
)

// ErrExited means that a daemon exited before it served, for example because
// another process holds one of its ports.
var ErrExited = errors.New("daemon exited during startup")

// Run builds the daemon from the source folder dir, calls run with the path of
// the executable and returns the exit code of run. It is meant for TestMain.
func Run(dir string, run func(path string) int) int {
	tempDir, err := os.MkdirTemp("", "gooseberryflow")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(tempDir) }()
	path := filepath.Join(tempDir, "gooseberryflowd")
	if out, err := exec.Command("go", "build", "-o", path, dir).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		return 1
	}
	return run(path)
}

var (
	issuedMu sync.Mutex
	issued   = map[string]bool{}
)

// FreeTCPAddress returns a loopback address with a free TCP port. It never
// returns the same address twice in a process; the kernel may offer a port
// again as long as nobody has bound it.
func FreeTCPAddress() (string, error) {
	return freeAddress(func() (io.Closer, string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		return l, l.Addr().String(), nil
	})
}

// FreeUDPAddress is like FreeTCPAddress, for UDP.
func FreeUDPAddress() (string, error) {
	return freeAddress(func() (io.Closer, string, error) {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		return c, c.LocalAddr().String(), nil
	})
}

// freeAddress binds addresses until it gets one that has not been issued
// before. Rejected addresses stay bound until it returns, so that the kernel
// offers others.
func freeAddress(listen func() (io.Closer, string, error)) (string, error) {
	for {
		listener, address, err := listen()
		if err != nil {
			return "", err
		}
		defer func() { _ = listener.Close() }()
		issuedMu.Lock()
		reissued := issued[address]
		issued[address] = true
		issuedMu.Unlock()
		if !reissued {
			return address, nil
		}
	}
}

// Daemon runs one daemon, which may be started repeatedly. All methods except
// Start are safe for concurrent use.
type Daemon struct {
	// Executable is the path of the program, SettingsPath that of its settings.
	Executable, SettingsPath string

	mu      sync.Mutex
	output  bytes.Buffer
	command *exec.Cmd
	exited  chan struct{}
	boots   int
}

// Start starts the daemon and waits until it logs that it serves.
func (d *Daemon) Start() error {
	before := strings.Count(d.Log(), servingLogText)
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
	d.boots++
	d.mu.Unlock()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		select {
		case <-exited:
			return fmt.Errorf("%w: %s", ErrExited, d.lastLine())
		default:
		}
		if strings.Count(d.Log(), servingLogText) > before {
			return nil
		}
	}
	return fmt.Errorf("daemon did not serve within %s", startTimeout)
}

// Write collects the daemon's output.
func (d *Daemon) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.output.Write(p)
}

// Log returns the output of all processes of the daemon so far.
func (d *Daemon) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.output.String()
}

func (d *Daemon) lastLine() string {
	log := strings.TrimSpace(d.Log())
	return log[strings.LastIndexByte(log, '\n')+1:]
}

// Boot returns how often the daemon has been started.
func (d *Daemon) Boot() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.boots
}

// Exited returns a channel that is closed when the latest process has exited.
// It is nil before the first start.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Signal sends a signal to the running process. It reports false if there is none.
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

// CPUTime returns the CPU time that the latest process has used so far, in user
// and system mode.
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
	// The process name, in parentheses, may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var used time.Duration
	for _, field := range fields[utimeField : utimeField+2] {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		used += time.Duration(ticks) * clockTick
	}
	return used, nil
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (d *Daemon) Kill() {
	if d.Signal(syscall.SIGKILL) {
		<-d.Exited()
	}
}
