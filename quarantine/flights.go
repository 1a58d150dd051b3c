package quarantine

import (
	"sync"
	"sync/atomic"
)

const flightShards = 16

// flight is a call in flight at the instance.
type flight struct {
	fingerprint uint64
	epoch       uint64
}

// flights is the set of calls in flight at an instance. The epoch counts the
// deaths of the instance.
type flights struct {
	epoch  atomic.Uint64
	shards [flightShards]struct {
		sync.Mutex
		calls map[*flight]struct{}
	}
}

func newFlights() *flights {
	f := &flights{}
	for i := range f.shards {
		f.shards[i].calls = map[*flight]struct{}{}
	}
	return f
}

func (f *flights) begin(fingerprint uint64) *flight {
	s := &f.shards[fingerprint%flightShards]
	s.Lock()
	defer s.Unlock()
	// The epoch is read under the lock, so that a death either finds the call
	// or is over before it.
	c := &flight{fingerprint: fingerprint, epoch: f.epoch.Load()}
	s.calls[c] = struct{}{}
	return c
}

func (f *flights) end(c *flight) {
	s := &f.shards[c.fingerprint%flightShards]
	s.Lock()
	defer s.Unlock()
	delete(s.calls, c)
}

// died records that the instance was lost under a call in flight. The first
// call to tell gets the fingerprints of all calls that had begun before, the
// others their own, since they may have ended before the first one looked.
func (f *flights) died(c *flight) []uint64 {
	if !f.epoch.CompareAndSwap(c.epoch, c.epoch+1) {
		return []uint64{c.fingerprint}
	}
	return f.upTo(c.epoch)
}

// upTo returns the fingerprints of the calls in flight of an epoch and those
// before it.
func (f *flights) upTo(epoch uint64) []uint64 {
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
