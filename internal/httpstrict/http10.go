package httpstrict

import (
	"bytes"
	"fmt"
)

var (
	http10Prefix = []byte("HTTP/1.0 ")
	lineEnd      = []byte("\n")
)

// http10Head collects the head of an HTTP/1.0 response. Such a response must not name a transfer
// coding (RFC 9112, 6.1); net/http drops the field and takes the chunks for the body. A head
// is recognised where a read begins with its version, not behind an interim response that
// arrives with it.
type http10Head struct {
	text []byte // nil unless a head has begun
}

// add adds the bytes of one read. The error is ErrInvalid if they complete a head that names a
// transfer coding.
func (h *http10Head) add(p []byte) error {
	if h.text == nil && !bytes.HasPrefix(p, http10Prefix) {
		return nil
	}
	h.text = append(h.text, p...)
	for rest := h.text; ; {
		line, after, whole := bytes.Cut(rest, lineEnd)
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case whole && bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			return fmt.Errorf("%w: transfer coding of HTTP/1.0", ErrInvalid)
		case whole && len(bytes.TrimSpace(line)) == 0, len(h.text) > maxHeadBytes:
			h.text = nil
			return nil
		case !whole:
			return nil
		}
		rest = after
	}
}
