package httpstrict

import (
	"bytes"
	"fmt"
)

var (
	http10Prefix = []byte("HTTP/1.0 ")
	http1Prefix  = []byte("HTTP/1.")
	lineEnd      = []byte("\n")
)

// versionBytes is the length of the version and the blank with which a head begins.
const versionBytes = len("HTTP/1.0 ")

// http10Head collects the head of an HTTP/1.0 response. Such a response must not name a transfer
// coding (RFC 9112, 6.1); net/http drops the field and takes the chunks for the body. A head
// is recognised where a read begins with its version, or behind interim responses of which
// the first one is recognised so. It is not recognised behind the body of another response.
type http10Head struct {
	text []byte // nil unless a head has begun or is due
}

// add adds the bytes of one read. The error is ErrInvalid if they complete a head that names a
// transfer coding.
func (h *http10Head) add(p []byte) error {
	if h.text == nil && !beginsHTTP10OrInterim(p) {
		return nil
	}
	h.text = append(h.text, p...)
	for beginsHTTP10OrInterim(h.text) {
		end, coding := scanHead(h.text)
		switch {
		case coding && bytes.HasPrefix(h.text, http10Prefix):
			return fmt.Errorf("%w: transfer coding of HTTP/1.0", ErrInvalid)
		case end == 0 && len(h.text) <= maxHeadBytes:
			return nil
		case end == 0 || !isInterim(h.text):
			h.text = nil
			return nil
		}
		h.text = h.text[end:]
	}
	if len(h.text) >= versionBytes {
		h.text = nil
	}
	return nil
}

// beginsHTTP10OrInterim reports whether a text begins with the version of an HTTP/1.0
// response, or as an interim response does, as far as it goes.
func beginsHTTP10OrInterim(text []byte) bool {
	if len(text) < versionBytes {
		return false
	}
	if bytes.HasPrefix(text, http10Prefix) {
		return true
	}
	return bytes.HasPrefix(text, http1Prefix) && text[versionBytes-1] == ' ' && (len(text) == versionBytes || isInterim(text))
}

// isInterim reports whether the status of a head that is longer than its version has the
// first digit of an interim response.
func isInterim(head []byte) bool { return head[versionBytes] == '1' }

// scanHead returns the length of the head with which a text begins, zero if it is not
// complete, and whether it names a transfer coding.
func scanHead(text []byte) (end int, coding bool) {
	for rest := text; ; {
		line, after, whole := bytes.Cut(rest, lineEnd)
		if !whole {
			return 0, coding
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		coding = coding || bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding"))
		rest = after
		if len(bytes.TrimSpace(line)) == 0 {
			return len(text) - len(rest), coding
		}
	}
}
