package httpstrict_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/internal/httpstrict"
	"github.com/gooseberryflow/gooseberryflow/internal/rawserver"
)

// serveRaw starts a server that sends the same bytes in response to each request and keeps
// its connections open. It returns the server's URL and the number of connections.
func serveRaw(t *testing.T, response string) (url string, conns *atomic.Int64) {
	t.Helper()
	conns = new(atomic.Int64)
	address := rawserver.Start(t, func(conn *net.TCPConn, in *bufio.Reader) {
		conns.Add(1)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, response)
		}
	})
	return "http://" + address, conns
}

func get(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a connection being used again after a response on it was refused, also where
// net/http takes the response for complete, and against the next request failing on it.
func TestRefusedResponseClosesItsConnection(t *testing.T) {
	const requests = 20
	for what, response := range map[string]string{
		"status":       "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"name":         "HTTP/1.1 200 OK\r\nX Other: b\r\nContent-Length: 0\r\n\r\n",
		"interim name": "HTTP/1.1 103 Early Hints\r\nX Other: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"with a body":  "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\na",
		"trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX Other: b\r\n\r\n",
		"upgrade":      "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		url, conns := serveRaw(t, response)
		client := httpstrict.NewClient()
		for range requests {
			if body, err := get(client, url); !errors.Is(err, httpstrict.ErrInvalid) {
				t.Errorf("%s: %q %v", what, body, err)
			}
		}
		if n := conns.Load(); n != requests {
			t.Errorf("%s: %d connections for %d requests", what, n, requests)
		}
	}
}

// Valid responses, also with interim responses and trailers, leave their connection in use.
func TestValidResponsesShareConnection(t *testing.T) {
	const requests = 3
	for what, response := range map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Other: b\r\n\r\n",
		"interim responses": strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\n", 16) + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
	} {
		url, conns := serveRaw(t, response)
		client := httpstrict.NewClient()
		for range requests {
			if body, err := get(client, url); err != nil || body != "a" {
				t.Errorf("%s: %q %v", what, body, err)
			}
		}
		if n := conns.Load(); n != 1 {
			t.Errorf("%s: %d connections", what, n)
		}
	}
}
