package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// fleet runs pure cores on a virtual clock with messages between them.
type fleet struct {
	rnd     *rand.Rand
	now     time.Duration
	queue   events
	order   int
	timing  Timing
	nodes   []*simNode
	roster  map[state.MemberID]state.Member
	ended   map[state.MemberID]bool
	events  []state.RosterEvent
	config  *config.Config
	head    *state.Snapshot
	cut     map[[2]string]bool
	noLog   map[string]bool
	faults  messageFaults
	decided func(customer string, admitted bool)
	// admitted holds the times of all admissions of a customer.
	admitted map[string][]time.Duration
	messages int
	bytes    int
	next     int
}

// messageFaults are probabilities.
type messageFaults struct{ lost, duplicated, late float64 }

type simNode struct {
	member state.Member
	snap   *state.Snapshot
	entry  *Entry
	pools  *Pools
	dead   bool
	paused time.Duration
	offset time.Duration
	drift  float64
	noLog  bool
}

type event struct {
	at    time.Duration
	order int
	node  *simNode
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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
		rnd:      rand.New(rand.NewPCG(seed, 1)),
		timing:   DefaultTiming,
		roster:   map[state.MemberID]state.Member{},
		ended:    map[state.MemberID]bool{},
		cut:      map[[2]string]bool{},
		noLog:    map[string]bool{},
		decided:  func(string, bool) {},
		admitted: map[string][]time.Duration{},
		config:   &config.Config{Customers: customers, FailureDomains: domains},
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
	f.next++
	m := state.Member{ID: state.MemberID(fmt.Sprintf("m%03d", f.next)), Domain: domain}
	n := &simNode{
		member: m,
		entry:  NewEntry(m, f.timing),
		pools:  NewPools(m, f.timing),
		offset: time.Duration(f.rnd.Int64N(int64(time.Hour))),
		drift:  (f.rnd.Float64() - 0.5) * clockRateError,
	}
	f.nodes = append(f.nodes, n)
	f.announce(m, false)
	f.readLog(n)
	f.tick(n)
	return n
}

// announce appends a change of the roster to the log.
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
	s := &state.Snapshot{Config: f.config, Members: members, Events: recent}
	f.head = s.Index()
}

// at schedules work of a node; a paused node does it later, a dead one never.
func (f *fleet) at(t time.Duration, n *simNode, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: t, order: f.order, node: n, run: run})
}

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		if e.node != nil && e.node.dead {
			continue
		}
		if e.node != nil && e.node.paused > e.at {
			f.at(e.node.paused, e.node, e.run)
			continue
		}
		f.now = e.at
		e.run()
	}
	f.now = until
}

// clock is the local time of a node.
func (f *fleet) clock(n *simNode) time.Time {
	d := time.Duration(float64(f.now) * (1 + n.drift))
	return time.Unix(0, 0).Add(n.offset + d)
}

func (f *fleet) readLog(n *simNode) {
	started := f.clock(n)
	if n.snap == nil {
		s := *f.head
		n.snap = &s
	}
	f.at(f.now+f.between(time.Millisecond, 20*time.Millisecond), n, func() {
		if !n.noLog && !f.noLog[n.member.Domain] {
			s := *f.head
			s.Contact = started
			n.snap = &s
		}
		f.at(f.now+f.between(500*time.Millisecond, time.Second), n, func() { f.readLog(n) })
	})
}

func (f *fleet) tick(n *simNode) {
	now := f.clock(n)
	for _, p := range n.pools.Tick(n.snap, now) {
		f.poll(n, p)
	}
	for _, a := range n.entry.Tick(n.snap, now) {
		f.ask(n, a)
	}
	f.at(f.now+50*time.Millisecond, n, func() { f.tick(n) })
}

func (f *fleet) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(f.rnd.Int64N(int64(hi-lo)))
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

// send delivers a message with the faults of the fleet.
func (f *fleet) send(from, to *simNode, msg any, deliver func()) {
	f.messages++
	f.bytes += encodedSize(msg)
	if from != to && (f.cut[link(from.member.Domain, to.member.Domain)] || f.rnd.Float64() < f.faults.lost) {
		return
	}
	copies := 1
	if f.rnd.Float64() < f.faults.duplicated {
		copies = 2
	}
	for range copies {
		delay := f.between(200*time.Microsecond, 700*time.Microsecond)
		if from.member.Domain != to.member.Domain {
			delay += 500 * time.Microsecond
		}
		if f.rnd.Float64() < f.faults.late {
			delay = f.between(delay, 8*time.Second)
		}
		f.at(f.now+delay, to, deliver)
	}
}

func (f *fleet) ask(n *simNode, a OutgoingAsk) {
	to := f.node(a.To.ID)
	f.send(n, to, a.Ask, func() {
		g := to.pools.Ask(to.snap, n.member.ID, a.Ask, f.clock(to))
		f.send(to, n, g, func() {
			n.entry.Granted(a.Domain, a.Ask.Customer, to.member.ID, g, f.clock(n))
		})
	})
	f.at(f.now+f.timing.AskTimeout, n, func() {
		n.entry.Failed(a.Domain, a.Ask.Customer, a.Ask.Seq, f.clock(n))
	})
}

func (f *fleet) poll(n *simNode, p OutgoingPoll) {
	to := f.node(p.To.ID)
	f.send(n, to, p.Poll, func() {
		answer := to.pools.Poll(to.snap, p.Poll, f.clock(to))
		f.send(to, n, answer, func() {
			n.pools.PollAnswered(to.member.ID, answer, f.clock(n))
		})
	})
}

// request is one root request at a node, from arrival to its decision.
func (f *fleet) request(n *simNode, customer string) {
	now := f.clock(n)
	d, asks := n.entry.Arrive(n.snap, customer, now)
	f.follow(n, customer, f.now+f.timing.Wait, d, asks)
}

func (f *fleet) follow(n *simNode, customer string, deadline time.Duration, d Decision, asks []OutgoingAsk) {
	for _, a := range asks {
		f.ask(n, a)
	}
	switch d.Verdict {
	case Refuse:
		f.decided(customer, false)
	case Admit:
		f.admit(n, customer, d)
	case Wait:
		f.at(min(f.now+time.Millisecond, deadline), n, func() {
			last := f.now >= deadline
			d, asks := n.entry.Retry(n.snap, customer, last, f.clock(n))
			f.follow(n, customer, deadline, d, asks)
		})
	}
}

// admit lets a request go on, after a pause between decision and use if the
// node is paused at this moment.
func (f *fleet) admit(n *simNode, customer string, d Decision) {
	decided := f.clock(n)
	go1 := func() {
		if !d.Stands(decided, f.clock(n), f.timing) {
			f.decided(customer, false)
			return
		}
		f.admitted[customer] = append(f.admitted[customer], f.now)
		f.decided(customer, true)
	}
	if f.faults.late > 0 && f.rnd.Float64() < 0.001 {
		n.paused = f.now + f.between(0, 4*time.Second)
		f.at(n.paused, n, go1)
		return
	}
	go1()
}

// arrivals offers requests at a mean rate, placed by where, until a time.
func (f *fleet) arrivals(customer string, rate float64, until time.Duration, where func() *simNode) {
	gap := time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second))
	if f.now+gap > until {
		return
	}
	f.at(f.now+gap, nil, func() {
		if n := where(); n != nil {
			f.at(f.now, n, func() { f.request(n, customer) })
		}
		f.arrivals(customer, rate, until, where)
	})
}

// anyLive picks a node that is not dead.
func (f *fleet) anyLive() *simNode {
	for range 50 {
		if n := f.nodes[f.rnd.IntN(len(f.nodes))]; !n.dead {
			return n
		}
	}
	return nil
}
