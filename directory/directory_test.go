package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// fakePeers connects directories by name without a network.
type fakePeers struct {
	nodes map[string]*fakePeers
	cut   map[string]bool

	mu       sync.Mutex
	handlers map[string]kernel.MessageHandler
	asked    int
}

func (p *fakePeers) Handle(kind string, h kernel.MessageHandler) { p.handlers[kind] = h }

func (p *fakePeers) Request(ctx context.Context, to state.Member, kind string, body []byte) ([]byte, error) {
	node := p.nodes[to.CallAddr]
	if node == nil || p.cut[to.CallAddr] {
		return nil, kernel.ErrNotSent
	}
	node.mu.Lock()
	node.asked++
	node.mu.Unlock()
	return node.handlers[kind](ctx, "", body)
}

var errDocument = errors.New("not a document")

// decode reads "version customer".
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
	p := &fakePeers{nodes: nodes, cut: map[string]bool{}, handlers: map[string]kernel.MessageHandler{}}
	nodes[name] = p
	d.RegisterPeers(p)
	d.Announce(func(r *Record) {
		r.Member = state.Member{ID: state.MemberID(name + "#1"), Domain: domain, CallAddr: name, AnnouncedMS: 1}
	})
	return d, p
}

func document(text string) []Item { return []Item{{Key: "it", Value: []byte(text)}} }

func TestVersionNeverGoesBack(t *testing.T) {
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

// A document that can't be read may withdraw keys: nothing vouches for the
// ones at hand until a newer one has come.
func TestUnreadableDocumentIsNotVouchedFor(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	start := boottime.Now().Add(-time.Minute)
	d.applyConfig(Page{Items: document("5 golf"), End: 1}, false, start)
	before := d.contact.Load()
	d.applyConfig(Page{Items: document("9 bad"), End: 2}, false, start.Add(time.Second))
	if d.contact.Load() != before {
		t.Error("vouched for by the read of an unreadable document")
	}
	d.applyConfig(Page{Items: document("11 golf"), End: 3}, false, start.Add(2*time.Second))
	if d.contact.Load() == before {
		t.Error("not vouched for by a newer document")
	}
}

// The age counts from the sending of the question, however long the answer
// took and whatever came in between.
func TestAgeFromPeers(t *testing.T) {
	nodes := map[string]*fakePeers{}
	a, _ := newNode("a", "x", nodes)
	b, _ := newNode("b", "x", nodes)
	a.applyConfig(Page{Items: document("5 golf"), End: 1}, false, boottime.Now().Add(-time.Second))
	if _, err := b.askOne(t.Context(), state.Member{ID: "a#1", CallAddr: "a"}); err != nil {
		t.Fatal(err)
	}
	if b.Snapshot().Version != 5 {
		t.Fatalf("version %d, want the peer's", b.Snapshot().Version)
	}
	if b.ConfigAge() < time.Second {
		t.Errorf("age %s is less than the peer's", b.ConfigAge())
	}
	// A peer that knows a newer version vouches for nothing older.
	before := b.contact.Load()
	b.learn(answer{Version: 6}, boottime.Now())
	if b.contact.Load() != before {
		t.Error("a peer with a newer version vouched for the one at hand")
	}
	b.learn(answer{Version: 5}, boottime.Now())
	if b.contact.Load() == before {
		t.Error("a younger word of the same version was not taken")
	}
}

// In a calm failure domain one node reads the store; the next takes over when
// it can't be reached.
func TestOneNodeLeadsADomain(t *testing.T) {
	nodes := map[string]*fakePeers{}
	var all []*Directory
	for i := range 6 {
		d, _ := newNode(fmt.Sprint("n", i), "x", nodes)
		all = append(all, d)
	}
	for _, d := range all {
		for _, other := range all {
			if other != d {
				d.records[other.options.Name] = stored{Record: *other.own, Offset: 1}
			}
		}
		d.applyConfig(Page{Items: document("5 golf"), End: 1}, false, boottime.Now())
	}
	leaders := func() []string {
		var names []string
		for _, d := range all {
			if !d.pullPeers(t.Context()) {
				names = append(names, d.options.Name)
			}
		}
		return names
	}
	first := leaders()
	if len(first) != 1 {
		t.Fatalf("leaders %v, want one", first)
	}
	for _, p := range nodes {
		p.cut[first[0]] = true
	}
	if second := leaders(); len(second) != 2 {
		t.Errorf("leaders %v, want the one that is cut off and one for the others", second)
	}
}

// A write that was lost and is done late must not bring an old record back.
func TestLateWriteOfTheOwnRecordIsCorrected(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	old := *d.own
	d.Announce(func(r *Record) { r.Member.Draining = true })
	d.written = true
	d.takeRecord("a", stored{Record: old, Offset: 9})
	if d.written || !d.own.Member.Draining {
		t.Error("the older record was taken for the own one")
	}
}

func TestRecordsThatCannotBeReadNameNobody(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	d.applyMembers(Page{Items: []Item{{Key: "b", Value: []byte("rubbish"), Offset: 3}, {Key: "c", Offset: 4}}, End: 5}, false, 0)
	if len(d.Snapshot().Members) != 0 {
		t.Errorf("members %v", d.Snapshot().Members)
	}
}

func TestNeedsCountByHalfOfThoseWhoKnow(t *testing.T) {
	got := mergeNeeds([]state.Fanout{
		{"maps": {"status": 8000}},
		{"maps": {"status": 6000, "noise": 400}},
		{"maps": {"status": 7000}},
		{"other": {"status": 1000}},
		// One node blames a route that two others know to need nothing.
		{"history": {"status": 4000}},
		{"history": {}},
		{"history": {}},
	})
	if got["maps"]["status"] != 7000 || got["maps"]["noise"] != 0 || got["other"]["status"] != 1000 || len(got["history"]) != 0 {
		t.Errorf("merged %v", got)
	}
}
