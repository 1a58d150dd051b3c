package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/rawserver"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// instance starts a server that serves each connection with serve, and returns its client.
func instance(t *testing.T, serve func(conn *net.TCPConn, in *bufio.Reader)) *upstream {
	t.Helper()
	return newUpstream(rawserver.Start(t, serve), testBodyLimit, time.Now, newMetrics())
}

const callLimit = 10 * time.Second

func exchangeWithin(t *testing.T, u *upstream, method string, body []byte) *kernel.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callLimit)
	defer cancel()
	c := testCall(method)
	c.Body = body
	return u.Serve(ctx, c)
}

// checkRefused lets an instance send each of the responses to its first request and close
// the connection. The outcome must be unknown, and the instance must not count as lost.
func checkRefused(t *testing.T, texts map[string]string) {
	t.Helper()
	for what, text := range texts {
		t.Run(what, func(t *testing.T) {
			first := make(chan string, 1)
			first <- text
			u := instance(t, func(conn *net.TCPConn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				select {
				case text := <-first:
					_, _ = io.WriteString(conn, text)
				default:
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
				}
			})
			if r := exchangeWithin(t, u, http.MethodGet, nil); r.Outcome != kernel.OutcomeUnknown || r.InstanceLost {
				t.Errorf("%+v", r)
			}
			if r := exchangeWithin(t, u, http.MethodGet, nil); r.Outcome != kernel.OutcomeAnswered || string(r.Body) != "next" {
				t.Errorf("the next call: %+v", r)
			}
		})
	}
}

// framed returns the responses with each framing, alone and behind an interim response.
func framed(heads map[string]string) map[string]string {
	texts := map[string]string{}
	for what, head := range heads {
		for framing, end := range map[string]string{
			"with a length": "Content-Length: 5\r\n\r\nwhole", "in chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
			"to the connection's end": "Connection: close\r\n\r\nwhole", "without a body": "Content-Length: 0\r\n\r\n",
		} {
			texts[what+", "+framing] = head + end
			texts[what+" after an interim response, "+framing] = "HTTP/1.1 103 Early Hints\r\n\r\n" + head + end
		}
	}
	return texts
}

// Guards against bytes that begin with no status line being passed on as the response to a
// call.
func TestInvalidStatusLineIsRefused(t *testing.T) {
	checkRefused(t, framed(map[string]string{
		"status 000":                     "HTTP/1.1 000 OK\r\n",
		"status below 100":               "HTTP/1.1 099 OK\r\n",
		"status with a sign":             "HTTP/1.1 +20 OK\r\n",
		"status 600":                     "HTTP/1.1 600 OK\r\n",
		"major version 0":                "HTTP/0.9 200 OK\r\n",
		"major version 2":                "HTTP/2.0 200 OK\r\n",
		"control byte in the reason":     "HTTP/1.1 200 O\x01K\r\n",
		"upgrade that was not requested": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
	}))
}

// Guards against a response being passed on with a field that is none, or with a body that
// is framed by other fields than the instance meant.
func TestInvalidFieldIsRefused(t *testing.T) {
	checkRefused(t, framed(map[string]string{
		"blank within a name":                         "HTTP/1.1 200 OK\r\nX Other: b\r\n",
		"blank before the colon":                      "HTTP/1.1 200 OK\r\nX-Other : b\r\n",
		"blank before the colon of Content-Length":    "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"blank before the colon of Transfer-Encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"interim response with a blank in a name":     "HTTP/1.1 103 Early Hints\r\nX Other: b\r\n\r\nHTTP/1.1 200 OK\r\n",
	}))
	checkRefused(t, map[string]string{
		"transfer coding of HTTP/1.0":                           "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"transfer coding of HTTP/1.0 after an interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"trailer field": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Other: b\r\n\r\n",
	})
}

// Guards against a part of a body without a length being passed on as the whole: the
// instance resets the connection while the call is still being written.
func TestResetDuringUploadIsUnknown(t *testing.T) {
	const tries = 12
	for _, head := range []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		for _, size := range []int{0, 64 << 10, 1 << 20, 8 << 20} {
			for _, reset := range []bool{true, false} {
				t.Run(fmt.Sprintf("%.8s, %d KB, reset %t", head, size>>10, reset), func(t *testing.T) {
					u := instance(t, func(conn *net.TCPConn, in *bufio.Reader) {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.WriteString(conn, head+"body")
						if reset {
							_ = conn.SetLinger(0) // Close sends a reset
							return
						}
						_ = conn.CloseWrite()
						_, _ = io.Copy(io.Discard, r.Body)
					})
					body := bytes.Repeat([]byte("x"), size)
					for range tries {
						r := exchangeWithin(t, u, http.MethodPost, body)
						if complete := r.Outcome == kernel.OutcomeAnswered && string(r.Body) == "body"; complete == reset || r.Outcome == kernel.OutcomeNotRun {
							t.Errorf("%+v", r)
						}
					}
				})
			}
		}
	}
}
