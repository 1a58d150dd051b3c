package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/httpstrict"
	"github.com/gooseberryflow/gooseberryflow/internal/statusline"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/retry"
	"github.com/gooseberryflow/gooseberryflow/selfreport"
)

const (
	upstreamDialTimeout = 500 * time.Millisecond
	upstreamIdleConns   = 512
	upstreamIdleTimeout = 30 * time.Second
)

// upstream sends calls to the instance beside the node. It is the last handler of
// the owner chain.
type upstream struct {
	address   string
	client    *http.Client
	tokens    *tokenTable
	now       func() time.Time
	bodyLimit int64
	metrics   *metrics
	// observe is called with what a complete response says of the instance.
	observe func(selfreport.Response)
}

func newUpstream(address string, bodyLimit int64, now func() time.Time, m *metrics) *upstream {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        upstreamIdleConns,
		MaxIdleConnsPerHost: upstreamIdleConns,
		IdleConnTimeout:     upstreamIdleTimeout,
		DisableCompression:  true,
	}
	return &upstream{
		address:   address,
		client:    &http.Client{Transport: httpstrict.NewTransport(transport), CheckRedirect: passRedirect},
		tokens:    &tokenTable{},
		now:       now,
		bodyLimit: bodyLimit,
		metrics:   m,
		observe:   func(selfreport.Response) {},
	}
}

// passRedirect makes the client return redirects, which go to the caller.
func passRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Serve runs the call on the upstream.
func (u *upstream) Serve(ctx context.Context, c *kernel.Call) *kernel.Result {
	if ctx.Err() != nil {
		return kernel.Refuse(kernel.CancelReason(ctx), "the call ended before it was handed over", 0)
	}
	r := &runningCall{call: c, ctx: ctx, budget: retry.NewBudget(c.Allowance)}
	token := u.tokens.add(r)
	result := u.exchange(ctx, c, token)
	u.tokens.remove(token)
	result.UnusedAllowance = r.budget.Close()
	return result
}

// exchange sends one HTTP request and reads the complete response.
func (u *upstream) exchange(ctx context.Context, c *kernel.Call, token string) *kernel.Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := u.request(httptrace.WithClientTrace(ctx, trace), c, token)
	if err != nil {
		return kernel.Refuse(kernel.ReasonBadRequest, err.Error(), 0)
	}
	u.metrics.upstreamCalls.Add(1)
	resp, err := u.client.Do(req)
	if err != nil {
		return u.failedResult(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	headAt := u.now()
	body, err := io.ReadAll(io.LimitReader(resp.Body, u.bodyLimit+1))
	if err != nil {
		return u.failedResult(ctx, true, err)
	}
	if int64(len(body)) > u.bodyLimit {
		return kernel.Unknown(kernel.ReasonUpstream, "the upstream's answer exceeds the body limit")
	}
	if !ownResponse(resp, token) {
		u.client.CloseIdleConnections() // the real response may still come on this one
		u.metrics.upstreamFailures.Add(1)
		return kernel.Unknown(kernel.ReasonUpstream, "the upstream's answer belongs to another call, or two are read as one")
	}
	u.observe(selfReport(resp.Header, headAt))
	return u.responseResult(resp, body)
}

// ownResponse reports whether a response may be the one to the call with the token: an
// instance that echoes tokens names another one in a late second response, and a head that
// holds a status line is that of two responses.
func ownResponse(resp *http.Response, token string) bool {
	echoed := resp.Header.Get(headerToken)
	return (echoed == "" || echoed == token) && !statusline.InHead(resp)
}

// selfReport returns what the header of a response says of the instance.
func selfReport(h http.Header, headAt time.Time) selfreport.Response {
	limit, err := selfreport.ParseRateLimit(h[headerRateLimit])
	return selfreport.Response{HeadAt: headAt, RateLimit: limit, RateLimitError: err, Leaving: h.Get(headerLeaving) == "1"}
}

// responseResult maps a complete response to a result.
func (u *upstream) responseResult(resp *http.Response, body []byte) *kernel.Result {
	if resp.Header.Get(headerOutcome) == kernel.OutcomeNotRun.String() {
		return kernel.Refuse(kernel.ReasonOverload, "the upstream shed the call", retryAfter(resp.Header))
	}
	return &kernel.Result{
		Outcome: kernel.OutcomeAnswered,
		Status:  resp.StatusCode,
		Header:  stripHeader(resp.Header),
		Body:    body,
	}
}

// retryAfter returns the value of Retry-After in seconds; zero if it is absent or
// not a number.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// failedResult classifies an exchange without a complete response. Without a
// connection nothing can have run.
func (u *upstream) failedResult(ctx context.Context, connected bool, err error) *kernel.Result {
	if !connected {
		return kernel.Refuse(kernel.ReasonNoUpstream, "no connection to the upstream", 0)
	}
	if ctx.Err() != nil {
		return cancelledResult(ctx)
	}
	u.metrics.upstreamFailures.Add(1)
	if errors.Is(err, httpstrict.ErrInvalid) {
		return kernel.Unknown(kernel.ReasonUpstream, "the upstream's response was invalid")
	}
	r := kernel.Unknown(kernel.ReasonUpstream, "the upstream's response was incomplete: "+innermostCause(err))
	r.InstanceLost = true
	return r
}

// cancelledResult returns the result of a call whose context ended while it ran.
func cancelledResult(ctx context.Context) *kernel.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kernel.Unknown(kernel.ReasonDeadline, "the deadline passed while the call ran")
	}
	return kernel.Unknown(kernel.CancelReason(ctx), "the call was cancelled, or the node ended, while it ran")
}

// innermostCause returns the text of the innermost error, which doesn't contain
// the request's URL.
func innermostCause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// request builds the request to the upstream. The body is wrapped, so that
// net/http can't rewind it: otherwise its transport would retry requests on its
// own.
func (u *upstream) request(ctx context.Context, c *kernel.Call, token string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+u.address+c.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("request for the upstream: %w", err)
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Body = io.NopCloser(strings.NewReader(string(c.Body)))
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		req.ContentLength = -1
	}
	req.Header.Set(headerToken, token)
	req.Header.Set(headerRequestID, formatID(c.Root))
	req.Header.Set(headerDeadlineMS, strconv.FormatInt(c.Deadline().Sub(u.now()).Milliseconds(), 10))
	if c.Customer != "" {
		req.Header.Set(headerCustomer, c.Customer)
	}
	if !c.Idempotent && c.IdempotencyKey != "" {
		req.Header.Set(headerIdempotency, c.IdempotencyKey)
	}
	return req, nil
}
