package httpstrict

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection of a client. Its Read returns io.EOF only if the server has ended
// its side in order.
//
// The kernel reports a reset once, to whichever of read and write asks first. If a write does,
// a read behind it returns io.EOF, as after an orderly end, and a body without a length would
// look complete. So Read compares an end of file with the error of the writes.
type Conn struct {
	net.Conn
	mu       sync.Mutex // held during a write
	writeErr error      // the first one
	http10   http10Head
}

// NewConn returns a connection that reads from c and writes to it. Nothing else may do so
// while a request is exchanged.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. In place of io.EOF it returns the error of a write that has taken
// the reset of the connection. At an end of file it ends a write that is under way. The error
// is ErrInvalid at the end of the head of an HTTP/1.0 response with a transfer coding.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	if invalid := c.http10.add(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// endError returns io.EOF if the server has ended its side in order, else the error that ended
// the connection.
func (c *Conn) endError() error {
	if !c.mu.TryLock() {
		// A write that has taken a reset returns it; one that waits for room has taken none
		// and returns the deadline's error.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	// A reset that comes after the orderly end of the server's side fails writes with EPIPE,
	// any other one with ECONNRESET (Linux, tcp_reset).
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}
