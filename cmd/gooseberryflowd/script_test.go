package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gooseberryflow/gooseberryflow/internal/devcert"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"gooseberryflowd": main})
}

// TestScripts runs the command on settings files. Each script gets valid.toml:
// the example settings, completed by plug-ins and credentials.
func TestScripts(t *testing.T) {
	example, err := os.ReadFile("../../docs/node.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	authority, err := devcert.New()
	if err != nil {
		t.Fatal(err)
	}
	certificate, key, err := authority.IssueNode(net.IPv4(10, 0, 0, 7))
	if err != nil {
		t.Fatal(err)
	}
	credentials := fmt.Sprintf("[tls]\nca = \"\"\"%s\"\"\"\ncertificate = \"\"\"%s\"\"\"\nkey = \"\"\"%s\"\"\"\n", authority.CA(), certificate, key)
	valid := strings.Replace(string(example), "[platform]", "plugins = [\"auth\", \"retry\", \"routing\"]\n[platform]", 1) + credentials
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			return os.WriteFile(filepath.Join(env.WorkDir, "valid.toml"), []byte(valid), 0o600)
		},
	})
}
