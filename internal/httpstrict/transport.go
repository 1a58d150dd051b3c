package httpstrict

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

const (
	// maxHeadBytes bounds the head of a response of a transport that names no bound.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim responses to one request.
	maxInterimResponses = 16
)

// Transport is an HTTP/1 client that refuses invalid responses. The errors of its responses
// and of their bodies are ErrInvalid then, and the connection is closed.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that uses base, which must not be used otherwise. A nil
// DialContext stands for a plain dialer, a MaxResponseHeaderBytes of zero for 64 KiB.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &Transport{base: base}
}

// NewClient returns a client with a Transport that has the settings of http.DefaultTransport.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: (&interimCheck{}).check}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, ShortenError(err)
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		t.closeIdle()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp, transport: t}
	}
	return resp, nil
}

// closeIdle closes the idle connections, among them that of a refused response: net/http keeps
// it for reuse once the response has been read. If it were closed alone, the next request
// could still get it, and fail.
func (t *Transport) closeIdle() { t.base.CloseIdleConnections() }

// interimCheck checks the interim responses to one request.
type interimCheck struct{ count int }

// check checks the head of an interim response. It counts them, since net/http leaves their
// number to a caller that looks at them.
func (c *interimCheck) check(_ int, h textproto.MIMEHeader) error {
	if c.count++; c.count > maxInterimResponses {
		return fmt.Errorf("%w: more than %d interim responses", ErrInvalid, maxInterimResponses)
	}
	return checkNames(http.Header(h))
}

// body checks the trailer at the end of a body.
type body struct {
	io.ReadCloser
	resp      *http.Response
	transport *Transport
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		if invalid := CheckTrailer(b.resp); invalid != nil {
			b.transport.closeIdle()
			return n, invalid
		}
		return n, io.EOF
	}
	return n, ShortenError(err)
}
