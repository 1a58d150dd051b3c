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

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// write sends one answer.
func (c *conn) write(e *entry, last bool) error {
	a := e.answer
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.Conn)
	_ = c.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	length := int64(len(a.Body))
	if e.method == http.MethodHead {
		length = toldLength(a.Header)
	}
	resp := http.Response{
		StatusCode:    a.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.Header,
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: length,
		Close:         last,
		Request:       &http.Request{Method: e.method},
	}
	if len(a.Body) == 0 {
		resp.Body = http.NoBody
	}
	if err := resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// toldLength returns the length that an answer without its body tells.
func toldLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
