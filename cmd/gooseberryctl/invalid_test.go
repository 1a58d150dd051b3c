package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// rawNode starts a node that sends the same bytes in response to each request. It returns the
// node's address.
func rawNode(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, response)
			}()
		}
	}()
	return l.Addr().String()
}

// runTool runs the tool with the arguments and returns what it prints to either stream.
func runTool(t *testing.T, args ...string) (text string, code int) {
	t.Helper()
	t.Setenv("GOOSEBERRYCTL_TOKEN", "token")
	var out bytes.Buffer
	code = newApp(&out, &out).run(t.Context(), args)
	return out.String(), code
}

// Guards against the tool taking bytes that are no response for the response of a node.
func TestInvalidResponseOfNodeIsRefused(t *testing.T) {
	const (
		metrics = "Connection: close\r\n\r\n{\"config_version\":9}"
		change  = "Content-Type: application/json\r\nConnection: close\r\n\r\n"
	)
	for what, head := range map[string]string{
		"valid":                    "HTTP/1.1 200 OK\r\n",
		"status 000":               "HTTP/1.1 000 OK\r\n",
		"major version 2":          "HTTP/2.0 200 OK\r\n",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Other: b\r\n",
		"blank in an interim head": "HTTP/1.1 103 Early Hints\r\nX Other: b\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		want := exitUnreachable
		if what == "valid" {
			want = exitOK
		}
		if text, code := runTool(t, "nodes", rawNode(t, head+metrics)); code != want {
			t.Errorf("%s: nodes: exit code %d\n%s", what, code, text)
		}
		want = exitUnknown // the change may be in force
		if what == "valid" {
			want = exitOK
		}
		if text, code := runTool(t, "drain", "--admin", rawNode(t, strings.Replace(head, "200 OK", "204 No Content", 1)+change), "m"); code != want {
			t.Errorf("%s: drain: exit code %d\n%s", what, code, text)
		}
	}
}
