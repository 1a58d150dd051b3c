package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/gooseberryflow/gooseberryflow/claims"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/retry"
)

// Retry-After times of the refusals made in this file and by a stopping owner.
const (
	notReadyRetryAfter = time.Second
	drainingRetryAfter = time.Second
)

// ServeHTTP serves a request of a caller or, with a call token, a nested call of
// the upstream beside the node. The first path segment names the service.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := n.host.Now()
	c, parent, refusal := n.readCall(r)
	if refusal != nil {
		n.writeResult(w, c, refusal)
		return
	}
	result := n.serveCall(r, c, parent)
	n.observe(c, result, n.host.Now().Sub(started))
	n.writeResult(w, c, result)
}

// serveCall runs the entry chain with the call's deadline and, for a nested
// call, its parent's cancellation and retry allowance.
func (n *Node) serveCall(r *http.Request, c *kernel.Call, parent *runningCall) *kernel.Result {
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline())
	defer cancel()
	if parent == nil {
		ctx = kernel.WithCredential(ctx, kernel.Credential{Key: bearerToken(r.Header)})
		return n.entry.Serve(ctx, c)
	}
	defer context.AfterFunc(parent.ctx, cancel)()
	allowance := parent.budget.Lend()
	c.Allowance = allowance
	result := n.entry.Serve(ctx, c)
	parent.budget.Return(retry.UnusedRetries(allowance, result))
	return result
}

// readCall converts the request to a call and returns it with its parent, which
// is nil for a root request. With a refusal the call contains only what had been
// read before.
func (n *Node) readCall(r *http.Request) (*kernel.Call, *runningCall, *kernel.Result) {
	c := &kernel.Call{Method: r.Method, ID: newID()}
	c.Root = c.ID
	parent, refusal := n.parentOf(r)
	if refusal != nil {
		return c, nil, refusal
	}
	if parent == nil && n.stopping.Load() {
		return c, nil, kernel.Refuse(kernel.ReasonDraining, "this node is stopping", drainingRetryAfter)
	}
	route, refusal := n.matchRoute(r, c)
	if refusal != nil {
		return c, nil, refusal
	}
	if refusal := n.readBody(r, c); refusal != nil {
		return c, nil, refusal
	}
	n.fillCall(r, c, route, parent)
	return c, parent, nil
}

// parentOf returns the running call whose token the request carries, nil if the
// request carries none, or a refusal if the token is not valid.
func (n *Node) parentOf(r *http.Request) (*runningCall, *kernel.Result) {
	token := r.Header.Get(headerToken)
	if token == "" {
		return nil, nil
	}
	parent, ok := n.upstream.tokens.find(token)
	if !ok {
		return nil, kernel.Refuse(kernel.ReasonParentEnded, "the call token is not of a call that runs here", 0)
	}
	return parent, nil
}

// matchRoute finds the route of a request and sets the call's service and path.
func (n *Node) matchRoute(r *http.Request, c *kernel.Call) (*config.Route, *kernel.Result) {
	s := n.host.Snapshot()
	if s.Config == nil {
		return nil, kernel.Refuse(kernel.ReasonNotReady, "no configuration is in force yet", notReadyRetryAfter)
	}
	service, rest, ok := splitService(r.URL.EscapedPath())
	if !ok {
		return nil, kernel.Refuse(kernel.ReasonNoRoute, "the path must start with /SERVICE/", 0)
	}
	if hasDotSegment(r.URL.Path) {
		return nil, kernel.Refuse(kernel.ReasonBadRequest, "the path must not have . or .. segments", 0)
	}
	c.Service = service
	c.Path = rest
	if r.URL.RawQuery != "" {
		c.Path += "?" + r.URL.RawQuery
	}
	route, ok := findRoute(s.Routes(service), r.Method, rest)
	if !ok {
		return nil, kernel.Refuse(kernel.ReasonNoRoute, "no route for this service, method and path", 0)
	}
	return route, nil
}

func (n *Node) readBody(r *http.Request, c *kernel.Call) *kernel.Result {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, n.settings.BodyLimitBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return kernel.Refuse(kernel.ReasonTooLarge, "the body exceeds the limit", 0)
	}
	if err != nil {
		return kernel.Refuse(kernel.ReasonBadRequest, "the body could not be read", 0)
	}
	c.Body = body
	return nil
}

// fillCall sets the fields of a call that follow from route, headers and parent.
func (n *Node) fillCall(r *http.Request, c *kernel.Call, route *config.Route, parent *runningCall) {
	c.RouteName = route.Name
	c.Idempotent = route.Idempotent
	c.Priority = route.Priority
	c.Header = stripRequestHeader(r.Header)
	c.Fingerprint = fingerprint(c.Service, c.Method, c.Path, c.Body)
	c.IdempotencyKey = r.Header.Get(headerIdempotency)
	c.DeadlineMS = n.host.Now().Add(route.Deadline).UnixMilli()
	if parent == nil {
		c.Allowance = n.host.Snapshot().Config.Retry.Allowance
		if c.IdempotencyKey == "" && c.Idempotent {
			c.IdempotencyKey = formatID(c.Root)
		}
		return
	}
	n.inherit(c, parent)
}

// inherit sets the fields of a nested call that derive from its parent call.
func (n *Node) inherit(c *kernel.Call, parent *runningCall) {
	p := parent.call
	c.Root = p.Root
	c.Customer = p.Customer
	c.Priority = p.Priority
	c.Depth = p.Depth + 1
	c.DeadlineMS = min(c.DeadlineMS, p.DeadlineMS)
	if c.IdempotencyKey == "" {
		occurrence := parent.countNested(c.Fingerprint)
		c.IdempotencyKey = claims.DeriveChildKey(p.IdempotencyKey, c.Service, c.Method, c.Path, c.Body, occurrence)
	}
}

// splitService splits /SERVICE/REST into SERVICE and /REST.
func splitService(path string) (service, rest string, ok bool) {
	trimmed, ok := strings.CutPrefix(path, "/")
	if !ok {
		return "", "", false
	}
	service, rest, _ = strings.Cut(trimmed, "/")
	return service, "/" + rest, service != ""
}

// hasDotSegment reports whether an upstream might resolve the path to another
// one.
func hasDotSegment(path string) bool {
	for _, s := range strings.Split(path, "/") {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}

// problem is the body of a response that the node makes itself (RFC 9457).
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
}

// writeResult writes the response for a result.
func (n *Node) writeResult(w http.ResponseWriter, c *kernel.Call, r *kernel.Result) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil // keeps net/http from sniffing one
	}
	h.Set(headerOutcome, r.Outcome.String())
	h.Set(headerRequestID, formatID(c.Root))
	body := r.Body
	if r.Reason != "" {
		h.Set(headerReason, string(r.Reason))
		h.Set("Content-Type", "application/problem+json")
		setRetryAfter(h, r.RetryAfter)
		body = problemBody(r)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	if c.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

func setRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	h.Set(headerRetryAfterMS, strconv.FormatInt(d.Milliseconds(), 10))
}

func problemBody(r *kernel.Result) []byte {
	body, err := json.Marshal(problem{
		Title:   http.StatusText(r.Status),
		Status:  r.Status,
		Detail:  r.Detail,
		Reason:  string(r.Reason),
		Outcome: r.Outcome.String(),
	})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// newID returns a fresh call ID (UUIDv7).
func newID() kernel.CallID { return kernel.CallID(uuid.Must(uuid.NewV7())) }

// formatID returns the canonical text of a call ID.
func formatID(id kernel.CallID) string { return uuid.UUID(id).String() }
