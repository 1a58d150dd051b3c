package claims

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// fakePeers passes requests to a function.
type fakePeers struct {
	request func(kind string, body []byte) ([]byte, error)
}

func (f *fakePeers) Handle(string, kernel.MessageHandler) {}

func (f *fakePeers) Request(_ context.Context, _ state.Member, kind string, body []byte) ([]byte, error) {
	return f.request(kind, body)
}

// newPlugin returns the plug-in of the first node in a simulation of two failure
// domains with one member each, and a call whose key has the given home.
func newPlugin(t *testing.T, home string, peers *fakePeers) (*Plugin, *kernel.Call) {
	sim := newSimulation(1, 1, false)
	sim.runUntil(sim.now + 5000)
	n := sim.nodes[0]
	p := &Plugin{Settings: testSettings}
	h := &kernel.Host{Self: n.member, Now: n.clock, Rand: sim.rng.Uint64, Peers: peers, Log: slog.Default(),
		Snapshot: func() *state.Snapshot { return n.snap }, Go: func(f func()) { f() }}
	if err := p.Provision(h); err != nil {
		t.Fatal(err)
	}
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	p.table = n.table
	k := newKey(sim.now, [10]byte{})
	for i := byte(0); k.Home([]string{"a", "b"}) != home; i++ {
		k = newKey(sim.now, [10]byte{9: i})
	}
	return p, &kernel.Call{Customer: "c", IdempotencyKey: k.String(), Fingerprint: 1}
}

func (p *Plugin) serveCall(c *kernel.Call, res *kernel.Result) (*kernel.Result, bool) {
	ran := false
	h := p.WrapEntry(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
		ran = true
		return res
	}))
	return h.Serve(context.Background(), c), ran
}

var (
	answered = &kernel.Result{Outcome: kernel.OutcomeAnswered}
	notRun   = kernel.Refuse(kernel.ReasonOverload, "", 0)
)

func TestClaimAtLocalOwner(t *testing.T) {
	p, c := newPlugin(t, "a", nil)
	if _, ran := p.serveCall(c, notRun); !ran {
		t.Fatal("the first attempt did not run")
	}
	if _, ran := p.serveCall(c, answered); !ran {
		t.Fatal("a released key was not granted again")
	}
	res, ran := p.serveCall(c, answered)
	if ran || res.Outcome != kernel.OutcomeUnknown || res.Reason != kernel.ReasonDuplicate || res.Status != 409 {
		t.Errorf("duplicate: ran %v, %+v", ran, res)
	}
	c.Customer = "d"
	res, ran = p.serveCall(c, answered)
	if ran || res.Outcome != kernel.OutcomeUnknown || res.Reason != kernel.ReasonBadRequest {
		t.Errorf("other customer: ran %v, %+v", ran, res)
	}
	c.Idempotent = true
	if _, ran := p.serveCall(c, answered); !ran {
		t.Error("an idempotent call did not run")
	}
}

func TestInvalidKeysAreRefused(t *testing.T) {
	p, _ := newPlugin(t, "a", nil)
	ahead := p.host.Now().Add(testSettings.MaxAhead + time.Second).UnixMilli()
	for text, want := range map[string]kernel.Reason{
		"":                                 kernel.ReasonKeyMissing,
		"booking-17":                       kernel.ReasonBadRequest,
		newKey(ahead, [10]byte{}).String(): kernel.ReasonBadRequest,
	} {
		res, ran := p.serveCall(&kernel.Call{IdempotencyKey: text}, answered)
		if ran || res.Reason != want {
			t.Errorf("%q: ran %v, reason %q, want %q", text, ran, res.Reason, want)
		}
	}
}

// A claim without a response refuses the call and is released, so that a grant that
// arrives later has no effect.
func TestClaimAtUnreachableOwnerIsReleased(t *testing.T) {
	var claim ClaimRequest
	var release ReleaseRequest
	peers := &fakePeers{}
	peers.request = func(kind string, body []byte) ([]byte, error) {
		if kind == kindClaim {
			_ = cbor.Unmarshal(body, &claim)
			return nil, errors.New("timeout")
		}
		_ = cbor.Unmarshal(body, &release)
		return cbor.Marshal(Ack{})
	}
	p, c := newPlugin(t, "b", peers)
	res, ran := p.serveCall(c, answered)
	if ran || res.Outcome != kernel.OutcomeNotRun || res.Reason != kernel.ReasonKeyOwnerUnreachable {
		t.Fatalf("ran %v, %+v", ran, res)
	}
	if claim.Attempt == (Attempt{}) || release.Attempt != claim.Attempt {
		t.Fatalf("claimed %x, released %x", claim.Attempt, release.Attempt)
	}
}

// A claim that arrives after its release is not granted and does not hold the key.
func TestClaimAfterReleaseIsNotGranted(t *testing.T) {
	p, c := newPlugin(t, "a", nil)
	k, _ := ParseKey(c.IdempotencyKey)
	lateClaim := ClaimRequest{Key: k, Attempt: Attempt{1}, Content: contentHash(c)}
	p.table.Release(ReleaseRequest{Key: k, Attempt: lateClaim.Attempt, Content: lateClaim.Content})
	if v := p.table.Claim(lateClaim).Verdict; v != VerdictReleased {
		t.Fatalf("late claim: verdict %d", v)
	}
	if _, ran := p.serveCall(c, answered); !ran {
		t.Fatal("the key was held by a late claim")
	}
}

func TestTableSizeAndRetentionAreBounded(t *testing.T) {
	settings := testSettings
	settings.MaxEntries = 2
	sim := newSimulation(1, 1, false)
	sim.runUntil(sim.now + 5000)
	table := sim.nodes[0].table
	table.settings = settings
	granted := 0
	for i := range byte(100) {
		if table.Claim(ClaimRequest{Key: newKey(sim.now, [10]byte{9: i}), Attempt: Attempt{i}}).Verdict == VerdictGranted {
			granted++
		}
	}
	if granted != 2 || table.Len() != 2 {
		t.Errorf("granted %d keys and retained %d, want 2", granted, table.Len())
	}
	for range shardCount / shardsPerPrune {
		table.Prune(time.UnixMilli(sim.now).Add(settings.Retention + time.Second))
	}
	if table.Len() != 0 {
		t.Errorf("%d keys retained past the retention period", table.Len())
	}
	if v := table.Claim(ClaimRequest{Key: newKey(sim.now, [10]byte{})}).Verdict; v != VerdictExpired {
		t.Errorf("key past the retention period: verdict %d", v)
	}
}

// BenchmarkClaim measures the time and memory of granting a fresh key at its owner.
func BenchmarkClaim(b *testing.B) {
	sim := newSimulation(1, 1, false)
	sim.runUntil(sim.now + 5000)
	table := sim.nodes[0].table
	table.settings.MaxEntries = int64(b.N) + 1
	for i := range table.shards {
		table.shards[i].domains = []string{"a"}
	}
	b.ReportAllocs()
	for i := range b.N {
		tail := [10]byte{6: byte(i >> 24), 7: byte(i >> 16), 8: byte(i >> 8), 9: byte(i)}
		table.Claim(ClaimRequest{Key: newKey(sim.now, tail), Attempt: Attempt{1}})
	}
}
