package httpstrict

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the error of a response that is not valid HTTP/1.
var ErrInvalid = errors.New("invalid response")

const (
	lowestStatus  = 100
	highestStatus = 599
	// maxQuotedBytes bounds the part of a response that an error quotes.
	maxQuotedBytes = 64
	// maxErrorBytes bounds the text of an error of net/http, which may quote a whole head.
	maxErrorBytes = 512
)

// ReadResponse reads the head of a response, final or interim, with http.ReadResponse. A
// response to a HEAD request has no body, whatever resp.Body is. The error is ErrInvalid if
// net/http accepts the head although it is invalid.
func ReadResponse(r *bufio.Reader) (*http.Response, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, ShortenError(err)
	}
	if err := checkHead(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// ShortenError returns err, or an error with the beginning of its text if that is long. The
// errors of net/http quote lines of a response as a whole.
func ShortenError(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes] + "...")
	}
	return err
}

func checkHead(resp *http.Response) error {
	if err := checkStatusLine(resp); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

// CheckTrailer returns an error that is ErrInvalid unless the trailer of a response is valid.
// net/http sets the trailer once the body has been read to its end.
func CheckTrailer(resp *http.Response) error { return checkNames(resp.Trailer) }

func checkStatusLine(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %.*q", ErrInvalid, maxQuotedBytes, resp.Proto)
	case resp.StatusCode < lowestStatus || resp.StatusCode > highestStatus:
		return fmt.Errorf("%w: status %.*q", ErrInvalid, maxQuotedBytes, resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: upgrade that was not requested", ErrInvalid)
	case !httpguts.ValidHeaderFieldValue(resp.Status): // a reason has the grammar of a value
		return fmt.Errorf("%w: reason %.*q", ErrInvalid, maxQuotedBytes, resp.Status)
	}
	return nil
}

func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.*q", ErrInvalid, maxQuotedBytes, name)
		}
	}
	return nil
}
