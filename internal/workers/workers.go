// Package workers runs functions on reused goroutines. Their stacks have already
// grown to the size that a handler needs, so reuse saves growing new ones.
package workers

import "sync/atomic"

// Pool keeps some idle goroutines. It is safe for concurrent use.
type Pool struct {
	maxIdle int64
	tasks   chan func()
	idle    atomic.Int64
}

// New returns a pool that keeps at most maxIdle idle goroutines.
func New(maxIdle int) *Pool { return &Pool{maxIdle: int64(maxIdle), tasks: make(chan func())} }

// Run runs f on an idle goroutine or else a new one. It does not block.
func (p *Pool) Run(f func()) {
	select {
	case p.tasks <- f:
	default:
		go p.runTasks(f)
	}
}

func (p *Pool) runTasks(f func()) {
	for {
		f()
		if p.idle.Add(1) > p.maxIdle {
			p.idle.Add(-1)
			return
		}
		f = <-p.tasks
		p.idle.Add(-1)
	}
}
