package claims

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// takeoverScenario is a failure domain of two members and a third one that has not
// joined yet. For one shard the first ranks before the third, and the third before the
// second.
type takeoverScenario struct {
	sim                  *simulation
	first, second, third *simNode
	shard                uint16
}

func newTakeoverScenario() *takeoverScenario {
	sim := newSimulation(1, 0, false)
	s := &takeoverScenario{sim: sim, first: sim.newNode("a"), second: sim.newNode("a"), third: sim.newNode("a")}
	a, b, c := s.first.member.ID, s.second.member.ID, s.third.member.ID
	for !outranks(a, c, s.shard) || !outranks(c, b, s.shard) {
		s.shard++
	}
	sim.appendEvent(s.first.member, false)
	sim.appendEvent(s.second.member, false)
	s.readLog(s.first)
	s.readLog(s.second)
	sim.now += 20_000
	s.readLog(s.first)
	s.readLog(s.second)
	return s
}

// readLog lets a node read the whole log.
func (s *takeoverScenario) readLog(n *simNode) { n.publish(len(s.sim.log), n.clock().UnixMilli()) }

// handover resigns the first member and returns its handover of the shard.
func (s *takeoverScenario) handover() Handover {
	for _, successor := range s.first.table.Resign() {
		if successor.Shard == s.shard {
			return s.first.table.Drain(successor)[0]
		}
	}
	panic("the first member does not own the shard")
}

// requireDisjointRanges fails if a minting time lies within the ranges of both nodes.
func (s *takeoverScenario) requireDisjointRanges(t *testing.T, x, y *simNode) {
	t.Helper()
	s.requireDisjointRangesFrom(t, startMS, x, y)
}

func (s *takeoverScenario) requireDisjointRangesFrom(t *testing.T, fromMS int64, x, y *simNode) {
	t.Helper()
	both, either := 0, 0
	for ms := fromMS; ms < s.sim.now+20_000; ms++ {
		inX := x.table.shards[s.shard].covers(ms)
		inY := y.table.shards[s.shard].covers(ms)
		if inX && inY {
			both++
		}
		if inX || inY {
			either++
		}
	}
	if both > 0 || either == 0 {
		t.Errorf("%d ms lie in the ranges of both nodes, %d in either", both, either)
	}
}

// A member that acts for a resigned one yields to a joined member that ranks before it.
func TestTakenOverTenureYieldsToJoinedMember(t *testing.T) {
	s := newTakeoverScenario()
	s.second.table.AcceptHandover(s.handover())
	s.sim.appendEvent(s.third.member, false)
	s.readLog(s.third)
	s.third.publish(0, 0, s.first.member)
	s.sim.now += 10_000
	s.readLog(s.second)
	s.readLog(s.third)
	s.requireDisjointRanges(t, s.second, s.third)
}

// A handover that arrives after a third member has owned the shard and ended does not
// extend the range into that of the third member.
func TestLateHandoverDoesNotExtendRange(t *testing.T) {
	s := newTakeoverScenario()
	late := s.handover()
	s.sim.appendEvent(s.third.member, false)
	s.readLog(s.third)
	s.third.publish(0, 0, s.first.member)
	s.sim.now += 10_000
	s.readLog(s.third)
	s.sim.appendEvent(s.third.member, true)
	s.readLog(s.second)
	s.second.publish(0, 0, s.first.member)
	s.sim.now += 10_000
	s.readLog(s.second)
	s.second.table.AcceptHandover(late)
	s.requireDisjointRanges(t, s.second, s.third)
}

// A notice sent under another list of failure domains has no effect.
func TestNoticeUnderOtherDomainListIsIgnored(t *testing.T) {
	s := newTakeoverScenario()
	n := TenureEndNotice{Change: Change{Member: s.third.member.ID}, DomainsHash: s.first.table.domainListHash, Holder: s.first.member}
	for shard := range uint16(shardCount) {
		n.Ends = append(n.Ends, TenureEnd{Shard: shard, EndMS: startMS})
	}
	s.readLog(s.third)
	if _, ok := s.third.table.ApplyNotice(n); !ok {
		t.Fatal("notice refused")
	}
	s.sim.log = append(s.sim.log, record{domains: []string{"a"}})
	s.sim.appendEvent(s.third.member, false)
	s.readLog(s.third)
	for i := range s.third.table.shards {
		if s.third.table.shards[i].covers(s.sim.now - 1) {
			t.Fatalf("shard %d covers keys from before the member joined", i)
		}
	}
}

// A member that has missed the join and end of another owner does not continue its old
// range.
func TestMissedEventsRestartTenures(t *testing.T) {
	s := newTakeoverScenario()
	for !outranks(s.third.member.ID, s.first.member.ID, s.shard) || !outranks(s.first.member.ID, s.second.member.ID, s.shard) {
		s.shard++
	}
	s.sim.appendEvent(s.third.member, false)
	s.readLog(s.third)
	s.sim.now += 10_000
	s.readLog(s.third)
	s.sim.appendEvent(s.third.member, true)
	for range 7 { // more than a snapshot keeps when faulty is set
		s.sim.appendEvent(s.sim.newNode("b").member, false)
	}
	s.sim.now += 10_000
	s.sim.faulty = true
	s.readLog(s.first)
	s.requireDisjointRanges(t, s.first, s.third)
}

// A member that has missed a change of the list of failure domains and back does not
// continue its old range.
func TestMissedConfigVersionsRestartTenures(t *testing.T) {
	s := newTakeoverScenario()
	other := s.sim.newNode("b")
	s.sim.appendEvent(other.member, false)
	s.sim.log = append(s.sim.log, record{domains: []string{"b"}})
	s.readLog(other)
	s.sim.now += 10_000
	s.readLog(other)
	k := s.sim.freshKey(s.sim.now)
	for k.Home([]string{"a", "b"}) != "a" || k.Shard() != s.shard {
		k = s.sim.freshKey(s.sim.now)
	}
	if v := other.table.Claim(ClaimRequest{Key: k, Attempt: Attempt{1}}).Verdict; v != VerdictGranted {
		t.Fatalf("home under the changed list: verdict %d", v)
	}
	s.sim.log = append(s.sim.log, record{domains: []string{"a", "b"}})
	s.sim.now += 1000
	s.readLog(s.first)
	if v := s.first.table.Claim(ClaimRequest{Key: k, Attempt: Attempt{2}}).Verdict; v == VerdictGranted {
		t.Fatal("the key was granted twice")
	}
}

// A node that has started in the middle of the log neither confirms its roster nor
// settles tenures by a majority, since it may not know all recent rosters.
func TestIncompleteRosterHistoryConfirmsNothing(t *testing.T) {
	old := testSettings
	defer func() { testSettings = old }()
	testSettings.Limit = 10 * time.Second
	s := newTakeoverScenario()
	for range 7 { // more than a snapshot keeps when faulty is set
		s.sim.appendEvent(s.sim.newNode("b").member, false)
	}
	s.sim.faulty = true
	s.sim.appendEvent(s.third.member, false)
	s.readLog(s.third)
	table := s.third.table
	high := table.highMS
	for !s.third.clock().After(time.UnixMilli(high)) {
		s.sim.now += 500
		r := table.NextRound(s.third.clock(), s.sim.rng.Shuffle)
		if r == nil {
			continue
		}
		for _, m := range r.Members {
			r.RecordOffset(m.ID, table.Offset())
		}
		table.FinishRound(r, s.third.clock())
	}
	if table.highMS != high {
		t.Errorf("range extended by %d ms", table.highMS-high)
	}
	for i := range table.shards {
		if open := table.shards[i].open(); open != nil && !open.unsettled {
			t.Fatalf("tenure of shard %d settled", i)
		}
	}
}

// A claim on a shard that is being handed over is retried a bounded number of times.
func TestClaimRetriesAreBounded(t *testing.T) {
	sim := newSimulation(1, 2, false)
	sim.runUntil(sim.now + 5000)
	for _, response := range []ClaimResponse{{Verdict: VerdictHandingOver}, {Verdict: VerdictNotOwner, Peer: sim.nodes[0].member}} {
		k := sim.freshKey(sim.now)
		for k.Home([]string{"a", "b"}) != "a" {
			k = sim.freshKey(sim.now)
		}
		r, s := newResolver(sim.nodes[0].snap, ClaimRequest{Key: k})
		waits := 0
		for s.request && waits <= 2*maxClaimRetries {
			s = r.answered(response)
			if s.wait {
				waits++
			}
		}
		if waits != maxClaimRetries || s.result == nil || s.result.Outcome != kernel.OutcomeNotRun {
			t.Errorf("%+v: waited %d times, then %+v", response, waits, s)
		}
	}
}

// A member that joined after a handover does not treat the tenure handed over as the
// one directly before its own, since another member was the next owner at that time.
func TestHandoverFromBeforeJoinIsNotDirectPredecessor(t *testing.T) {
	s := newTakeoverScenario()
	handed := s.handover()
	s.second.table.AcceptHandover(handed)
	s.second.publish(0, 0, s.first.member)
	s.sim.now += 10_000
	s.readLog(s.second)
	s.sim.appendEvent(s.third.member, false)
	s.readLog(s.third)
	s.third.publish(0, 0, s.first.member)
	s.third.table.AcceptHandover(handed)
	s.sim.now += 10_000
	s.readLog(s.third)
	// The range that was handed over is excluded: here two members hold it, which
	// happens only in this test.
	s.requireDisjointRangesFrom(t, handed.Tenures[0].endMS(), s.second, s.third)
}
