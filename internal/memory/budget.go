// Package memory bounds the bytes that a process holds at a time for one purpose.
package memory

import "sync/atomic"

// Budget bounds the bytes that are held at a time; the zero value holds none. It
// is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of some bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserved returns the bytes that are held.
func (b *Budget) Reserved() int64 { return b.held.Load() }

// Reserve sets bytes aside. It reports false, and sets none aside, without room.
func (b *Budget) Reserve(n int64) bool {
	if b.held.Add(n) <= b.limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// Release gives bytes back.
func (b *Budget) Release(n int64) { b.held.Add(-n) }
