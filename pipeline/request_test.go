package pipeline

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestReadBodies(t *testing.T) {
	cases := map[string]struct {
		sent   string
		status int
		body   string
	}{
		"length":           {"Content-Length: 3\r\n\r\nabc", 200, "POST /b abc"},
		"empty":            {"Content-Length: 0\r\n\r\n", 200, "POST /b "},
		"chunks":           {"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, "POST /b abc"},
		"trailers":         {"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", 200, "POST /b a"},
		"too long":         {"Content-Length: 2000\r\n\r\n", 413, ""},
		"too many chunks":  {"Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413, ""},
		"malformed chunks": {"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, ""},
		"bad chunk end":    {"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", 400, ""},
	}
	for name, c := range cases {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s first=%v", name, first), func(t *testing.T) {
				h := newHarnessWith(t, 64<<10)
				conn := h.dial()
				if !first {
					conn.send(get("/before"))
					conn.expect(200, "GET /before ")
				}
				conn.send("POST /b HTTP/1.1\r\nHost: h\r\n" + c.sent)
				conn.expect(c.status, c.body)
				if c.status == 200 {
					conn.send(get("/next"))
					conn.expect(200, "GET /next ")
				} else {
					conn.expectEnd()
				}
				h.eventually("no bytes are held", func() bool { return h.server.options.BodyBudget.Reserved() == 0 })
			})
		}
	}
}

// In a burst of uploads, requests whose bodies exceed the budget are refused before
// their bodies are read.
func TestBodiesBeyondBudgetAreRefusedUnread(t *testing.T) {
	h := newHarness(t)
	upload := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"
	}
	body := strings.Repeat("x", 1000)
	var open []*caller
	for i := range 4 {
		c := h.dial()
		c.send(upload(fmt.Sprintf("/wait/%d", i)) + body)
		open = append(open, c)
		h.await(h.started, fmt.Sprintf("/wait/%d", i))
	}
	c := h.dial()
	c.send(upload("/more")) // no byte of the body
	c.expect(503, "")
	for i, o := range open {
		h.release(fmt.Sprintf("/wait/%d", i))
		o.expect(200, fmt.Sprintf("POST /wait/%d %s", i, body))
	}
	c = h.dial()
	c.send(upload("/more") + body)
	c.expect(200, "POST /more "+body)
}

// A caller pipelines requests with large responses behind a slow one. Responses that
// wait to be written are bounded by a budget; one that exceeds it is replaced by an
// error after which the outcome of the request is unknown.
func TestResponsesBeyondBudgetAreReplaced(t *testing.T) {
	h := newHarness(t)
	long := strings.Repeat("x", 1000)
	c := h.dial()
	c.send(get("/wait/0"))
	for i := range 3 {
		c.send(fmt.Sprintf("POST /more/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n%s", i, long))
	}
	h.await(h.started, "/wait/0", "/more/0", "/more/1", "/more/2")
	held := func() int64 { return h.server.options.ResponseBudget.Reserved() }
	h.eventually("three responses wait", func() bool { return held() > 3*int64(len(long)) })
	other := h.dial()
	other.send("POST /close/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + long)
	other.expect(504, "")
	h.await(h.started, "/close/1")
	h.release("/wait/0")
	c.expect(200, "GET /wait/0 ")
	for i := range 3 {
		c.expect(200, fmt.Sprintf("POST /more/%d %s", i, long))
	}
	h.eventually("no response is held", func() bool { return held() == 0 })

	disconnected := h.dial()
	disconnected.send(get("/wait/1") + get("/done"))
	h.await(h.started, "/wait/1", "/done")
	h.eventually("a response waits", func() bool { return held() > 0 })
	_ = disconnected.Close()
	h.eventually("the responses of a disconnected caller are released", func() bool { return held() == 0 })
}

// The response to a HEAD request has the Content-Length of the omitted body.
func TestHeadRequestKeepsContentLength(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send("HEAD /one HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodHead})
	if err != nil || resp.ContentLength != 10 || resp.Close {
		t.Fatalf("%+v %v", resp, err)
	}
	c.send(get("/two"))
	c.expect(200, "GET /two ")
}

// 100 Continue is sent only after all earlier requests were answered.
func TestContinueIsSentAfterEarlierResponses(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	for _, path := range []string{"/one", "/two"} {
		c.send("POST " + path + " HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		c.expect(100, "")
		c.send("x")
		c.expect(200, "POST "+path+" x")
	}
	c.send(get("/wait/0") + "POST /three HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	h.await(h.started, "/one", "/two", "/wait/0")
	h.release("/wait/0")
	c.expect(200, "GET /wait/0 ")
	c.expect(100, "")
	c.send("x")
	c.expect(200, "POST /three x")
}

// Heads that other parsers may read differently are refused, as the first request of a
// connection and after others.
func TestMalformedHeadsAreRefused(t *testing.T) {
	cases := map[string]string{
		"two lengths":             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"length and chunks":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two encodings":           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"list of lengths":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx",
		"signed length":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx",
		"bare line ends":          "GET / HTTP/1.1\nHost: h\n\n",
		"one bare line end":       "GET / HTTP/1.1\r\nHost: h\r\nA: b\nContent-Length: 5\r\n\r\n",
		"bare carriage return":    "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n",
		"folded line":             "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"blank before the colon":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx",
		"two hosts":               "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
		"no host":                 "GET / HTTP/1.1\r\n\r\n",
		"no colon":                "GET / HTTP/1.1\r\nHost: h\r\nnonsense\r\n\r\n",
		"nul":                     "GET / HTTP/1.1\r\nHost: h\r\nA: b\x00c\r\n\r\n",
		"other protocol":          "GET / HTTP/3.0\r\nHost: h\r\n\r\n",
		"other transfer encoding": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"no request":              "rubbish\r\n\r\n",
	}
	for name, head := range cases {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s first=%v", name, first), func(t *testing.T) {
				h := newHarness(t)
				c := h.dial()
				if !first {
					c.send(get("/before"))
					c.expect(200, "GET /before ")
				}
				c.send(head)
				resp, err := http.ReadResponse(c.in, nil)
				if err != nil || resp.StatusCode < 400 || resp.StatusCode > 505 {
					t.Fatalf("response %v, error %v", resp, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				c.expectEnd()
			})
		}
	}
}

func TestHeadSizeLimit(t *testing.T) {
	long := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", n) + "\r\n\r\n"
	}
	h := newHarness(t)
	c := h.dial()
	c.send(long(3000)) // longer than the initial buffer
	c.expect(200, "GET / ")
	c.send(long(3000) + get("/next"))
	c.expect(200, "GET / ")
	c.expect(200, "GET /next ")
	c.send(long(5000))
	c.expect(431, "")
	c.expectEnd()
}
