package graph

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const usualRun = 40 * time.Millisecond

// Guards against a figure that holds for too long after a slow phase, and against one
// that a missing or wrong figure replaces.
func TestWorkTimeDecaysToMean(t *testing.T) {
	var w workTimeTracker
	if w.report(start).Reported() {
		t.Fatal("a work time without a figure")
	}
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		w.record(now, 1)
	}
	w.record(now, 2.5)
	for _, figure := range []float64{0, -1, math.NaN()} {
		w.record(now.Add(time.Millisecond), figure)
	}
	if got := w.report(now); got.Now != 2.5 || math.Abs(got.Mean-1) > 0.05 {
		t.Errorf("after a slow figure: %+v", got)
	}
	if got := w.report(now.Add(500 * time.Millisecond)).Now; math.Abs(got-1) > 0.4 {
		t.Errorf("half a second later: %.2f", got)
	}
	if w.record(now, math.Inf(1)); w.report(now).Now != kernel.MaxWorkTime {
		t.Errorf("a wrong figure gives %+v", w.report(now))
	}
	if w.report(now.Add(workTimeExpiry + time.Second)).Reported() {
		t.Error("an expired figure is reported")
	}
}

// Guards against a single figure of a slow phase that replaces the mean after a pause.
func TestOneFigureIsNoMean(t *testing.T) {
	var w workTimeTracker
	w.record(start, 1)
	w.record(start.Add(9*time.Second), 2.5)
	if got := w.report(start.Add(9 * time.Second)).Mean; got > 1.2 {
		t.Errorf("mean %.2f after one figure of 2.5", got)
	}
}

// runMany lets calls run one after the other, each for a time, at a work time.
func runMany(g *Gate, now time.Time, n int, run time.Duration, figure float64) time.Time {
	for range n {
		c := newTestTicket("r", true, time.Second, now)
		g.ReportWorkTime(now, figure)
		g.Offer(now, c)
		now = now.Add(run)
		g.ReportWorkTime(now, figure)
		g.Done(now, c, Completion{Succeeded: true})
	}
	return now
}

func newKnownGate(slots int) (*Gate, time.Time) {
	g := NewGate(gateCreated)
	g.SetSlots(slots)
	return g, runMany(g, start, 50, usualRun, 1)
}

// Guards against runs at a momentarily slow instance that can't end in time: they must
// be refused before they are sent, so that the entry node may try another owner.
func TestSlowInstanceRefusesWhatIsTooLate(t *testing.T) {
	for _, c := range []struct {
		figure   float64
		left     time.Duration
		accepted bool
	}{{1, usualRun, true}, {2.5, usualRun, false}, {2.5, 2 * usualRun, true}, {0.5, usualRun / 2, true}, {0, usualRun, true}} {
		g, now := newKnownGate(4)
		g.ReportWorkTime(now, c.figure)
		call := newTestTicket("r", true, time.Second, now)
		call.Deadline = now.Add(c.left)
		if got := g.Offer(now, call); got != c.accepted {
			t.Errorf("work time %g, %s left: accepted %v, want %v", c.figure, c.left, got, c.accepted)
		}
	}
}

// Guards against a slow phase that counts twice: in the run times, which follow it, and
// in the work time.
func TestSlownessCountsOnce(t *testing.T) {
	g, now := newKnownGate(4)
	runMany(g, now, 100, 5*usualRun/2, 2.5)
	if got, want := g.runTime("r"), 5*usualRun/2; got < want*9/10 || got > want*11/10 {
		t.Errorf("expected run time %s after runs of %s", got, want)
	}
}

// Guards against refusals on routes whose runs mostly wait for nested calls: their run
// times hardly depend on the work time.
func TestRunsThatWaitForOthersAreNotScaled(t *testing.T) {
	g, now := newKnownGate(4)
	for range 20 {
		now = runMany(g, now, 10, usualRun, 1)
		now = runMany(g, now, 10, usualRun, 2.5)
	}
	g.ReportWorkTime(now, 2.5)
	if got := g.runTime("r"); got > usualRun*11/10 {
		t.Errorf("expected run time %s of a route whose runs always take %s", got, usualRun)
	}
}

// Guards against run times that change where no work time is reported.
func TestNoWorkTimeChangesNothing(t *testing.T) {
	g := NewGate(gateCreated)
	g.SetSlots(1)
	now := runMany(g, start, 50, usualRun, 0)
	for range 10 {
		g.Offer(now, newTestTicket("r", true, time.Second, now))
	}
	if g.runTime("r") != g.runTimes["r"] || g.anyRunTime() != g.meanRunTime || g.RefuseLate(now) != 0 {
		t.Error("run times are scaled or calls refused without a work time")
	}
}

// Guards against calls that wait at an instance that has become slow until it is too
// late for another one. The calls that start first must stay.
func TestWaitingCallsLeaveSlowInstance(t *testing.T) {
	g, now := newKnownGate(2)
	var calls []*Ticket
	for i := range 20 {
		c := newTestTicket("r", true, time.Duration(100+i)*time.Millisecond, now)
		c.Deadline = now.Add(500 * time.Millisecond)
		if !g.Offer(now, c) {
			t.Fatalf("call %d is refused at the usual work time", i)
		}
		calls = append(calls, c)
	}
	if n := g.RefuseLate(now); n != 0 {
		t.Fatalf("%d calls refused at the usual work time", n)
	}
	g.ReportWorkTime(now, 2.5)
	n := g.RefuseLate(now)
	if n == 0 || g.Queued() != 18-n || g.InFlight() != 2 {
		t.Fatalf("%d refused, %d wait, %d run", n, g.Queued(), g.InFlight())
	}
	for i, c := range calls {
		if refused := c.state == stateRefused; refused != (i >= 20-n) {
			t.Errorf("call %d of 20 refused %v, although %d were refused", i, refused, n)
		}
		if c.state == stateRefused {
			<-c.ready // closed, so that the waiting goroutine returns
		}
	}
}

// Guards against more calls than slots, and calls left waiting for good, whatever the
// figures.
func TestGateBoundsAtAnyWorkTime(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 8))
		g := NewGate(gateCreated)
		slots := 1 + rng.IntN(8)
		g.SetSlots(slots)
		now := start
		var live []*Ticket
		for range 4000 {
			now = now.Add(time.Duration(rng.IntN(4)) * time.Millisecond)
			switch rng.IntN(4) {
			case 0, 1:
				if c := newTestTicket("r", rng.IntN(2) == 0, time.Duration(20+rng.IntN(400))*time.Millisecond, now); g.Offer(now, c) {
					live = append(live, c)
				}
			case 2:
				g.ReportWorkTime(now, []float64{0, 0.2, 1, 2.5, 10, -1}[rng.IntN(6)])
				g.RefuseLate(now)
			default:
				if len(live) > 0 {
					i := rng.IntN(len(live))
					c := live[i]
					live = append(live[:i], live[i+1:]...)
					if !g.Cancel(c) && c.state == stateRunning {
						g.Done(now, c, Completion{Succeeded: rng.IntN(4) > 0})
					}
				}
			}
			running, waiting := 0, 0
			for _, c := range live {
				if c.state == stateRunning {
					running++
				} else if c.state == stateWaiting {
					waiting++
				}
			}
			if g.InFlight() > slots || running != g.InFlight() || waiting != g.Queued() {
				t.Fatalf("seed %d: %d of %d calls in flight, %d of %d waiting, %d slots", seed, running, g.InFlight(), waiting, g.Queued(), slots)
			}
		}
	}
}

// slowFleet is gates of seven instances, of which one after the other is 2.5 times as
// slow for 0.7 s, in virtual time. A refused call moves to another instance twice at
// most.
type slowFleet struct {
	arrivals *rand.Rand // the same whatever becomes of the calls
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	gates    []*Gate
	silent   bool
	// inTime, late and refused count the calls answered by their deadline, those that
	// ran longer, and those that no instance ran.
	inTime, late, refused int
}

const (
	slowFleetGates = 7
	slowFleetSlots = 8
	slowFleetTime  = 250 * time.Millisecond // of a call until its deadline
)

func (f *slowFleet) workTime(gate int) float64 {
	if int(f.now.Sub(start)/(700*time.Millisecond))%slowFleetGates == gate {
		return 2.5
	}
	return 1
}

func (f *slowFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(d), func(time.Time) { do() }})
}

func (f *slowFleet) arrive(perSecond float64) {
	f.after(time.Duration(f.arrivals.ExpFloat64()/perSecond*float64(time.Second)), func() { f.arrive(perSecond) })
	f.try(f.arrivals.Perm(slowFleetGates)[:3], f.now.Add(slowFleetTime))
}

// try offers a call to the first of some instances and, if that refuses it, to the rest.
func (f *slowFleet) try(order []int, deadline time.Time) {
	if len(order) == 0 || !f.now.Before(deadline) {
		f.refused++
		return
	}
	g := f.gates[order[0]]
	c := &Ticket{Route: "call", NestedCall: true, Objective: slowFleetTime, Deadline: deadline}
	if !g.Offer(f.now, c) {
		f.after(time.Millisecond, func() { f.try(order[1:], deadline) })
		return
	}
	f.await(c, order, deadline)
}

func (f *slowFleet) await(c *Ticket, order []int, deadline time.Time) {
	g := f.gates[order[0]]
	switch {
	case c.state == stateRunning:
		f.runCall(c, order[0], deadline)
	case c.state == stateWaiting && f.now.Before(c.WaitUntil):
		f.after(time.Millisecond, func() { f.await(c, order, deadline) })
	default:
		g.Cancel(c)
		f.try(order[1:], deadline)
	}
}

func (f *slowFleet) runCall(c *Ticket, gate int, deadline time.Time) {
	f.after(time.Duration((0.5+f.rng.Float64())*f.workTime(gate)*float64(usualRun)), func() {
		if f.now.After(deadline) {
			f.late++
		} else {
			f.inTime++
		}
		if !f.silent {
			f.gates[gate].ReportWorkTime(f.now, f.workTime(gate))
		}
		f.gates[gate].Done(f.now, c, Completion{Succeeded: true})
	})
}

func (f *slowFleet) tick() {
	for _, g := range f.gates {
		g.RefuseLate(f.now)
		g.dispatch(f.now)
	}
	f.after(kernel.TickInterval, f.tick)
}

func playSlowFleet(seed uint64, silent bool) *slowFleet {
	f := &slowFleet{arrivals: rand.New(rand.NewPCG(seed, 7)), rng: rand.New(rand.NewPCG(seed, 6)), now: start, silent: silent}
	for range slowFleetGates {
		g := NewGate(gateCreated)
		g.SetSlots(slowFleetSlots)
		f.gates = append(f.gates, g)
	}
	f.tick()
	f.arrive(0.7 * slowFleetGates * slowFleetSlots / usualRun.Seconds())
	for end := start.Add(10 * time.Second); f.now.Before(end); {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do(e.at)
	}
	return f
}

// Calls with little time go to random instances at 0.7 of the capacity while one in
// seven is slow for 0.7 s. Guards against calls that run at the slow instance to no
// avail: fewer must end late, and more in time, than without the work time.
func TestSlowInstanceWastesFewRuns(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		without, with := playSlowFleet(seed, true), playSlowFleet(seed, false)
		for name, f := range map[string]*slowFleet{"without": without, "with": with} {
			t.Logf("seed %d, %s the work time: %d in time, %d late, %d refused", seed, name, f.inTime, f.late, f.refused)
		}
		if with.late >= without.late || with.inTime <= without.inTime {
			t.Errorf("seed %d: with the work time %d late and %d in time, without %d and %d", seed, with.late, with.inTime, without.late, without.inTime)
		}
	}
}

// Guards against results without the work time, and against one of an earlier instance
// beside the node that is told as that of the present one.
func TestResultsCarryWorkTimeOfPresentInstance(t *testing.T) {
	now := start
	self := state.Member{ID: "n", Instance: state.Incarnation{ID: "i1", StartedMS: 1}}
	snapshotOf := func(m state.Member) *state.Snapshot {
		return (&state.Snapshot{Members: map[state.MemberID]state.Member{m.ID: m}}).Index()
	}
	snapshot := snapshotOf(self)
	p := &Plugin{}
	err := p.Provision(&kernel.Host{
		Self: self, Now: func() time.Time { return now }, Rand: func() uint64 { return 0 },
		Snapshot: func() *state.Snapshot { return snapshot }, Peers: noPeers{}, Log: slog.New(slog.DiscardHandler),
		AnnounceFanout: func(state.Fanout) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.Tick(now)
	owner := p.WrapOwner(kernel.HandlerFunc(func(context.Context, *kernel.Call) *kernel.Result {
		return &kernel.Result{Outcome: kernel.OutcomeAnswered, Status: 200, Dispatched: true, InstanceLoad: &kernel.InstanceLoad{Running: 1, WorkTime: 2.5}}
	}))
	r := owner.Serve(t.Context(), &kernel.Call{RouteName: "r", Depth: 1, DeadlineMS: now.Add(time.Second).UnixMilli()})
	if want := (kernel.WorkTime{Now: 2.5, Mean: 2.5}); r.Load.Work != want {
		t.Errorf("load %+v, want %+v", r.Load.Work, want)
	}
	self.Instance = state.Incarnation{ID: "i2", StartedMS: 2}
	snapshot = snapshotOf(self)
	now = now.Add(kernel.TickInterval)
	p.Tick(now)
	if w := p.reportedWorkTime(); w.Reported() {
		t.Errorf("work time %+v of an earlier instance", w)
	}
}
