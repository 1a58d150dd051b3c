package admin

import (
	"context"
	"errors"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/membership"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// noPeers is the transport of a node without peers.
type noPeers struct{}

func (noPeers) Handle(string, kernel.MessageHandler) {}

func (noPeers) Request(context.Context, state.Member, string, []byte) ([]byte, error) {
	return nil, kernel.ErrNotSent
}

// writeOnlyLog is a log whose reads fail while readsFail is set.
type writeOnlyLog struct {
	streamlog.Log
	readsFail bool
}

func (w *writeOnlyLog) Read(ctx context.Context, from uint64, limit int) (streamlog.Page, error) {
	if w.readsFail {
		return streamlog.Page{}, standin.ErrDown
	}
	return w.Log.Read(ctx, from, limit)
}

func newTestBackend(t *testing.T) (Backend, *standin.Service, *writeOnlyLog) {
	t.Helper()
	log := standin.New()
	stream := &writeOnlyLog{Log: log.Stream("s")}
	self := state.Member{
		ID: "node-1", Service: "mapas", Domain: "a",
		ControlAddr: "127.0.0.1:1", CallAddr: "127.0.0.1:2", CallerAddr: "127.0.0.1:3",
	}
	members, err := membership.New(membership.Options{Self: self, Log: stream, Peers: noPeers{}, Parse: config.Parse})
	if err != nil {
		t.Fatal(err)
	}
	return NewBackend(self.ID, members, func() report.Report { return report.Report{} }), log, stream
}

const minimalFile = `failure_domains = ["a"]
[[customers]]
name = "golf"
rate = 10
burst = 20
`

func TestBackendSubmitsChangesThroughLog(t *testing.T) {
	ctx := context.Background()
	b, log, _ := newTestBackend(t)
	submit := func(base uint64, id string) SubmitResult { return b.Submit(ctx, []byte(minimalFile), base, id) }

	if r := submit(0, "change-1"); r != (SubmitResult{Status: SubmitAccepted, Version: 1}) {
		t.Fatalf("first change: %+v", r)
	}
	if r := submit(0, "change-2"); r.Status != SubmitRejected || r.Version != 1 || r.Reason == "" {
		t.Errorf("change with an outdated base version: %+v", r)
	}
	if r := b.Outcome(ctx, "change-1"); r.Status != SubmitAccepted || r.Version != 1 {
		t.Errorf("outcome of the first change: %+v", r)
	}
	if r := b.Outcome(ctx, "change-9"); r.Status != SubmitUnknown || r.Version != 1 {
		t.Errorf("outcome of a change that was never submitted: %+v", r)
	}
	log.SetFaults(standin.Faults{Down: true})
	if r := submit(1, "change-3"); r.Status != SubmitUnknown {
		t.Errorf("change while the log is down: %+v", r)
	}
	if r := b.Outcome(ctx, "change-1"); r.Status != SubmitUnknown {
		t.Errorf("outcome while the log is down: %+v", r)
	}
}

func TestBackendClassifiesErrors(t *testing.T) {
	ctx := context.Background()
	b, log, stream := newTestBackend(t)
	key, _, err := config.NewKey("golf")
	if err != nil {
		t.Fatal(err)
	}
	conflictingKey := key
	conflictingKey.Customer = "tennis"
	if err := errors.Join(b.IssueKey(ctx, key), b.IssueKey(ctx, key)); err != nil {
		t.Fatalf("issuing a key twice: %v", err)
	}
	if err := b.IssueKey(ctx, conflictingKey); !errors.Is(err, ErrInvalid) {
		t.Errorf("issuing an existing key ID for another customer: %v", err)
	}
	if err := b.SetDraining(ctx, "absent", true); !errors.Is(err, ErrNotFound) {
		t.Errorf("draining an absent member: %v", err)
	}
	if err := b.Withdraw(ctx, key.ID); err != nil || !b.Snapshot().Withdrawn[key.ID] {
		t.Errorf("withdrawal: %v", err)
	}
	unissuedKey, _, err := config.NewKey("golf")
	if err != nil {
		t.Fatal(err)
	}
	stream.readsFail = true
	if err := b.IssueKey(ctx, unissuedKey); !errors.Is(err, streamlog.ErrOutcomeUnknown) {
		t.Errorf("issuing a key while the log can't be read: %v", err)
	}
	log.SetFaults(standin.Faults{Down: true})
	if err := b.IssueKey(ctx, unissuedKey); err == nil || errors.Is(err, streamlog.ErrOutcomeUnknown) {
		t.Errorf("issuing a key while the log is down: %v", err)
	}
	if err := b.Withdraw(ctx, "abcdefgh"); !errors.Is(err, streamlog.ErrOutcomeUnknown) || !b.Snapshot().Withdrawn["abcdefgh"] {
		t.Errorf("withdrawal while the log is down: %v", err)
	}
}
