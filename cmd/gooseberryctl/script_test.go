package main

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gooseberryflow/gooseberryflow/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
)

const operatorToken = "0123456789abcdef"

// closedAddress is an address at which nothing listens: its port is outside the
// range from which the kernel assigns ports to test servers.
const closedAddress = "127.0.0.1:1"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"gooseberryctl": main})
}

type backendKey struct{}

// TestScripts runs each script against its own admin API with a backend in memory.
// $ADMIN and $ADMIN_AGAIN are addresses of the API; nothing listens at $NOBODY.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			b := newMemoryBackend()
			handler := b.recordBodies(admin.NewHandler(b, []string{"another-operator", operatorToken}, slog.New(slog.DiscardHandler)))
			server := httptest.NewServer(handler)
			env.Defer(server.Close)
			secondServer := httptest.NewServer(handler)
			env.Defer(secondServer.Close)
			env.Setenv("ADMIN", server.Listener.Addr().String())
			env.Setenv("ADMIN_AGAIN", secondServer.Listener.Addr().String())
			env.Setenv("NOBODY", closedAddress)
			env.Setenv("GOOSEBERRYCTL_ADMIN", server.Listener.Addr().String())
			env.Setenv("GOOSEBERRYCTL_TOKEN", operatorToken)
			env.Values[backendKey{}] = b
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fault":     setFault,
			"exitcode":  runForExitCode,
			"submits":   checkAcceptedChanges,
			"no-secret": checkNoSecret,
		},
	})
}

func backendOf(ts *testscript.TestScript) *memoryBackend {
	return ts.Value(backendKey{}).(*memoryBackend)
}

// setFault implements the script command "fault NAME": it sets the fault of the
// next change.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	backendOf(ts).setFault(fault(args[0]))
}

// runForExitCode implements "exitcode CODE ARGS...": it runs the tool and checks
// its exit code.
func runForExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("gooseberryctl", args[1:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

// checkAcceptedChanges implements "submits COUNT": it checks the number of
// accepted changes.
func checkAcceptedChanges(ts *testscript.TestScript, _ bool, args []string) {
	b := backendOf(ts)
	b.mu.Lock()
	defer b.mu.Unlock()
	if got := strconv.Itoa(b.accepted); got != args[0] {
		ts.Fatalf("%s changes were accepted, want %s", got, args[0])
	}
}

// checkNoSecret implements "no-secret FILE": it checks that the secret of the
// key in the file matches the issued key and was never sent to the node.
func checkNoSecret(ts *testscript.TestScript, _ bool, args []string) {
	id, secret, ok := config.SplitKey(strings.TrimSpace(ts.ReadFile(args[0])))
	if !ok {
		ts.Fatalf("%s contains no key", args[0])
	}
	b := backendOf(ts)
	if !b.Snapshot().Keys[id].Verify(secret) {
		ts.Fatalf("the issued key %s does not accept its secret", id)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes.Contains(b.requestBodies.Bytes(), []byte(secret)) {
		ts.Fatalf("the secret of key %s was sent to the node", id)
	}
}
