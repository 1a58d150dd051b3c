package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// fakePeers connects directories by name without a network.
type fakePeers struct {
	nodes       map[string]*fakePeers
	unreachable map[string]bool
	sent        atomic.Int64 // requests of this node to others

	mu       sync.Mutex
	handlers map[string]kernel.MessageHandler
	requests int
}

func (p *fakePeers) Handle(kind string, h kernel.MessageHandler) { p.handlers[kind] = h }

func (p *fakePeers) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	p.sent.Add(1)
	node := p.nodes[to.CallAddr]
	if node == nil || p.unreachable[to.CallAddr] {
		return nil, kernel.ErrNotSent
	}
	node.mu.Lock()
	node.requests++
	node.mu.Unlock()
	return node.handlers[kind](ctx, "", body)
}

var errDocument = errors.New("not a document")

// decode parses a document of the form "version customer".
func decode(document []byte) (*config.Config, uint64, error) {
	version, customer, _ := strings.Cut(string(document), " ")
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil || customer == "bad" {
		return nil, v, errDocument
	}
	return &config.Config{Customers: []config.Customer{{Name: customer}}}, v, nil
}

func newNode(name, domain string, nodes map[string]*fakePeers) (*Directory, *fakePeers) {
	d := New(Options{
		Topics: Topics{Config: "config", ConfigKey: "it", Members: "members"},
		Decode: decode, Log: slog.New(slog.DiscardHandler), Rand: func() uint64 { return 0 }, Name: name,
	})
	p := &fakePeers{nodes: nodes, unreachable: map[string]bool{}, handlers: map[string]kernel.MessageHandler{}}
	nodes[name] = p
	d.RegisterPeers(p)
	d.Announce(func(r *Record) {
		r.Member = state.Member{ID: state.MemberID(name + "#1"), Domain: domain, CallAddr: name, AnnouncedMS: 1}
	})
	return d, p
}

func document(text string) []Item { return []Item{{Key: "it", Value: []byte(text)}} }

func TestConfigVersionNeverDecreases(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	for _, step := range []struct {
		document string
		want     uint64
	}{{"5 golf", 5}, {"3 camp", 5}, {"5 camp", 5}, {"9 bad", 5}, {"x", 5}, {"7 camp", 7}} {
		d.applyConfig(Page{Items: document(step.document), End: 1}, false, boottime.Now())
		if got := d.Snapshot().Version; got != step.want {
			t.Errorf("after %q: version %d, want %d", step.document, got, step.want)
		}
	}
}

// An undecodable document may withdraw API keys: the configuration in force is not
// confirmed until a newer document has been applied.
func TestUndecodableDocumentDoesNotConfirmConfig(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	start := boottime.Now().Add(-time.Minute)
	d.applyConfig(Page{Items: document("5 golf"), End: 1}, false, start)
	before := d.configConfirmedAt.Load()
	d.applyConfig(Page{Items: document("9 bad"), End: 2}, false, start.Add(time.Second))
	if d.configConfirmedAt.Load() != before {
		t.Error("the read of an undecodable document confirmed the configuration")
	}
	d.applyConfig(Page{Items: document("11 golf"), End: 3}, false, start.Add(2*time.Second))
	if d.configConfirmedAt.Load() == before {
		t.Error("the read of a newer document did not confirm the configuration")
	}
}

// The age of the configuration counts from the time at which the request was sent,
// plus the age at the peer.
func TestConfigAgeIncludesPeerAge(t *testing.T) {
	nodes := map[string]*fakePeers{}
	a, _ := newNode("a", "x", nodes)
	b, _ := newNode("b", "x", nodes)
	a.applyConfig(Page{Items: document("5 golf"), End: 1}, false, boottime.Now().Add(-time.Second))
	if _, err := b.requestState(t.Context(), state.Member{ID: "a#1", CallAddr: "a"}); err != nil {
		t.Fatal(err)
	}
	if b.Snapshot().Version != 5 {
		t.Fatalf("version %d, want the peer's", b.Snapshot().Version)
	}
	if b.ConfigAge() < time.Second {
		t.Errorf("age %s is less than the peer's", b.ConfigAge())
	}
	// A peer that has a newer version does not confirm an older one.
	before := b.configConfirmedAt.Load()
	b.applyResponse(stateResponse{Version: 6}, boottime.Now())
	if b.configConfirmedAt.Load() != before {
		t.Error("a peer with a newer version confirmed the older one in force")
	}
	b.applyResponse(stateResponse{Version: 5}, boottime.Now())
	if b.configConfirmedAt.Load() == before {
		t.Error("a later response with the same version did not confirm it")
	}
}

// One node of a failure domain reads the store; when the others can't reach it, the
// next in order takes over for them.
func TestOneReaderPerFailureDomain(t *testing.T) {
	nodes := map[string]*fakePeers{}
	var all []*Directory
	for i := range 6 {
		d, _ := newNode(fmt.Sprint("n", i), "x", nodes)
		all = append(all, d)
	}
	for _, d := range all {
		for _, other := range all {
			if other != d {
				d.records[other.options.Name] = storedRecord{Record: *other.own, Offset: 1}
			}
		}
		d.applyConfig(Page{Items: document("5 golf"), End: 1}, false, boottime.Now())
	}
	readers := func() []string {
		var names []string
		for _, d := range all {
			if !d.pullFromPeers(t.Context()) {
				names = append(names, d.options.Name)
			}
		}
		return names
	}
	firstReaders := readers()
	if len(firstReaders) != 1 {
		t.Fatalf("readers %v, want one", firstReaders)
	}
	for _, p := range nodes {
		p.unreachable[firstReaders[0]] = true
	}
	if secondReaders := readers(); len(secondReaders) != 2 {
		t.Errorf("readers %v, want the node that is cut off and one for the others", secondReaders)
	}
}

// A delayed write that takes effect late must not bring back an old record of the
// node.
func TestStaleOwnRecordIsRewritten(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	oldRecord := *d.own
	d.Announce(func(r *Record) { r.Member.Draining = true })
	d.ownWritten = true
	d.putRecord("a", storedRecord{Record: oldRecord, Offset: 9})
	if d.ownWritten || !d.own.Member.Draining {
		t.Error("the older record replaced the node's own one")
	}
}

func TestUndecodableRecordsAreIgnored(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	d.applyMembers(Page{Items: []Item{{Key: "b", Value: []byte("rubbish"), Offset: 3}, {Key: "c", Offset: 4}}, End: 5}, false, 0)
	if len(d.Snapshot().Members) != 0 {
		t.Errorf("members %v", d.Snapshot().Members)
	}
}

func TestMergeFanoutRequiresHalfOfReportingNodes(t *testing.T) {
	got := mergeFanout([]state.Fanout{
		{"maps": {"status": 8000}},
		{"maps": {"status": 6000, "noise": 400}},
		{"maps": {"status": 7000}},
		{"other": {"status": 1000}},
		// One of three nodes reports a call of a route; the others have learnt none.
		{"history": {"status": 4000}},
		{"history": {}},
		{"history": {}},
	})
	if got["maps"]["status"] != 7000 || got["maps"]["noise"] != 0 || got["other"]["status"] != 1000 || len(got["history"]) != 0 {
		t.Errorf("merged %v", got)
	}
}
