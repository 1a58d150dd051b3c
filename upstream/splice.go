package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/gooseberryflow/gooseberryflow/internal/statusline"
)

var errSpliced = fmt.Errorf("%w: two responses are read as one", errMalformed)

var lineEnd = []byte("\r\n")

// splicedBody reports whether a body holds the beginning of another response on the
// connection: a head that names a request of the connection, or any head if the response
// may go on behind the body. The end of a body without a length is unknown, so there a head
// that is not complete is enough.
func (c *conn) splicedBody(body []byte, sized bool, idHeader string) bool {
	heads := c.headsIn(body, idHeader)
	return heads.own || heads.open && !sized || (heads.open || heads.other) && c.bytesFollow()
}

// headsFound tells which heads of responses a body holds.
type headsFound struct {
	own   bool // one that names a request of the connection
	other bool // another one
	open  bool // one that goes on to the end of the body
}

// headsIn finds the heads of responses in a body.
func (c *conn) headsIn(body []byte, idHeader string) (found headsFound) {
	for {
		i := bytes.Index(body, []byte(statusline.Prefix))
		if i < 0 {
			found.open = found.open || endsInPrefix(body)
			return found
		}
		body = body[i:]
		if statusline.Matching(body) < min(len(body), statusline.Length) {
			body = body[len(statusline.Prefix):]
			continue
		}
		fields, id := headFields(body, idHeader)
		found.own = found.own || id != "" && c.history.holds(hashID(id))
		switch rest := body[fields:]; {
		case len(rest) == 0:
			found.open = true
		case bytes.HasPrefix(rest, lineEnd):
			found.other = true
		}
		body = body[max(fields, len(statusline.Prefix)):]
	}
}

// maxLineBytes bounds the lines of a head that is searched for in a body.
const maxLineBytes = 1 << 10

// headFields returns the length of a status line and the header fields behind it, with the
// part of a line at the end of the text, and the ID that they name. The length is zero if
// the text is no head.
func headFields(text []byte, idHeader string) (length int, id string) {
	for {
		rest := text[length:]
		line, _, whole := bytes.Cut(rest[:min(len(rest), maxLineBytes)], lineEnd)
		if bytes.ContainsRune(line, '\n') || !whole && len(rest) > maxLineBytes {
			return length, id
		}
		if !whole {
			return len(text), id
		}
		if length > 0 {
			name, value, isField := bytes.Cut(line, []byte(":"))
			if !isField || bytes.ContainsAny(name, " \t") {
				return length, id
			}
			if http.CanonicalHeaderKey(string(name)) == idHeader {
				id = strings.TrimSpace(string(value))
			}
		}
		length += len(line) + len(lineEnd)
	}
}

// endsInPrefix reports whether the body ends within the first bytes of a status line.
func endsInPrefix(body []byte) bool {
	for n := min(len(body), len(statusline.Prefix)-1); n > 0; n-- {
		if statusline.Matching(body[len(body)-n:]) == n {
			return true
		}
	}
	return false
}

// bytesFollow reports whether bytes have arrived behind the response.
func (c *conn) bytesFollow() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	n, _ := c.peekSocket()
	return n > 0
}
