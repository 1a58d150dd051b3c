package pace

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

const step = time.Millisecond

// run starts as many calls as the pacer allows, in steps of a millisecond, and
// returns how many that were.
func run(p *Pacer, from time.Time, d time.Duration) int {
	n := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(step) {
		for p.Ready(now) && n < 1_000_000 {
			p.Start(now)
			n++
		}
	}
	return n
}

func TestNoLimit(t *testing.T) {
	var p Pacer
	if p.Wait(start, 1000) != 0 || !p.Ready(start) {
		t.Error("a pacer without a limit makes calls wait")
	}
}

// Neither a pause nor a change of the limit saves up a burst.
func TestPacerKeepsToLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 7.5, 60, 1e6} {
		var p Pacer
		p.SetRate(start, rate)
		now := start
		for round := range 4 {
			got := float64(run(&p, now, 100*time.Millisecond))
			if most := 0.1*rate + p.depth() + 1; got > most {
				t.Errorf("rate %g, round %d: %g calls in 100 ms, want at most %g", rate, round, got, most)
			}
			now = now.Add(time.Hour)
		}
		if rate <= 60 {
			got, want := float64(run(&p, now, 20*time.Second)), 20*rate
			if got < want-1 || got > want+p.depth()+1 {
				t.Errorf("rate %g: %g calls in 20 s", rate, got)
			}
		}
	}
}

func TestWaitUntilCallsMayStart(t *testing.T) {
	var p Pacer
	p.SetRate(start, 10)
	if got := p.Wait(start, 5); got != 500*time.Millisecond {
		t.Errorf("5 calls may have started after %s, want 500 ms", got)
	}
	if p.Ready(start.Add(99*time.Millisecond)) || !p.Ready(start.Add(100*time.Millisecond)) {
		t.Error("the first call may not start after 100 ms")
	}
}

// The clock may be set back.
func TestClockSetBack(t *testing.T) {
	var p Pacer
	p.SetRate(start, 10)
	p.Start(start)
	p.Ready(start.Add(-time.Hour))
	if p.Wait(start.Add(-time.Hour), 1) > time.Second {
		t.Error("calls wait until the clock has reached its earlier time")
	}
	p.Start(start.Add(-time.Hour))
}
