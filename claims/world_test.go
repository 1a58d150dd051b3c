package claims

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// world is a deterministic run of several nodes, a log and a network, in
// milliseconds of virtual time.
type world struct {
	rng     *rand.Rand
	now     int64
	queue   events
	log     []record
	logDown int64            // log reads fail until then
	cut     map[string]int64 // domains cut off from the log and each other until then
	split   map[string]int64 // domains whose group 0 is cut off from all others
	nodes   []*simNode
	faulty  bool // messages are lost, repeated and delayed
	started int

	ran, keys  map[Key]Attempt
	notRun     map[Attempt]bool
	never      map[Key]bool
	violations []string
	first      map[string]int // results of first attempts, by what they say
}

type record struct {
	event   state.RosterEvent
	domains []string
}

type simNode struct {
	w       *world
	member  state.Member
	table   *Table
	skew    int64
	applied int
	contact int64
	snap    *state.Snapshot
	paused  int64
	group   int
	deaf    bool // neither reads the log nor gossips
	events  []state.RosterEvent
	version uint64
	config  *config.Config
	members map[state.MemberID]state.Member
	ended   map[state.MemberID]bool
	// resigned lists what was learned outside the log.
	resigned []state.Member
	dead     bool
}

type event struct {
	at, order int64
	run       func()
}
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var testSettings = Settings{Margin: 2 * time.Second, Skew: 100 * time.Millisecond, MaxAhead: time.Second,
	Retention: 20 * time.Second, MaxEntries: 100_000, ClaimTimeout: 400 * time.Millisecond}

const startMS = 1_700_000_000_000

func newWorld(seed uint64, perDomain int, faulty bool) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: startMS, faulty: faulty, cut: map[string]int64{}, split: map[string]int64{},
		ran: map[Key]Attempt{}, keys: map[Key]Attempt{}, notRun: map[Attempt]bool{}, never: map[Key]bool{},
		first: map[string]int{}}
	w.log = append(w.log, record{domains: []string{"a", "b"}})
	for i := range 2 * perDomain {
		w.join([]string{"a", "b"}[i%2])
	}
	return w
}

func (w *world) at(delay int64, f func()) {
	heap.Push(&w.queue, event{w.now + delay, int64(w.rng.Uint32()), f})
}

func (w *world) runUntil(end int64) {
	for w.queue.Len() > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// do runs f on the node unless it is dead, after any pause.
func (n *simNode) do(delay int64, f func()) {
	n.w.at(delay, func() {
		switch {
		case n.dead:
		case n.paused > n.w.now:
			n.do(n.paused-n.w.now+n.w.rng.Int64N(20), f)
		default:
			f()
		}
	})
}

func (n *simNode) clock() time.Time { return time.UnixMilli(n.w.now + n.skew) }

func (w *world) isCut(domains ...string) bool {
	for _, d := range domains {
		if w.cut[d] > w.now {
			return true
		}
	}
	return false
}

func (n *simNode) alone() bool {
	return n.group == 0 && n.w.split[n.member.Domain] > n.w.now
}

func (n *simNode) reaches(to *simNode) bool {
	if n.member.Domain == to.member.Domain {
		return n.alone() == to.alone()
	}
	return !n.alone() && !to.alone() && !n.w.isCut(n.member.Domain, to.member.Domain)
}

// send delivers f at the node to, perhaps late, twice or never.
func (n *simNode) send(to *simNode, f func()) {
	w := n.w
	if to == nil || !n.reaches(to) {
		return
	}
	delay := 1 + w.rng.Int64N(3)
	if w.faulty {
		if w.rng.IntN(20) == 0 {
			return
		}
		if w.rng.IntN(10) == 0 {
			delay += w.rng.Int64N(5000)
		}
		if w.rng.IntN(10) == 0 {
			to.do(delay+w.rng.Int64N(5000), f)
		}
	}
	to.do(delay, f)
}

func (w *world) node(id state.MemberID) *simNode {
	for _, n := range w.nodes {
		if n.member.ID == id && !n.dead {
			return n
		}
	}
	return nil
}

// inDomain returns the oldest node of a failure domain.
func (w *world) inDomain(domain string) *simNode {
	i := slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.member.Domain == domain })
	return w.nodes[i]
}

func (w *world) join(domain string) *simNode {
	n := w.newNode(domain)
	w.nodes = append(w.nodes, n)
	w.appendEvent(n.member, false)
	n.poll()
	n.gossip()
	n.rounds()
	return n
}

// newNode returns a node that does nothing by itself.
func (w *world) newNode(domain string) *simNode {
	w.started++
	m := state.Member{ID: state.MemberID(fmt.Sprintf("m%d", w.started)), Domain: domain}
	n := &simNode{w: w, member: m, table: NewTable(m, testSettings), skew: w.rng.Int64N(101) - 50, group: w.rng.IntN(3),
		members: map[state.MemberID]state.Member{}, ended: map[state.MemberID]bool{}}
	n.publish(0, 0)
	return n
}

func (w *world) appendEvent(m state.Member, ended bool) {
	w.log = append(w.log, record{event: state.RosterEvent{Member: m, Ended: ended}})
}

func (w *world) stopNode(n *simNode) {
	n.dead = true
	w.nodes = sortedWithout(w.nodes, n)
}

func sortedWithout(nodes []*simNode, out *simNode) []*simNode {
	var kept []*simNode
	for _, n := range nodes {
		if n != out {
			kept = append(kept, n)
		}
	}
	return kept
}

// poll reads the log's head; contact is the time before the read starts.
func (n *simNode) poll() {
	start := n.clock().UnixMilli()
	if n.w.logDown <= n.w.now && !n.w.isCut(n.member.Domain) && !n.alone() {
		n.do(n.w.rng.Int64N(5), func() {
			upTo := len(n.w.log)
			n.do(n.w.rng.Int64N(5), func() { n.publish(upTo, start) })
		})
	}
	n.do(200+n.w.rng.Int64N(200), n.poll)
}

// gossip takes records and resignations, but no contact, from a peer.
func (n *simNode) gossip() {
	peer := n.w.nodes[n.w.rng.IntN(len(n.w.nodes))]
	upTo, resigned := peer.applied, peer.resigned
	peer.send(n, func() { n.publish(upTo, 0, resigned...) })
	n.do(200+n.w.rng.Int64N(200), n.gossip)
}

// publish applies the log up to an offset, and resignations that were learned
// outside the log.
func (n *simNode) publish(upTo int, contact int64, resigned ...state.Member) {
	if n.deaf {
		return
	}
	if upTo >= n.applied {
		for _, r := range n.w.log[n.applied:upTo] {
			n.apply(r)
		}
		n.applied = upTo
		n.contact = max(n.contact, contact)
	}
	for _, m := range resigned {
		if !n.ended[m.ID] {
			n.apply(record{event: state.RosterEvent{Member: m, Ended: true}})
			n.resigned = append(n.resigned, m)
		}
	}
	s := &state.Snapshot{Offset: uint64(n.applied), Version: n.version, Config: n.config, Members: maps.Clone(n.members), Ended: maps.Clone(n.ended)}
	s.Events = slices.Clone(n.events)
	if n.w.faulty { // short, so that gaps occur
		s.Events = s.Events[max(0, len(s.Events)-6):]
	}
	if n.contact > 0 {
		s.LogContact = time.UnixMilli(n.contact)
	}
	n.snap = s.Index()
	n.notify(n.table.Update(n.snap, n.clock()))
	n.table.Prune(n.clock())
}

func (n *simNode) apply(r record) {
	if r.domains != nil {
		n.version++
		n.config = &config.Config{FailureDomains: r.domains}
		return
	}
	id := r.event.Member.ID
	if n.ended[id] {
		return
	}
	if r.event.Ended {
		delete(n.members, id)
		n.ended[id] = true
	} else {
		n.members[id] = r.event.Member
	}
	r.event.Seq = uint64(len(n.events) + 1)
	r.event.Observed = n.clock()
	n.events = append(n.events, r.event)
}

// rounds asks for offsets whenever the table wants it.
func (n *simNode) rounds() {
	w := n.w
	n.do(50, n.rounds)
	r := n.table.NextRound(n.clock(), w.rng.Shuffle)
	if r == nil {
		return
	}
	for _, m := range r.Ask {
		to := w.node(m.ID)
		n.send(to, func() {
			offset := to.table.Offset()
			to.send(n, func() { r.Answer(m.ID, offset) })
		})
	}
	n.do(30+w.rng.Int64N(30), func() { n.notify(n.table.Finish(r, n.clock())) })
}

func (n *simNode) notify(notices []Outgoing) {
	for _, out := range notices {
		to := n.w.node(out.To.ID)
		deliver := func() {
			next, _ := to.table.Closed(out.Notice)
			to.notify(next)
		}
		for try := range int64(3) {
			n.do(try*200, func() { n.send(to, deliver) })
		}
	}
}

// resign hands over shard by shard, each message after the last one's ack.
func (w *world) resign(n *simNode) {
	for _, heir := range n.table.Resign() {
		n.do(w.rng.Int64N(200), func() { w.handOver(n, heir, n.table.Drain(heir), 0) })
	}
	w.at(1500, func() {
		for range 3 {
			to := w.nodes[w.rng.IntN(len(w.nodes))]
			n.send(to, func() { to.publish(0, 0, n.member) })
		}
		w.stopNode(n)
	})
	w.at(1500+w.rng.Int64N(8000), func() { w.appendEvent(n.member, true) })
}

func (w *world) handOver(n *simNode, to Heir, messages []Handover, tries int) {
	heir := w.node(to.To.ID)
	if len(messages) == 0 || heir == nil || tries == 3 {
		n.table.Moved(to)
		return
	}
	acked := false
	n.send(heir, func() {
		heir.table.Adopt(messages[0])
		heir.send(n, func() {
			if !acked {
				acked = true
				w.handOver(n, to, messages[1:], 0)
			}
		})
	})
	n.do(300, func() {
		if !acked {
			acked = true
			w.handOver(n, to, messages, tries+1)
		}
	})
}

// submit presents a key at an entry node and runs it if it is granted.
func (w *world) submit(n *simNode, k Key, content uint64) {
	var attempt Attempt
	for i := range attempt {
		attempt[i] = byte(w.rng.Uint32())
	}
	_, again := w.keys[k]
	w.keys[k] = attempt
	req := ClaimRequest{Key: k, Attempt: attempt, Content: content}
	a, s := begin(n.snap, req)
	w.follow(n, a, s, !again, 0)
}

func (w *world) follow(n *simNode, a *asker, s step, first bool, v Verdict) {
	if !s.ask {
		w.decided(n, a, s.result, first, v)
		return
	}
	if s.wait {
		s.wait = false
		n.do(retryPause.Milliseconds(), func() { w.follow(n, a, s, first, v) })
		return
	}
	req, answered, to := a.req, false, w.node(s.to.ID)
	n.send(to, func() {
		ans := to.table.Claim(req)
		to.send(n, func() {
			if !answered {
				answered = true
				w.follow(n, a, a.answered(ans), first, ans.Verdict)
			}
		})
	})
	n.do(testSettings.ClaimTimeout.Milliseconds(), func() {
		if !answered {
			answered = true
			w.follow(n, a, a.failed(), first, 0)
		}
	})
}

func (w *world) decided(n *simNode, a *asker, res *kernel.Result, first bool, v Verdict) {
	if first {
		w.first[say(res)]++
	}
	if v == VerdictNever || v == VerdictSpent {
		w.never[a.req.Key] = true
		_, ran := w.ran[a.req.Key]
		w.require(!ran, "key that ran is said never to run", a)
	}
	if res != nil && res.Outcome != kernel.OutcomeNotRun {
		return
	}
	if res == nil && w.rng.IntN(5) > 0 {
		n.do(w.rng.Int64N(300), func() { w.run(a) })
		return
	}
	w.notRun[a.req.Attempt] = true
	for _, holder := range a.holders {
		to := w.node(holder.ID)
		rel := ReleaseRequest{Key: a.req.Key, Attempt: a.req.Attempt, Content: a.req.Content}
		n.send(to, func() { to.table.Release(rel) })
	}
}

func say(res *kernel.Result) string {
	if res == nil {
		return "granted"
	}
	return res.Outcome.String() + " " + string(res.Reason)
}

func (w *world) run(a *asker) {
	_, ran := w.ran[a.req.Key]
	w.require(!ran, "key ran twice", a)
	w.require(!w.notRun[a.req.Attempt], "attempt said not to have run ran", a)
	w.require(!w.never[a.req.Key], "key said never to run ran", a)
	w.ran[a.req.Key] = a.req.Attempt
}

func (w *world) require(ok bool, what string, a *asker) {
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf("%s: %s at %d ms", what, a.req.Key, w.now-startMS))
	}
}

// entry returns a random node that has read the log; others take no calls.
func (w *world) entry() *simNode {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for tries := 0; n.applied == 0 && tries < 20; tries++ {
		n = w.nodes[w.rng.IntN(len(w.nodes))]
	}
	return n
}

// load presents fresh keys at random entry nodes every period until the end.
func (w *world) load(period, end int64, resend bool) {
	if w.now >= end {
		return
	}
	n := w.entry()
	minted := n.clock().UnixMilli()
	if w.faulty {
		minted += w.rng.Int64N(3500) - 3000
	}
	k := w.freshKey(minted)
	n.do(0, func() { w.submit(n, k, 1) })
	for resend && w.rng.IntN(3) > 0 {
		again := w.nodes[w.rng.IntN(len(w.nodes))]
		again.do(w.rng.Int64N(8000), func() { w.submit(again, k, 1+uint64(w.rng.IntN(20)/19)) })
	}
	w.at(period, func() { w.load(period, end, resend) })
}

func (w *world) freshKey(minted int64) Key {
	var tail [10]byte
	for i := range tail {
		tail[i] = byte(w.rng.Uint32())
	}
	return newKey(minted, tail)
}

func (w *world) summary() string {
	total, names := 0, make([]string, 0, len(w.first))
	for name, count := range w.first {
		names = append(names, name)
		total += count
	}
	sort.Strings(names)
	out := fmt.Sprintf("%d fresh keys", total)
	for _, name := range names {
		out += fmt.Sprintf("; %s %.3f%%", name, 100*float64(w.first[name])/float64(total))
	}
	return out
}
