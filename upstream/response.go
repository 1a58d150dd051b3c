package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/httpstrict"
	"github.com/gooseberryflow/gooseberryflow/internal/memory"
	"github.com/gooseberryflow/gooseberryflow/internal/statusline"
)

const (
	// maxHeadBytes bounds the head of a response with all interim responses before
	// it, and the trailer after its body.
	maxHeadBytes = 64 << 10
	// chunkOverhead bounds the wire size of a chunked body, as a multiple of the
	// bound on the body: a chunk of one byte takes six bytes.
	chunkOverhead = 6
	// bodyGrowBytes is the smallest step by which the buffer for a body without a
	// length grows.
	bodyGrowBytes = 16 << 10
)

var (
	errLimitExceeded = fmt.Errorf("%w: longer than the limit", errMalformed)
	errNoMemory      = fmt.Errorf("%w: no memory left for the body", errMalformed)
)

// limitReader returns errLimitExceeded once the remaining bytes have been read.
type limitReader struct {
	source    io.Reader
	remaining int64
	bytes     int64 // read since the current exchange began
}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errLimitExceeded
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	l.bytes += int64(n)
	return n, err
}

// receive reads responses until one echoes the request's ID. Others are skipped: late
// second responses to earlier requests of the connection. A response without an ID ends the
// exchange: if it was the response to this request, a later one with the ID is not.
func (c *conn) receive(r *Request, p *Pool) (*Response, error) {
	for range maxMismatched {
		resp, err := c.readResponse(r, &p.limits)
		if err != nil {
			return nil, err
		}
		if r.ID == "" || resp.Header.Get(r.IDHeader) == r.ID {
			return resp, nil
		}
		c.progress.skipped++
		m := c.mismatch(r, resp)
		p.recordMismatch(m)
		if m.ResponseID == "" {
			return nil, fmt.Errorf("%w: %s", errUnnamed, m)
		}
		// On a connection without earlier requests there is nothing to wait for.
		if resp.connClosing || m.Requests == 1 {
			return nil, fmt.Errorf("%w: %s", errMismatches, m)
		}
	}
	return nil, errMismatches
}

// readResponse reads one response within the limits. After an error the caller
// must close the connection, since the rest of the response may follow on it.
func (c *conn) readResponse(r *Request, limits *Limits) (*Response, error) {
	c.limitReader.remaining = maxHeadBytes
	c.progress.place = PlaceHead
	for {
		resp, err := httpstrict.ReadResponse(c.reader)
		if err != nil {
			return nil, asMalformed(err)
		}
		if statusline.InHead(resp) {
			return nil, errSpliced
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		headAt := time.Now()
		c.progress.place, c.progress.status, c.progress.responseID = PlaceBody, resp.StatusCode, resp.Header.Get(r.IDHeader)
		body, err := c.readBody(resp, r, limits)
		if err == nil {
			err = httpstrict.CheckTrailer(resp)
		}
		if err != nil {
			return nil, asMalformed(err)
		}
		sized := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if statusline.InHead(resp) || r.ID != "" && c.splicedBody(body, sized, http.CanonicalHeaderKey(r.IDHeader)) {
			return nil, errSpliced
		}
		c.progress.place = PlaceEnd
		return &Response{
			Status:      resp.StatusCode,
			Header:      resp.Header,
			Body:        body,
			HeadAt:      headAt,
			connClosing: resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
			idleTimeout: keepAliveTimeout(resp.Header),
		}, nil
	}
}

// asMalformed marks the error of an invalid response and shortens others, which may come from
// an instance that is down.
func asMalformed(err error) error {
	if errors.Is(err, httpstrict.ErrInvalid) {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return httpstrict.ShortenError(err)
}

// readBody reads the body of a response. It doesn't close the body, since
// net/http would then read on to its end.
func (c *conn) readBody(resp *http.Response, r *Request, limits *Limits) ([]byte, error) {
	if resp.Body == http.NoBody || c.respondsToHead(resp, r) {
		return nil, nil
	}
	size := resp.ContentLength
	if size > limits.MaxBodyBytes {
		return nil, fmt.Errorf("%w: body of %d bytes", errLimitExceeded, size)
	}
	if size < 0 {
		c.limitReader.remaining = maxHeadBytes + chunkOverhead*limits.MaxBodyBytes
		return readUnsized(resp.Body, limits)
	}
	if !limits.reserve(size) {
		return nil, errNoMemory
	}
	defer limits.release(size)
	c.limitReader.remaining = maxHeadBytes + size
	body := make([]byte, size)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// respondsToHead reports whether a response has no body, whatever its Content-Length,
// because the request that it names is a HEAD request. That may be an earlier one.
func (c *conn) respondsToHead(resp *http.Response, r *Request) bool {
	if r.ID == "" {
		return r.Method == http.MethodHead
	}
	return c.history.holdsHead(resp.Header.Get(r.IDHeader))
}

// readUnsized reads a body whose length is not known in advance.
func readUnsized(in io.Reader, limits *Limits) (body []byte, err error) {
	var reserved int64
	defer func() { limits.release(reserved) }()
	for {
		if len(body) == cap(body) {
			growth := max(int64(cap(body)), bodyGrowBytes)
			if !limits.reserve(growth) {
				return nil, errNoMemory
			}
			reserved += growth
			body = append(make([]byte, 0, int64(cap(body))+growth), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limits.MaxBodyBytes:
			return nil, fmt.Errorf("%w: body above %d bytes", errLimitExceeded, limits.MaxBodyBytes)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// Limits bound the responses that a pool holds in memory.
type Limits struct {
	// MaxBodyBytes bounds the body of a response.
	MaxBodyBytes int64
	// BodyBudget bounds all bodies that are being read together; nil means no
	// bound.
	BodyBudget *memory.Budget
}

func (l *Limits) reserve(n int64) bool { return l.BodyBudget == nil || l.BodyBudget.Reserve(n) }

func (l *Limits) release(n int64) {
	if l.BodyBudget != nil {
		l.BodyBudget.Release(n)
	}
}
