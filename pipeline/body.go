package pipeline

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

// chunkStep is how much of a body without a length is set aside at a time.
const chunkStep = 16 << 10

var (
	errBodySize = errors.New("the body exceeds the limit")
	errNoRoom   = errors.New("no room for the body")
)

// readBody reads the body of a request whose head has been consumed. The
// bytes taken from the budget are returned with an error too; the caller
// releases them.
func readBody(in *headReader, r *http.Request, limit int64, budget *memory.Budget) (body []byte, taken int64, err error) {
	switch {
	case r.ContentLength == 0:
		return nil, 0, nil
	case r.ContentLength > limit:
		return nil, 0, errBodySize
	case r.ContentLength > 0:
		if !budget.Reserve(r.ContentLength) {
			return nil, 0, errNoRoom
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(in, body)
		return body, r.ContentLength, err
	}
	return readChunks(in, limit, budget)
}

func readChunks(in *headReader, limit int64, budget *memory.Budget) (body []byte, taken int64, err error) {
	chunks := httputil.NewChunkedReader(in.Reader)
	for {
		if len(body) == cap(body) {
			if !budget.Reserve(chunkStep) {
				return nil, taken, errNoRoom
			}
			taken += chunkStep
			body = append(make([]byte, 0, cap(body)+chunkStep), body...)
		}
		n, err := chunks.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, taken, errBodySize
		case errors.Is(err, io.EOF):
			return body, taken, skipTrailers(in)
		case err != nil:
			return nil, taken, fmt.Errorf("%w: %w", errMalformed, err)
		}
	}
}

// maxTrailerBytes bounds the lines after the last chunk.
const maxTrailerBytes = 4 << 10

// skipTrailers reads the lines up to the empty one that ends a chunked body.
func skipTrailers(in *headReader) error {
	for total := 0; total < maxTrailerBytes; {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("%w: trailers: %w", errMalformed, err)
		}
		if len(line) < len(lineEnd) || line[len(line)-2] != '\r' {
			return fmt.Errorf("%w: bare line end", errMalformed)
		}
		if len(line) == len(lineEnd) {
			return nil
		}
		total += len(line)
	}
	return fmt.Errorf("%w: trailers", errMalformed)
}
