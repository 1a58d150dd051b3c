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

		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                            true,
		"HTTP/1.0 103 Early Hints\n\nHTTP/1.1 103 Early Hints\nX: a\n\nHTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n": true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                            false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":                        false,
	} {
		for first := versionBytes; first < len(text); first++ {
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

// The bytes behind the head of a final response are its body, whatever they look like.
func TestHeadWithinBodyIsNotRead(t *testing.T) {
	const body = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX: a\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX: a\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n\r\n",
	} {
		var h http10Head
		if err := h.add([]byte(head + body)); err != nil || h.text != nil {
			t.Errorf("%q: %v, %d bytes held", head, err, len(h.text))
		}
	}
}
