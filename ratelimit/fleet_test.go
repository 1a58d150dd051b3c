package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// fleet simulates nodes that exchange messages on a virtual clock. It runs Entry
// and Pools without the plug-in.
type fleet struct {
	rng        *rand.Rand
	now        time.Duration
	queue      events
	seq        int
	timing     Timing
	nodes      []*simNode
	roster     map[state.MemberID]state.Member
	ended      map[state.MemberID]bool
	events     []state.RosterEvent
	config     *config.Config
	head       *state.Snapshot
	cutLinks   map[[2]string]bool
	withoutLog map[string]bool
	faults     messageFaults
	// onArrival is called for every request and returns a function to call with
	// its verdict.
	onArrival func(customer string) func(admitted bool)
	// decide replaces the decision by Entry if set.
	decide func(n *simNode) bool
	// rates holds a customer's largest rate known to any node, per checkInterval.
	rates map[string][]float64
	// admitted holds the times of all admissions of each customer.
	admitted map[string][]time.Duration
	// countMessages is set while messages are counted.
	countMessages bool
	// waited counts the admissions that waited for a message.
	waited int
	// priorities draws the priorities of requests; offered and refused count
	// requests by priority.
	priorities       *rand.Rand
	offered, refused [config.PriorityCount]int
	// handedOver counts the pools handed over.
	handedOver int
	nextID     int
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// messageFaults holds the probabilities of message faults.
type messageFaults struct{ lost, duplicated, delayed float64 }

type simNode struct {
	member      state.Member
	snap        *state.Snapshot
	entry       *Entry
	pools       *Pools
	dead        bool
	pausedUntil time.Duration
	clockOffset time.Duration
	clockDrift  float64
	withoutLog  bool
	// messages and bytes count what the node sends and receives, without
	// transport overhead.
	messages, bytes int
}

func (n *simNode) count(msg any) {
	b, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	n.messages++
	n.bytes += len(b)
}

type event struct {
	at   time.Duration
	seq  int
	node *simNode
	run  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newFleet(seed uint64, domains []string, perDomain int, customers []config.Customer) *fleet {
	f := &fleet{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		priorities: rand.New(rand.NewPCG(seed, 2)),
		timing:     DefaultTiming,
		roster:     map[state.MemberID]state.Member{},
		ended:      map[state.MemberID]bool{},
		cutLinks:   map[[2]string]bool{},
		withoutLog: map[string]bool{},
		onArrival:  func(string) func(bool) { return func(bool) {} },
		admitted:   map[string][]time.Duration{},
		rates:      map[string][]float64{},
		config:     &config.Config{Customers: customers, FailureDomains: domains},
	}
	for _, d := range domains {
		for range perDomain {
			f.start(d)
		}
	}
	return f
}

// start adds a node and announces it on the log.
func (f *fleet) start(domain string) *simNode {
	f.nextID++
	m := state.Member{ID: state.MemberID(fmt.Sprintf("m%03d", f.nextID)), Domain: domain}
	n := &simNode{
		member:      m,
		entry:       NewEntry(m, f.timing),
		pools:       NewPools(m, f.timing),
		clockOffset: time.Duration(f.rng.Int64N(int64(time.Hour))),
		clockDrift:  (f.rng.Float64() - 0.5) * clockRateError,
	}
	f.nodes = append(f.nodes, n)
	f.announce(m, false)
	f.readLog(n)
	f.tick(n)
	return n
}

// announce appends a roster change to the log.
func (f *fleet) announce(m state.Member, ended bool) {
	if ended {
		delete(f.roster, m.ID)
		f.ended[m.ID] = true
	} else {
		f.roster[m.ID] = m
	}
	ev := state.RosterEvent{Seq: uint64(len(f.events) + 1), Member: m, Ended: ended}
	f.events = append(f.events, ev)
	f.publish()
}

func (f *fleet) publish() {
	members := make(map[state.MemberID]state.Member, len(f.roster))
	for id, m := range f.roster {
		members[id] = m
	}
	recent := f.events[max(0, len(f.events)-200):]
	s := &state.Snapshot{Config: f.config, Members: members, Events: recent, Offset: uint64(len(f.events))}
	f.head = s.Index()
}

// at schedules work of a node. A paused node runs it when it resumes, a dead one
// never.
func (f *fleet) at(t time.Duration, n *simNode, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: t, seq: f.seq, node: n, run: run})
}

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		if e.node != nil && e.node.dead {
			continue
		}
		if e.node != nil && e.node.pausedUntil > e.at {
			f.at(e.node.pausedUntil, e.node, e.run)
			continue
		}
		f.now = e.at
		e.run()
	}
	f.now = until
}

// clock returns a node's local time.
func (f *fleet) clock(n *simNode) time.Time {
	d := time.Duration(float64(f.now) * (1 + n.clockDrift))
	return time.Unix(0, 0).Add(n.clockOffset + d)
}

func (f *fleet) readLog(n *simNode) {
	started := f.clock(n)
	if n.snap == nil {
		s := *f.head
		n.snap = &s
	}
	f.at(f.now+f.between(time.Millisecond, 20*time.Millisecond), n, func() {
		if !n.withoutLog && !f.withoutLog[n.member.Domain] {
			s := *f.head
			s.LogContact = started
			n.snap = &s
		}
		f.at(f.now+f.between(500*time.Millisecond, time.Second), n, func() { f.readLog(n) })
	})
}

func (f *fleet) tick(n *simNode) {
	now := f.clock(n)
	for _, p := range n.pools.Tick(n.snap, now) {
		f.sendPoll(n, p)
	}
	for _, req := range n.entry.Tick(n.snap, now) {
		f.sendLeaseRequest(n, req)
	}
	f.at(f.now+50*time.Millisecond, n, func() { f.tick(n) })
}

func (f *fleet) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
}

func (f *fleet) node(id state.MemberID) *simNode {
	for _, n := range f.nodes {
		if n.member.ID == id {
			return n
		}
	}
	return nil
}

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send delivers a message, subject to the message faults.
func (f *fleet) send(from, to *simNode, msg any, deliver func()) {
	if f.countMessages && from != to {
		from.count(msg)
		to.count(msg)
	}
	if from != to && (f.cutLinks[link(from.member.Domain, to.member.Domain)] || f.rng.Float64() < f.faults.lost) {
		return
	}
	copies := 1
	if f.rng.Float64() < f.faults.duplicated {
		copies = 2
	}
	for range copies {
		delay := f.between(200*time.Microsecond, 700*time.Microsecond)
		if from.member.Domain != to.member.Domain {
			delay += 500 * time.Microsecond
		}
		if f.rng.Float64() < f.faults.delayed {
			delay = f.between(delay, 8*time.Second)
		}
		f.at(f.now+delay, to, deliver)
	}
}

func (f *fleet) sendLeaseRequest(n *simNode, req OutgoingLeaseRequest) {
	to := f.node(req.To.ID)
	f.send(n, to, req.LeaseRequest, func() {
		g := to.pools.HandleLeaseRequest(to.snap, n.member.ID, req.LeaseRequest, f.clock(to))
		f.send(to, n, g, func() {
			n.entry.Granted(req.Domain, req.LeaseRequest.Customer, to.member.ID, g, f.clock(n))
		})
	})
	f.at(f.now+f.timing.RequestTimeout, n, func() {
		n.entry.RequestFailed(req.Domain, req.LeaseRequest.Customer, req.LeaseRequest.Seq, f.clock(n))
	})
}

func (f *fleet) sendPoll(n *simNode, p OutgoingPoll) {
	to := f.node(p.To.ID)
	f.send(n, to, p.Poll, func() {
		answer := to.pools.Poll(to.snap, p.Poll, f.clock(to))
		f.send(to, n, answer, func() {
			n.pools.PollAnswered(to.member.ID, answer, f.clock(n))
		})
	})
}

// stop makes a node resign and ends its process after a delay.
func (f *fleet) stop(n *simNode, after time.Duration) {
	for _, req := range n.entry.Resign(n.snap, f.clock(n)) {
		if req.To.ID != n.member.ID {
			f.sendLeaseRequest(n, req)
			continue
		}
		g := n.pools.HandleLeaseRequest(n.snap, n.member.ID, req.LeaseRequest, f.clock(n))
		n.entry.Granted(req.Domain, req.LeaseRequest.Customer, n.member.ID, g, f.clock(n))
	}
	for _, out := range n.pools.Resign(f.clock(n)) {
		successor := f.node(out.To.ID)
		f.send(n, successor, out.HandoverNotice, func() { f.requestHandover(successor, n, out.HandoverNotice) })
	}
	f.at(f.now+after, nil, func() { n.dead = true })
}

// requestHandover lets a successor request a pool from the stopping node n and
// notify the borrowers.
func (f *fleet) requestHandover(successor, n *simNode, notice HandoverNotice) {
	request := successor.pools.HandoverRequest(n.member.ID, notice, f.clock(successor))
	f.send(successor, n, request, func() {
		h := n.pools.HandOver(successor.member.ID, request, f.clock(n))
		f.send(n, successor, h, func() {
			moved, ok := successor.pools.AcceptHandover(successor.snap, notice.Customer, h, f.clock(successor))
			f.handedOver += boolToInt(ok)
			for _, m := range moved.To {
				to := f.node(m.ID)
				f.send(successor, to, moved.PoolMoved, func() { to.entry.PoolMoved(successor.member.ID, moved.PoolMoved) })
			}
		})
	})
}

// simRequest is one root request at a node.
type simRequest struct {
	node     *simNode
	customer string
	priority config.Priority
	deadline time.Duration
	decided  func(admitted bool)
	waited   bool
}

// randomPriority draws from a mix of 15 % critical, 15 % high, 45 % normal and 25
// % low.
func (f *fleet) randomPriority() config.Priority {
	x := f.priorities.IntN(100)
	for p, below := range []int{15, 30, 75} {
		if x < below {
			return config.Priority(p)
		}
	}
	return config.PriorityLow
}

func (f *fleet) request(n *simNode, customer string) {
	p := f.randomPriority()
	r := &simRequest{n, customer, p, f.now + f.timing.MaxWait, f.onArrival(customer), false}
	f.offered[p]++
	if f.decide != nil {
		r.decided(f.decide(n))
		return
	}
	d, requests := n.entry.Decide(n.snap, customer, r.priority, f.clock(n))
	f.handleDecision(r, d, requests)
}

func (f *fleet) handleDecision(r *simRequest, d Decision, requests []OutgoingLeaseRequest) {
	for _, req := range requests {
		f.sendLeaseRequest(r.node, req)
	}
	switch d.Verdict {
	case Refuse:
		f.refused[r.priority]++
		r.decided(false)
	case Admit:
		f.admit(r, d)
	case Wait:
		r.waited = true
		f.at(min(f.now+500*time.Microsecond, r.deadline), r.node, func() {
			last := f.now >= r.deadline
			d, requests := r.node.entry.Retry(r.node.snap, r.customer, r.priority, last, f.clock(r.node))
			f.handleDecision(r, d, requests)
		})
	}
}

// admit lets a request proceed, occasionally after pausing its node between the
// decision and its use.
func (f *fleet) admit(r *simRequest, d Decision) {
	decided := f.clock(r.node)
	proceed := func() {
		admitted := d.StillValid(decided, f.clock(r.node), f.timing)
		if admitted {
			f.admitted[r.customer] = append(f.admitted[r.customer], f.now)
			f.waited += boolToInt(r.waited)
		}
		r.decided(admitted)
	}
	if f.faults.delayed > 0 && f.rng.Float64() < 0.001 {
		r.node.pausedUntil = f.now + f.between(0, 4*time.Second)
		f.at(r.node.pausedUntil, r.node, proceed)
		return
	}
	proceed()
}

// arrivals sends requests at a mean rate until a time, each to the node chosen by
// nextNode.
func (f *fleet) arrivals(customer string, rate float64, until time.Duration, nextNode func() *simNode) {
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	if f.now+gap > until {
		return
	}
	f.at(f.now+gap, nil, func() {
		if n := nextNode(); n != nil {
			f.at(f.now, n, func() { f.request(n, customer) })
		}
		f.arrivals(customer, rate, until, nextNode)
	})
}

// anyLiveNode returns a random node that is not dead, or nil.
func (f *fleet) anyLiveNode() *simNode {
	for range 50 {
		if n := f.nodes[f.rng.IntN(len(f.nodes))]; !n.dead {
			return n
		}
	}
	return nil
}
