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

const (
	// maxPipelined bounds the requests in one pipelined batch.
	maxPipelined = 4
	// abandonPercent is the share of batches after which the caller closes the
	// connection without reading responses.
	abandonPercent = 10
)

// errAfterClose is the error of requests sent after one whose response closes
// the connection.
var errAfterClose = errors.New("an earlier response closed the connection")

// errCallerLeft is the error of requests whose caller closed the connection.
var errCallerLeft = errors.New("the caller closed the connection")

// runPipelined sends batches of pipelined requests, reusing each connection for
// a few batches. Only the first request of a batch may be non-idempotent.
func (g *loadGenerator) runPipelined(n *node, rng *rand.Rand) {
	for !g.stopped.Load() {
		g.pipelineConnection(n, rng)
		time.Sleep(time.Duration(rng.Int64N(int64(4 * meanCallerPause))))
	}
}

func (g *loadGenerator) pipelineConnection(n *node, rng *rand.Rand) {
	conn, err := net.Dial("tcp", n.callerAddr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 1 + rng.IntN(4) {
		batch := g.drawBatch(n, rng)
		_ = conn.SetDeadline(time.Now().Add(clientTimeout))
		for _, b := range batch {
			if err := b.httpRequest.Write(conn); err != nil {
				break // reading the responses reports the error
			}
		}
		if rng.IntN(100) < abandonPercent {
			g.failBatch(batch, 0, errCallerLeft)
			return
		}
		if !g.receiveBatch(reader, batch) {
			return
		}
	}
}

type pipelinedRequest struct {
	sent        *sentRequest
	httpRequest *http.Request
}

func (g *loadGenerator) drawBatch(n *node, rng *rand.Rand) []pipelinedRequest {
	var batch []pipelinedRequest
	for len(batch) < 1+rng.IntN(maxPipelined) {
		s, method, path, body := g.drawRequest(n, rng)
		if s.NonIdempotent && len(batch) > 0 {
			continue // only the first request of a batch may be non-idempotent
		}
		s.Boot, s.ConnReused = n.Boot(), len(batch) > 0
		req, err := http.NewRequest(method, "http://app.example"+path, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		standin.SetCallerHeaders(req, s.ID, callTimeout, s.Key)
		s.At = time.Now()
		g.f.history.recordSent(s)
		g.requested.Add(1)
		batch = append(batch, pipelinedRequest{s, req})
	}
	return batch
}

// receiveBatch reads the responses in order. It returns false if the connection
// has ended.
func (g *loadGenerator) receiveBatch(reader *bufio.Reader, batch []pipelinedRequest) bool {
	for i, b := range batch {
		resp, err := http.ReadResponse(reader, b.httpRequest)
		var data []byte
		if err == nil {
			data, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			g.failBatch(batch, i, err)
			return false
		}
		g.f.history.recordEnd(b.sent, func() {
			b.sent.Status, b.sent.ResponseMeta, b.sent.Body = resp.StatusCode, standin.ReadResponseMeta(resp.Header), string(data)
		})
		if resp.StatusCode == http.StatusOK {
			g.served.Add(1)
		}
		if resp.Close {
			for _, later := range batch[i+1:] {
				later.sent.AfterClose = true
			}
			g.failBatch(batch, i+1, errAfterClose)
			return false
		}
	}
	return true
}

// failBatch records an error for all requests of the batch from an index on.
func (g *loadGenerator) failBatch(batch []pipelinedRequest, from int, err error) {
	for _, b := range batch[from:] {
		g.f.history.recordEnd(b.sent, func() { b.sent.Err = err })
	}
}
