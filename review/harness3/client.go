package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var nextRequest atomic.Int64

// client sends one request after the other to the node on its machine, and keeps its
// connection as long as the node does.
type client struct {
	address, host, key string
	conn               net.Conn
	in                 *bufio.Reader
	served             int // requests answered on conn
}

// reply is what a client has seen of one request.
type reply struct {
	id        string
	sent      time.Time
	status    int // zero: no complete answer
	stamp     string
	server    string // body of a success
	kept      bool   // sent on a connection that had served a request
	connected bool
	whole     bool // the request was written whole
	err       error
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// do sends a request and reads its answer.
func (c *client) do(method, path string, body []byte, limit time.Duration) reply {
	r := reply{id: fmt.Sprintf("q%06x", nextRequest.Add(1)), sent: time.Now()}
	deadline := r.sent.Add(limit)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			r.err = err
			return r
		}
		c.conn, c.in, c.served = conn, bufio.NewReader(conn), 0
	}
	r.connected, r.kept = true, c.served > 0
	_ = c.conn.SetDeadline(deadline)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, c.host, r.id, limit.Milliseconds(), c.key)
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c.conn, head+"\r\n")
	if err == nil && body != nil {
		_, err = c.conn.Write(body)
	}
	r.whole = err == nil
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.status, r.stamp, r.server = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(text)
	c.served++
	if resp.Close {
		c.close()
	}
	return r
}

// noteReply records what was sent and answered.
func (r *recorder) noteReply(m *machine, what string, answer reply) {
	text := strconv.Itoa(answer.status)
	if answer.status == 0 {
		text = fmt.Sprintf("nothing whole (%v)", answer.err)
	}
	r.printf("client at %s: %s %s, sent at %.3f, answered %s", m.name, what, answer.id, answer.sent.Sub(r.began).Seconds(), text)
}
