package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/httpstrict"
)

const (
	readBufferBytes = 2 << 10
	// longRequestBytes is the size above which a request is written concurrently
	// with reading, since the instance may respond before it has read all of it.
	longRequestBytes = 4 << 10
	// headCapacity is the initial buffer capacity for the head of a request.
	headCapacity = 512
	// maxMismatched bounds the number of responses to other requests that one
	// exchange reads.
	maxMismatched = 4
	// readSlack is how long after the context's deadline the connection's deadline
	// is, so that the context ends first.
	readSlack = time.Second
	// exchangeTimeout bounds an exchange whose context has no deadline.
	exchangeTimeout = time.Minute
)

var (
	errMalformed = errors.New("malformed response")
)

// Request is one request to the instance.
type Request struct {
	Method string
	// Target is the path and query, as in the request line.
	Target string
	Host   string
	Header http.Header
	// ExtraFields holds alternating names and values of header fields that are
	// sent after Header.
	ExtraFields []string
	Body        []byte
	// ID must be echoed by the response in the header named IDHeader. An empty ID
	// is not checked; such a request takes a new connection.
	ID       string
	IDHeader string
	// Permit is called once a connection is open. If it returns false, the request is not
	// written. It may be nil.
	Permit func() bool
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
}

// Response is one complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// HeadAt is when the head had been read.
	HeadAt time.Time

	connClosing bool          // the connection can't be reused
	idleTimeout time.Duration // that the instance has sent, less idleMargin; zero if none
}

// conn is a connection to the instance.
type conn struct {
	net         *net.TCPConn
	strict      *httpstrict.Conn // requests are written to it, responses read from it
	limitReader *limitReader
	reader      *bufio.Reader
	number      int64 // in the order in which the pool has opened its connections
	history     history
	progress    progress // of the latest exchange
	lastUsed    time.Time
	idleTimeout time.Duration // how long the connection is kept while idle
}

func newConn(nc *net.TCPConn, number int64) *conn {
	strict := httpstrict.NewConn(nc)
	limited := &limitReader{source: strict}
	return &conn{net: nc, strict: strict, number: number, limitReader: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), lastUsed: time.Now(), idleTimeout: defaultIdleTimeout}
}

func (c *conn) close() { _ = c.net.Close() }

// dead reports whether the instance has closed an idle connection or sent
// unsolicited bytes on it.
func (c *conn) dead() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	n, err := c.peekSocket()
	return n > 0 || !errors.Is(err, syscall.EAGAIN)
}

// peekSocket returns the number of bytes that can be read from the socket without waiting,
// at most one, or the error of the attempt. It leaves them there.
func (c *conn) peekSocket() (n int, err error) {
	raw, err := c.net.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// exchange writes the request and reads its response. After an error the
// connection must be closed.
func (c *conn) exchange(ctx context.Context, r *Request, p *Pool) (*Response, error) {
	connDeadline := time.Now().Add(exchangeTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		connDeadline = deadline.Add(readSlack)
	}
	_ = c.net.SetDeadline(connDeadline)
	c.history.add(r, time.Now())
	c.progress, c.limitReader.bytes = progress{place: PlaceHead}, 0
	stopClose := context.AfterFunc(ctx, c.close)
	defer stopClose()
	written, err := c.send(r)
	if err != nil {
		return nil, err
	}
	resp, err := c.receive(r, p)
	if err != nil {
		return nil, err
	}
	if !stopClose() {
		return nil, fmt.Errorf("%w: %w", errMalformed, ctx.Err())
	}
	select {
	case err := <-written:
		resp.connClosing = resp.connClosing || err != nil
	default:
		resp.connClosing = true
	}
	return resp, nil
}

// send writes the request. A long request is written by a goroutine, without being
// copied. The channel receives the result of the write.
func (c *conn) send(r *Request) (<-chan error, error) {
	head := r.encodeHead()
	written := make(chan error, 1)
	if len(head)+len(r.Body) > longRequestBytes {
		go func() {
			_, err := c.strict.Write(head)
			if err == nil {
				_, err = c.strict.Write(r.Body)
			}
			written <- err
		}()
		return written, nil
	}
	_, err := c.strict.Write(append(head, r.Body...))
	written <- err
	return written, err
}

// keepAliveTimeout returns how long the instance keeps an idle connection, less
// a margin; zero if it doesn't say.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, time.Nanosecond)
	}
	return 0
}

// encodeHead returns the request line and header, with capacity for a short body
// after them.
func (r *Request) encodeHead() []byte {
	capacity := headCapacity
	if len(r.Body) < longRequestBytes {
		capacity += len(r.Body)
	}
	b := make([]byte, 0, capacity)
	b = append(append(append(append(b, r.Method...), ' '), r.Target...), " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	for i := 0; i+1 < len(r.ExtraFields); i += 2 {
		b = appendField(b, r.ExtraFields[i], r.ExtraFields[i+1])
	}
	if len(r.Body) > 0 || sendsLength(r.Method) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	return append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
}

// sendsLength reports whether a request with this method sends its
// Content-Length even if the body is empty.
func sendsLength(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}
