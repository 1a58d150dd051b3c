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

// defaultFile is an operators' file for two services in the given domains.
func defaultFile(domains ...string) string {
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

// admin sends a request to a daemon's admin API and decodes the answer.
func (f *fleet) admin(d *daemon, method, path string, body, into any) int {
	f.t.Helper()
	status, err := adminRequest(d.admin, method, path, body, into)
	if err != nil {
		f.t.Fatalf("admin %s %s: %v\n%s", method, path, err, d.logText())
	}
	return status
}

func adminRequest(address, method, path string, body, into any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithTimeout(context.Background(), waitLimit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+opsToken)
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
	if into != nil && resp.StatusCode < 300 {
		return resp.StatusCode, json.Unmarshal(text, into)
	}
	return resp.StatusCode, nil
}

type applied struct {
	Status  string `json:"status"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// apply submits an operators' file and expects it to be accepted.
func (f *fleet) apply(d *daemon, file string, base uint64) {
	f.t.Helper()
	var a applied
	f.admin(d, http.MethodPost, "/v1/config", map[string]any{
		"file": file, "base_version": base, "change_id": uuid.NewString(),
	}, &a)
	if a.Status != "accepted" {
		f.t.Fatalf("apply: %+v", a)
	}
}

// settle applies the default file and waits until every daemon serves with it
// and knows all the others.
func (f *fleet) settle(domains ...string) {
	f.t.Helper()
	f.apply(f.daemons[0], defaultFile(domains...), 0)
	f.awaitMembers(f.daemons)
}

func (f *fleet) awaitMembers(live []*daemon) {
	f.t.Helper()
	for _, d := range live {
		eventually(f.t, "daemon "+d.service+" knows configuration and members", func() bool {
			return f.knows(d, len(live))
		})
	}
}

func (f *fleet) knows(d *daemon, members int) bool {
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
	code, err := adminRequest(d.admin, http.MethodGet, "/v1/status", nil, &s)
	return s, err == nil && code == http.StatusOK
}

// issueKey returns a key text for a customer and its ID.
func (f *fleet) issueKey(d *daemon, customer string) (text, id string) {
	f.t.Helper()
	k, secret, err := config.NewKey(customer)
	if err != nil {
		f.t.Fatal(err)
	}
	code := f.admin(d, http.MethodPost, "/v1/keys", map[string]string{
		"id": k.ID, "customer": k.Customer, "salt": k.Salt, "hash": k.Hash,
	}, nil)
	if code >= http.StatusMultipleChoices {
		f.t.Fatalf("issue key: status %d", code)
	}
	return config.KeyText(k.ID, secret), k.ID
}

// reply is the answer to a caller.
type reply struct {
	status  int
	outcome string
	reason  string
	header  http.Header
	body    []byte
	err     error
}

// whole reports a whole answer to the request with the given ID.
func (r reply) whole(id string) bool {
	var a standin.Response
	return r.err == nil && r.status == http.StatusOK &&
		json.Unmarshal(r.body, &a) == nil && strings.HasSuffix(a.Path, "/"+id)
}

// notRun reports a refusal that promises that nothing ran.
func (r reply) notRun() bool { return r.err == nil && r.outcome == "not-run" }

type request struct {
	method string
	path   string
	key    string
	idem   string
	header http.Header
	client *http.Client
	limit  time.Duration
}

// send sends one request of a caller to a daemon.
func send(d *daemon, q request) reply {
	limit := q.limit
	if limit == 0 {
		limit = 10 * time.Second
	}
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+d.caller+q.path, nil)
	if err != nil {
		return reply{err: err}
	}
	for name, values := range q.header {
		req.Header[name] = values
	}
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.idem != "" {
		// A body that can't be rewound keeps net/http from repeating it.
		req.Header.Set("Idempotency-Key", q.idem)
		req.Body = io.NopCloser(strings.NewReader("{}"))
	}
	client := q.client
	if client == nil {
		client = callerClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Gooseberry-Outcome"),
		reason:  resp.Header.Get("Gooseberry-Reason"),
		header:  resp.Header,
		body:    body,
		err:     err,
	}
}

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// newKey returns a fresh idempotency key (UUIDv7).
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
