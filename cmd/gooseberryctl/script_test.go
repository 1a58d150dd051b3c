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

// nobodyAddress has a port outside the range that servers of tests get, so that
// nothing listens there.
const nobodyAddress = "127.0.0.1:1"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"gooseberryctl": main})
}

type backendKey struct{}

// TestScripts runs each script against a node of its own whose backend is in
// memory: $ADMIN and $ADMIN_AGAIN are its addresses, $NOBODY one at which nothing listens.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			b := newMemoryBackend()
			handler := b.record(admin.NewHandler(b, []string{"another-operator", operatorToken}, slog.New(slog.DiscardHandler)))
			server := httptest.NewServer(handler)
			env.Defer(server.Close)
			again := httptest.NewServer(handler)
			env.Defer(again.Close)
			env.Setenv("ADMIN", server.Listener.Addr().String())
			env.Setenv("ADMIN_AGAIN", again.Listener.Addr().String())
			env.Setenv("NOBODY", nobodyAddress)
			env.Setenv("GOOSEBERRYCTL_ADMIN", server.Listener.Addr().String())
			env.Setenv("GOOSEBERRYCTL_TOKEN", operatorToken)
			env.Values[backendKey{}] = b
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fault":     setFault,
			"exitcode":  runForExitCode,
			"submits":   checkSubmits,
			"no-secret": checkNoSecret,
		},
	})
}

func backendOf(ts *testscript.TestScript) *memoryBackend {
	return ts.Value(backendKey{}).(*memoryBackend)
}

// setFault sets the fault that the next change meets: fault NAME.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	backendOf(ts).setFault(fault(args[0]))
}

// runForExitCode runs the tool and checks its exit code: exitcode CODE ARGS.
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

// checkSubmits checks how many changes took effect: submits COUNT.
func checkSubmits(ts *testscript.TestScript, _ bool, args []string) {
	b := backendOf(ts)
	b.mu.Lock()
	defer b.mu.Unlock()
	if got := strconv.Itoa(b.submits); got != args[0] {
		ts.Fatalf("%s changes took effect, want %s", got, args[0])
	}
}

// checkNoSecret checks that the secret of the key in a file verifies against
// the issued key and never reached the node: no-secret FILE.
func checkNoSecret(ts *testscript.TestScript, _ bool, args []string) {
	id, secret, ok := config.SplitKey(strings.TrimSpace(ts.ReadFile(args[0])))
	if !ok {
		ts.Fatalf("%s holds no key", args[0])
	}
	b := backendOf(ts)
	if !b.Snapshot().Keys[id].Verify(secret) {
		ts.Fatalf("the issued key %s does not accept its secret", id)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes.Contains(b.bodies.Bytes(), []byte(secret)) {
		ts.Fatalf("the secret of key %s reached the node", id)
	}
}
