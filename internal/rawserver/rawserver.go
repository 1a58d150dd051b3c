// Package rawserver runs servers for tests that choose each byte of a response and the end of
// its connection.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// endlessBytes bounds a response without end, for a client that reads it.
const endlessBytes = 256 << 20

// Start starts a server on loopback that serves each connection with serve and then closes
// it. The server ends with the test. Start returns its address.
func Start(t testing.TB, serve func(conn *net.TCPConn, in *bufio.Reader)) (address string) {
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
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// Respond returns a function for Start that reads a request and sends a response. Unless again
// is empty, it follows without end, until the client closes the connection.
func Respond(response, again string) func(conn *net.TCPConn, in *bufio.Reader) {
	block := strings.Repeat(again, 1<<12)
	return func(conn *net.TCPConn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, err = io.WriteString(conn, response)
		for n := 0; again != "" && err == nil && n < endlessBytes; n += len(block) {
			_, err = io.WriteString(conn, block)
		}
	}
}
