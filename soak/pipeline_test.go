package soak

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

// pipelineMost is the number of requests that a pipelining caller sends at a
// time; leavePart is the part of its connections, in hundreds, that it leaves
// before the answers.
const (
	pipelineMost = 4
	leavePart    = 10
)

// errBehind ends requests behind an answer that closes the connection.
var errBehind = errors.New("sent behind an answer that closes the connection")

// errLeft ends requests whose caller has closed the connection.
var errLeft = errors.New("the caller has left")

// pipeline sends several requests at a time, of which all but the first may be
// repeated, on connections that it keeps for a while.
func (c *callers) pipeline(n *node, rng *rand.Rand) {
	for !c.stopped.Load() {
		c.pipelineOnce(n, rng)
		time.Sleep(time.Duration(rng.Int64N(int64(4 * callerPause))))
	}
}

func (c *callers) pipelineOnce(n *node, rng *rand.Rand) {
	conn, err := net.Dial("tcp", n.callers)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range 1 + rng.IntN(4) {
		batch := c.drawBatch(n, rng)
		_ = conn.SetDeadline(time.Now().Add(clientTimeout))
		for _, b := range batch {
			if err := b.request.Write(conn); err != nil {
				break // the answers tell
			}
		}
		if rng.IntN(100) < leavePart {
			c.endBatch(batch, 0, errLeft)
			return
		}
		if !c.receiveBatch(in, batch) {
			return
		}
	}
}

type pipelined struct {
	sent    *sent
	request *http.Request
}

func (c *callers) drawBatch(n *node, rng *rand.Rand) []pipelined {
	var batch []pipelined
	for len(batch) < 1+rng.IntN(pipelineMost) {
		s, method, path, body := c.draw(n, rng)
		if s.Once && len(batch) > 0 {
			continue // callers send only what may be repeated behind others
		}
		s.Boot, s.Kept = n.Boot(), len(batch) > 0
		req, err := http.NewRequest(method, "http://app.example"+path, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		standin.SetCallerHeaders(req, s.ID, callerTime, s.Key)
		s.At = time.Now()
		c.f.ledger.begin(s)
		c.asked.Add(1)
		batch = append(batch, pipelined{s, req})
	}
	return batch
}

// receiveBatch reads the answers in order; false when the connection has ended.
func (c *callers) receiveBatch(in *bufio.Reader, batch []pipelined) bool {
	for i, b := range batch {
		resp, err := http.ReadResponse(in, b.request)
		var data []byte
		if err == nil {
			data, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			c.endBatch(batch, i, err)
			return false
		}
		c.f.ledger.end(b.sent, func() {
			b.sent.Status, b.sent.ResponseMeta, b.sent.Body = resp.StatusCode, standin.ReadResponseMeta(resp.Header), string(data)
		})
		if resp.StatusCode == http.StatusOK {
			c.served.Add(1)
		}
		if resp.Close {
			for _, behind := range batch[i+1:] {
				behind.sent.Behind = true
			}
			c.endBatch(batch, i+1, errBehind)
			return false
		}
	}
	return true
}

// endBatch ends the requests from one on with an error.
func (c *callers) endBatch(batch []pipelined, from int, err error) {
	for _, b := range batch[from:] {
		c.f.ledger.end(b.sent, func() { b.sent.Err = err })
	}
}
