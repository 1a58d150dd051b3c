// Package workers runs functions on goroutines that outlive them: their stacks
// have grown to what a handler needs, so they are worth keeping.
package workers

import "sync/atomic"

// Pool keeps some idle goroutines. It is safe for concurrent use.
type Pool struct {
	idle    int64
	next    chan func()
	waiting atomic.Int64
}

// New returns a pool that keeps at most a number of idle goroutines.
func New(idle int) *Pool { return &Pool{idle: int64(idle), next: make(chan func())} }

// Run starts f without waiting.
func (p *Pool) Run(f func()) {
	select {
	case p.next <- f:
	default:
		go p.work(f)
	}
}

func (p *Pool) work(f func()) {
	for {
		f()
		if p.waiting.Add(1) > p.idle {
			p.waiting.Add(-1)
			return
		}
		f = <-p.next
		p.waiting.Add(-1)
	}
}
