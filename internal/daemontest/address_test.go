package daemontest

import (
	"io"
	"testing"
)

type closer struct{}

func (closer) Close() error { return nil }

// Pattern: the kernel offers a port again that has been given but is not bound
// yet, so that a daemon's settings name it twice.
func TestNoAddressIsGivenTwice(t *testing.T) {
	offers := []string{"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2"}
	next := 0
	bind := func() (io.Closer, string, error) {
		next++
		return closer{}, offers[next-1], nil
	}
	for _, want := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		got, err := freeAddress(bind)
		if err != nil || got != want {
			t.Fatalf("got %s %v, want %s", got, err, want)
		}
	}
}
