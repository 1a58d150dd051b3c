package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const writeBufferBytes = 4 << 10

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// writeResponse writes the response to one request.
func (c *conn) writeResponse(queued *queuedRequest, last bool) error {
	result := queued.response
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(c.Conn)
	_ = c.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	length := int64(len(result.Body))
	if queued.method == http.MethodHead {
		length = declaredLength(result.Header)
	}
	resp := http.Response{
		StatusCode:    result.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        result.Header,
		Body:          io.NopCloser(bytes.NewReader(result.Body)),
		ContentLength: length,
		Close:         last,
		Request:       &http.Request{Method: queued.method},
	}
	if len(result.Body) == 0 {
		resp.Body = http.NoBody
	}
	if err := resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// declaredLength returns the Content-Length that the header of a response without its
// body declares.
func declaredLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
