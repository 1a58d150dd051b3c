package upstream

import (
	"fmt"
	"io"
	"net/http"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

const (
	// maxHeadBytes bounds the head of a response with all interim responses before
	// it, and the trailer after its body.
	headBytes = 64 << 10
	// chunkOverhead bounds the wire size of a chunked body, as a multiple of the
	// bound on the body: a chunk of one byte takes six bytes.
	chunkFactor = 6
	// bodyGrowBytes is the smallest step by which the buffer for a body without a
	// length grows.
	bodyStep = 16 << 10
)

var (
	errTooLong = fmt.Errorf("%w: longer than the limit", errMalformed)
	errNoRoom  = fmt.Errorf("%w: no memory left for the body", errMalformed)
)

// limitReader fails once a number of bytes has been read.
type meter struct {
	in   io.Reader
	left int64
}

func (m *meter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, errTooLong
	}
	if int64(len(p)) > m.left {
		p = p[:m.left]
	}
	n, err := m.in.Read(p)
	m.left -= int64(n)
	return n, err
}

// receive reads responses until one echoes the request's ID.
func (c *conn) receive(r *Request, p *Pool) (*Response, error) {
	for range maxForeign {
		resp, err := c.readAnswer(r, &p.limits)
		if err != nil {
			return nil, err
		}
		if r.ID == "" || resp.Header.Get(r.IDHeader) == r.ID {
			return resp, nil
		}
		p.MismatchedResponses.Add(1)
		if resp.closing {
			return nil, fmt.Errorf("%w: the response belongs to another request", errMalformed)
		}
	}
	return nil, fmt.Errorf("%w: too many responses to other requests", errMalformed)
}

// readResponse reads one response within the limits. After an error the caller
// must close the connection, since the rest of the response may follow on it.
func (c *conn) readAnswer(r *Request, limits *Limits) (*Response, error) {
	c.meter.left = headBytes
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := c.readBody(resp, limits)
		if err != nil {
			return nil, err
		}
		return &Response{
			Status:  resp.StatusCode,
			Header:  resp.Header,
			Body:    body,
			closing: resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
			keep:    keepAliveOf(resp.Header),
		}, nil
	}
}

// readBody reads the body of a response. It doesn't close the body, since
// net/http would then read on to its end.
func (c *conn) readBody(resp *http.Response, limits *Limits) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil // also for HEAD requests, whatever the Content-Length
	}
	size := resp.ContentLength
	if size > limits.MaxBodyBytes {
		return nil, fmt.Errorf("%w: body of %d bytes", errMalformed, size)
	}
	if size < 0 {
		c.meter.left = headBytes + chunkFactor*limits.MaxBodyBytes
		return readUnsized(resp.Body, limits)
	}
	if !limits.take(size) {
		return nil, errNoRoom
	}
	defer limits.release(size)
	c.meter.left = headBytes + size
	body := make([]byte, size)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// readUnsized reads a body whose length is not known in advance.
func readUnsized(in io.Reader, limits *Limits) (body []byte, err error) {
	var taken int64
	defer func() { limits.release(taken) }()
	for {
		if len(body) == cap(body) {
			grown := max(int64(cap(body)), bodyStep)
			if !limits.take(grown) {
				return nil, errNoRoom
			}
			taken += grown
			body = append(make([]byte, 0, int64(cap(body))+grown), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limits.MaxBodyBytes:
			return nil, fmt.Errorf("%w: body above %d bytes", errMalformed, limits.MaxBodyBytes)
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

func (l *Limits) take(n int64) bool { return l.BodyBudget == nil || l.BodyBudget.Take(n) }

func (l *Limits) release(n int64) {
	if l.BodyBudget != nil {
		l.BodyBudget.Release(n)
	}
}
