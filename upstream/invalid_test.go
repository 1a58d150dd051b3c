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

// invalidFields are responses to the request "a" with a field that the grammar doesn't
// allow, up to their framing.
var invalidFields = map[string]string{
	"blank within a name":                         "HTTP/1.1 200 OK\r\nX-Id: a\r\nX Other: b\r\n",
	"blank before the colon":                      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other : b\r\n",
	"blank before the colon of Content-Length":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length : 1\r\n",
	"blank before the colon of Transfer-Encoding": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding : chunked\r\n",
	"blank before the first name":                 "HTTP/1.1 200 OK\r\n X-Other: b\r\nX-Id: a\r\n",
	"blank for a name":                            "HTTP/1.1 200 OK\r\nX-Id: a\r\nX: b\r\n : b\r\n: c\r\n",
	"no name":                                     "HTTP/1.1 200 OK\r\nX-Id: a\r\n: b\r\n",
	"tab in a name":                               "HTTP/1.1 200 OK\r\nX-Id: a\r\nX\tOther: b\r\n",
	"control byte in a name":                      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX\x01Other: b\r\n",
	"NUL in a name":                               "HTTP/1.1 200 OK\r\nX-Id: a\r\nX\x00Other: b\r\n",
	"DEL in a name":                               "HTTP/1.1 200 OK\r\nX-Id: a\r\nX\x7fOther: b\r\n",
	"CR in a name":                                "HTTP/1.1 200 OK\r\nX-Id: a\r\nX\rOther: b\r\n",
	"delimiter in a name":                         "HTTP/1.1 200 OK\r\nX-Id: a\r\nX(Other): b\r\n",
	"byte above 127 in a name":                    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX\xe9Other: b\r\n",
	"control byte in a value":                     "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other: b\x01\r\n",
	"CR in a value":                               "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other: b\rc\r\n",
	"line without a colon":                        "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other\r\n",
	"interim response with a blank in a name":     "HTTP/1.1 103 Early Hints\r\nX Other: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n",
	"interim response with a length of its own":   "HTTP/1.1 103 Early Hints\r\nContent-Length : 5\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n",
	"two lengths":                                 "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nContent-Length: 4\r\n",
	"length with a sign":                          "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: +5\r\n",
	"unknown transfer coding":                     "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: gzip\r\n",
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

// Guards against a response being passed on with a field that is none, or with a body that
// is framed by other fields than the instance meant.
func TestInvalidFieldIsRefused(t *testing.T) {
	checkRefused(t, framed(invalidFields))
	texts := map[string]string{}
	for what, field := range map[string]string{"blank within": "X Other: b", "blank before the colon of": "X-Other : b", "control byte in": "X\x01: b"} {
		texts[what+" the name of a trailer field"] = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + field + "\r\n\r\n"
	}
	for what, fields := range map[string]string{
		"alone": "X-Id: a\r\nTransfer-Encoding: chunked\r\n", "beside a length": "X-Id: a\r\ntransfer-encoding:chunked\r\nContent-Length: 15\r\n",
		"with a blank": "X-Id: a\r\nTransfer-Encoding : chunked\r\n", "before the ID": "Transfer-Encoding: chunked\r\nX-Id: a\r\n",
	} {
		text := "HTTP/1.0 200 OK\r\n" + fields + "\r\n5\r\nwhole\r\n0\r\n\r\n"
		texts["transfer coding of HTTP/1.0, "+what] = text
		texts["transfer coding of HTTP/1.0 after an interim response, "+what] = "HTTP/1.1 100 Continue\r\n\r\n" + text
	}
	checkRefused(t, texts)
}

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
		"no reason":               "HTTP/1.1 200 \r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"reason above 127":        "HTTP/1.1 200 \xfcber\tgut\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"unassigned status":       "HTTP/1.1 299 Fine\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"highest status":          "HTTP/1.1 599 Failed\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"later minor version":     "HTTP/1.2 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"version 1.0":             "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nwhole",
		"all bytes of a token":    "HTTP/1.1 200 OK\r\nX-Id: a\r\n!#$%&'*+-.^_`|~09azAZ: b\r\nContent-Length: 5\r\n\r\nwhole",
		"value above 127":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other: \xe9\tb\r\nContent-Length: 5\r\n\r\nwhole",
		"folded value":            "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other: b\r\n c\r\nContent-Length: 5\r\n\r\nwhole",
		"two interim responses":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
		"the same length twice":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"a length beside chunks":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"a trailer behind chunks": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Other: b\r\n\r\n",
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
