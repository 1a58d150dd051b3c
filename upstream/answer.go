package upstream

import (
	"fmt"
	"io"
	"net/http"

	"github.com/gooseberryflow/gooseberryflow/internal/memory"
)

const (
	// headBytes bounds the head of an answer with all interim answers before it,
	// and what follows its body.
	headBytes = 64 << 10
	// chunkFactor bounds what a body sent in chunks may take on the wire, in units
	// of the bound of the body: a chunk of one byte takes six.
	chunkFactor = 6
	// bodyStep is how much of a body without a length is set aside at a time.
	bodyStep = 16 << 10
)

var (
	errTooLong = fmt.Errorf("%w: longer than is read", errMalformed)
	errNoRoom  = fmt.Errorf("%w: no memory for the body", errMalformed)
)

// meter ends a stream after a number of bytes.
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

// receive reads answers until one echoes the request's ID.
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
			return nil, fmt.Errorf("%w: it belongs to another request", errMalformed)
		}
	}
	return nil, fmt.Errorf("%w: too many answers to other requests", errMalformed)
}

// readAnswer reads one answer within the limits. What can't be read to its end
// is left on the connection, which is then closed.
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

// readBody reads the body of an answer. It doesn't close it: net/http would read
// on to its end.
func (c *conn) readBody(resp *http.Response, limits *Limits) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil // of a request for the head alone, whatever length it tells
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

// readUnsized reads a body whose length shows at its end.
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

// Limits bound what the pool holds.
type Limits struct {
	// MaxBodyBytes bounds the body of an answer.
	MaxBodyBytes int64
	// BodyBudget bounds the bodies that are being read; nil doesn't.
	BodyBudget *memory.Budget
}

func (l *Limits) take(n int64) bool { return l.BodyBudget == nil || l.BodyBudget.Take(n) }

func (l *Limits) release(n int64) {
	if l.BodyBudget != nil {
		l.BodyBudget.Release(n)
	}
}
