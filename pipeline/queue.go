package pipeline

import "context"

// queuedRequest is a request of a connection that has not been answered.
type queuedRequest struct {
	exchange *Exchange
	method   string
	body     []byte
	// bodyReserved is the number of bytes that the body holds of its budget.
	bodyReserved int64
	// responseReserved is the number of bytes that the response holds of its budget
	// until it is written.
	responseReserved int64
	// final is set if nothing is read from the connection after the request.
	final    bool
	response *Response
	started  bool
}

// serve runs the exchange.
func (q *queuedRequest) serve(ctx context.Context) *Response { return q.exchange.Serve(ctx, q.body) }

// queue holds the requests of one connection in the order in which they are
// answered. It does no I/O and is not safe for concurrent use.
type queue struct {
	pending []*queuedRequest
	// closed is set when the connection accepts no further request.
	closed bool
}

// add appends a request. It reports whether the request is accepted, and whether it
// starts now.
func (q *queue) add(queued *queuedRequest) (accepted, starts bool) {
	if q.closed {
		return false, false
	}
	q.pending = append(q.pending, queued)
	queued.started = queued.response != nil || !queued.exchange.Exclusive || len(q.pending) == 1
	return true, queued.started && queued.response == nil
}

// due returns the first request if its response can be written, and whether the
// connection closes after it; nil if the first request has no response yet.
func (q *queue) due(closing bool) (queued *queuedRequest, last bool) {
	if len(q.pending) == 0 || q.pending[0].response == nil {
		return nil, false
	}
	queued = q.pending[0]
	last = len(q.pending) == 1 && (closing || queued.final || queued.response.Close)
	q.closed = q.closed || last
	return queued, last
}

// pop removes the first request, whose response has been written. It returns the next
// one if that may start now.
func (q *queue) pop() *queuedRequest {
	q.pending[0] = nil
	q.pending = q.pending[1:]
	if len(q.pending) == 0 {
		q.pending = nil
		return nil
	}
	if next := q.pending[0]; !next.started {
		next.started = true
		return next
	}
	return nil
}

// drop closes the queue and keeps requests that have not started from starting. It
// returns the bytes that the bodies of those and the responses of all requests hold
// of their budgets.
func (q *queue) drop() (bodies, responses int64) {
	q.closed = true
	for _, queued := range q.pending {
		if !queued.started {
			queued.started = true
			bodies += queued.bodyReserved
		}
		responses += queued.responseReserved
		queued.responseReserved = 0
	}
	return bodies, responses
}
