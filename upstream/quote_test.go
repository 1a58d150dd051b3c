package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// maxReportBytes bounds what an error or a report on an exchange holds of a response.
const maxReportBytes = 2 << 10

// Guards against reports that quote a response as a whole: they wait for a slow reader of
// the log, and go to other nodes and callers.
func TestReportsQuoteLittleOfResponse(t *testing.T) {
	long := strings.Repeat("\x01", maxHeadBytes/2)
	longID := strings.Repeat("i", maxHeadBytes/2)
	for what, text := range map[string]string{
		"status line without a blank":  long + "\r\n\r\n",
		"status":                       "HTTP/1.1 " + long + "\r\n\r\n",
		"version":                      long + " 200 OK\r\n\r\n",
		"reason":                       "HTTP/1.1 200 " + long + "\r\n\r\n",
		"field name":                   "HTTP/1.1 200 OK\r\n" + long + ": a\r\n\r\n",
		"field name with blanks":       "HTTP/1.1 200 OK\r\nX " + longID + ": a\r\n\r\n",
		"field value":                  "HTTP/1.1 200 OK\r\nX-Other: " + long + "\r\n\r\n",
		"length":                       "HTTP/1.1 200 OK\r\nContent-Length: " + longID + "\r\n\r\n",
		"transfer coding":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + longID + "\r\n\r\n",
		"trailer":                      "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + long[:3<<9] + ": a\r\n\r\n",
		"ID of another request":        "HTTP/1.1 200 OK\r\nX-Id: " + longID + "\r\nContent-Length: 0\r\n\r\n",
		"ID of a response that is cut": "HTTP/1.1 200 OK\r\nX-Id: " + longID + "\r\nContent-Length: 1\r\n\r\n",
	} {
		t.Run(what, func(t *testing.T) {
			p := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, text)
				return false
			})
			reports := map[string]string{}
			p.OnFailure = func(f Failure) { reports["failure"] = fmt.Sprintf("%+v", f) }
			p.OnMismatch = func(m Mismatch) { reports["mismatch"] = fmt.Sprintf("%+v", m) }
			resp, err := p.Do(t.Context(), request("a"))
			if err == nil || reports["failure"] == "" {
				t.Fatalf("%+v", resp)
			}
			reports["error"] = err.Error()
			for kind, text := range reports {
				if len(text) > maxReportBytes {
					t.Errorf("the %s has %d bytes", kind, len(text))
				}
			}
		})
	}
}
