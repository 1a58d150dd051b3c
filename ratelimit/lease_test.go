package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

var t0 = time.Unix(1000, 0)

func TestLeaseCountsFromSendingOfRequest(t *testing.T) {
	var l lease
	answered := t0.Add(DefaultTiming.LeaseDuration - time.Millisecond)
	l.replace(Grant{Seq: 1, Rate: 10, Burst: 5, Tokens: 5, DurationMS: 2000}, "o", DefaultTiming, t0, answered)
	if !l.take(answered) {
		t.Fatal("no token from a live lease")
	}
	if l.take(t0.Add(DefaultTiming.LeaseDuration)) {
		t.Fatal("got a token from an expired lease")
	}
	if l.take(answered) {
		t.Fatal("an expired lease is valid again after the clock went back")
	}
	if l.seq != 1 {
		t.Fatal("the expired lease lost the Seq of its grant")
	}
}

// The borrower counts the lease from the sending of the lease request.
func TestLateAnswerShortensLease(t *testing.T) {
	f := newFleet(1, []string{"d"}, 1, testCustomers)
	n := f.nodes[0]
	_, requests := n.entry.Decide(n.snap, "large", config.PriorityNormal, t0)
	if len(requests) != 1 {
		t.Fatalf("%d lease requests, want 1", len(requests))
	}
	g := Grant{Seq: requests[0].LeaseRequest.Seq, Rate: 10, Burst: 5, Tokens: 5, DurationMS: 2000}
	n.entry.Granted("d", "large", requests[0].To.ID, g, t0.Add(1900*time.Millisecond))
	if d, _ := n.entry.Decide(n.snap, "large", config.PriorityNormal, t0.Add(1950*time.Millisecond)); d.Verdict != Admit {
		t.Fatal("no token from a live lease")
	}
	if d, _ := n.entry.Decide(n.snap, "large", config.PriorityNormal, t0.Add(2*time.Second)); d.Verdict == Admit {
		t.Fatal("got a token after the lease had expired, counted from the request")
	}
}

// A failure domain that is removed from the configuration and returns must not
// make the owner treat spent tokens as unused.
func TestReturningDomainIsNotCreditedTwice(t *testing.T) {
	f := newFleet(1, []string{"d", "e"}, 1, testCustomers)
	n := f.nodes[0]
	_, requests := n.entry.Decide(n.snap, "large", config.PriorityNormal, t0)
	g := Grant{Seq: requests[0].LeaseRequest.Seq, Rate: 10, Burst: 1, Tokens: 1, DurationMS: 2000}
	n.entry.Granted("d", "large", requests[0].To.ID, g, t0)
	n.entry.Retry(n.snap, "large", config.PriorityNormal, true, t0)
	without, back := *n.snap.Config, *n.snap.Config
	without.FailureDomains = []string{"e"}
	for _, cfg := range []*config.Config{&without, &back} {
		s := *n.snap
		s.Config = cfg
		n.snap = &s
		_, requests = n.entry.Decide(n.snap, "large", config.PriorityNormal, t0.Add(20*time.Millisecond))
	}
	if len(requests) != 1 || requests[0].Domain != "d" || requests[0].LeaseRequest.HeldSeq != g.Seq {
		t.Fatalf("lease requests %+v, want one with the held grant", requests)
	}
}

func TestGrantReceivedAfterItsEndIsVoid(t *testing.T) {
	var l lease
	l.replace(Grant{Seq: 1, Rate: 10, Burst: 5, Tokens: 5, DurationMS: 2000}, "o", DefaultTiming, t0, t0.Add(3*time.Second))
	if l.take(t0.Add(3 * time.Second)) {
		t.Fatal("got a token from a grant that arrived after its end")
	}
}

func TestLenderAllowsForClockDrift(t *testing.T) {
	// The lender's clock may run 2 % faster than the borrower's.
	l := NewLedger(DefaultTiming, Share{Rate: 100, Burst: 100}, t0)
	now := t0.Add(time.Second)
	g := l.HandleLeaseRequest("b", true, LeaseRequest{Seq: 1, WantedRate: 50, WantedBurst: 20, Waiting: 1}, now)
	if g.DurationMS == 0 {
		t.Fatal("no lease granted")
	}
	end := time.Duration(float64(g.DurationMS)*1.02) * time.Millisecond
	l.advance(now.Add(end))
	if rate, burst := l.leased(); rate == 0 || burst == 0 {
		t.Fatal("the lender no longer counts a lease that the borrower may be using")
	}
	l.advance(now.Add(2 * end))
	if rate, burst := l.leased(); rate != 0 || burst != 0 {
		t.Fatal("the lender still counts the lease long after its end")
	}
}

func TestPausedAdmissionIsInvalid(t *testing.T) {
	d := Decision{Verdict: Admit, Until: t0.Add(time.Second)}
	if !d.StillValid(t0, t0.Add(time.Millisecond), DefaultTiming) {
		t.Fatal("admission without a pause is invalid")
	}
	if d.StillValid(t0, t0.Add(DefaultTiming.MaxStall+time.Millisecond), DefaultTiming) {
		t.Fatal("admission is valid after a pause")
	}
	if d.StillValid(t0.Add(time.Second), t0.Add(time.Second), DefaultTiming) {
		t.Fatal("admission is valid after the end of its lease")
	}
}

func TestDomainSharesSumToLimit(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range append(testCustomers, comparedCustomers...) {
		rate, burst := 0.0, 0.0
		for _, d := range domains {
			s := domainShare(c, domains, d)
			if s.Burst > 0 && s.Burst < 1 {
				t.Errorf("%s: a burst of %.2f admits nothing", c.Name, s.Burst)
			}
			rate += s.Rate
			burst += s.Burst
		}
		if rate > c.Rate || rate < 0.99*c.Rate || burst != c.Burst {
			t.Errorf("%s: shares sum to rate %.2f, burst %.0f, which is not the limit", c.Name, rate, burst)
		}
	}
}

func BenchmarkDecisionWithLease(b *testing.B) {
	f := newFleet(1, testDomains, 1, testCustomers)
	n := f.nodes[0]
	c := n.entry.customer("large")
	c.updateSources(n.snap, n.member.Domain)
	now := t0
	g := Grant{Seq: 1, Rate: 1e9, Burst: 1e6, Tokens: 1e6, DurationMS: 1 << 31}
	c.sources[0].lease.replace(g, "o", DefaultTiming, now, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		d, requests := n.entry.Decide(n.snap, "large", config.PriorityNormal, now)
		if d.Verdict != Admit || len(requests) > 0 {
			b.Fatal("the lease ran out")
		}
	}
}

func BenchmarkDecisionParallel(b *testing.B) {
	f := newFleet(1, testDomains, 1, testCustomers)
	n := f.nodes[0]
	c := n.entry.customer("large")
	c.updateSources(n.snap, n.member.Domain)
	g := Grant{Seq: 1, Rate: 1e9, Burst: 1e9, Tokens: 1e9, DurationMS: 1 << 31}
	now := time.Now()
	c.sources[0].lease.replace(g, "o", DefaultTiming, now, now)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n.entry.Decide(n.snap, "large", config.PriorityNormal, time.Now())
		}
	})
}

// BenchmarkLedgerLeaseRequest measures lease requests to a pool with many borrowers.
func BenchmarkLedgerLeaseRequest(b *testing.B) {
	for _, borrowers := range []int{8, 64, 183} {
		b.Run(fmt.Sprint(borrowers), func(b *testing.B) {
			l := NewLedger(DefaultTiming, Share{Rate: 300, Burst: 300}, t0)
			now := t0
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(3 * time.Millisecond)
				from := state.MemberID(fmt.Sprint(i % borrowers))
				l.HandleLeaseRequest(from, true, LeaseRequest{Seq: uint64(i + 1), WantedRate: 2, WantedBurst: 2, Waiting: 1}, now)
			}
		})
	}
}
