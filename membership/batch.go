package membership

import (
	"context"
	"sync"
)

// batcher runs a function on demand so that every request is served by a run
// that began after the request arrived; requests that wait share a run.
type batcher struct {
	run func() error
	// delay passes before each run, to collect requests.
	delay func()

	mu      sync.Mutex
	running bool
	waiting *flight
}

// flight is one run and those who wait for it.
type flight struct {
	done chan struct{}
	err  error
}

// do waits for a run that begins after the call, and returns its error.
func (b *batcher) do(ctx context.Context) error {
	f := b.join()
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *batcher) join() *flight {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = &flight{done: make(chan struct{})}
	}
	f := b.waiting
	if !b.running {
		b.running = true
		go b.serve()
	}
	return f
}

// serve runs until nobody waits. A flight is taken right before its run, which
// thus begins after all who wait for it have come.
func (b *batcher) serve() {
	for {
		b.delay()
		f := b.next()
		if f == nil {
			return
		}
		f.err = b.run()
		close(f.done)
	}
}

func (b *batcher) next() *flight {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.waiting
	b.waiting = nil
	b.running = f != nil
	return f
}
