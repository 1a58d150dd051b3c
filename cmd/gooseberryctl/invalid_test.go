package main

import (
	"bytes"
	"runtime"
	"strings"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/internal/rawserver"
)

// rawNode starts a node that sends the same bytes in response to each request, and then again
// without end unless that is empty. It returns the node's address.
func rawNode(t *testing.T, response, again string) string {
	t.Helper()
	return rawserver.Start(t, rawserver.Respond(response, again))
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
		if text, code := runTool(t, "nodes", rawNode(t, head+metrics, "")); code != want {
			t.Errorf("%s: nodes: exit code %d\n%s", what, code, text)
		}
		want = exitUnknown // the change may be in force
		if what == "valid" {
			want = exitOK
		}
		if text, code := runTool(t, "drain", "--admin", rawNode(t, strings.Replace(head, "200 OK", "204 No Content", 1)+change, ""), "m"); code != want {
			t.Errorf("%s: drain: exit code %d\n%s", what, code, text)
		}
	}
}

// Guards against a tool that runs out of memory, or prints what it has read, since a node
// sends a response without end.
func TestResponseOfNodeWithoutEndIsBounded(t *testing.T) {
	const (
		maxAllocBytes = 16 * maxResponseBytes // io.ReadAll grows its buffer by a quarter at a time
		maxTextBytes  = 4 << 10
		ok            = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	)
	for what, c := range map[string]struct{ first, again string }{
		"header fields":     {ok, "X-More: more\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: more\r\n\r\n"},
		"body":              {ok + "Connection: close\r\n\r\n\"", "more"},
		"unknown error":     {"HTTP/1.1 418 Teapot\r\nConnection: close\r\n\r\n", "more"},
		"known error":       {"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n\"", "more"},
	} {
		address := rawNode(t, c.first, c.again)
		for _, args := range [][]string{{"nodes", address}, {"status", "--admin", address}} {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			text, code := runTool(t, args...)
			runtime.ReadMemStats(&after)
			if code == exitOK || len(text) > maxTextBytes {
				t.Errorf("%s, %s: exit code %d, %d bytes of text", what, args[0], code, len(text))
			}
			if cost := after.TotalAlloc - before.TotalAlloc; cost > maxAllocBytes {
				t.Errorf("%s, %s: %d MB allocated", what, args[0], cost>>20)
			}
		}
	}
}
