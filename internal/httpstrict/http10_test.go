package httpstrict

import (
	"errors"
	"strings"
	"testing"
)

// The head of an HTTP/1.0 response is recognised wherever its reads end, and nothing else is
// taken for one.
func TestTransferCodingOfHTTP10(t *testing.T) {
	for text, invalid := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n": true,
		"HTTP/1.0 200 OK\nX: a\ntransfer-encoding: x\n\n":                              true,
		"HTTP/1.0 200 OK\r\nX: a\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":            false,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: a\r\nX: Transfer-Encoding: a\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                        false,
		"body, HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                  false,
	} {
		for first := len(http10Prefix); first < len(text); first++ {
			for _, size := range []int{1, 7, len(text)} {
				var h http10Head
				err := h.add([]byte(text[:first]))
				for rest := text[first:]; rest != "" && err == nil; {
					n := min(size, len(rest))
					err = h.add([]byte(rest[:n]))
					rest = rest[n:]
				}
				if errors.Is(err, ErrInvalid) != invalid {
					t.Errorf("%q in reads of %d and %d bytes: %v", text, first, size, err)
				}
			}
		}
	}
	var h http10Head
	if err := h.add([]byte("HTTP/1.0 " + strings.Repeat("a", maxHeadBytes))); err != nil || h.text != nil {
		t.Errorf("a long line: %v, %d bytes held", err, len(h.text))
	}
}
