package retry

import "sync/atomic"

// Budget is the allowance of a running call, from which it lends retries to its
// nested calls. It is safe for concurrent use.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) *Budget {
	b := &Budget{}
	b.left.Store(int64(max(n, 0)))
	return b
}

// Lend lends a nested call half of the remaining retries, rounded up.
func (b *Budget) Lend() int {
	for {
		left := b.left.Load()
		share := (left + 1) / 2
		if b.left.CompareAndSwap(left, left-share) {
			return int(share)
		}
	}
}

// Return returns n retries that a nested call did not spend.
func (b *Budget) Return(n int) {
	b.left.Add(int64(max(n, 0)))
}

// Left returns the number of retries that are neither spent nor lent.
func (b *Budget) Left() int { return int(b.left.Load()) }

// Close removes and returns the remaining retries when the call ends. Retries
// that a nested call returns later are not used.
func (b *Budget) Close() int { return int(b.left.Swap(0)) }
