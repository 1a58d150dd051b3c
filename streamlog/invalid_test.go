package streamlog_test

import (
	"errors"
	"runtime"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/internal/rawserver"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// rawLog returns a client of a log service that sends the same bytes in response to each
// call, and then again without end unless that is empty.
func rawLog(t *testing.T, response, again string) *streamlog.HTTPLog {
	t.Helper()
	return streamlog.NewHTTPLog("http://"+rawserver.Start(t, rawserver.Respond(response, again)), "control", nil)
}

// Guards against a record that counts as written, or as certainly not written, and a page
// that counts as read, by a response of the log service that is none.
func TestInvalidLogResponseIsRefused(t *testing.T) {
	const body = `Connection: close` + "\r\n\r\n" + `{"offset":4,"oldest":0,"next":0}`
	for what, head := range map[string]string{
		"valid":                    "HTTP/1.1 200 OK\r\n",
		"status 000":               "HTTP/1.1 000 OK\r\n",
		"major version 2":          "HTTP/2.0 200 OK\r\n",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Other: b\r\n",
		"blank behind a name":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
		"blank in a refusal":       "HTTP/1.1 400 Bad Request\r\nX Other: b\r\n",
		"blank in an interim head": "HTTP/1.1 103 Early Hints\r\nX Other: b\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		log := rawLog(t, head+body, "")
		if _, err := log.Append(t.Context(), []byte("a")); errors.Is(err, streamlog.ErrOutcomeUnknown) != (what != "valid") {
			t.Errorf("%s: append: %v", what, err)
		}
		if _, err := log.Read(t.Context(), 0, 1); (err == nil) != (what == "valid") {
			t.Errorf("%s: read: %v", what, err)
		}
	}
}

// Guards against a process that runs out of memory since the log service sends a head
// without end.
func TestLogResponseWithoutEndIsBounded(t *testing.T) {
	const maxAllocBytes = 8 << 20 // a head at its limit, as fields, with the growth of its buffers
	for what, c := range map[string]struct{ first, again string }{
		"status line":       {"HTTP/1.1 200 ", "fine"},
		"header line":       {"HTTP/1.1 200 OK\r\nX-Long: ", "long"},
		"header fields":     {"HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: more\r\n\r\n"},
		"refusal":           {"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n", "more"},
	} {
		log := rawLog(t, c.first, c.again)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := log.Append(t.Context(), []byte("a"))
		runtime.ReadMemStats(&after)
		if !errors.Is(err, streamlog.ErrOutcomeUnknown) {
			t.Errorf("%s: %v", what, err)
		}
		if cost := after.TotalAlloc - before.TotalAlloc; cost > maxAllocBytes {
			t.Errorf("%s: %d KB allocated", what, cost>>10)
		}
	}
}
