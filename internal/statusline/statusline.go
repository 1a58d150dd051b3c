// Package statusline finds the status line of an HTTP/1 response within another response.
//
// An instance may break off a response and send another one on the same connection. Both
// are then read as one: the status line of the second becomes the rest of a line in the
// head of the first, or a part of its body. Such a response has the status of one and the
// header and body of the other, so it must not be believed.
package statusline

import (
	"net/http"
	"strings"
)

const (
	// Prefix begins the status line of a response.
	Prefix = "HTTP/1."
	// shape is the beginning of a status line, with a 0 for any digit.
	shape = Prefix + "0 000"
	// Length is the number of bytes by which a status line is known.
	Length = len(shape)
)

// Matching returns how many of the first bytes have the shape of a status line; at most
// Length.
func Matching(b []byte) int {
	for i := range min(len(b), Length) {
		want, digit := shape[i], b[i] >= '0' && b[i] <= '9'
		if want == '0' && !digit || want != '0' && b[i] != want {
			return i
		}
	}
	return min(len(b), Length)
}

// InHead reports whether a status line begins in the reason phrase, a header field or a
// trailer field of a response. The trailer is set once the body has been read.
func InHead(resp *http.Response) bool {
	return inLine(resp.Status) || inFields(resp.Header) || inFields(resp.Trailer)
}

func inFields(h http.Header) bool {
	for _, values := range h {
		for _, v := range values {
			if inLine(v) {
				return true
			}
		}
	}
	return false
}

func inLine(line string) bool {
	for {
		i := strings.Index(line, Prefix)
		if i < 0 {
			return false
		}
		line = line[i:]
		if Matching([]byte(line[:min(len(line), Length)])) == Length && endsToken(line[Length:]) {
			return true
		}
		line = line[len(Prefix):]
	}
}

// endsToken reports whether a token ends before rest.
func endsToken(rest string) bool { return rest == "" || rest[0] == ' ' || rest[0] == '\r' }
