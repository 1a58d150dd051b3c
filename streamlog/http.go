package streamlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/gooseberryflow/gooseberryflow/internal/httpstrict"
)

// MaxPageBytes bounds the response to a read.
const MaxPageBytes = 32 << 20

// maxErrorBytes bounds the part of an error response that goes into the error
// text, and the response to an append.
const maxErrorBytes = 512

// ErrBadResponse reports an invalid response from the log service.
var ErrBadResponse = errors.New("invalid response from the log service")

// defaultClient is used if the caller of NewHTTPLog has none.
var defaultClient = httpstrict.NewClient()

// HTTPLog is a client of a Log over HTTP. It is safe for concurrent use.
type HTTPLog struct {
	endpoint string
	client   *http.Client
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns the client of one stream below the service's base URL. A nil HTTP client
// stands for one that refuses invalid responses. The caller sets timeouts by context.
func NewHTTPLog(baseURL, stream string, client *http.Client) *HTTPLog {
	if client == nil {
		client = defaultClient
	}
	endpoint := strings.TrimSuffix(baseURL, "/") + "/streams/" + url.PathEscape(stream) + "/records"
	return &HTTPLog{endpoint: endpoint, client: client}
}

// AppendResult is the response to an append.
type AppendResult struct {
	Offset uint64 `json:"offset"`
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, data []byte) (uint64, error) {
	// Without a connection the record can't have been written; with a connection
	// it may have been.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.endpoint, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append: %w", err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, appendError(connected.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return 0, appendError(resp.StatusCode/100 != 4, statusError(resp))
	}
	var a AppendResult
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&a); err != nil {
		return 0, appendError(true, err)
	}
	return a.Offset, nil
}

// appendError returns the error of an append. It is ErrOutcomeUnknown if the
// record may have been written.
func appendError(mayBeWritten bool, err error) error {
	if mayBeWritten {
		return fmt.Errorf("append: %w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("append: %w", err)
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, from uint64, limit int) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.endpoint+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("read log: %w", statusError(resp))
	}
	var p Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxPageBytes)).Decode(&p); err != nil {
		return Page{}, fmt.Errorf("read log: %w: %w", ErrBadResponse, err)
	}
	if err := p.Check(from); err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	return p, nil
}

// Check returns an error unless the page is a possible response to a read from an
// offset: its entries must be contiguous, begin at that offset or at the oldest
// retained record, and end before Next.
func (p Page) Check(from uint64) error {
	if p.Oldest > p.Next {
		return fmt.Errorf("%w: oldest offset %d after next %d", ErrBadResponse, p.Oldest, p.Next)
	}
	want := max(from, p.Oldest)
	for _, e := range p.Entries {
		if e.Offset != want {
			return fmt.Errorf("%w: offset %d, want %d", ErrBadResponse, e.Offset, want)
		}
		want++
	}
	if len(p.Entries) > 0 && want > p.Next {
		return fmt.Errorf("%w: record %d at or after next %d", ErrBadResponse, want-1, p.Next)
	}
	return nil
}

func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return fmt.Errorf("log service answered %s: %s", resp.Status, bytes.TrimSpace(body))
}
