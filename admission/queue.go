package admission

import (
	"container/heap"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// classCount is the number of strictly ordered classes: for each priority the
// nested calls and after them the new trees.
const classCount = 2 * config.PriorityCount

// flow is the state of a customer in start-time fair queueing.
type flow struct {
	finishTag float64 // of its latest call, in seconds of service
	queued    [classCount]int
}

func (f *flow) queuedTotal() int {
	n := 0
	for _, q := range f.queued {
		n += q
	}
	return n
}

// fairQueue orders waiting calls by class, then by start tag. It is not safe
// for concurrent use.
type fairQueue struct {
	classes     [classCount]tagHeap
	flows       map[string]*flow
	virtualTime float64 // start tag of the latest call served
	seq         uint64
	length      int
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
	r.startTag = max(q.virtualTime, f.finishTag)
	r.cost = cost
	f.finishTag = r.startTag + cost
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

// serve removes the head and advances the virtual time to its start tag.
func (q *fairQueue) serve(r *Request) {
	q.remove(r)
	q.virtualTime = max(q.virtualTime, r.startTag)
}

// drop removes a call that will not be served and credits its cost to the
// customer's later calls.
func (q *fairQueue) drop(r *Request) {
	q.remove(r)
	f := q.flow(r.Customer)
	f.finishTag -= r.cost
	for c := range q.classes {
		q.advanceStartTags(c, r)
	}
}

// advanceStartTags lowers the start tags of the same customer's calls queued
// after r by r's cost.
func (q *fairQueue) advanceStartTags(class int, r *Request) {
	if q.flow(r.Customer).queued[class] == 0 {
		return
	}
	changed := false
	for _, other := range q.classes[class] {
		if other.Customer == r.Customer && other.seq > r.seq {
			other.startTag -= r.cost
			changed = true
		}
	}
	if changed {
		heap.Init(&q.classes[class])
	}
}

func (q *fairQueue) remove(r *Request) {
	c := r.class()
	heap.Remove(&q.classes[c], r.heapIndex)
	q.flow(r.Customer).queued[c]--
	q.length--
}

// callToDrop returns the call to drop when the queue is too long: the newest
// call of the longest flow in the last class that has any.
func (q *fairQueue) callToDrop() *Request {
	for c := classCount - 1; c >= 0; c-- {
		if len(q.classes[c]) > 0 {
			return q.newestOfLongestFlow(c)
		}
	}
	return nil
}

func (q *fairQueue) newestOfLongestFlow(class int) *Request {
	var newest *Request
	longest := 0
	for _, r := range q.classes[class] {
		n := q.flow(r.Customer).queued[class]
		if n > longest || n == longest && r.seq > newest.seq {
			newest, longest = r, n
		}
	}
	return newest
}

// removeIdleFlows removes flows without waiting calls whose finish tag has
// passed.
func (q *fairQueue) removeIdleFlows() {
	for name, f := range q.flows {
		if f.queuedTotal() == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// tagHeap is a heap of calls by start tag, then by arrival.
type tagHeap []*Request

func (h tagHeap) Len() int { return len(h) }

func (h tagHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].seq < h[j].seq
}

func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *tagHeap) Push(x any) {
	r := x.(*Request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *tagHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
