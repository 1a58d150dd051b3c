package quarantine

import (
	"sync"
	"sync/atomic"
)

const inflightShards = 16

// inflightCall is a call in flight at the instance.
type inflightCall struct {
	fingerprint uint64
	epoch       uint64
}

// inflightCalls is the set of calls in flight at an instance. epoch counts the
// deaths of the instance.
type inflightCalls struct {
	epoch  atomic.Uint64
	shards [inflightShards]struct {
		sync.Mutex
		calls map[*inflightCall]struct{}
	}
}

func newInflightCalls() *inflightCalls {
	f := &inflightCalls{}
	for i := range f.shards {
		f.shards[i].calls = map[*inflightCall]struct{}{}
	}
	return f
}

func (f *inflightCalls) begin(fingerprint uint64) *inflightCall {
	s := &f.shards[fingerprint%inflightShards]
	s.Lock()
	defer s.Unlock()
	// The epoch is read under the lock, so that a death that does not find the
	// call has already raised the epoch.
	c := &inflightCall{fingerprint: fingerprint, epoch: f.epoch.Load()}
	s.calls[c] = struct{}{}
	return c
}

func (f *inflightCalls) end(c *inflightCall) {
	s := &f.shards[c.fingerprint%inflightShards]
	s.Lock()
	defer s.Unlock()
	delete(s.calls, c)
}

// recordDeath records that the instance was lost while a call was in flight. The
// first call to report the death gets the fingerprints of all calls in flight
// that began before it. Each later one gets its own fingerprint, since it may no
// longer have been in flight when the first one looked.
func (f *inflightCalls) recordDeath(c *inflightCall) []uint64 {
	if !f.epoch.CompareAndSwap(c.epoch, c.epoch+1) {
		return []uint64{c.fingerprint}
	}
	return f.fingerprintsUpTo(c.epoch)
}

// fingerprintsUpTo returns the fingerprints of calls in flight that began in the
// epoch or before.
func (f *inflightCalls) fingerprintsUpTo(epoch uint64) []uint64 {
	var fingerprints []uint64
	for i := range f.shards {
		s := &f.shards[i]
		s.Lock()
		for c := range s.calls {
			if c.epoch <= epoch {
				fingerprints = append(fingerprints, c.fingerprint)
			}
		}
		s.Unlock()
	}
	return fingerprints
}
