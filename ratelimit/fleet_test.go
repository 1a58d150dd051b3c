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

// fleet runs pure cores on a virtual clock with messages between them.
type fleet struct {
	rnd    *rand.Rand
	now    time.Duration
	queue  events
	order  int
	timing Timing
	nodes  []*simNode
	roster map[state.MemberID]state.Member
	ended  map[state.MemberID]bool
	events []state.RosterEvent
	config *config.Config
	head   *state.Snapshot
	cut    map[[2]string]bool
	noLog  map[string]bool
	faults messageFaults
	// arrived is called for every request and returns what to call with its
	// verdict.
	arrived func(customer string) func(admitted bool)
	// decide replaces the cores' decision if set.
	decide func(n *simNode) bool
	// rates holds the largest known rate of a customer at each interval.
	rates map[string][]float64
	// admitted holds the times of all admissions of a customer.
	admitted map[string][]time.Duration
	// measured is set when the messages are to be counted.
	measured bool
	// waited counts the admissions that waited for a message.
	waited int
	// priorities draws the priorities of requests; offered and refused count by
	// priority.
	priorities       *rand.Rand
	offered, refused [config.PriorityCount]int
	// adopted counts the pools handed over.
	adopted int
	next    int
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
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
	// messages and bytes count what is sent and received, without transport.
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
		rnd:        rand.New(rand.NewPCG(seed, 1)),
		priorities: rand.New(rand.NewPCG(seed, 2)),
		timing:     DefaultTiming,
		roster:     map[state.MemberID]state.Member{},
		ended:      map[state.MemberID]bool{},
		cut:        map[[2]string]bool{},
		noLog:      map[string]bool{},
		arrived:    func(string) func(bool) { return func(bool) {} },
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
	s := &state.Snapshot{Config: f.config, Members: members, Events: recent, Offset: uint64(len(f.events))}
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
			s.LogContact = started
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
	if f.measured && from != to {
		from.count(msg)
		to.count(msg)
	}
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

// stop resigns a node and ends its process after a time.
func (f *fleet) stop(n *simNode, after time.Duration) {
	for _, a := range n.entry.Resign(n.snap, f.clock(n)) {
		if a.To.ID != n.member.ID {
			f.ask(n, a)
			continue
		}
		g := n.pools.Ask(n.snap, n.member.ID, a.Ask, f.clock(n))
		n.entry.Granted(a.Domain, a.Ask.Customer, n.member.ID, g, f.clock(n))
	}
	for _, out := range n.pools.Resign(f.clock(n)) {
		heir := f.node(out.To.ID)
		f.send(n, heir, out.Notice, func() { f.fetch(heir, n, out.Notice) })
	}
	f.at(f.now+after, nil, func() { n.dead = true })
}

func (f *fleet) fetch(heir, n *simNode, notice Notice) {
	fetch := heir.pools.Fetch(n.member.ID, notice, f.clock(heir))
	f.send(heir, n, fetch, func() {
		h := n.pools.HandOver(heir.member.ID, fetch, f.clock(n))
		f.send(n, heir, h, func() {
			moved, ok := heir.pools.Adopt(heir.snap, notice.Customer, h, f.clock(heir))
			f.adopted += btoi(ok)
			for _, m := range moved.To {
				to := f.node(m.ID)
				f.send(heir, to, moved.Moved, func() { to.entry.Moved(heir.member.ID, moved.Moved) })
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

// anyPriority draws from a mix of 15 % critical, 15 % high, 45 % normal and
// 25 % low.
func (f *fleet) anyPriority() config.Priority {
	x := f.priorities.IntN(100)
	for p, below := range []int{15, 30, 75} {
		if x < below {
			return config.Priority(p)
		}
	}
	return config.PriorityLow
}

func (f *fleet) request(n *simNode, customer string) {
	p := f.anyPriority()
	r := &simRequest{n, customer, p, f.now + f.timing.Wait, f.arrived(customer), false}
	f.offered[p]++
	if f.decide != nil {
		r.decided(f.decide(n))
		return
	}
	d, asks := n.entry.Arrive(n.snap, customer, r.priority, f.clock(n))
	f.follow(r, d, asks)
}

func (f *fleet) follow(r *simRequest, d Decision, asks []OutgoingAsk) {
	for _, a := range asks {
		f.ask(r.node, a)
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
			d, asks := r.node.entry.Retry(r.node.snap, r.customer, r.priority, last, f.clock(r.node))
			f.follow(r, d, asks)
		})
	}
}

// admit lets a request go on, now and then after a pause of its node between
// decision and use.
func (f *fleet) admit(r *simRequest, d Decision) {
	decided := f.clock(r.node)
	proceed := func() {
		admitted := d.Stands(decided, f.clock(r.node), f.timing)
		if admitted {
			f.admitted[r.customer] = append(f.admitted[r.customer], f.now)
			f.waited += btoi(r.waited)
		}
		r.decided(admitted)
	}
	if f.faults.late > 0 && f.rnd.Float64() < 0.001 {
		r.node.paused = f.now + f.between(0, 4*time.Second)
		f.at(r.node.paused, r.node, proceed)
		return
	}
	proceed()
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
