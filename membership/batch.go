package membership

import (
	"context"
	"sync"
)

// batcher runs a function on demand. Every request is served by a run that
// started after the request arrived; waiting requests share one run.
type batcher struct {
	run func() error
	// wait blocks before each run, to collect requests.
	wait func()

	mu      sync.Mutex
	running bool
	pending *batch
}

// batch is one run and the requests that wait for it.
type batch struct {
	done chan struct{}
	err  error
}

// do waits for a run that starts after the call, and returns its error.
func (b *batcher) do(ctx context.Context) error {
	batch := b.enqueue()
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *batcher) enqueue() *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil {
		b.pending = &batch{done: make(chan struct{})}
	}
	joined := b.pending
	if !b.running {
		b.running = true
		go b.runBatches()
	}
	return joined
}

// runBatches runs until no request waits. A batch is taken immediately before its
// run, so that the run starts after all requests of the batch arrived.
func (b *batcher) runBatches() {
	for {
		b.wait()
		batch := b.takePending()
		if batch == nil {
			return
		}
		batch.err = b.run()
		close(batch.done)
	}
}

func (b *batcher) takePending() *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.pending
	b.pending = nil
	b.running = taken != nil
	return taken
}
