package claims

import (
	"flag"
	"testing"
	"time"
)

var (
	seeds  = flag.Uint64("seeds", 6, "number of seeds of TestAtMostOnce")
	limit  = flag.Duration("limit", 0, "limit of TestRefusedShareOfFreshKeys")
	margin = flag.Duration("margin", testSettings.Margin, "margin of TestRefusedShareOfFreshKeys")
	outage = flag.Duration("outage", 10*time.Second, "length of the faults of TestRefusedShareOfFreshKeys")
)

// TestAtMostOnce injects random faults at several owners and checks that no key runs
// twice and that no attempt reported as not-run has run.
func TestAtMostOnce(t *testing.T) {
	testAtMostOnceWithLimit(t, 0)
	t.Run("majority", func(t *testing.T) { testAtMostOnceWithLimit(t, 8*time.Second) })
}

func testAtMostOnceWithLimit(t *testing.T, limit time.Duration) {
	old := testSettings
	defer func() { testSettings = old }()
	testSettings.Limit = limit
	granted := 0
	for seed := uint64(1); seed <= *seeds; seed++ {
		sim := newSimulation(seed, 3, true)
		end := sim.now + 40_000
		sim.after(0, func() { sim.submitFreshKeys(8, end, true) })
		maxPauseMS := 1500 * (1 + int64(seed%4)*2)
		sim.after(0, func() { sim.injectFaults(maxPauseMS, end) })
		sim.runUntil(end + 30_000)
		granted += sim.firstResults["granted"]
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(sim.violations), sim.violations[0])
		}
		if testing.Verbose() {
			t.Logf("seed %d: %s", seed, sim.summary())
		}
	}
	if granted == 0 {
		t.Fatal("no key was granted in any run")
	}
}

// injectFaults injects one random fault after another, at most maxPauseMS apart.
func (sim *simulation) injectFaults(maxPauseMS, end int64) {
	if sim.now >= end {
		return
	}
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	domain := n.member.Domain
	switch sim.rng.IntN(10) {
	case 0, 1:
		n.pausedUntil = sim.now + sim.rng.Int64N(15_000)
	case 2: // a crash, followed by the removal of the member
		sim.replace(domain, func() {
			sim.stopNode(n)
			sim.after(sim.rng.Int64N(3000), func() { sim.appendEvent(n.member, true) })
		})
	case 3: // removal of a live member
		sim.replace(domain, func() {
			sim.appendEvent(n.member, true)
			n.pausedUntil = sim.now + sim.rng.Int64N(6000)
			sim.after(sim.rng.Int64N(10_000), func() { sim.stopNode(n) })
		})
	case 4:
		sim.replace(domain, func() { sim.resign(n) })
	case 5:
		if len(sim.nodes) < 12 {
			sim.join(domain)
		}
	case 6:
		sim.cutOffUntil[domain] = sim.now + sim.rng.Int64N(8000)
	case 7:
		sim.logDownUntil = sim.now + sim.rng.Int64N(8000)
	case 8:
		sim.splitUntil[domain] = sim.now + sim.rng.Int64N(12_000)
	case 9:
		if sim.rng.IntN(4) == 0 {
			lists := [][]string{{"a", "b"}, {"a"}, {"b", "a", "c"}}
			sim.log = append(sim.log, record{domains: lists[sim.rng.IntN(len(lists))]})
		}
	}
	sim.after(sim.rng.Int64N(maxPauseMS), func() { sim.injectFaults(maxPauseMS, end) })
}

// replace joins a new member and then removes another.
func (sim *simulation) replace(domain string, leave func()) {
	sim.join(domain)
	leave()
}

// TestRefusedShareOfFreshKeys logs the share of fresh keys that are not granted around
// a single fault, and requires that planned changes refuse none.
func TestRefusedShareOfFreshKeys(t *testing.T) {
	cases := []struct {
		name    string
		planned bool
		fault   func(sim *simulation, n *simNode)
	}{
		{"none", true, func(*simulation, *simNode) {}},
		{"join", true, func(sim *simulation, n *simNode) { sim.join(n.member.Domain) }},
		{"planned stop", true, func(sim *simulation, n *simNode) { sim.resign(n) }},
		{"planned stops in a row", true, func(sim *simulation, n *simNode) {
			domain := n.member.Domain
			for i := range int64(3) {
				sim.after(i*12_000, func() { sim.resign(sim.oldestInDomain(domain)) })
			}
		}},
		{"replacement", true, func(sim *simulation, n *simNode) {
			sim.join(n.member.Domain)
			sim.after(3000, func() { sim.resign(n) })
		}},
		{"crash, removed after 1 s", false, func(sim *simulation, n *simNode) {
			sim.stopNode(n)
			sim.after(1000, func() { sim.appendEvent(n.member, true) })
		}},
		{"pause of 5 s", false, func(sim *simulation, n *simNode) { n.pausedUntil = sim.now + 5000 }},
		{"domain cut off", false, func(sim *simulation, n *simNode) { sim.cutOffUntil[n.member.Domain] = sim.now + outage.Milliseconds() }},
		{"log away", false, func(sim *simulation, n *simNode) { sim.logDownUntil = sim.now + outage.Milliseconds() }},
	}
	old := testSettings
	defer func() { testSettings = old }()
	testSettings.Margin = *margin
	testSettings.Limit = *limit
	testSettings.Retention = max(old.Retention, 3**margin)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(7, 6, false)
			sim.runUntil(sim.now + 10_000)
			end := sim.now + 30_000 + outage.Milliseconds()
			sim.after(0, func() { sim.submitFreshKeys(10, end, false) })
			sim.after(5000, func() { c.fault(sim, sim.nodes[0]) })
			sim.runUntil(end + 5000)
			t.Log(sim.summary())
			if c.planned && len(sim.firstResults) != 1 {
				t.Errorf("a planned change refused fresh keys: %s", sim.summary())
			}
		})
	}
}

// TestRangesAreDisjointAtMaxSkew claims keys of all minting times at an owner, whose
// clock is ahead by the skew bound and whose last contact is as late as possible
// before its shards pass on, and at its successor. No key may be granted by both.
func TestRangesAreDisjointAtMaxSkew(t *testing.T) {
	sim := newSimulation(1, 1, false)
	sim.runUntil(sim.now + 5000)
	oldOwner := sim.nodes[0]
	oldOwner.skew = testSettings.Skew.Milliseconds()
	upTo := len(sim.log)
	oldOwner.publish(upTo, oldOwner.clock().UnixMilli())
	newOwner := sim.join(oldOwner.member.Domain)
	newOwner.skew = 0
	newOwner.publish(len(sim.log), 0)
	sim.runUntil(sim.now + 20)
	newOwner.publish(len(sim.log), sim.now+60_000)
	grantedTwice, grantedBySuccessor := 0, 0
	for ms := range testSettings.Margin.Milliseconds() * 2 {
		k := newKey(sim.now+ms, [10]byte{byte(ms), byte(ms >> 8)})
		first := oldOwner.table.Claim(ClaimRequest{Key: k, Attempt: Attempt{1}}).Verdict == VerdictGranted
		second := newOwner.table.Claim(ClaimRequest{Key: k, Attempt: Attempt{2}}).Verdict == VerdictGranted
		if first && second {
			grantedTwice++
		} else if second {
			grantedBySuccessor++
		}
	}
	if grantedTwice > 0 || grantedBySuccessor == 0 {
		t.Errorf("%d keys granted twice, %d by the successor alone", grantedTwice, grantedBySuccessor)
	}
}

// TestRemovedMemberCannotConfirmByMajority removes a live member that does not learn of
// its removal, and submits each key both to it and to a member that knows of the
// removal. No key may run twice.
func TestRemovedMemberCannotConfirmByMajority(t *testing.T) {
	old := testSettings
	defer func() { testSettings = old }()
	testSettings.Limit = 10 * time.Second
	cases := []struct {
		name string
		// apart is the number of the five members that are cut off.
		apart     int
		noUpdates bool
	}{
		{"minority cut off", 2, false},
		{"majority cut off", 3, false},
		{"change not seen", 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(3, 5, false)
			sim.runUntil(sim.now + 15_000) // past the limit, so that the first small rosters are dropped
			var members []*simNode
			for _, n := range sim.nodes {
				if n.member.Domain == "a" {
					n.group = 1
					members = append(members, n)
				}
			}
			for _, n := range members[:c.apart] {
				n.group = 0
			}
			removed := members[0]
			removed.noUpdates = c.noUpdates
			sim.splitUntil["a"] = sim.now + 60_000
			sim.after(100, func() { sim.appendEvent(removed.member, true) })
			end := sim.now + 40_000
			sim.after(0, func() { sim.submitPairs(removed, members[4], end) })
			sim.runUntil(end + 10_000)
			if len(sim.violations) > 0 {
				t.Errorf("%d violations, first: %s", len(sim.violations), sim.violations[0])
			}
			t.Log(len(sim.ran), "keys ran;", sim.summary())
		})
	}
}

// submitPairs submits fresh keys at two nodes, in random order.
func (sim *simulation) submitPairs(a, b *simNode, end int64) {
	if sim.now >= end {
		return
	}
	if sim.rng.IntN(2) == 0 {
		a, b = b, a
	}
	k := sim.freshKey(a.clock().UnixMilli())
	a.schedule(0, func() { sim.submit(a, k, 1) })
	b.schedule(sim.rng.Int64N(3000), func() { sim.submit(b, k, 1) })
	sim.after(4, func() { sim.submitPairs(a, b, end) })
}
