package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// maxExcess returns by how many tokens the admissions exceed burst + rate*t over
// the worst window. rateAt returns the rate at a time.
func maxExcess(times []time.Duration, burst float64, rateAt func(time.Duration) float64) float64 {
	worst, used := 0.0, 0.0
	var last time.Duration
	for _, t := range times {
		used = max(0, used-rateAt(t)*(t-last).Seconds()) + 1
		last = t
		worst = max(worst, used-burst)
	}
	return worst
}

var testDomains = []string{"evora-a", "evora-b", "beja-a"}

var testCustomers = []config.Customer{
	{Name: "small", Rate: 10, Burst: 3},
	{Name: "middle", Rate: 100, Burst: 60},
	{Name: "large", Rate: 300, Burst: 400},
	{Name: "single", Rate: 5, Burst: 1},
}

const seedCount = 16

// Under random faults, no customer may exceed its rate and burst over any window.
func TestWindowBoundUnderFaults(t *testing.T) {
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, testDomains, 4, testCustomers)
			f.faults = messageFaults{lost: 0.01, duplicated: 0.05, delayed: 0.02}
			const length = 90 * time.Second
			load := []float64{0.5, 0.9, 2}[seed%3]
			for _, c := range testCustomers {
				f.arrivals(c.Name, load*c.Rate, length, f.anyLiveNode)
			}
			f.at(time.Second, nil, func() { f.nextSpike(length) })
			f.at(time.Second, nil, func() { f.nextFault(length) })
			f.checkSpendable(t, seed)
			f.run(length)
			total := 0
			for _, c := range testCustomers {
				times := f.admitted[c.Name]
				total += len(times)
				rate := func(at time.Duration) float64 { return f.rateAt(c.Name, at) }
				if x := maxExcess(times, c.Burst, rate); x > 1e-6 {
					t.Errorf("seed %d: %s exceeds its rate and burst by %.2f requests", seed, c.Name, x)
				}
			}
			if total < 1000 {
				t.Errorf("seed %d: %d requests admitted, want at least 1000 for a meaningful run", seed, total)
			}
		})
	}
}

// checkSpendable periodically checks that the leases in use and the open pools
// together stay within every customer's rate and burst. This finds protocol
// faults that the arrivals of a run happen not to turn into an excess.
func (f *fleet) checkSpendable(t *testing.T, seed uint64) {
	f.recordRates()
	for _, c := range testCustomers {
		rate, burst := f.spendable(c.Name)
		if rate > f.rateAt(c.Name, f.now)*(1+1e-6) || burst > c.Burst+1e-3 {
			t.Errorf("seed %d at %v: %s could spend at rate %.2f, burst %.2f", seed, f.now, c.Name, rate, burst)
			return
		}
	}
	f.at(f.now+checkInterval, nil, func() { f.checkSpendable(t, seed) })
}

const checkInterval = 10 * time.Millisecond

// recordRates records the largest rate of each customer known to any live node.
func (f *fleet) recordRates() {
	for i, c := range testCustomers {
		rate := 0.0
		for _, n := range f.nodes {
			if !n.dead {
				rate = max(rate, n.snap.Config.Customers[i].Rate)
			}
		}
		f.rates[c.Name] = append(f.rates[c.Name], rate)
	}
}

// rateAt returns the rate that a customer may have at a time: the largest known
// to a live node within one lease duration before.
func (f *fleet) rateAt(customer string, at time.Duration) float64 {
	lease := f.timing.LeaseDuration + driftAllowance(f.timing.LeaseDuration)
	rates := f.rates[customer]
	from := max(0, int((at-lease)/checkInterval)-1)
	to := min(len(rates), int(at/checkInterval)+2)
	return slices.Max(rates[from:to])
}

// changeRates puts a configuration with other rates on the log.
func (f *fleet) changeRates() {
	changed := *f.config
	changed.Customers = slices.Clone(testCustomers)
	for i := range changed.Customers {
		changed.Customers[i].Rate *= 0.3 + f.rng.Float64()
	}
	f.config = &changed
	f.publish()
}

// spendable returns the sum of the leases that their holders would use now and of
// the tokens in pools whose owners would grant now.
func (f *fleet) spendable(customer string) (rate, burst float64) {
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		now := f.clock(n)
		for _, s := range n.entry.customer(customer).sources {
			if now.Before(s.lease.expiresAt) {
				rate += s.lease.rate
				burst += s.lease.burst
			}
		}
		l := n.pools.ledgers[customer]
		if l != nil && n.pools.ownership.MayGrant(customer, now) {
			burst += l.level
		}
	}
	return rate, burst
}

// nextFault injects a random fault and schedules the next one.
func (f *fleet) nextFault(until time.Duration) {
	if f.now > until {
		return
	}
	faults := []func(){f.killRandomNode, f.stopRandomNode, f.evictRandomNode, f.pauseRandomNode, f.cutDomains, f.cutLog, f.cutNodeLog, f.changeRates}
	faults[f.rng.IntN(len(faults))]()
	f.at(f.now+f.between(200*time.Millisecond, 8*time.Second), nil, func() { f.nextFault(until) })
}

// killRandomNode ends a process. Its replacement announces itself and the end.
func (f *fleet) killRandomNode() {
	n := f.anyLiveNode()
	n.dead = true
	f.replace(n)
}

// stopRandomNode stops a node as planned.
func (f *fleet) stopRandomNode() {
	n := f.anyLiveNode()
	f.stop(n, f.between(0, 3*time.Second))
	f.replace(n)
}

// evictRandomNode removes a live node from the roster while its process goes on.
func (f *fleet) evictRandomNode() {
	n := f.anyLiveNode()
	f.replace(n)
	f.at(f.now+f.between(5*time.Second, 15*time.Second), nil, func() { n.dead = true })
}

func (f *fleet) replace(n *simNode) {
	f.at(f.now+f.between(0, 3*time.Second), nil, func() {
		if f.ended[n.member.ID] {
			return
		}
		f.announce(n.member, true)
		f.start(n.member.Domain)
		f.spike(testCustomers[f.rng.IntN(len(testCustomers))])
	})
}

// pauseRandomNode pauses a node, sends it requests that it decides on when it
// resumes, and sends requests of the same customer to all nodes at that time.
func (f *fleet) pauseRandomNode() {
	n := f.anyLiveNode()
	n.pausedUntil = f.now + f.between(50*time.Millisecond, 10*time.Second)
	c := testCustomers[f.rng.IntN(len(testCustomers))]
	f.spikeAt(n, c, n.pausedUntil)
	f.at(n.pausedUntil, nil, func() { f.spike(c) })
}

// nextSpike raises the demand of one customer suddenly and schedules the next
// spike. The pools fill up in between.
func (f *fleet) nextSpike(until time.Duration) {
	if f.now > until {
		return
	}
	f.spike(testCustomers[f.rng.IntN(len(testCustomers))])
	f.at(f.now+f.between(100*time.Millisecond, 1500*time.Millisecond), nil, func() { f.nextSpike(until) })
}

func (f *fleet) spike(c config.Customer) {
	for _, n := range f.nodes {
		f.spikeAt(n, c, f.now)
	}
}

func (f *fleet) spikeAt(n *simNode, c config.Customer, at time.Duration) {
	for range int(c.Burst/8) + 2 {
		f.at(at+f.between(0, 30*time.Millisecond), n, func() { f.request(n, c.Name) })
	}
}

func (f *fleet) cutDomains() {
	a := testDomains[f.rng.IntN(len(testDomains))]
	b := testDomains[f.rng.IntN(len(testDomains))]
	f.cutLinks[link(a, b)] = true
	f.at(f.now+f.between(time.Second, 8*time.Second), nil, func() { delete(f.cutLinks, link(a, b)) })
}

func (f *fleet) cutLog() {
	d := testDomains[f.rng.IntN(len(testDomains))]
	f.withoutLog[d] = true
	f.at(f.now+f.between(time.Second, 15*time.Second), nil, func() { delete(f.withoutLog, d) })
}

func (f *fleet) cutNodeLog() {
	n := f.anyLiveNode()
	n.withoutLog = true
	f.at(f.now+f.between(time.Second, 15*time.Second), nil, func() { n.withoutLog = false })
}
