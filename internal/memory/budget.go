// Package memory bounds the memory that a process uses for one purpose.
package memory

import "sync/atomic"

// Budget bounds the bytes reserved at a time; the zero value allows none. It is
// safe for concurrent use.
type Budget struct {
	limit    int64
	reserved atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Reserve reserves n bytes. It reports false, and reserves none, if that would
// exceed the limit.
func (b *Budget) Reserve(n int64) bool {
	if b.reserved.Add(n) <= b.limit {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.reserved.Add(-n) }
