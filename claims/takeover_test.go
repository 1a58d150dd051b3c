package claims

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// takeover is a failure domain of two members, of which the first ranks before
// all others for one shard, and a third that has not joined yet and ranks
// between them.
type takeover struct {
	w                    *world
	first, second, third *simNode
	shard                uint16
}

func newTakeover() *takeover {
	w := newWorld(1, 0, false)
	t := &takeover{w: w, first: w.newNode("a"), second: w.newNode("a"), third: w.newNode("a")}
	a, b, c := t.first.member.ID, t.second.member.ID, t.third.member.ID
	for !beats(a, c, t.shard) || !beats(c, b, t.shard) {
		t.shard++
	}
	w.appendEvent(t.first.member, false)
	w.appendEvent(t.second.member, false)
	t.read(t.first)
	t.read(t.second)
	w.now += 20_000
	t.read(t.first)
	t.read(t.second)
	return t
}

// read lets a node read the whole log.
func (t *takeover) read(n *simNode) { n.publish(len(t.w.log), n.clock().UnixMilli()) }

// handover is what the first member hands over when it resigns.
func (t *takeover) handover() Handover {
	for _, heir := range t.first.table.Resign() {
		if heir.Shard == t.shard {
			return t.first.table.Drain(heir)[0]
		}
	}
	panic("the first member does not own the shard")
}

// require fails if some minting time lies within the ranges of both nodes.
func (t *takeover) require(tt *testing.T, x, y *simNode) {
	tt.Helper()
	both, either := 0, 0
	for ms := int64(startMS); ms < t.w.now+20_000; ms++ {
		inX := x.table.shards[t.shard].covers(ms)
		inY := y.table.shards[t.shard].covers(ms)
		if inX && inY {
			both++
		}
		if inX || inY {
			either++
		}
	}
	if both > 0 || either == 0 {
		tt.Errorf("%d ms lie in the ranges of both, %d in either", both, either)
	}
}

// TestTakeoverYields: a member that acts for a resigned one gives way to a new
// member that ranks before it.
func TestTakeoverYields(t *testing.T) {
	s := newTakeover()
	s.second.table.Adopt(s.handover())
	s.w.appendEvent(s.third.member, false)
	s.read(s.third)
	s.third.publish(0, 0, s.first.member)
	s.w.now += 10_000
	s.read(s.second)
	s.read(s.third)
	s.require(t, s.second, s.third)
}

// TestLateHandover: a handover that arrives after a third owner has come and
// gone does not extend the range into that owner's.
func TestLateHandover(t *testing.T) {
	s := newTakeover()
	late := s.handover()
	s.w.appendEvent(s.third.member, false)
	s.read(s.third)
	s.third.publish(0, 0, s.first.member)
	s.w.now += 10_000
	s.read(s.third)
	s.w.appendEvent(s.third.member, true)
	s.read(s.second)
	s.second.publish(0, 0, s.first.member)
	s.w.now += 10_000
	s.read(s.second)
	s.second.table.Adopt(late)
	s.require(t, s.second, s.third)
}

// TestNoticeBeforeListChange: a notice sent under another list of failure
// domains has no effect.
func TestNoticeBeforeListChange(t *testing.T) {
	s := newTakeover()
	n := ClosedNotice{Change: Change{Member: s.third.member.ID}, Domains: s.first.table.domains, Holder: s.first.member}
	for shard := range uint16(shardCount) {
		n.Ends = append(n.Ends, TenureEnd{Shard: shard, EndMS: startMS})
	}
	s.read(s.third)
	if _, ok := s.third.table.Closed(n); !ok {
		t.Fatal("notice refused")
	}
	s.w.log = append(s.w.log, record{domains: []string{"a"}})
	s.w.appendEvent(s.third.member, false)
	s.read(s.third)
	for i := range s.third.table.shards {
		if s.third.table.shards[i].covers(s.w.now - 1) {
			t.Fatalf("shard %d covers keys from before the member joined", i)
		}
	}
}

// TestMissedChanges: a member that has missed the coming and going of another
// owner does not go on with its old range.
func TestMissedChanges(t *testing.T) {
	s := newTakeover()
	for !beats(s.third.member.ID, s.first.member.ID, s.shard) || !beats(s.first.member.ID, s.second.member.ID, s.shard) {
		s.shard++
	}
	s.w.appendEvent(s.third.member, false)
	s.read(s.third)
	s.w.now += 10_000
	s.read(s.third)
	s.w.appendEvent(s.third.member, true)
	for range 7 { // more than a snapshot keeps when faulty is set
		s.w.appendEvent(s.w.newNode("b").member, false)
	}
	s.w.now += 10_000
	s.w.faulty = true
	s.read(s.first)
	s.require(t, s.first, s.third)
}

// TestMissedVersions: a member that has missed a change of the list of failure
// domains and back does not go on with its old range.
func TestMissedVersions(t *testing.T) {
	s := newTakeover()
	other := s.w.newNode("b")
	s.w.appendEvent(other.member, false)
	s.w.log = append(s.w.log, record{domains: []string{"b"}})
	s.read(other)
	s.w.now += 10_000
	s.read(other)
	k := s.w.freshKey(s.w.now)
	for k.Home([]string{"a", "b"}) != "a" || k.Shard() != s.shard {
		k = s.w.freshKey(s.w.now)
	}
	if v := other.table.Claim(ClaimRequest{Key: k, Attempt: Attempt{1}}).Verdict; v != VerdictGranted {
		t.Fatalf("home under the changed list: verdict %d", v)
	}
	s.w.log = append(s.w.log, record{domains: []string{"a", "b"}})
	s.w.now += 1000
	s.read(s.first)
	if v := s.first.table.Claim(ClaimRequest{Key: k, Attempt: Attempt{2}}).Verdict; v == VerdictGranted {
		t.Fatal("the key was granted twice")
	}
}

// TestBlindNode: a node that has started in mid-log neither confirms nor
// settles, since it may not know all recent rosters.
func TestBlindNode(t *testing.T) {
	old := testSettings
	defer func() { testSettings = old }()
	testSettings.Limit = 10 * time.Second
	s := newTakeover()
	for range 7 { // more than a snapshot keeps when faulty is set
		s.w.appendEvent(s.w.newNode("b").member, false)
	}
	s.w.faulty = true
	s.w.appendEvent(s.third.member, false)
	s.read(s.third)
	table := s.third.table
	high := table.highMS
	for !s.third.clock().After(time.UnixMilli(high)) {
		s.w.now += 500
		r := table.NextRound(s.third.clock(), s.w.rng.Shuffle)
		if r == nil {
			continue
		}
		for _, m := range r.Ask {
			r.Answer(m.ID, table.Offset())
		}
		table.Finish(r, s.third.clock())
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

// TestAskerWaits: a claim on a shard that is being handed over is repeated for
// a bounded time.
func TestAskerWaits(t *testing.T) {
	w := newWorld(1, 2, false)
	w.runUntil(w.now + 5000)
	for _, ans := range []ClaimAnswer{{Verdict: VerdictMoving}, {Verdict: VerdictNotOwner, Peer: w.nodes[0].member}} {
		k := w.freshKey(w.now)
		for k.Home([]string{"a", "b"}) != "a" {
			k = w.freshKey(w.now)
		}
		a, s := begin(w.nodes[0].snap, ClaimRequest{Key: k})
		waits := 0
		for s.ask && waits <= 2*maxWaits {
			s = a.answered(ans)
			if s.wait {
				waits++
			}
		}
		if waits != maxWaits || s.result == nil || s.result.Outcome != kernel.OutcomeNotRun {
			t.Errorf("%+v: waited %d times, then %+v", ans, waits, s)
		}
	}
}
