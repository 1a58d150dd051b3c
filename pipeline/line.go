package pipeline

import "context"

// entry is one request of a connection that has not been answered.
type entry struct {
	exchange *Exchange
	method   string
	body     []byte
	// taken is what the body holds of the budget.
	taken int64
	// held is what the answer holds of its budget until it is written.
	held int64
	// final is set when nothing is read after the request.
	final  bool
	answer *Response
	begun  bool
}

// serve runs the exchange.
func (e *entry) serve(ctx context.Context) *Response { return e.exchange.Serve(ctx, e.body) }

// line keeps the requests of one connection in the order in which they are
// answered. It does no I/O and is not safe for concurrent use.
type line struct {
	waiting []*entry
	// closed is set when the connection takes no further request.
	closed bool
}

// add appends a request. It reports whether the request is taken at all, and
// whether it starts now.
func (l *line) add(e *entry) (taken, starts bool) {
	if l.closed {
		return false, false
	}
	l.waiting = append(l.waiting, e)
	e.begun = e.answer != nil || !e.exchange.Exclusive || len(l.waiting) == 1
	return true, e.begun && e.answer == nil
}

// due returns the next answer to write, and whether the connection closes with
// it; nil if the first request has none yet.
func (l *line) due(closing bool) (e *entry, last bool) {
	if len(l.waiting) == 0 || l.waiting[0].answer == nil {
		return nil, false
	}
	e = l.waiting[0]
	last = len(l.waiting) == 1 && (closing || e.final || e.answer.Close)
	l.closed = l.closed || last
	return e, last
}

// written takes the first request out. It returns the next one if it may
// start now.
func (l *line) written() *entry {
	l.waiting[0] = nil
	l.waiting = l.waiting[1:]
	if len(l.waiting) == 0 {
		l.waiting = nil
		return nil
	}
	if next := l.waiting[0]; !next.begun {
		next.begun = true
		return next
	}
	return nil
}

// drop closes the line and takes the requests out that have not begun. It
// returns what their bodies hold of their budget, and all answers of theirs.
func (l *line) drop() (bodies, answers int64) {
	l.closed = true
	for _, e := range l.waiting {
		if !e.begun {
			e.begun = true
			bodies += e.taken
		}
		answers += e.held
		e.held = 0
	}
	return bodies, answers
}
