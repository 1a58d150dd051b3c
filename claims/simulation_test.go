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

// simulation simulates several nodes, a log and a network deterministically, in
// milliseconds of virtual time.
type simulation struct {
	rng          *rand.Rand
	now          int64
	queue        events
	log          []record
	logDownUntil int64            // log reads fail until this time
	cutOffUntil  map[string]int64 // domains cut off from the log and each other, until when
	splitUntil   map[string]int64 // domains whose group 0 is cut off from all other nodes, until when
	nodes        []*simNode
	faulty       bool // messages are lost, repeated and delayed
	startedNodes int

	ran, lastAttempt map[Key]Attempt
	notRun           map[Attempt]bool
	neverRuns        map[Key]bool
	violations       []string
	firstResults     map[string]int // counts of first attempts' results by description
}

type record struct {
	event   state.RosterEvent
	domains []string
}

type simNode struct {
	sim         *simulation
	member      state.Member
	table       *Table
	skew        int64
	applied     int
	contact     int64
	snap        *state.Snapshot
	pausedUntil int64
	group       int
	noUpdates   bool // neither reads the log nor gossips
	events      []state.RosterEvent
	version     uint64
	config      *config.Config
	members     map[state.MemberID]state.Member
	ended       map[state.MemberID]bool
	// knownResigned lists members whose resignation was learned outside the log.
	knownResigned []state.Member
	dead          bool
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

func newSimulation(seed uint64, perDomain int, faulty bool) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: startMS, faulty: faulty, cutOffUntil: map[string]int64{}, splitUntil: map[string]int64{},
		ran: map[Key]Attempt{}, lastAttempt: map[Key]Attempt{}, notRun: map[Attempt]bool{}, neverRuns: map[Key]bool{},
		firstResults: map[string]int{}}
	sim.log = append(sim.log, record{domains: []string{"a", "b"}})
	for i := range 2 * perDomain {
		sim.join([]string{"a", "b"}[i%2])
	}
	return sim
}

func (sim *simulation) after(delay int64, f func()) {
	heap.Push(&sim.queue, event{sim.now + delay, int64(sim.rng.Uint32()), f})
}

func (sim *simulation) runUntil(end int64) {
	for sim.queue.Len() > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// schedule runs f on the node after a delay and any pause, unless the node is dead.
func (n *simNode) schedule(delay int64, f func()) {
	n.sim.after(delay, func() {
		switch {
		case n.dead:
		case n.pausedUntil > n.sim.now:
			n.schedule(n.pausedUntil-n.sim.now+n.sim.rng.Int64N(20), f)
		default:
			f()
		}
	})
}

func (n *simNode) clock() time.Time { return time.UnixMilli(n.sim.now + n.skew) }

func (sim *simulation) isCutOff(domains ...string) bool {
	for _, d := range domains {
		if sim.cutOffUntil[d] > sim.now {
			return true
		}
	}
	return false
}

func (n *simNode) isolated() bool {
	return n.group == 0 && n.sim.splitUntil[n.member.Domain] > n.sim.now
}

func (n *simNode) reaches(to *simNode) bool {
	if n.member.Domain == to.member.Domain {
		return n.isolated() == to.isolated()
	}
	return !n.isolated() && !to.isolated() && !n.sim.isCutOff(n.member.Domain, to.member.Domain)
}

// send runs f on another node. If the simulation is faulty, f may run late, twice or
// never.
func (n *simNode) send(to *simNode, f func()) {
	sim := n.sim
	if to == nil || !n.reaches(to) {
		return
	}
	delay := 1 + sim.rng.Int64N(3)
	if sim.faulty {
		if sim.rng.IntN(20) == 0 {
			return
		}
		if sim.rng.IntN(10) == 0 {
			delay += sim.rng.Int64N(5000)
		}
		if sim.rng.IntN(10) == 0 {
			to.schedule(delay+sim.rng.Int64N(5000), f)
		}
	}
	to.schedule(delay, f)
}

func (sim *simulation) node(id state.MemberID) *simNode {
	for _, n := range sim.nodes {
		if n.member.ID == id && !n.dead {
			return n
		}
	}
	return nil
}

// oldestInDomain returns the oldest node of a failure domain.
func (sim *simulation) oldestInDomain(domain string) *simNode {
	i := slices.IndexFunc(sim.nodes, func(n *simNode) bool { return n.member.Domain == domain })
	return sim.nodes[i]
}

func (sim *simulation) join(domain string) *simNode {
	n := sim.newNode(domain)
	sim.nodes = append(sim.nodes, n)
	sim.appendEvent(n.member, false)
	n.poll()
	n.gossip()
	n.runRounds()
	return n
}

// newNode returns a node without scheduled activity.
func (sim *simulation) newNode(domain string) *simNode {
	sim.startedNodes++
	m := state.Member{ID: state.MemberID(fmt.Sprintf("m%d", sim.startedNodes)), Domain: domain}
	n := &simNode{sim: sim, member: m, table: NewTable(m, testSettings), skew: sim.rng.Int64N(101) - 50, group: sim.rng.IntN(3),
		members: map[state.MemberID]state.Member{}, ended: map[state.MemberID]bool{}}
	n.publish(0, 0)
	return n
}

func (sim *simulation) appendEvent(m state.Member, ended bool) {
	sim.log = append(sim.log, record{event: state.RosterEvent{Member: m, Ended: ended}})
}

func (sim *simulation) stopNode(n *simNode) {
	n.dead = true
	sim.nodes = without(sim.nodes, n)
}

func without(nodes []*simNode, out *simNode) []*simNode {
	var kept []*simNode
	for _, n := range nodes {
		if n != out {
			kept = append(kept, n)
		}
	}
	return kept
}

// poll reads the log's head periodically; the contact is the start of the read.
func (n *simNode) poll() {
	start := n.clock().UnixMilli()
	if n.sim.logDownUntil <= n.sim.now && !n.sim.isCutOff(n.member.Domain) && !n.isolated() {
		n.schedule(n.sim.rng.Int64N(5), func() {
			upTo := len(n.sim.log)
			n.schedule(n.sim.rng.Int64N(5), func() { n.publish(upTo, start) })
		})
	}
	n.schedule(200+n.sim.rng.Int64N(200), n.poll)
}

// gossip periodically applies the records and resignations that a random peer knows;
// these are no contact with the log.
func (n *simNode) gossip() {
	peer := n.sim.nodes[n.sim.rng.IntN(len(n.sim.nodes))]
	upTo, knownResigned := peer.applied, peer.knownResigned
	peer.send(n, func() { n.publish(upTo, 0, knownResigned...) })
	n.schedule(200+n.sim.rng.Int64N(200), n.gossip)
}

// publish applies the log up to an offset, and resignations that were learned
// outside the log.
func (n *simNode) publish(upTo int, contact int64, knownResigned ...state.Member) {
	if n.noUpdates {
		return
	}
	if upTo >= n.applied {
		for _, r := range n.sim.log[n.applied:upTo] {
			n.apply(r)
		}
		n.applied = upTo
		n.contact = max(n.contact, contact)
	}
	for _, m := range knownResigned {
		if !n.ended[m.ID] {
			n.apply(record{event: state.RosterEvent{Member: m, Ended: true}})
			n.knownResigned = append(n.knownResigned, m)
		}
	}
	s := &state.Snapshot{Offset: uint64(n.applied), Version: n.version, Config: n.config, Members: maps.Clone(n.members), Ended: maps.Clone(n.ended)}
	s.Events = slices.Clone(n.events)
	if n.sim.faulty { // keep few events, so that gaps occur
		s.Events = s.Events[max(0, len(s.Events)-6):]
	}
	if n.contact > 0 {
		s.LogContact = time.UnixMilli(n.contact)
	}
	n.snap = s.Index()
	n.sendNotices(n.table.Update(n.snap, n.clock()))
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

// runRounds runs the rounds that the table requests.
func (n *simNode) runRounds() {
	sim := n.sim
	n.schedule(50, n.runRounds)
	r := n.table.NextRound(n.clock(), sim.rng.Shuffle)
	if r == nil {
		return
	}
	for _, m := range r.Members {
		to := sim.node(m.ID)
		n.send(to, func() {
			offset := to.table.Offset()
			to.send(n, func() { r.RecordOffset(m.ID, offset) })
		})
	}
	n.schedule(30+sim.rng.Int64N(30), func() { n.sendNotices(n.table.FinishRound(r, n.clock())) })
}

func (n *simNode) sendNotices(notices []OutgoingNotice) {
	for _, out := range notices {
		to := n.sim.node(out.To.ID)
		deliver := func() {
			next, _ := to.table.ApplyNotice(out.Notice)
			to.sendNotices(next)
		}
		for try := range int64(3) {
			n.schedule(try*200, func() { n.send(to, deliver) })
		}
	}
}

// resign hands a node's shards over, each message after the previous one was
// acknowledged, and then stops the node.
func (sim *simulation) resign(n *simNode) {
	for _, successor := range n.table.Resign() {
		n.schedule(sim.rng.Int64N(200), func() { sim.handOver(n, successor, n.table.Drain(successor), 0) })
	}
	sim.after(1500, func() {
		for range 3 {
			to := sim.nodes[sim.rng.IntN(len(sim.nodes))]
			n.send(to, func() { to.publish(0, 0, n.member) })
		}
		sim.stopNode(n)
	})
	sim.after(1500+sim.rng.Int64N(8000), func() { sim.appendEvent(n.member, true) })
}

func (sim *simulation) handOver(n *simNode, successor Successor, messages []Handover, tries int) {
	successorNode := sim.node(successor.To.ID)
	if len(messages) == 0 || successorNode == nil || tries == 3 {
		n.table.FinishHandover(successor)
		return
	}
	acked := false
	n.send(successorNode, func() {
		successorNode.table.AcceptHandover(messages[0])
		successorNode.send(n, func() {
			if !acked {
				acked = true
				sim.handOver(n, successor, messages[1:], 0)
			}
		})
	})
	n.schedule(300, func() {
		if !acked {
			acked = true
			sim.handOver(n, successor, messages, tries+1)
		}
	})
}

// submit claims a key at an entry node and runs it if it is granted.
func (sim *simulation) submit(n *simNode, k Key, content uint64) {
	var attempt Attempt
	for i := range attempt {
		attempt[i] = byte(sim.rng.Uint32())
	}
	_, again := sim.lastAttempt[k]
	sim.lastAttempt[k] = attempt
	req := ClaimRequest{Key: k, Attempt: attempt, Content: content}
	r, s := newResolver(n.snap, req)
	sim.runStep(n, r, s, !again, 0)
}

func (sim *simulation) runStep(n *simNode, r *resolver, s step, first bool, v Verdict) {
	if !s.request {
		sim.finish(n, r, s.result, first, v)
		return
	}
	if s.wait {
		s.wait = false
		n.schedule(claimRetryDelay.Milliseconds(), func() { sim.runStep(n, r, s, first, v) })
		return
	}
	req, answered, to := r.req, false, sim.node(s.to.ID)
	n.send(to, func() {
		resp := to.table.Claim(req)
		to.send(n, func() {
			if !answered {
				answered = true
				sim.runStep(n, r, r.answered(resp), first, resp.Verdict)
			}
		})
	})
	n.schedule(testSettings.ClaimTimeout.Milliseconds(), func() {
		if !answered {
			answered = true
			sim.runStep(n, r, r.failed(), first, 0)
		}
	})
}

func (sim *simulation) finish(n *simNode, r *resolver, res *kernel.Result, first bool, v Verdict) {
	if first {
		sim.firstResults[describeResult(res)]++
	}
	if v == VerdictBetweenTenures || v == VerdictAttemptsExhausted {
		sim.neverRuns[r.req.Key] = true
		_, ran := sim.ran[r.req.Key]
		sim.checkInvariant(!ran, "key that ran was reported as never to run", r)
	}
	if res != nil && res.Outcome != kernel.OutcomeNotRun {
		return
	}
	if res == nil && sim.rng.IntN(5) > 0 {
		n.schedule(sim.rng.Int64N(300), func() { sim.run(r) })
		return
	}
	sim.notRun[r.req.Attempt] = true
	for _, holder := range r.holders {
		to := sim.node(holder.ID)
		rel := ReleaseRequest{Key: r.req.Key, Attempt: r.req.Attempt, Content: r.req.Content}
		n.send(to, func() { to.table.Release(rel) })
	}
}

func describeResult(res *kernel.Result) string {
	if res == nil {
		return "granted"
	}
	return res.Outcome.String() + " " + string(res.Reason)
}

func (sim *simulation) run(r *resolver) {
	_, ran := sim.ran[r.req.Key]
	sim.checkInvariant(!ran, "key ran twice", r)
	sim.checkInvariant(!sim.notRun[r.req.Attempt], "attempt reported as not-run ran", r)
	sim.checkInvariant(!sim.neverRuns[r.req.Key], "key reported as never to run ran", r)
	sim.ran[r.req.Key] = r.req.Attempt
}

func (sim *simulation) checkInvariant(ok bool, what string, r *resolver) {
	if !ok {
		sim.violations = append(sim.violations, fmt.Sprintf("%s: %s at %d ms", what, r.req.Key, sim.now-startMS))
	}
}

// randomEntryNode returns a random node that has read the log; others accept no calls.
func (sim *simulation) randomEntryNode() *simNode {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	for tries := 0; n.applied == 0 && tries < 20; tries++ {
		n = sim.nodes[sim.rng.IntN(len(sim.nodes))]
	}
	return n
}

// submitFreshKeys submits a fresh key at a random entry node every period until end. If
// resend is set, keys are submitted again later, sometimes with other content.
func (sim *simulation) submitFreshKeys(period, end int64, resend bool) {
	if sim.now >= end {
		return
	}
	n := sim.randomEntryNode()
	minted := n.clock().UnixMilli()
	if sim.faulty {
		minted += sim.rng.Int64N(3500) - 3000
	}
	k := sim.freshKey(minted)
	n.schedule(0, func() { sim.submit(n, k, 1) })
	for resend && sim.rng.IntN(3) > 0 {
		again := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		again.schedule(sim.rng.Int64N(8000), func() { sim.submit(again, k, 1+uint64(sim.rng.IntN(20)/19)) })
	}
	sim.after(period, func() { sim.submitFreshKeys(period, end, resend) })
}

func (sim *simulation) freshKey(minted int64) Key {
	var tail [10]byte
	for i := range tail {
		tail[i] = byte(sim.rng.Uint32())
	}
	return newKey(minted, tail)
}

func (sim *simulation) summary() string {
	total, names := 0, make([]string, 0, len(sim.firstResults))
	for name, count := range sim.firstResults {
		names = append(names, name)
		total += count
	}
	sort.Strings(names)
	out := fmt.Sprintf("%d fresh keys", total)
	for _, name := range names {
		out += fmt.Sprintf("; %s %.3f%%", name, 100*float64(sim.firstResults[name])/float64(total))
	}
	return out
}
