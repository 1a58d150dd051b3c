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
	toolOK       = 0
	toolRejected = 3
	toolUnknown  = 4
)

// buildTool builds gooseberryctl beside the daemon, once.
var buildTool = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(daemonPath), "gooseberryctl")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/gooseberryctl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the tool: %w\n%s", err, out)
	}
	return path, nil
})

// tool runs gooseberryctl against daemons, in order of preference, and returns
// its exit code and its output.
func (f *fleet) tool(admins []*daemon, args ...string) (int, string) {
	path, err := buildTool()
	if err != nil {
		f.t.Error(err)
		return -1, ""
	}
	var addresses []string
	for _, d := range admins {
		addresses = append(addresses, d.admin)
	}
	command := exec.Command(path, args...)
	command.Env = append(os.Environ(), "GOOSEBERRYCTL_TOKEN="+opsToken, "GOOSEBERRYCTL_ADMIN="+strings.Join(addresses, ","))
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	if err := command.Run(); command.ProcessState == nil {
		f.t.Errorf("run the tool: %v", err)
		return -1, ""
	}
	return command.ProcessState.ExitCode(), output.String()
}

// writeFile writes an operators' file with a mark to a new path.
func writeFile(t *testing.T, mark string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte(defaultFile("a")+"# "+mark+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// inForce waits until a daemon has a version and checks the mark of its file.
func (f *fleet) inForce(d *daemon, version uint64, mark string) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("version %d is in force", version), func() bool {
		s, ok := f.status(d)
		return ok && s.Version >= version
	})
	code, text := f.tool([]*daemon{d}, "get")
	if code != toolOK || !strings.HasPrefix(text, fmt.Sprintf("# gooseberryflow version %d\n", version)) || !strings.Contains(text, "# "+mark+"\n") {
		f.t.Errorf("get gave exit code %d, want version %d with mark %q:\n%s", code, version, mark, text)
	}
}

func twoNodes(t *testing.T) (*fleet, *daemon, *daemon) {
	t.Helper()
	f := newFleet(t)
	a := f.start("logbook", "a", daemonOptions{})
	b := f.start("booker", "a", daemonOptions{First: []string{a.control}})
	f.settle("a")
	return f, a, b
}

// TestRacingOperators has two operators change the same version through
// different nodes at the same time: one wins, the other is told, and all nodes
// have the winner's file.
func TestRacingOperators(t *testing.T) {
	const rounds = 4
	f, a, b := twoNodes(t)
	for round := range rounds {
		base := uint64(round + 1)
		var codes [2]int
		var outputs [2]string
		var racing sync.WaitGroup
		for i, d := range []*daemon{a, b} {
			path := writeFile(t, fmt.Sprintf("operator %d", i))
			racing.Go(func() {
				codes[i], outputs[i] = f.tool([]*daemon{d}, "apply", "--base", fmt.Sprint(base), path)
			})
		}
		racing.Wait()
		winner := 0
		if codes[1] == toolOK {
			winner = 1
		}
		if codes[winner] != toolOK || codes[1-winner] != toolRejected {
			t.Fatalf("round %d: exit codes %v, want one %d and one %d\n%s", round, codes, toolOK, toolRejected, outputs)
		}
		for _, d := range f.daemons {
			f.inForce(d, base+1, fmt.Sprintf("operator %d", winner))
		}
	}
}

// TestChangesWhileTheLogFails changes the configuration while the log loses
// answers or requests or is away; each change comes into force at most once.
func TestChangesWhileTheLogFails(t *testing.T) {
	f, a, b := twoNodes(t)
	faults := []logstandin.Faults{{DropResponses: 1}, {DropRequests: 1}, {DropResponses: 3}, {DropRequests: 3}}
	version := uint64(1)
	for _, fault := range faults {
		version++
		mark := fmt.Sprintf("%+v", fault)
		f.log.SetFaults(fault)
		if code, text := f.tool([]*daemon{a}, "apply", writeFile(t, mark)); code != toolOK {
			t.Fatalf("%s: exit code %d\n%s", mark, code, text)
		}
		f.log.SetFaults(logstandin.Faults{})
		f.inForce(b, version, mark)
	}
	path := writeFile(t, "outage")
	args := []string{"apply", "--change-id", "change-of-outage", "--base", fmt.Sprint(version), path}
	f.log.SetFaults(logstandin.Faults{Down: true})
	if code, text := f.tool([]*daemon{a, b}, append([]string{"--timeout", "2s"}, args...)...); code != toolUnknown {
		t.Fatalf("outage: exit code %d\n%s", code, text)
	}
	f.log.SetFaults(logstandin.Faults{})
	for _, d := range []*daemon{a, b, a} {
		if code, text := f.tool([]*daemon{d}, args...); code != toolOK || !strings.Contains(text, fmt.Sprintf("version %d,", version+1)) {
			t.Errorf("repeated change: exit code %d\n%s", code, text)
		}
	}
	f.inForce(b, version+1, "outage")
}

// TestToolPassesOverLostNode kills the node that the tool asks first.
func TestToolPassesOverLostNode(t *testing.T) {
	f, a, b := twoNodes(t)
	a.signal(syscall.SIGKILL)
	a.awaitExit()
	if code, text := f.tool([]*daemon{a, b}, "apply", writeFile(t, "one node left")); code != toolOK {
		t.Fatalf("apply: exit code %d\n%s", code, text)
	}
	f.inForce(b, 2, "one node left")
	code, text := f.tool([]*daemon{a, b}, "key", "issue", "farm")
	key, _, _ := strings.Cut(text, "\n")
	if _, _, ok := config.SplitKey(key); code != toolOK || !ok {
		t.Errorf("key issue: exit code %d\n%s", code, text)
	}
}
