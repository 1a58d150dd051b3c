package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// BenchmarkExchange measures one call to the upstream with a body of 600 bytes in response.
func BenchmarkExchange(b *testing.B) {
	body := strings.Repeat("x", 600)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	b.Cleanup(server.Close)
	u := newUpstream(strings.TrimPrefix(server.URL, "http://"), testBodyLimit, time.Now, newMetrics())
	b.ReportAllocs()
	for b.Loop() {
		if r := u.Serve(b.Context(), testCall(http.MethodGet)); r.Outcome != kernel.OutcomeAnswered {
			b.Fatalf("%+v", r)
		}
	}
}
