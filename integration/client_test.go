package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/standin"
)

// defaultConfig returns a configuration file with two services in the given failure
// domains.
func defaultConfig(domains ...string) string {
	quoted := make([]string, len(domains))
	for i, d := range domains {
		quoted[i] = fmt.Sprintf("%q", d)
	}
	return fmt.Sprintf(`failure_domains = [%s]
[retry]
allowance = 3
[[customers]]
name = "farm"
rate = 5000
burst = 5000
[[customers]]
name = "club"
rate = 20
burst = 10
`, strings.Join(quoted, ", ")) + `
[[routes]]
name = "book"
service = "booker"
method = "POST"
path = "/bookings/{id}"
idempotent = false
priority = "high"
deadline = "3s"
[[routes]]
name = "look"
service = "booker"
method = "GET"
path = "/bookings/{id}"
idempotent = true
priority = "normal"
deadline = "3s"
[[routes]]
name = "write"
service = "logbook"
method = "POST"
path = "/entries/{id}"
idempotent = false
priority = "high"
deadline = "3s"
[[routes]]
name = "open"
service = "logbook"
method = "GET"
path = "/tides/{id}"
open = true
idempotent = true
priority = "low"
deadline = "3s"
`
}

// requestAdmin sends a request to a daemon's admin API and decodes the response.
func (f *fleet) requestAdmin(d *daemon, method, path string, body, result any) int {
	f.t.Helper()
	status, err := sendAdminRequest(d.adminAddr, method, path, body, result)
	if err != nil {
		f.t.Fatalf("admin %s %s: %v\n%s", method, path, err, d.logText())
	}
	return status
}

func sendAdminRequest(address, method, path string, body, result any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if result != nil && resp.StatusCode < 300 {
		return resp.StatusCode, json.Unmarshal(text, result)
	}
	return resp.StatusCode, nil
}

type applyResult struct {
	Status  string `json:"status"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// apply submits a configuration file and requires that it is accepted.
func (f *fleet) apply(d *daemon, file string, baseVersion uint64) {
	f.t.Helper()
	var result applyResult
	f.requestAdmin(d, http.MethodPost, "/v1/config", map[string]any{
		"file": file, "base_version": baseVersion, "change_id": uuid.NewString(),
	}, &result)
	if result.Status != "accepted" {
		f.t.Fatalf("apply: got %+v, want status accepted", result)
	}
}

// applyDefaultConfig applies the default configuration and waits until every daemon
// has a configuration and knows all members.
func (f *fleet) applyDefaultConfig(domains ...string) {
	f.t.Helper()
	f.apply(f.daemons[0], defaultConfig(domains...), 0)
	f.awaitMembers(f.daemons)
}

func (f *fleet) awaitMembers(live []*daemon) {
	f.t.Helper()
	for _, d := range live {
		eventually(f.t, "daemon "+d.service+" has the configuration and knows all members", func() bool {
			return f.hasConfigAndMembers(d, len(live))
		})
	}
}

func (f *fleet) hasConfigAndMembers(d *daemon, members int) bool {
	s, ok := f.status(d)
	return ok && s.Version > 0 && len(s.Members) == members
}

type fleetStatus struct {
	Version uint64 `json:"version"`
	Members []struct {
		ID       string `json:"id"`
		Service  string `json:"service"`
		Draining bool   `json:"draining"`
	} `json:"members"`
}

func (f *fleet) status(d *daemon) (fleetStatus, bool) {
	var s fleetStatus
	code, err := sendAdminRequest(d.adminAddr, http.MethodGet, "/v1/status", nil, &s)
	return s, err == nil && code == http.StatusOK
}

// issueKey issues an API key for a customer and returns its text and its ID.
func (f *fleet) issueKey(d *daemon, customer string) (text, id string) {
	f.t.Helper()
	k, secret, err := config.NewKey(customer)
	if err != nil {
		f.t.Fatal(err)
	}
	code := f.requestAdmin(d, http.MethodPost, "/v1/keys", map[string]string{
		"id": k.ID, "customer": k.Customer, "salt": k.Salt, "hash": k.Hash,
	}, nil)
	if code >= http.StatusMultipleChoices {
		f.t.Fatalf("issue key: status %d", code)
	}
	return config.KeyText(k.ID, secret), k.ID
}

// response is the response to a caller.
type response struct {
	status  int
	outcome string
	reason  string
	header  http.Header
	body    []byte
	err     error
}

// complete reports whether it is the complete response to the request with the
// given ID.
func (r response) complete(id string) bool {
	var a standin.Response
	return r.err == nil && r.status == http.StatusOK &&
		json.Unmarshal(r.body, &a) == nil && strings.HasSuffix(a.Path, "/"+id)
}

// notRun reports whether the request was refused with the guarantee that it did not
// run.
func (r response) notRun() bool { return r.err == nil && r.outcome == "not-run" }

type request struct {
	method         string
	path           string
	key            string
	idempotencyKey string
	header         http.Header
	client         *http.Client
	timeout        time.Duration
}

// send sends a caller's request to a daemon.
func send(d *daemon, req request) response {
	timeout := req.timeout
	if timeout == 0 {
		timeout = 10 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+d.callerAddr+req.path, nil)
	if err != nil {
		return response{err: err}
	}
	for name, values := range req.header {
		httpReq.Header[name] = values
	}
	if req.key != "" {
		httpReq.Header.Set("Authorization", "Bearer "+req.key)
	}
	if req.idempotencyKey != "" {
		// net/http does not resend a request whose body can't be rewound.
		httpReq.Header.Set("Idempotency-Key", req.idempotencyKey)
		httpReq.Body = io.NopCloser(strings.NewReader("{}"))
	}
	client := req.client
	if client == nil {
		client = callerClient
	}
	resp, err := client.Do(httpReq)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Gooseberry-Outcome"),
		reason:  resp.Header.Get("Gooseberry-Reason"),
		header:  resp.Header,
		body:    body,
		err:     err,
	}
}

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// newIdempotencyKey returns a new idempotency key (UUIDv7).
func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }
