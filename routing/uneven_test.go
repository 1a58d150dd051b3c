package routing

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const unevenSlots = 8

// playDomain sends calls for a share of the capacity of the instances of domain "a" from
// 20 nodes there.
func playDomain(f *unevenFleet, silent bool, share float64) (mean, p99 float64) {
	f.silent = silent
	f.addEntries(20, "a")
	rate := share * f.capacity("")
	f.countFrom = f.now.Add(time.Second)
	f.arrive(0, 20, func(time.Time) float64 { return rate })
	f.run(8 * time.Second)
	return f.times()
}

// Seven instances of work time 0.5 to 1.7 are asked for 0.7 of their capacity. Guards
// against a choice by occupied slots: the mean time must be lower by a twentieth and the
// 99th percentile must not be higher.
func TestUnevenSpeeds(t *testing.T) {
	members := map[string]float64{"a1": 0.5, "a2": 0.7, "a3": 0.9, "a4": 1.1, "a5": 1.3, "a6": 1.5, "a7": 1.7}
	for _, seed := range seeds {
		bySlots, longestBySlots := playDomain(newUnevenFleet(seed, unevenSlots, members), true, 0.7)
		byTime, longestByTime := playDomain(newUnevenFleet(seed, unevenSlots, members), false, 0.7)
		t.Logf("seed %d: mean and 99th percentile by slots %.2f %.2f, by time %.2f %.2f", seed, bySlots, longestBySlots, byTime, longestByTime)
		if byTime > 0.95*bySlots || longestByTime > longestBySlots {
			t.Errorf("seed %d: mean and 99th percentile by slots %.2f %.2f, by time %.2f %.2f", seed, bySlots, longestBySlots, byTime, longestByTime)
		}
	}
}

// slowInTurns makes one instance after the other 2.5 times as slow for 0.7 s.
func (f *unevenFleet) slowInTurns() {
	began, n := f.now, len(f.members)
	for k := range n {
		member := f.members[state.MemberID(fmt.Sprint("a", k))]
		member.mean = 1 + 1.5/float64(n)
		member.workTime = func(now time.Time) float64 {
			if int(now.Sub(began)/(700*time.Millisecond))%n == k {
				return 2.5
			}
			return 1
		}
	}
}

// One in seven instances is 2.5 times as slow for 0.7 s, asked for 0.7 of the capacity.
// Guards against calls that go on to an instance until its slots are full.
func TestOneInSevenIsSlow(t *testing.T) {
	members := map[string]float64{"a0": 1, "a1": 1, "a2": 1, "a3": 1, "a4": 1, "a5": 1, "a6": 1}
	for _, seed := range seeds {
		var mean, p99 [2]float64
		for n, silent := range []bool{true, false} {
			f := newUnevenFleet(seed, unevenSlots, members)
			f.slowInTurns()
			mean[n], p99[n] = playDomain(f, silent, 0.7)
		}
		t.Logf("seed %d: mean by slots and by time %.2f, 99th percentile %.2f", seed, mean, p99)
		if mean[1] > 0.95*mean[0] || p99[1] > p99[0] {
			t.Errorf("seed %d: mean by slots and by time %.2f, 99th percentile %.2f", seed, mean, p99)
		}
	}
}

// fourDomains returns a fleet with five instances of work time 0.5 to 1.7 and 19 entry
// nodes in each of four failure domains. Each domain asks for share of its capacity;
// with moving demand, one after the other asks for half as much again for 2 s and the
// rest for less.
func fourDomains(seed uint64, share float64, usual time.Duration, moving bool) *unevenFleet {
	workTimes := []float64{0.5, 1.3, 0.9, 1.7, 0.7, 1.1, 1.5}
	members := map[string]float64{}
	for d, domain := range []string{"a", "b", "c", "d"} {
		for i := range 5 {
			members[fmt.Sprint(domain, i)] = workTimes[(i+2*d)%len(workTimes)]
		}
	}
	f := newUnevenFleet(seed, unevenSlots, members)
	f.usual = usual
	began := f.now
	f.countFrom = f.now.Add(time.Second)
	for d, domain := range []string{"a", "b", "c", "d"} {
		rate := share * f.capacity(domain)
		f.arrive(f.addEntries(19, domain), 19, func(now time.Time) float64 {
			switch {
			case !moving:
				return rate
			case int(now.Sub(began)/(2*time.Second))%4 == d:
				return 1.5 * rate
			}
			return rate * 2.5 / 3
		})
	}
	return f
}

// Demand for 0.7 of the capacity moves by half between four failure domains. Guards
// against calls that wait in one domain while another one has room, and against more
// calls between domains than without reported work times.
func TestDemandMovesBetweenDomains(t *testing.T) {
	for _, seed := range seeds {
		var mean, p99, across [2]float64
		for n, silent := range []bool{true, false} {
			f := fourDomains(seed, 0.7, 40*time.Millisecond, true)
			f.silent = silent
			f.run(9 * time.Second)
			mean[n], p99[n] = f.times()
			across[n] = float64(f.across) / float64(f.calls)
		}
		t.Logf("seed %d: mean by slots and by time %.2f, 99th percentile %.2f, share across domains %.2f", seed, mean, p99, across)
		if mean[1] > 0.95*mean[0] || p99[1] > p99[0] || across[1] > across[0] {
			t.Errorf("seed %d: mean by slots and by time %.2f, 99th percentile %.2f, share across domains %.2f", seed, mean, p99, across)
		}
	}
}

// Guards against calls that go to other domains for no gain: where every domain asks for
// the same part, a third, of its capacity, and where the way takes as long as calls.
func TestCallsStayWithoutGain(t *testing.T) {
	for _, seed := range seeds {
		even := fourDomains(seed, 0.33, 40*time.Millisecond, false)
		short := fourDomains(seed, 0.7, 3*time.Millisecond, false)
		for name, f := range map[string]*unevenFleet{"a third of the capacity": even, "short calls": short} {
			f.run(4 * time.Second)
			if share := float64(f.across) / float64(f.calls); share > 0.1 {
				t.Errorf("seed %d: %s: %.3f of the calls went to other domains", seed, name, share)
			}
		}
	}
}

// 76 entry nodes with the same reports choose at the same moment. Guards against all of
// them choosing the fastest member: two random choices out of seven draw it for two
// sevenths of the calls, here with three standard deviations on top.
func TestSameNewsDoesNotHerd(t *testing.T) {
	const entries, members = 76, 7
	share := 2.0 / members
	most := int(share*entries + 3*math.Sqrt(entries*share*(1-share)))
	for _, domain := range []string{"a", "b"} { // of the members; the nodes are in a
		names := map[string]float64{"a9": 1.7}
		for i := range members {
			names[fmt.Sprint(domain, i)] = 1.2
		}
		f := newUnevenFleet(1, unevenSlots, names)
		f.addEntries(entries, "a")
		fastest := state.MemberID(domain + "3")
		chosen := map[state.MemberID]int{}
		for _, g := range f.entries {
			for _, o := range append(append([]*owner{}, g.local...), g.remote...) {
				load := &kernel.Load{Limit: unevenSlots, InFlight: 2, Work: kernel.WorkTime{Now: 1.2, Mean: 1.2}}
				switch o.member.ID {
				case fastest:
					load.Work = kernel.WorkTime{Now: 0.5, Mean: 0.5}
				case "a9":
					load.InFlight = 3 * unevenSlots
				}
				o.recordLoad(load, f.now)
			}
		}
		for _, g := range f.entries {
			chosen[g.pick(f.now, f.rng.Uint64, nil).member.ID]++
		}
		if chosen[fastest] > most || chosen[fastest] == 0 {
			t.Errorf("members in %s: the fastest gets %d of %d simultaneous calls, want at most %d: %v", domain, chosen[fastest], entries, most, chosen)
		}
	}
}

func loadWith(inFlight int, now, mean float64) *kernel.Load {
	return &kernel.Load{Limit: 10, InFlight: inFlight, Work: kernel.WorkTime{Now: now, Mean: mean}}
}

// Guards against members without a work time that count as free or as slow, and against
// wrong figures that starve a member or draw all calls.
func TestMissingAndWrongWorkTimes(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1", "a2")
	o, other := b.owner("a1"), b.owner("a2")
	for _, c := range []struct{ figure, mean, want float64 }{
		{0, 0, 1}, {0, 2, 1}, {-1, 1, 1}, {math.NaN(), 1, 1}, {math.Inf(1), 1, kernel.MaxWorkTime}, {1e-9, 1, kernel.MinWorkTime}, {1.5, 1, 1.5},
	} {
		o.recordLoad(loadWith(4, c.figure, c.mean), b.now)
		if got := o.workTime(b.now); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("figure %g, mean %g: work time %g, want %g", c.figure, c.mean, got, c.want)
		}
	}
	o.recordLoad(loadWith(4, 1.5, 1), b.now)
	other.recordLoad(loadWith(4, 0, 0), b.now)
	if !other.faster(o, b.now) || o.faster(other, b.now) {
		t.Error("a member at the usual work time isn't preferred to a slower one")
	}
	o.recordLoad(loadWith(4, 0.5, 1), b.now)
	if !o.faster(other, b.now) {
		t.Error("a fast member isn't preferred to one that reports no work time")
	}
	o.recordLoad(loadWith(4, 2.5, 1), b.now)
	if got := o.workTime(b.now.Add(time.Second)); math.Abs(got-1) > 0.1 {
		t.Errorf("work time %g a second after a slow phase was reported, want the mean, 1", got)
	}
}

// Guards against work times that are kept as what an instance has said of itself, which
// would be told to its node with every call.
func TestWorkTimeIsNotRemembered(t *testing.T) {
	b := newTestPlugin(t, 1, "x", "a1")
	b.answer = func(state.Member) *kernel.Result {
		r := succeeded()
		r.Load = loadWith(1, 2, 1)
		return r
	}
	b.sendCalls(t.Context(), 3)
	if known := b.owner("a1").memory.Load().load(); known != nil || len(b.known) != 0 {
		t.Errorf("remembered %+v", known)
	}
}

// busyDomain returns a plug-in in domain "a" whose instance is busy and reports its work
// time; b1, b2 and c1 are idle.
func busyDomain(t *testing.T, names ...string) *testPlugin {
	b := newTestPlugin(t, 1, "x", append([]string{"a1"}, names...)...)
	b.host.Log = slog.New(slog.DiscardHandler)
	b.answer = func(m state.Member) *kernel.Result {
		r := succeeded()
		r.Load = loadWith(0, 1, 1)
		if m.Domain == "a" {
			r.Load = loadWith(12, 1, 1)
		}
		return r
	}
	b.owner("a1").recordLoad(loadWith(12, 1, 1), b.now)
	return b
}

// Guards against calls to a failure domain that can't be reached: after one lost call it
// is no room, whichever of its members was called, until the time of an ejection is over.
func TestUnreachableDomainIsNoRoom(t *testing.T) {
	b := busyDomain(t, "b1", "b2", "b3", "b4")
	answer := b.answer
	cut := true
	b.answer = func(m state.Member) *kernel.Result {
		if m.Domain == "b" && cut {
			return lostCall()
		}
		return answer(m)
	}
	lost := func() int { return b.calls["b1"] + b.calls["b2"] + b.calls["b3"] + b.calls["b4"] }
	b.sendCalls(t.Context(), 100)
	if lost() != 1 {
		t.Errorf("%d calls went to a domain that can't be reached, want 1", lost())
	}
	for range 600 {
		b.now = b.now.Add(50 * time.Millisecond)
		b.sendCalls(t.Context(), 5)
	}
	if lost() > 7 {
		t.Errorf("%d calls went to a domain that can't be reached within 30 s, want at most one for each doubling of the time", lost())
	}
	cut = false
	b.now = b.now.Add(2 * maxEjectionTime)
	b.owner("a1").recordLoad(loadWith(12, 1, 1), b.now)
	clear(b.calls)
	b.sendCalls(t.Context(), 100)
	if lost() < 50 {
		t.Errorf("%d of 100 calls went to the domain after it was reachable again", lost())
	}
}

// Guards against calls that stay at a local instance which answers no more: its latest
// report ages while this node's own calls pile up.
func TestStalledInstanceSpills(t *testing.T) {
	b := busyDomain(t, "b1")
	b.owner("a1").recordLoad(loadWith(0, 1, 1), b.now)
	b.owner("a1").outstanding.Store(15)
	b.now = b.now.Add(2 * time.Second)
	b.sendCalls(t.Context(), 10)
	if b.calls["b1"] != 10 {
		t.Errorf("%d of 10 calls left an instance that has not answered for 2 s", b.calls["b1"])
	}
}

// Guards against calls that swing: once calls go to other domains they do so until the
// gain is clearly lower than the one at which they began.
func TestShiftHasHysteresis(t *testing.T) {
	for _, c := range []struct {
		local int
		after bool // the gain was high before
		moves bool
	}{{6, false, false}, {6, true, true}, {9, false, true}, {4, true, false}} {
		b := busyDomain(t, "b1")
		b.owner("b1").recordLoad(loadWith(2, 1, 1), b.now)
		g := b.current().groups["s"]
		if c.after {
			g.shift.record(b.now)
		}
		b.owner("a1").recordLoad(loadWith(c.local, 1, 1), b.now)
		moved := 0
		for range 200 {
			o := g.pick(b.now, b.host.Rand, nil)
			if o.member.Domain == "b" {
				moved++
			}
			o.outstanding.Add(-1)
		}
		if (moved > 0) != c.moves {
			t.Errorf("%d local calls, 2 remote ones, calls were moved before %v: %d of 200 moved", c.local, c.after, moved)
		}
	}
}

// Guards against the rules for reported work times where none is reported.
func TestNothingShiftsWithoutWorkTime(t *testing.T) {
	f := fourDomains(1, 0.9, 40*time.Millisecond, true)
	f.silent = true
	f.run(4 * time.Second)
	for _, g := range f.entries {
		if g.shift.moved.Load() > 0 {
			t.Fatal("a call was moved by work time")
		}
	}
}

// Guards against a log line for each call, and against a shift without a line.
func TestShiftsAreLoggedOnce(t *testing.T) {
	b := busyDomain(t, "b1")
	var out bytes.Buffer
	b.host.Log = slog.New(slog.NewTextHandler(&out, nil))
	for i := range 200 {
		b.now = b.now.Add(kernel.TickInterval)
		if i%60 < 30 { // 1.5 s of calls, 1.5 s without
			b.sendCalls(t.Context(), 5)
		}
		b.Tick(b.now)
	}
	begins, ends := strings.Count(out.String(), "domains begins"), strings.Count(out.String(), "domains ends")
	if begins != 1 || ends != 1 {
		t.Errorf("%d lines of a beginning and %d of an end in 10 s, want one each:\n%s", begins, ends, out.String())
	}
}
