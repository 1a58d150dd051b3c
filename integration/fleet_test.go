package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"text/template"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/daemontest"
	"github.com/gooseberryflow/gooseberryflow/internal/devcert"
	"github.com/gooseberryflow/gooseberryflow/internal/standin"
	logstandin "github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

const (
	// waitLimit bounds every wait for a condition; no test asserts how long
	// one takes within it.
	waitLimit = 40 * time.Second
	waitPoll  = 20 * time.Millisecond
	stream    = "gooseberryflow"
	opsToken  = "operator-token-for-tests"
)

var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gooseberryflow-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonPath = filepath.Join(dir, "gooseberryflowd")
	build := exec.Command("go", "build", "-o", daemonPath, "../cmd/gooseberryflowd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// fleet is a set of daemons with their stand-ins.
type fleet struct {
	t         testing.TB
	log       *logstandin.Service
	logServer *httptest.Server
	authority *devcert.Authority
	daemons   []*daemon
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	authority, err := devcert.New()
	if err != nil {
		t.Fatal(err)
	}
	log := logstandin.New()
	f := &fleet{t: t, log: log, logServer: httptest.NewServer(log.Handler()), authority: authority}
	t.Cleanup(f.logServer.Close)
	return f
}

// daemon is one real process and the stand-in of its upstream.
type daemon struct {
	t        testing.TB
	service  string
	domain   string
	caller   string
	control  string
	call     string
	admin    string
	upstream *standin.Upstream
	command  *exec.Cmd
	exited   chan struct{}
	exitErr  error

	mu     sync.Mutex
	output bytes.Buffer
	member string
	ready  chan struct{}
}

// daemonOptions adjust the settings of a daemon.
type daemonOptions struct {
	// Platform is the address of the log; empty for the stand-in itself.
	Platform string
	// AnnouncedControl and AnnouncedCall put proxies before the daemon.
	AnnouncedControl string
	AnnouncedCall    string
	// Plugins is the chain; empty for the default.
	Plugins []string
	// First lists control addresses to ask first.
	First      []string
	Operations []standin.Operation
	Slots      int
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[node]
service = "{{.D.Service}}"
failure_domain = "{{.D.Domain}}"
caller_address = "{{.D.Caller}}"
control_address = "{{.D.Control}}"
call_address = "{{.D.Call}}"
admin_address = "{{.D.Admin}}"
upstream_address = "{{.D.Upstream}}"
{{with .O.AnnouncedControl}}announced_control_address = "{{.}}"
{{end}}{{with .O.AnnouncedCall}}announced_call_address = "{{.}}"
{{end}}{{with .O.Plugins}}plugins = [{{range $i, $p := .}}{{if $i}}, {{end}}"{{$p}}"{{end}}]
{{end}}transport = "tls"
[platform]
address = "{{.O.Platform}}"
stream = "{{.D.Stream}}"
[peers]
first = [{{range $i, $p := .O.First}}{{if $i}}, {{end}}"{{$p}}"{{end}}]
[operators]
tokens = ["{{.D.Token}}"]
[tls]
ca = """{{.D.CA}}"""
certificate = """{{.D.Certificate}}"""
key = """{{.D.Key}}"""
`))

type settingsValues struct {
	Service, Domain, Caller, Control, Call, Admin string
	Upstream, Stream, Token, CA, Certificate, Key string
}

// start runs a daemon beside a fresh upstream stand-in and waits until it
// serves.
func (f *fleet) start(service, domain string, o daemonOptions) *daemon {
	f.t.Helper()
	slots := o.Slots
	if slots == 0 {
		slots = 50
	}
	up, err := standin.Start(standin.Options{
		Service: service, Slots: slots, QueueLimit: 1000, Operations: o.Operations, RecordHeaders: true, Seed: 1,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	d := &daemon{t: f.t, service: service, domain: domain, upstream: up}
	d.usePorts()
	f.t.Cleanup(up.Close)
	f.run(d, o)
	f.daemons = append(f.daemons, d)
	return d
}

// startTries bounds the starts on other ports, when another process has taken
// one of the daemon's ports since the kernel named it.
const startTries = 3

// run starts the daemon's process, which may be a later incarnation, and waits
// until it serves. Announced addresses are proxies' and stay as they are.
func (f *fleet) run(d *daemon, o daemonOptions) {
	f.t.Helper()
	for range startTries {
		if f.tryRun(d, o) {
			return
		}
		f.t.Logf("a port of %s is taken; trying others", d.service)
		d.usePorts()
	}
	f.t.Fatalf("daemon ended at its start:\n%s", d.logText())
}

// usePorts gives the daemon ports that are free now.
func (d *daemon) usePorts() {
	d.caller = freeTCP(d.t)
	d.control = freeUDP(d.t)
	d.call = freeTCP(d.t)
	d.admin = freeTCP(d.t)
	d.upstream.SetCallerAddr(d.caller)
}

// tryRun reports false if the daemon ended because a port is taken.
func (f *fleet) tryRun(d *daemon, o daemonOptions) bool {
	f.t.Helper()
	file := filepath.Join(f.t.TempDir(), "node.toml")
	if err := os.WriteFile(file, f.settings(d, o), 0o600); err != nil {
		f.t.Fatal(err)
	}
	d.command = exec.Command(daemonPath, "-settings", file)
	d.exited = make(chan struct{})
	d.ready = make(chan struct{})
	pipe, err := d.command.StderrPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := d.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	command, exited, ready := d.command, d.exited, d.ready
	go func() {
		d.readLog(pipe, ready)
		d.exitErr = command.Wait()
		close(exited)
	}()
	f.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-exited
	})
	select {
	case <-ready:
	case <-exited:
		if !strings.Contains(d.logText(), "address already in use") {
			f.t.Fatalf("daemon ended at its start:\n%s", d.logText())
		}
		return false
	case <-time.After(waitLimit):
		f.t.Fatalf("daemon does not serve:\n%s", d.logText())
	}
	return true
}

func (f *fleet) settings(d *daemon, o daemonOptions) []byte {
	f.t.Helper()
	cert, key, err := f.authority.IssueNode(net.IPv4(127, 0, 0, 1))
	if err != nil {
		f.t.Fatal(err)
	}
	if o.Platform == "" {
		o.Platform = f.logServer.Listener.Addr().String()
	}
	var b bytes.Buffer
	err = settingsTemplate.Execute(&b, map[string]any{"O": o, "D": settingsValues{
		Service: d.service, Domain: d.domain, Caller: d.caller, Control: d.control, Call: d.call,
		Admin: d.admin, Upstream: d.upstream.Addr(), Stream: stream, Token: opsToken,
		CA: string(f.authority.CA()), Certificate: string(cert), Key: string(key),
	}})
	if err != nil {
		f.t.Fatal(err)
	}
	return b.Bytes()
}

// readLog keeps the daemon's log and notes when it serves.
func (d *daemon) readLog(r interface{ Read([]byte) (int, error) }, ready chan struct{}) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var record struct{ Msg, Member string }
		_ = json.Unmarshal(lines.Bytes(), &record)
		d.mu.Lock()
		d.output.Write(lines.Bytes())
		d.output.WriteByte('\n')
		if record.Msg == "node serves" {
			d.member = record.Member
		}
		d.mu.Unlock()
		if record.Msg == "node serves" {
			select {
			case <-ready:
			default:
				close(ready)
			}
		}
	}
}

func (d *daemon) logText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.output.String()
}

func (d *daemon) signal(s syscall.Signal) {
	d.t.Helper()
	if err := d.command.Process.Signal(s); err != nil {
		d.t.Fatalf("signal %v: %v; process: %v; its log:\n%s", s, err, d.command.ProcessState, d.logText())
	}
}

// awaitExit waits for the end of the process and returns its exit code.
func (d *daemon) awaitExit() int {
	d.t.Helper()
	select {
	case <-d.exited:
		return d.command.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		d.t.Fatalf("the daemon did not end:\n%s", d.logText())
		return -1
	}
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(waitPoll)
	}
}

func freeTCP(t testing.TB) string {
	t.Helper()
	return free(t, daemontest.FreeTCPAddress)
}

func freeUDP(t testing.TB) string {
	t.Helper()
	return free(t, daemontest.FreeUDPAddress)
}

func free(t testing.TB, draw func() (string, error)) string {
	t.Helper()
	address, err := draw()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
