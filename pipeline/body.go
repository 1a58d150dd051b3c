package pipeline

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

// bodyGrowBytes is the step in which the buffer of a body without a length grows.
const bodyGrowBytes = 16 << 10

var (
	errBodySize   = errors.New("the body exceeds the limit")
	errBodyMemory = errors.New("no memory left for request bodies")
)

// readBody reads the body of a request whose head has been consumed. It returns the
// bytes reserved from the budget, also with an error; the caller releases them.
func readBody(in *headReader, r *http.Request, limit int64, budget *memory.Budget) (body []byte, reserved int64, err error) {
	switch {
	case r.ContentLength == 0:
		return nil, 0, nil
	case r.ContentLength > limit:
		return nil, 0, errBodySize
	case r.ContentLength > 0:
		if !budget.Reserve(r.ContentLength) {
			return nil, 0, errBodyMemory
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(in, body)
		return body, r.ContentLength, err
	}
	return readChunkedBody(in, limit, budget)
}

// readChunkedBody reads a body in chunked encoding and its trailers.
func readChunkedBody(in *headReader, limit int64, budget *memory.Budget) (body []byte, reserved int64, err error) {
	chunks := httputil.NewChunkedReader(in.Reader)
	for {
		if len(body) == cap(body) {
			if !budget.Reserve(bodyGrowBytes) {
				return nil, reserved, errBodyMemory
			}
			reserved += bodyGrowBytes
			body = append(make([]byte, 0, cap(body)+bodyGrowBytes), body...)
		}
		n, err := chunks.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, reserved, errBodySize
		case errors.Is(err, io.EOF):
			return body, reserved, skipTrailers(in)
		case err != nil:
			return nil, reserved, fmt.Errorf("%w: %w", errMalformed, err)
		}
	}
}

// maxTrailerBytes bounds the trailers after the last chunk.
const maxTrailerBytes = 4 << 10

// skipTrailers reads the trailers up to the empty line that ends a chunked body.
func skipTrailers(in *headReader) error {
	for total := 0; total < maxTrailerBytes; {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("%w: trailers: %w", errMalformed, err)
		}
		if len(line) < len(lineEnd) || line[len(line)-2] != '\r' {
			return fmt.Errorf("%w: bare line feed", errMalformed)
		}
		if len(line) == len(lineEnd) {
			return nil
		}
		total += len(line)
	}
	return fmt.Errorf("%w: trailers", errMalformed)
}
