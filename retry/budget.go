package retry

import "sync/atomic"

// Budget is the allowance that a running call may lend to its nested calls.
// It is safe for concurrent use.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) *Budget {
	b := &Budget{}
	b.left.Store(int64(max(n, 0)))
	return b
}

// Take lends a nested call half of what is left, rounded up.
func (b *Budget) Take() int {
	for {
		left := b.left.Load()
		share := (left + 1) / 2
		if b.left.CompareAndSwap(left, left-share) {
			return int(share)
		}
	}
}

// Return gives back n retries that a nested call did not spend.
func (b *Budget) Return(n int) {
	b.left.Add(int64(max(n, 0)))
}

// Left returns what no nested call holds now.
func (b *Budget) Left() int { return int(b.left.Load()) }

// Close takes all that is left, when the lending call ends. A nested call that
// returns its share later finds nobody to spend it.
func (b *Budget) Close() int { return int(b.left.Swap(0)) }
