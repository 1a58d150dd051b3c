package daemontest

import (
	"io"
	"testing"
)

type nopCloser struct{}

func (nopCloser) Close() error { return nil }

// The kernel may offer a port again before the daemon that it was issued for
// has bound it. Without the check, a daemon's settings would name it twice.
func TestFreeAddressIsNeverReissued(t *testing.T) {
	offered := []string{"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2"}
	next := 0
	listen := func() (io.Closer, string, error) {
		next++
		return nopCloser{}, offered[next-1], nil
	}
	for _, want := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		got, err := freeAddress(listen)
		if err != nil || got != want {
			t.Fatalf("got %s %v, want %s", got, err, want)
		}
	}
}
