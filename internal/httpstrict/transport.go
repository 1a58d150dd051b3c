package httpstrict

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an HTTP/1 client that refuses invalid responses. The error is ErrInvalid
// then, and the connection is closed.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that uses base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &exchange{}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), x.trace())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		x.abort(resp)
		return nil, err
	}
	return resp, nil
}

// exchange is the state of one round trip.
type exchange struct {
	conn net.Conn
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { x.conn = info.Conn }}
}

// abort closes the connection of a response, also if net/http holds it for reuse already since
// the response has no body.
func (x *exchange) abort(resp *http.Response) {
	_ = x.conn.Close()
	_ = resp.Body.Close()
}
