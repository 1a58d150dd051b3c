package streamlog_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/streamlog"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

func TestHTTPLogAppendsAndReads(t *testing.T) {
	service := standin.New()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	log := streamlog.NewHTTPLog(server.URL, "control", server.Client())
	ctx := context.Background()
	for i, want := range []string{"a", "b", "c"} {
		offset, err := log.Append(ctx, []byte(want))
		if err != nil || offset != uint64(i) {
			t.Fatalf("append %q: offset %d, %v", want, offset, err)
		}
	}
	service.Expire("control", 1)
	page, err := log.Read(ctx, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	if page.Oldest != 1 || page.Next != 3 || len(page.Entries) != 1 || string(page.Entries[0].Data) != "b" {
		t.Fatalf("page after retention: %+v", page)
	}
}

func TestAppendErrorsDistinguishUnknownFromNotWritten(t *testing.T) {
	service := standin.New()
	server := httptest.NewServer(service.Handler())
	log := streamlog.NewHTTPLog(server.URL, "control", server.Client())
	ctx := context.Background()
	service.SetFaults(standin.Faults{DropResponses: 1})
	if _, err := log.Append(ctx, []byte("a")); !errors.Is(err, streamlog.ErrOutcomeUnknown) {
		t.Fatalf("a dropped response gave %v", err)
	}
	if page, err := log.Read(ctx, 0, 10); err != nil || page.Next != 1 {
		t.Fatalf("the append had no effect: %+v, %v", page, err)
	}
	service.SetFaults(standin.Faults{Down: true})
	if _, err := log.Append(ctx, []byte("b")); !errors.Is(err, streamlog.ErrOutcomeUnknown) {
		t.Fatalf("a 503 doesn't prove that nothing was written, got %v", err)
	}
	server.Close()
	if _, err := log.Append(ctx, []byte("c")); err == nil || errors.Is(err, streamlog.ErrOutcomeUnknown) {
		t.Fatalf("a refused connection proves that nothing was written, got %v", err)
	}
}

func TestPageCheckRejectsInconsistentPages(t *testing.T) {
	good := streamlog.Page{Oldest: 2, Next: 5, Entries: []streamlog.Entry{{Offset: 2}, {Offset: 3}}}
	if err := good.Check(0); err != nil {
		t.Fatal(err)
	}
	bad := map[string]streamlog.Page{
		"gap":        {Next: 5, Entries: []streamlog.Entry{{Offset: 0}, {Offset: 2}}},
		"wrong from": {Next: 5, Entries: []streamlog.Entry{{Offset: 1}}},
		"past next":  {Next: 1, Entries: []streamlog.Entry{{Offset: 0}, {Offset: 1}}},
		"oldest":     {Oldest: 3, Next: 2},
	}
	for name, page := range bad {
		if err := page.Check(0); !errors.Is(err, streamlog.ErrBadResponse) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
