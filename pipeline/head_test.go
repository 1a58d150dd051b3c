package pipeline

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

// readRequests reads at most 8 requests of a stream and describes them.
func readRequests(r io.Reader) (seen []string) {
	in := newHeadReader(r)
	for range 8 {
		head, err := in.readHead(1<<10, func() {})
		if err != nil {
			return seen
		}
		req, err := parseHead(head)
		if err != nil {
			return seen
		}
		if _, err := in.Discard(len(head)); err != nil {
			return seen
		}
		body, _, err := readBody(&in, req, 1<<10, memory.NewBudget(1<<20))
		if err != nil {
			return seen
		}
		seen = append(seen, req.Method+" "+req.RequestURI+" "+req.Host+" "+string(body))
	}
	return seen
}

// The requests of a stream don't depend on how its bytes are split, and no request is
// read from the body of another.
func FuzzHeads(f *testing.F) {
	for _, seed := range []string{
		get("/a") + get("/b"),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole := readRequests(bytes.NewReader(data))
		pieces := readRequests(iotest.OneByteReader(bytes.NewReader(data)))
		if len(whole) != len(pieces) {
			t.Fatalf("%q and %q", whole, pieces)
		}
		for i := range whole {
			if whole[i] != pieces[i] {
				t.Errorf("%q and %q", whole[i], pieces[i])
			}
		}
	})
}
