package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

func TestFaultsAreSetOverHTTP(t *testing.T) {
	server := httptest.NewServer(New().Handler())
	defer server.Close()
	log := streamlog.NewHTTPLog(server.URL, "control", server.Client())
	ctx := context.Background()
	for range 4 {
		if _, err := log.Append(ctx, []byte("a")); err != nil {
			t.Fatal(err)
		}
	}
	sendRequest(t, http.MethodPost, server.URL+"/streams/control/rollback?next=3", "")
	sendRequest(t, http.MethodPut, server.URL+"/faults", `{"retain":2}`)
	if page, err := log.Read(ctx, 0, 10); err != nil || page.Oldest != 1 || page.Next != 3 {
		t.Errorf("after rollback and retention: %+v, %v", page, err)
	}
	sendRequest(t, http.MethodPut, server.URL+"/faults", `{"down":true}`)
	if _, err := log.Read(ctx, 0, 10); err == nil {
		t.Error("a read succeeded during an outage")
	}
}

func sendRequest(t *testing.T, method, url, body string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("%s %s: %s", method, url, resp.Status)
	}
}
