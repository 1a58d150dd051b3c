package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// uploadTries is the number of exchanges of each kind: which side of the connection notices
// its end first varies.
const uploadTries = 12

// unsizedHeads are heads of responses without a length to the request "a".
var unsizedHeads = map[string]string{
	"closing":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n",
	"not closing": "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
	"HTTP/1.0":    "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n",
}

// checkUploads sends uploads of several sizes to an instance that responds without a length,
// beginning with one of unsizedHeads, and closes the connection when respond returns. The
// channel is closed when all responses have been checked.
func checkUploads(t *testing.T, respond func(conn *net.TCPConn, r *http.Request, head string, ended <-chan struct{}), check func(t *testing.T, resp *Response, err error)) {
	t.Helper()
	for kind, head := range unsizedHeads {
		for _, size := range []int{0, 64 << 10, 1 << 20, 8 << 20} {
			t.Run(fmt.Sprintf("%s, %d KB", kind, size>>10), func(t *testing.T) {
				ended := make(chan struct{})
				p := startInstance(t, func(conn net.Conn, r *http.Request, _ int) bool {
					respond(conn.(*net.TCPConn), r, head, ended)
					return false
				})
				upload := request("a")
				upload.Method, upload.Body = http.MethodPost, bytes.Repeat([]byte("x"), size)
				for range uploadTries {
					resp, err := p.Do(t.Context(), upload)
					check(t, resp, err)
				}
				close(ended)
			})
		}
	}
}

// Guards against a part of a body without a length being passed on as the whole: the
// instance resets the connection while the request is still being written, and the writer
// takes the error from the socket.
func TestResetDuringUploadIsIncomplete(t *testing.T) {
	for what, place := range map[string]string{"in the body": "half", "before the body": ""} {
		t.Run(what, func(t *testing.T) {
			checkUploads(t, func(conn *net.TCPConn, _ *http.Request, head string, _ <-chan struct{}) {
				_, _ = io.WriteString(conn, head+place)
				_ = conn.SetLinger(0) // Close sends a reset
			}, func(t *testing.T, resp *Response, err error) {
				if !errors.Is(err, ErrIncompleteResponse) || errors.Is(err, ErrDown) || errors.Is(err, ErrNotSent) {
					t.Errorf("%+v %v", resp, err)
				}
			})
		})
	}
}

// A response without a length is complete if its connection ends in order, whatever becomes
// of the rest of the request.
func TestOrderlyEndDuringUploadIsComplete(t *testing.T) {
	const body = "whole"
	for what, respond := range map[string]func(*net.TCPConn, *http.Request, string, <-chan struct{}){
		"after the request": func(conn *net.TCPConn, r *http.Request, head string, _ <-chan struct{}) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, head+body)
		},
		"before the request is read": func(conn *net.TCPConn, r *http.Request, head string, _ <-chan struct{}) {
			_, _ = io.WriteString(conn, head+body)
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"and the request is read on": func(conn *net.TCPConn, r *http.Request, head string, _ <-chan struct{}) {
			_, _ = io.WriteString(conn, head+body)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"and the request is never read": func(conn *net.TCPConn, _ *http.Request, head string, _ <-chan struct{}) {
			_, _ = io.WriteString(conn, head+body)
			_ = conn.CloseWrite() // with the request unread, Close sends a reset behind it
		},
		"and the connection is then reset": func(conn *net.TCPConn, _ *http.Request, head string, _ <-chan struct{}) {
			_, _ = io.WriteString(conn, head+body)
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
		},
		"and the connection stays open": func(conn *net.TCPConn, _ *http.Request, head string, ended <-chan struct{}) {
			_, _ = io.WriteString(conn, head+body)
			_ = conn.CloseWrite()
			<-ended
		},
	} {
		t.Run(what, func(t *testing.T) {
			checkUploads(t, respond, func(t *testing.T, resp *Response, err error) {
				if err != nil || string(resp.Body) != body {
					t.Errorf("%+v %v", resp, err)
				}
			})
		})
	}
}

// Framed bodies are complete with their last byte, whatever then becomes of the connection.
func TestResetBehindFramedResponseLosesNothing(t *testing.T) {
	for what, text := range map[string]string{
		"with a length": "Content-Length: 5\r\n\r\nwhole",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(what, func(t *testing.T) {
			p := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\n"+text)
				_ = conn.(*net.TCPConn).CloseWrite()
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			upload := request("a")
			upload.Method, upload.Body = http.MethodPost, bytes.Repeat([]byte("x"), 8<<20)
			for range uploadTries {
				if resp, err := p.Do(t.Context(), upload); err != nil || string(resp.Body) != "whole" {
					t.Errorf("%+v %v", resp, err)
				}
			}
		})
	}
}
