package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// invalidStatusLines are responses to the request "a" whose status line the standard doesn't
// allow, up to their framing.
var invalidStatusLines = map[string]string{
	"status 000":                     "HTTP/1.1 000 OK\r\nX-Id: a\r\n",
	"status 000 without reason":      "HTTP/1.1 000\r\nX-Id: a\r\n",
	"status below 100":               "HTTP/1.1 099 OK\r\nX-Id: a\r\n",
	"status with a plus sign":        "HTTP/1.1 +20 OK\r\nX-Id: a\r\n",
	"status with a minus sign":       "HTTP/1.1 -00 OK\r\nX-Id: a\r\n",
	"status 600":                     "HTTP/1.1 600 OK\r\nX-Id: a\r\n",
	"status 999":                     "HTTP/1.1 999 OK\r\nX-Id: a\r\n",
	"status of two digits":           "HTTP/1.1 20 OK\r\nX-Id: a\r\n",
	"status of four digits":          "HTTP/1.1 2000 OK\r\nX-Id: a\r\n",
	"status with a letter":           "HTTP/1.1 20x OK\r\nX-Id: a\r\n",
	"major version 0":                "HTTP/0.9 200 OK\r\nX-Id: a\r\n",
	"major version 2":                "HTTP/2.0 200 OK\r\nX-Id: a\r\n",
	"control byte in the reason":     "HTTP/1.1 200 O\x01K\r\nX-Id: a\r\n",
	"CR in the reason":               "HTTP/1.1 200 O\rK\r\nX-Id: a\r\n",
	"upgrade that was not requested": "HTTP/1.1 101 Switching Protocols\r\nX-Id: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
}

// bodyFramings are the ends of responses whose heads are begun. The connection closes after
// them.
var bodyFramings = map[string]string{
	"with a length":           "Content-Length: 5\r\n\r\nwhole",
	"in chunks":               "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"to the connection's end": "Connection: close\r\n\r\nwhole",
	"without a body":          "Content-Length: 0\r\n\r\n",
}

// framed returns the responses with each framing, alone and behind an interim response.
func framed(heads map[string]string) map[string]string {
	texts := map[string]string{}
	for what, head := range heads {
		for framing, end := range bodyFramings {
			texts[what+", "+framing] = head + end
			texts[what+" after an interim response, "+framing] = "HTTP/1.1 100 Continue\r\n\r\n" + head + end
		}
	}
	return texts
}

// Guards against bytes that begin with no status line being passed on as the response to a
// request.
func TestInvalidStatusLineIsRefused(t *testing.T) { checkRefused(t, framed(invalidStatusLines)) }

// checkRefused lets an instance send each of the responses and close the connection.
func checkRefused(t *testing.T, texts map[string]string) {
	t.Helper()
	for what, text := range texts {
		t.Run(what, func(t *testing.T) {
			p := startInstance(t, func(conn net.Conn, r *http.Request, n int) bool {
				if n > 1 {
					text = response(r.Header.Get(idHeader), "next")
				}
				_, _ = io.WriteString(conn, text)
				return false
			})
			resp, err := p.Do(t.Context(), request("a"))
			if !errors.Is(err, ErrIncompleteResponse) {
				t.Fatalf("passed on: %+v %v", resp, err)
			}
			if errors.Is(err, ErrDown) || errors.Is(err, ErrNotSent) {
				t.Errorf("the instance listens and may have run the request: %v", err)
			}
			if resp, err := p.Do(t.Context(), request("b")); err != nil || string(resp.Body) != "next" {
				t.Errorf("the next request: %+v %v", resp, err)
			}
		})
	}
}

// Unusual responses that the grammar allows are passed on.
func TestValidResponsesArePassedOn(t *testing.T) {
	for what, text := range map[string]string{
		"no reason":             "HTTP/1.1 200 \r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"reason above 127":      "HTTP/1.1 200 \xfcber\tgut\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"unassigned status":     "HTTP/1.1 299 Fine\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"highest status":        "HTTP/1.1 599 Failed\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"later minor version":   "HTTP/1.2 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"version 1.0":           "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nwhole",
		"two interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(what, func(t *testing.T) {
			p := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, text)
				return false
			})
			if resp, err := p.Do(t.Context(), request("a")); err != nil || string(resp.Body) != "whole" {
				t.Errorf("%+v %v", resp, err)
			}
		})
	}
}
