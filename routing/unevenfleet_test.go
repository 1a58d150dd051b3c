package routing

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// unevenFleet is instances of one service that work at different speeds, and the entry
// nodes that call them, in virtual time.
type unevenFleet struct {
	now     time.Time
	rng     *rand.Rand
	events  unevenEvents
	members map[state.MemberID]*unevenInstance
	entries []*group // one a node
	// usual is the time that a call takes at work time 1, way the time to an instance
	// of another failure domain.
	usual, way time.Duration
	// silent leaves the work time out of the load reports.
	silent bool
	// countFrom is when the counts below begin: calls, those to other failure domains,
	// and the times that they took.
	countFrom     time.Time
	calls, across int
	took          []time.Duration
}

// unevenInstance runs calls in the order of arrival, no more at once than its slots.
type unevenInstance struct {
	member  state.Member
	slots   int
	running int
	waiting []func()
	// workTime returns how long work takes at a time.
	workTime func(now time.Time) float64
	mean     float64
}

type unevenEvent struct {
	at time.Time
	do func()
}

type unevenEvents []unevenEvent

func (q unevenEvents) Len() int           { return len(q) }
func (q unevenEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q unevenEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *unevenEvents) Push(x any)        { *q = append(*q, x.(unevenEvent)) }
func (q *unevenEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newUnevenFleet(seed uint64, slots int, members map[string]float64) *unevenFleet {
	f := &unevenFleet{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 5)), members: map[state.MemberID]*unevenInstance{},
		usual: 40 * time.Millisecond, way: 1200 * time.Microsecond,
	}
	for name, workTime := range members {
		m := state.Member{ID: state.MemberID(name), Service: "s", Domain: name[:1]}
		f.members[m.ID] = &unevenInstance{member: m, slots: slots, mean: workTime, workTime: func(time.Time) float64 { return workTime }}
	}
	return f
}

// addEntries adds entry nodes in a failure domain and returns the index of the first.
func (f *unevenFleet) addEntries(n int, domain string) int {
	members := map[state.MemberID]state.Member{}
	for id, i := range f.members {
		members[id] = i.member
	}
	s := (&state.Snapshot{Members: members}).Index()
	for range n {
		f.entries = append(f.entries, newView(s, state.Member{ID: "entry", Domain: domain}, nil, memories{}).groups["s"])
	}
	return len(f.entries) - n
}

func (f *unevenFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, unevenEvent{f.now.Add(d), do})
}

func (f *unevenFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.events.Len() > 0 && f.events[0].at.Before(end); {
		e := heap.Pop(&f.events).(unevenEvent)
		f.now = e.at
		e.do()
	}
}

// arrive sends calls at random moments from random nodes of a range.
func (f *unevenFleet) arrive(first, n int, perSecond func(now time.Time) float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/perSecond(f.now)*float64(time.Second)), func() { f.arrive(first, n, perSecond) })
	f.call(f.entries[first+f.rng.IntN(n)])
}

// call sends a call from an entry node.
func (f *unevenFleet) call(g *group) {
	began := f.now
	o := g.pick(f.now, f.rng.Uint64, nil)
	i := f.members[o.member.ID]
	way, across := 100*time.Microsecond, o.member.Domain != g.domain
	if across {
		way = f.way
	}
	f.after(way, func() {
		i.arrive(f, func() {
			load := i.load(f)
			f.after(way, func() {
				r := succeeded()
				r.Load = load
				g.recordResult(o, r, f.now, f.rng.Uint64())
				if !across {
					g.shift.recordCall(f.now.Sub(began))
				}
				f.count(began, across)
			})
		})
	})
}

func (f *unevenFleet) count(began time.Time, across bool) {
	if began.Before(f.countFrom) {
		return
	}
	f.calls++
	if across {
		f.across++
	}
	f.took = append(f.took, f.now.Sub(began))
}

// arrive runs a call or lets it wait, and calls end once it has run.
func (i *unevenInstance) arrive(f *unevenFleet, end func()) {
	start := func() {
		i.running++
		run := time.Duration((0.5 + f.rng.Float64()) * i.workTime(f.now) * float64(f.usual))
		f.after(run, func() {
			i.running--
			end()
			if len(i.waiting) > 0 {
				next := i.waiting[0]
				i.waiting = i.waiting[1:]
				next()
			}
		})
	}
	if i.running < i.slots {
		start()
		return
	}
	i.waiting = append(i.waiting, start)
}

// load is the load report of the instance; like that of an owner it still counts the
// call that it comes with.
func (i *unevenInstance) load(f *unevenFleet) *kernel.Load {
	l := &kernel.Load{Limit: i.slots, InFlight: i.running, Queued: len(i.waiting)}
	if !f.silent {
		l.Work = kernel.WorkTime{Now: i.workTime(f.now), Mean: i.mean}
	}
	return l
}

// times returns the mean time that a call took, in units of the usual time, and the
// longest of 99 of 100.
func (f *unevenFleet) times() (mean, p99 float64) {
	slices.Sort(f.took)
	sum := time.Duration(0)
	for _, t := range f.took {
		sum += t
	}
	unit := float64(f.usual)
	return float64(sum) / float64(len(f.took)) / unit, float64(f.took[len(f.took)*99/100]) / unit
}

// capacity returns the calls per second that the instances of a domain can run; all
// domains if it is empty.
func (f *unevenFleet) capacity(domain string) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(f.members)) { // the order decides the last bits of the sum
		i := f.members[id]
		if domain == "" || i.member.Domain == domain {
			sum += float64(i.slots) / (i.mean * f.usual.Seconds())
		}
	}
	return sum
}
