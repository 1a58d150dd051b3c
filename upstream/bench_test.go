package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkDo measures one exchange with a body of 600 bytes on a connection that is kept.
func BenchmarkDo(b *testing.B) {
	body := strings.Repeat("x", 600)
	p := startInstance(b, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), body))
		return true
	})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := p.Do(b.Context(), request(fmt.Sprint(i))); err != nil {
			b.Fatal(err)
		}
	}
}
