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

// readBufferBytes is enough for the usual request head; the buffer of a connection
// grows for longer ones.
const readBufferBytes = 2 << 10

// Errors returned when a request is read.
var (
	errMalformed = errors.New("malformed request")
	errHeadSize  = errors.New("the head of the request exceeds the limit")
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// headReader splits request heads off a stream.
type headReader struct {
	*bufio.Reader
}

func newHeadReader(r io.Reader) headReader {
	return headReader{bufio.NewReaderSize(r, readBufferBytes)}
}

// readHead waits for a whole head and returns it without consuming it; the bytes
// are valid until the next read. onFirstByte is called when its first byte has arrived.
func (h *headReader) readHead(limit int, onFirstByte func()) ([]byte, error) {
	if _, err := h.Peek(1); err != nil {
		return nil, err
	}
	onFirstByte()
	for scanned := 0; ; {
		buffered, _ := h.Peek(h.Buffered())
		size, found := headSize(buffered, scanned)
		switch {
		case bareLineFeed(buffered[:size], scanned):
			return nil, fmt.Errorf("%w: bare line feed", errMalformed)
		case size > limit:
			return nil, errHeadSize
		case found:
			return buffered[:size], checkHead(buffered[:size])
		}
		scanned = len(buffered)
		if scanned == h.Size() {
			h.Reader = bufio.NewReaderSize(h.Reader, 2*h.Size())
		}
		if _, err := h.Peek(scanned + 1); err != nil {
			return nil, err
		}
	}
}

// headSize returns the size of the head with which b begins, or the size of b if the
// end of the head has not arrived. The first scanned bytes of b don't hold the end.
func headSize(b []byte, scanned int) (size int, found bool) {
	from := max(scanned-len(headEnd), 0)
	if end := bytes.Index(b[from:], headEnd); end >= 0 {
		return from + end + len(headEnd), true
	}
	return len(b), false
}

// bareLineFeed reports whether b holds, from an offset on, a line feed without a
// carriage return before it.
func bareLineFeed(b []byte, from int) bool {
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

// checkHead rejects heads that net/http's parser accepts but other parsers may read
// differently.
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

// readerPool holds the buffered readers that net/http's parser requires.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// parseHead parses a head with net/http's parser and makes the further checks of
// net/http's server. The request's Body is empty.
func parseHead(head []byte) (*http.Request, error) {
	p := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(p)
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
