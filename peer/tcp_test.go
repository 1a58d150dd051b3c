package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

func newTCPNetwork(t *testing.T, id string) (*Network, state.Member) {
	t.Helper()
	n, err := Listen(Options{Self: state.MemberID(id), CallAddr: "127.0.0.1:0", Transport: TransportTCP})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n, state.Member{ID: state.MemberID(id), CallAddr: n.CallAddr()}
}

func TestTCPTransportCarriesAllMessages(t *testing.T) {
	a, _ := newTCPNetwork(t, "a")
	b, to := newTCPNetwork(t, "b")
	received := make(chan string, 1)
	b.Handle("echo", func(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) { return body, nil })
	b.Handle("notify", func(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) {
		received <- string(body)
		return nil, nil
	})
	for _, send := range []func(context.Context, state.Member, string, []byte) ([]byte, error){a.Call, a.Request} {
		if got, err := send(t.Context(), to, "echo", []byte("x")); err != nil || string(got) != "x" {
			t.Fatalf("%q %v", got, err)
		}
	}
	a.Notify(to, "notify", []byte("hello"))
	if got := <-received; got != "hello" {
		t.Errorf("notification %q", got)
	}
}

// Guards against requests that hang until their deadline when a connection goes
// silent without a reset. The request must fail early and count as possibly run.
func TestSilentPeerIsDetected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	a, _ := newTCPNetwork(t, "a")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err = a.Call(ctx, state.Member{ID: "b", CallAddr: l.Addr().String()}, "echo", nil)
	if !errors.Is(err, ErrConnLost) || errors.Is(err, kernel.ErrNotSent) || ctx.Err() != nil {
		t.Errorf("got %v", err)
	}
}

// A peer that takes long to respond but answers pings must not count as silent.
func TestSlowResponseIsNotSilence(t *testing.T) {
	a, _ := newTCPNetwork(t, "a")
	b, to := newTCPNetwork(t, "b")
	b.Handle("slow", func(context.Context, state.MemberID, []byte) ([]byte, error) {
		time.Sleep((maxSilentChecks + 2) * livenessCheckInterval)
		return []byte("done"), nil
	})
	if got, err := a.Call(t.Context(), to, "slow", nil); err != nil || string(got) != "done" {
		t.Errorf("%q %v", got, err)
	}
}

// A body and its tail arrive as one body, whether the tail is copied or not.
func TestTailIsAppendedToBody(t *testing.T) {
	a, _ := newTCPNetwork(t, "a")
	b, to := newTCPNetwork(t, "b")
	b.Handle("echo", func(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) { return body, nil })
	for _, size := range []int{0, 1, maxCopiedTailBytes, maxCopiedTailBytes + 1, 360 << 10} {
		tail := bytes.Repeat([]byte{'t'}, size)
		got, err := a.CallWithTail(t.Context(), to, "echo", []byte("head"), tail)
		if err != nil || !bytes.Equal(got, append([]byte("head"), tail...)) {
			t.Errorf("tail of %d bytes: got %d bytes, %v", size, len(got), err)
		}
	}
}

// If a handler panics on a request or a notification, the process and the
// connection survive, and the sender of the request gets an error.
func TestHandlerPanicIsRecovered(t *testing.T) {
	a, _ := newTCPNetwork(t, "a")
	b, to := newTCPNetwork(t, "b")
	b.Handle("bad", func(context.Context, state.MemberID, []byte) ([]byte, error) { panic("malformed message") })
	b.Handle("good", func(context.Context, state.MemberID, []byte) ([]byte, error) { return []byte("ok"), nil })
	a.Notify(to, "bad", nil)
	if _, err := a.Call(t.Context(), to, "bad", nil); !errors.Is(err, ErrRemote) {
		t.Errorf("got %v, want an error of the handler", err)
	}
	a.Notify(to, "bad", nil)
	if got, err := a.Call(t.Context(), to, "good", nil); err != nil || string(got) != "ok" {
		t.Errorf("%q %v", got, err)
	}
}
