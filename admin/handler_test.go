package admin

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// stubBackend implements only the methods that the tests call; others panic.
type stubBackend struct{ Backend }

func (stubBackend) Snapshot() *state.Snapshot { return &state.Snapshot{Version: 3} }
func (stubBackend) Status() Status            { return Status{Self: "node-1"} }

func sendRequest(t *testing.T, tokens []string, method, path, token, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	NewHandler(stubBackend{}, tokens, slog.New(slog.DiscardHandler)).ServeHTTP(w, r)
	return w
}

func TestEveryMethodExceptHealthRequiresToken(t *testing.T) {
	tokens := []string{"first-operators-token", "second-operators-token"}
	methods := []struct{ method, path, body string }{
		{"GET", "/v1/config", ""},
		{"POST", "/v1/config", `{"file":"","base_version":0,"change_id":"change-0001"}`},
		{"GET", "/v1/changes/change-0001", ""},
		{"GET", "/v1/keys", ""},
		{"POST", "/v1/keys", `{"id":"0123456789","customer":"golf","salt":"` + strings.Repeat("0", 32) + `","hash":"` + strings.Repeat("0", 64) + `"}`},
		{"DELETE", "/v1/keys/0123456789", ""},
		{"GET", "/v1/status", ""},
		{"PUT", "/v1/members/node-1/draining", `{"on":true}`},
		{"DELETE", "/v1/members/node-1", ""},
		{"GET", "/v1/report/burn", ""},
	}
	for _, m := range methods {
		for _, token := range []string{"", "wrong", tokens[0] + "x"} {
			if w := sendRequest(t, tokens, m.method, m.path, token, m.body); w.Code != http.StatusUnauthorized {
				t.Errorf("%s %s with token %q: status %d, want 401", m.method, m.path, token, w.Code)
			}
		}
	}
	for _, token := range tokens {
		if w := sendRequest(t, tokens, "GET", "/v1/config", token, ""); w.Code != http.StatusOK {
			t.Errorf("token %q: status %d, want 200", token, w.Code)
		}
	}
	if w := sendRequest(t, nil, "GET", "/v1/config", "", ""); w.Code != http.StatusUnauthorized {
		t.Errorf("handler without tokens: status %d, want 401", w.Code)
	}
	if w := sendRequest(t, tokens, "GET", "/v1/health", "", ""); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"starting"`) {
		t.Errorf("health: %d %s", w.Code, w.Body)
	}
}

func TestOpenAPIFileIsServed(t *testing.T) {
	w := sendRequest(t, nil, "GET", "/openapi.json", "", "")
	var doc struct {
		OpenAPI string `json:"openapi"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil || !strings.HasPrefix(doc.OpenAPI, "3.") {
		t.Fatalf("status %d, version %q, error %v", w.Code, doc.OpenAPI, err)
	}
}

// A body that is too large must be rejected with 400 before the file in it is
// parsed. The empty file in the small body is parsed and rejected with 409.
func TestLargeBodyIsRejected(t *testing.T) {
	const token = "first-operators-token"
	head := `{"file":"","base_version":0,"change_id":"change-0001"`
	for padding, want := range map[int]int{0: http.StatusConflict, maxRequestBytes: http.StatusBadRequest} {
		body := head + strings.Repeat(" ", padding) + "}"
		if w := sendRequest(t, []string{token}, "POST", "/v1/config", token, body); w.Code != want {
			t.Errorf("%d bytes: status %d, want %d", len(body), w.Code, want)
		}
	}
}
