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

func listenPair(t *testing.T, carrier Transport) (a, b *Network) {
	t.Helper()
	authority, err := devcert.New()
	if err != nil {
		t.Fatal(err)
	}
	return listenWith(t, authority, carrier), listenWith(t, authority, carrier)
}

func listenWith(t *testing.T, authority *devcert.Authority, carrier Transport) *Network {
	t.Helper()
	cert, key, err := authority.IssueNode(net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	n, err := Listen(Options{
		Self:        "test",
		Identity:    Identity{CA: string(authority.CA()), Certificate: string(cert), Key: string(key)},
		ControlAddr: "127.0.0.1:0",
		CallAddr:    "127.0.0.1:0",
		Transport:   carrier,
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

// TestCrossedAnswersReachTheirRequests has the peer answer in random order;
// every request must get the answer to its own body.
func TestCrossedAnswersReachTheirRequests(t *testing.T) {
	for _, carrier := range []Transport{TransportTLS, TransportQUIC, TransportQUICStream} {
		t.Run(string(carrier), func(t *testing.T) {
			a, b := listenPair(t, carrier)
			const requests = 200
			release := newShuffledRelease(requests, 7)
			b.Handle("echo", func(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) {
				release.wait()
				return append([]byte("re:"), body...), nil
			})
			ctx, stop := context.WithTimeout(context.Background(), testTimeout)
			defer stop()
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

// shuffledRelease holds callers until all are in, then lets them go in an
// order drawn from a seed.
type shuffledRelease struct {
	mu    sync.Mutex
	gates []chan struct{}
	want  int
	rng   *rand.Rand
}

func newShuffledRelease(n int, seed uint64) *shuffledRelease {
	return &shuffledRelease{want: n, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (r *shuffledRelease) wait() {
	gate := make(chan struct{})
	r.mu.Lock()
	r.gates = append(r.gates, gate)
	if len(r.gates) == r.want {
		r.rng.Shuffle(len(r.gates), func(i, j int) { r.gates[i], r.gates[j] = r.gates[j], r.gates[i] })
		for _, g := range r.gates {
			close(g)
		}
	}
	r.mu.Unlock()
	<-gate
}

// TestFirstRequestsShareOneConnection sends the first requests to a peer all
// at once.
func TestFirstRequestsShareOneConnection(t *testing.T) {
	for _, carrier := range []Transport{TransportQUIC, TransportQUICStream} {
		a, b := listenPair(t, carrier)
		b.Handle("echo", func(context.Context, state.MemberID, []byte) ([]byte, error) { return nil, nil })
		ctx, stop := context.WithTimeout(context.Background(), testTimeout)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				if _, err := a.Call(ctx, member(b), "echo", nil); err != nil {
					t.Errorf("%s: %v", carrier, err)
				}
			})
		}
		wg.Wait()
		stop()
		if n := b.control.accepted.Load(); n != 1 {
			t.Errorf("%s: %d connections were opened", carrier, n)
		}
	}
}

// TestLateAnswerIsDropped gives up on a request, whose answer then arrives
// while another request waits on the same connection.
func TestLateAnswerIsDropped(t *testing.T) {
	a, b := listenPair(t, TransportTLS)
	held := make(chan struct{})
	cancelled := make(chan struct{})
	b.Handle("slow", func(ctx context.Context, _ state.MemberID, _ []byte) ([]byte, error) {
		<-ctx.Done()
		close(cancelled)
		<-held
		return []byte("late"), nil
	})
	b.Handle("fast", func(context.Context, state.MemberID, []byte) ([]byte, error) { return []byte("own"), nil })
	short, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	if _, err := a.Call(short, member(b), "slow", nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("slow request: %v", err)
	}
	<-cancelled // the peer's work was cancelled
	close(held)
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	got, err := a.Call(ctx, member(b), "fast", nil)
	if err != nil || string(got) != "own" {
		t.Fatalf("got %q, %v", got, err)
	}
}

// TestUnreachablePeerIsNotSent makes sure that only a request that never left
// is reported as not sent.
func TestUnreachablePeerIsNotSent(t *testing.T) {
	a, b := listenPair(t, TransportTLS)
	entered := make(chan struct{})
	b.Handle("hang", func(ctx context.Context, _ state.MemberID, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
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

// TestForeignCertificateIsRefused connects with a certificate of another CA.
func TestForeignCertificateIsRefused(t *testing.T) {
	for _, carrier := range []Transport{TransportTLS, TransportQUIC} {
		a, _ := listenPair(t, carrier)
		b, _ := listenPair(t, carrier)
		served := false
		b.Handle("echo", func(context.Context, state.MemberID, []byte) ([]byte, error) {
			served = true
			return nil, nil
		})
		ctx, stop := context.WithTimeout(context.Background(), testTimeout)
		if _, err := a.Call(ctx, member(b), "echo", nil); err == nil || served {
			t.Errorf("%s: a foreign node was served (%v)", carrier, err)
		}
		stop()
	}
}

func TestDamagedFrameIsRefused(t *testing.T) {
	good, err := encodeFrame(&frame{Type: frameAnswer, ID: 7, Body: []byte("a whole answer")})
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(good) {
		if _, _, err := readFrame(bytes.NewReader(good[:cut])); err == nil {
			t.Errorf("a frame cut at %d was accepted", cut)
		}
	}
	at := bytes.Index(good, []byte("whole"))
	good[at] ^= 1
	if _, _, err := readFrame(bytes.NewReader(good)); !errors.Is(err, ErrFrameDigest) {
		t.Errorf("a damaged body: %v", err)
	}
	huge := []byte{0xff, 0xff, 0xff, 0xff}
	if _, _, err := readFrame(bytes.NewReader(huge)); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("a huge length: %v", err)
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
			t.Fatalf("an accepted frame does not survive a round trip: %v", err)
		}
	})
}
