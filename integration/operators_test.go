package integration

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/config"
	logstandin "github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// Exit codes of gooseberryctl.
const (
	exitOK       = 0
	exitRejected = 3
	exitUnknown  = 4
)

// buildCtl builds gooseberryctl once, in the folder of the daemon.
var buildCtl = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(daemonPath), "gooseberryctl")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/gooseberryctl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build gooseberryctl: %w\n%s", err, out)
	}
	return path, nil
})

// runCtl runs gooseberryctl against daemons, in order of preference, and returns
// its exit code and output.
func (f *fleet) runCtl(admins []*daemon, args ...string) (int, string) {
	path, err := buildCtl()
	if err != nil {
		f.t.Error(err)
		return -1, ""
	}
	var addresses []string
	for _, d := range admins {
		addresses = append(addresses, d.adminAddr)
	}
	command := exec.Command(path, args...)
	command.Env = append(os.Environ(), "GOOSEBERRYCTL_TOKEN="+operatorToken, "GOOSEBERRYCTL_ADMIN="+strings.Join(addresses, ","))
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	if err := command.Run(); command.ProcessState == nil {
		f.t.Errorf("run gooseberryctl: %v", err)
		return -1, ""
	}
	return command.ProcessState.ExitCode(), output.String()
}

// writeConfigFile writes a configuration file that contains a mark to a new path.
func writeConfigFile(t *testing.T, mark string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte(defaultConfig("a")+"# "+mark+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// awaitInForce waits until a daemon has a version and checks the mark of its file.
func (f *fleet) awaitInForce(d *daemon, version uint64, mark string) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("version %d is in force", version), func() bool {
		s, ok := f.status(d)
		return ok && s.Version >= version
	})
	code, output := f.runCtl([]*daemon{d}, "get")
	if code != exitOK || !strings.HasPrefix(output, fmt.Sprintf("# gooseberryflow version %d\n", version)) || !strings.Contains(output, "# "+mark+"\n") {
		f.t.Errorf("get returned exit code %d, want version %d with mark %q:\n%s", code, version, mark, output)
	}
}

func newTwoNodeFleet(t *testing.T) (*fleet, *daemon, *daemon) {
	t.Helper()
	f := newFleet(t)
	a := f.start("logbook", "a", daemonOptions{})
	b := f.start("booker", "a", daemonOptions{SeedPeers: []string{a.controlAddr}})
	f.applyDefaultConfig("a")
	return f, a, b
}

// TestOneOfConcurrentChangesWins has two operators change the same base version
// through different nodes at the same time. One change is accepted, the other is
// rejected, and all nodes have the accepted file.
func TestOneOfConcurrentChangesWins(t *testing.T) {
	const rounds = 4
	f, a, b := newTwoNodeFleet(t)
	for round := range rounds {
		base := uint64(round + 1)
		var codes [2]int
		var outputs [2]string
		var operators sync.WaitGroup
		for i, d := range []*daemon{a, b} {
			path := writeConfigFile(t, fmt.Sprintf("operator %d", i))
			operators.Go(func() {
				codes[i], outputs[i] = f.runCtl([]*daemon{d}, "apply", "--base", fmt.Sprint(base), path)
			})
		}
		operators.Wait()
		winner := 0
		if codes[1] == exitOK {
			winner = 1
		}
		if codes[winner] != exitOK || codes[1-winner] != exitRejected {
			t.Fatalf("round %d: exit codes %v, want one %d and one %d\n%s", round, codes, exitOK, exitRejected, outputs)
		}
		for _, d := range f.daemons {
			f.awaitInForce(d, base+1, fmt.Sprintf("operator %d", winner))
		}
	}
}

// TestConfigChangesDuringLogFaults changes the configuration while the log loses
// responses or requests or is down. Each change comes into force at most once.
func TestConfigChangesDuringLogFaults(t *testing.T) {
	f, a, b := newTwoNodeFleet(t)
	faults := []logstandin.Faults{{DropResponses: 1}, {DropRequests: 1}, {DropResponses: 3}, {DropRequests: 3}}
	version := uint64(1)
	for _, fault := range faults {
		version++
		mark := fmt.Sprintf("%+v", fault)
		f.log.SetFaults(fault)
		if code, output := f.runCtl([]*daemon{a}, "apply", writeConfigFile(t, mark)); code != exitOK {
			t.Fatalf("%s: exit code %d\n%s", mark, code, output)
		}
		f.log.SetFaults(logstandin.Faults{})
		f.awaitInForce(b, version, mark)
	}
	path := writeConfigFile(t, "outage")
	args := []string{"apply", "--change-id", "change-of-outage", "--base", fmt.Sprint(version), path}
	f.log.SetFaults(logstandin.Faults{Down: true})
	if code, output := f.runCtl([]*daemon{a, b}, append([]string{"--timeout", "2s"}, args...)...); code != exitUnknown {
		t.Fatalf("outage: exit code %d\n%s", code, output)
	}
	f.log.SetFaults(logstandin.Faults{})
	for _, d := range []*daemon{a, b, a} {
		if code, output := f.runCtl([]*daemon{d}, args...); code != exitOK || !strings.Contains(output, fmt.Sprintf("version %d,", version+1)) {
			t.Errorf("repeated change: exit code %d\n%s", code, output)
		}
	}
	f.awaitInForce(b, version+1, "outage")
}

// TestCtlSkipsDeadNode kills the node that gooseberryctl asks first. It must use the
// next one.
func TestCtlSkipsDeadNode(t *testing.T) {
	f, a, b := newTwoNodeFleet(t)
	a.signal(syscall.SIGKILL)
	a.awaitExit()
	if code, output := f.runCtl([]*daemon{a, b}, "apply", writeConfigFile(t, "one node left")); code != exitOK {
		t.Fatalf("apply: exit code %d\n%s", code, output)
	}
	f.awaitInForce(b, 2, "one node left")
	code, output := f.runCtl([]*daemon{a, b}, "key", "issue", "farm")
	key, _, _ := strings.Cut(output, "\n")
	if _, _, ok := config.SplitKey(key); code != exitOK || !ok {
		t.Errorf("key issue: exit code %d\n%s", code, output)
	}
}
