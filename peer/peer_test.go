package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/devcert"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const testTimeout = 10 * time.Second

func newNetworkPair(t *testing.T, transport Transport) (a, b *Network) {
	t.Helper()
	ca, err := devcert.New()
	if err != nil {
		t.Fatal(err)
	}
	return newNetwork(t, ca, transport), newNetwork(t, ca, transport)
}

func newNetwork(t *testing.T, ca *devcert.Authority, transport Transport) *Network {
	t.Helper()
	cert, key, err := ca.IssueNode(net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	n, err := Listen(Options{
		Self:        "test",
		Identity:    Identity{CA: string(ca.CA()), Certificate: string(cert), Key: string(key)},
		ControlAddr: "127.0.0.1:0",
		CallAddr:    "127.0.0.1:0",
		Transport:   transport,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

func member(n *Network) state.Member {
	return state.Member{ID: "peer", ControlAddr: n.ControlAddr(), CallAddr: n.CallAddr()}
}

// TestOutOfOrderResponsesMatchRequests has the peer respond in random order; every
// request must get the response to its own body.
func TestOutOfOrderResponsesMatchRequests(t *testing.T) {
	for _, transport := range []Transport{TransportTLS, TransportQUIC, TransportQUICStream} {
		t.Run(string(transport), func(t *testing.T) {
			a, b := newNetworkPair(t, transport)
			const requests = 200
			barrier := newShuffledBarrier(requests, 7)
			b.Handle("echo", func(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) {
				barrier.wait()
				return append([]byte("re:"), body...), nil
			})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					body := fmt.Appendf(nil, "body-%d", i)
					got, err := a.Call(ctx, member(b), "echo", body)
					if err != nil || !bytes.Equal(got, append([]byte("re:"), body...)) {
						t.Errorf("request %d: got %q, %v", i, got, err)
					}
				})
			}
			wg.Wait()
		})
	}
}

// shuffledBarrier blocks callers until all have arrived, then releases them in a
// seeded random order.
type shuffledBarrier struct {
	mu    sync.Mutex
	gates []chan struct{}
	want  int
	rng   *rand.Rand
}

func newShuffledBarrier(n int, seed uint64) *shuffledBarrier {
	return &shuffledBarrier{want: n, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (b *shuffledBarrier) wait() {
	gate := make(chan struct{})
	b.mu.Lock()
	b.gates = append(b.gates, gate)
	if len(b.gates) == b.want {
		b.rng.Shuffle(len(b.gates), func(i, j int) { b.gates[i], b.gates[j] = b.gates[j], b.gates[i] })
		for _, g := range b.gates {
			close(g)
		}
	}
	b.mu.Unlock()
	<-gate
}

// TestFirstRequestsShareOneConnection sends the first requests to a peer
// concurrently.
func TestFirstRequestsShareOneConnection(t *testing.T) {
	for _, transport := range []Transport{TransportQUIC, TransportQUICStream} {
		a, b := newNetworkPair(t, transport)
		b.Handle("echo", func(context.Context, state.MemberID, []byte) ([]byte, error) { return nil, nil })
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				if _, err := a.Call(ctx, member(b), "echo", nil); err != nil {
					t.Errorf("%s: %v", transport, err)
				}
			})
		}
		wg.Wait()
		cancel()
		if n := b.quic.accepted.Load(); n != 1 {
			t.Errorf("%s: %d connections were opened", transport, n)
		}
	}
}

// TestLateResponseIsDropped cancels a request whose response then arrives while
// another request waits on the same connection.
func TestLateResponseIsDropped(t *testing.T) {
	a, b := newNetworkPair(t, TransportTLS)
	held := make(chan struct{})
	cancelled := make(chan struct{})
	b.Handle("slow", func(ctx context.Context, _ state.MemberID, _ []byte) ([]byte, error) {
		<-ctx.Done()
		close(cancelled)
		<-held
		return []byte("late"), nil
	})
	b.Handle("fast", func(context.Context, state.MemberID, []byte) ([]byte, error) { return []byte("own"), nil })
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := a.Call(short, member(b), "slow", nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("slow request: %v", err)
	}
	<-cancelled // the peer's work was cancelled
	close(held)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	got, err := a.Call(ctx, member(b), "fast", nil)
	if err != nil || string(got) != "own" {
		t.Fatalf("got %q, %v", got, err)
	}
}

// TestOnlyUnsentRequestsReportNotSent checks that a request is reported as not
// sent only if no byte of it was written.
func TestOnlyUnsentRequestsReportNotSent(t *testing.T) {
	a, b := newNetworkPair(t, TransportTLS)
	entered := make(chan struct{})
	b.Handle("hang", func(ctx context.Context, _ state.MemberID, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := a.Call(ctx, member(b), "hang", nil)
		failed <- err
	}()
	<-entered
	to := member(b)
	b.Close()
	if err := <-failed; !errors.Is(err, ErrConnLost) || errors.Is(err, kernel.ErrNotSent) {
		t.Errorf("request in flight at a crash: %v", err)
	}
	if _, err := a.Call(ctx, to, "hang", nil); !errors.Is(err, kernel.ErrNotSent) {
		t.Errorf("request to a dead peer: %v", err)
	}
}

// TestForeignCertificateIsRejected connects with a certificate of another CA.
func TestForeignCertificateIsRejected(t *testing.T) {
	for _, transport := range []Transport{TransportTLS, TransportQUIC} {
		a, _ := newNetworkPair(t, transport)
		b, _ := newNetworkPair(t, transport)
		served := false
		b.Handle("echo", func(context.Context, state.MemberID, []byte) ([]byte, error) {
			served = true
			return nil, nil
		})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if _, err := a.Call(ctx, member(b), "echo", nil); err == nil || served {
			t.Errorf("%s: a node with a certificate of another CA was served (%v)", transport, err)
		}
		cancel()
	}
}

func TestCorruptFrameIsRejected(t *testing.T) {
	good, err := encodeFrame(&frame{Type: frameResponse, ID: 7, Body: []byte("a whole response")})
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(good) {
		if _, _, err := readFrame(bytes.NewReader(good[:cut])); err == nil {
			t.Errorf("a frame truncated at byte %d was accepted", cut)
		}
	}
	at := bytes.Index(good, []byte("whole"))
	good[at] ^= 1
	if _, _, err := readFrame(bytes.NewReader(good)); !errors.Is(err, ErrFrameDigest) {
		t.Errorf("corrupt body: %v", err)
	}
	huge := []byte{0xff, 0xff, 0xff, 0xff}
	if _, _, err := readFrame(bytes.NewReader(huge)); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("length above the limit: %v", err)
	}
}

func FuzzReadFrame(f *testing.F) {
	good, _ := encodeFrame(&frame{Type: frameRequest, ID: 1, Kind: "k", From: "m", Body: []byte("b")})
	f.Add(good)
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0, 0, 0, 2, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, _, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		again, err := encodeFrame(got)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := readFrame(bytes.NewReader(again)); err != nil && err != io.EOF {
			t.Fatalf("an accepted frame cannot be encoded and read again: %v", err)
		}
	})
}
