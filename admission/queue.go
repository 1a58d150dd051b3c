package admission

import (
	"container/heap"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// classCount is the number of classes of strict order: for each priority the
// nested calls and after them the new trees.
const classCount = 2 * config.PriorityCount

// flow is the state of a customer in start-time fair queueing.
type flow struct {
	finish float64 // finish tag of its latest call, in seconds of service
	queued [classCount]int
}

func (f *flow) total() int {
	n := 0
	for _, q := range f.queued {
		n += q
	}
	return n
}

// fairQueue orders waiting calls by class, then by start tag. It is not safe
// for concurrent use.
type fairQueue struct {
	classes [classCount]tagHeap
	flows   map[string]*flow
	virtual float64 // start tag of the call served last
	seq     uint64
	length  int
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: map[string]*flow{}}
}

func (q *fairQueue) flow(customer string) *flow {
	f := q.flows[customer]
	if f == nil {
		f = &flow{}
		q.flows[customer] = f
	}
	return f
}

// push tags a call and queues it; cost is its expected service time in
// seconds.
func (q *fairQueue) push(r *Request, cost float64) {
	f := q.flow(r.Customer)
	r.start = max(q.virtual, f.finish)
	r.cost = cost
	f.finish = r.start + cost
	q.seq++
	r.seq = q.seq
	c := r.class()
	f.queued[c]++
	q.length++
	heap.Push(&q.classes[c], r)
}

// head returns the call to serve next, or nil.
func (q *fairQueue) head() *Request {
	for c := range q.classes {
		if len(q.classes[c]) > 0 {
			return q.classes[c][0]
		}
	}
	return nil
}

// serve removes the head and advances virtual time to its start tag.
func (q *fairQueue) serve(r *Request) {
	q.take(r)
	q.virtual = max(q.virtual, r.start)
}

// drop removes a call that will not be served. Its cost is given back to the
// customer's later calls.
func (q *fairQueue) drop(r *Request) {
	q.take(r)
	f := q.flow(r.Customer)
	f.finish -= r.cost
	for c := range q.classes {
		q.shift(c, r)
	}
}

// shift moves the start tags of the same customer's calls behind r forward.
func (q *fairQueue) shift(class int, r *Request) {
	if q.flow(r.Customer).queued[class] == 0 {
		return
	}
	moved := false
	for _, other := range q.classes[class] {
		if other.Customer == r.Customer && other.seq > r.seq {
			other.start -= r.cost
			moved = true
		}
	}
	if moved {
		heap.Init(&q.classes[class])
	}
}

func (q *fairQueue) take(r *Request) {
	c := r.class()
	heap.Remove(&q.classes[c], r.index)
	q.flow(r.Customer).queued[c]--
	q.length--
}

// victim returns the call to give up when the queue is too long: the newest
// call of the longest flow in the last class that has any.
func (q *fairQueue) victim() *Request {
	for c := classCount - 1; c >= 0; c-- {
		if len(q.classes[c]) > 0 {
			return q.longest(c)
		}
	}
	return nil
}

func (q *fairQueue) longest(class int) *Request {
	var worst *Request
	depth := 0
	for _, r := range q.classes[class] {
		n := q.flow(r.Customer).queued[class]
		if n > depth || n == depth && r.seq > worst.seq {
			worst, depth = r, n
		}
	}
	return worst
}

// forget removes flows that have no claim on service.
func (q *fairQueue) forget() {
	for name, f := range q.flows {
		if f.total() == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// tagHeap is a heap of calls by start tag, then by arrival.
type tagHeap []*Request

func (h tagHeap) Len() int { return len(h) }

func (h tagHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of heap.Interface.
func (h *tagHeap) Push(x any) {
	r := x.(*Request)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop is part of heap.Interface.
func (h *tagHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
