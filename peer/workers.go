package peer

import "sync/atomic"

// idleWorkers bounds the goroutines that wait for further messages. Their
// stacks have grown to what a handler needs, so they are worth keeping.
const idleWorkers = 16

// workers runs functions on goroutines that outlive them.
type workers struct {
	next    chan func()
	waiting atomic.Int64
}

// messageWorkers serves the messages of all connections of the process.
var messageWorkers = &workers{next: make(chan func())}

// run starts f without waiting.
func (w *workers) run(f func()) {
	select {
	case w.next <- f:
	default:
		go w.work(f)
	}
}

func (w *workers) work(f func()) {
	for {
		f()
		if w.waiting.Add(1) > idleWorkers {
			w.waiting.Add(-1)
			return
		}
		f = <-w.next
		w.waiting.Add(-1)
	}
}
