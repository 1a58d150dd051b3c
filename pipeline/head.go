package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// readBufferBytes holds the usual head of a request; the buffer of a connection
// grows with longer ones.
const readBufferBytes = 2 << 10

// Errors of reading a request.
var (
	errMalformed = errors.New("malformed request")
	errHeadSize  = errors.New("the head of the request exceeds the limit")
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// headReader cuts the heads of requests out of a stream.
type headReader struct {
	*bufio.Reader
}

func newHeadReader(r io.Reader) headReader {
	return headReader{bufio.NewReaderSize(r, readBufferBytes)}
}

// next waits for a whole head and returns it without consuming it; the bytes
// are valid until the next read. begun is called when its first byte is there.
func (h *headReader) next(limit int, begun func()) ([]byte, error) {
	if _, err := h.Peek(1); err != nil {
		return nil, err
	}
	begun()
	for seen := 0; ; {
		buffered, _ := h.Peek(h.Buffered())
		size, found := headSize(buffered, seen)
		switch {
		case bareLineEnd(buffered[:size], seen):
			return nil, fmt.Errorf("%w: bare line end", errMalformed)
		case size > limit:
			return nil, errHeadSize
		case found:
			return buffered[:size], checkHead(buffered[:size])
		}
		seen = len(buffered)
		if seen == h.Size() {
			h.Reader = bufio.NewReaderSize(h.Reader, 2*h.Size())
		}
		if _, err := h.Peek(seen + 1); err != nil {
			return nil, err
		}
	}
}

// headSize returns the size of the head that b begins with, or that of b if its
// end isn't there; the end isn't within the bytes that have been seen before.
func headSize(b []byte, seen int) (size int, found bool) {
	from := max(seen-len(headEnd), 0)
	if end := bytes.Index(b[from:], headEnd); end >= 0 {
		return from + end + len(headEnd), true
	}
	return len(b), false
}

// bareLineEnd reports a line feed without a carriage return from an offset on.
func bareLineEnd(b []byte, from int) bool {
	for i := from; ; i++ {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return false
		}
		if i += n; i == 0 || b[i-1] != '\r' {
			return true
		}
	}
}

// checkHead rejects heads that other programs may read differently, which
// net/http's parser accepts.
func checkHead(head []byte) error {
	var lengths, encodings, hosts int
	for n, line := range bytes.Split(head[:len(head)-len(headEnd)], lineEnd) {
		name, _, found := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(line, "\r\x00"):
			return fmt.Errorf("%w: control character", errMalformed)
		case n == 0:
			continue
		case !found || line[0] == ' ' || line[0] == '\t':
			return fmt.Errorf("%w: header line", errMalformed)
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	if lengths+encodings > 1 || hosts > 1 {
		return fmt.Errorf("%w: %d lengths, %d encodings, %d hosts", errMalformed, lengths, encodings, hosts)
	}
	return nil
}

// parsers are the buffered readers that net/http's parser asks for.
var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// parse reads a head with net/http's parser and checks what its server does
// beyond that. The request has no body to read from.
func parse(head []byte) (*http.Request, error) {
	p := parsers.Get().(*bufio.Reader)
	defer parsers.Put(p)
	p.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(p)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	r.Body = http.NoBody
	if r.ProtoMajor != 1 {
		return nil, fmt.Errorf("%w: protocol %s", errMalformed, r.Proto)
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) || !httpguts.ValidHostHeader(r.Host) {
		return nil, fmt.Errorf("%w: host", errMalformed)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, fmt.Errorf("%w: header name", errMalformed)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return nil, fmt.Errorf("%w: value of header %s", errMalformed, name)
			}
		}
	}
	return r, nil
}
