package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/faultproxy"
	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

const (
	faultLeast = 300 * time.Millisecond
	faultMost  = 4 * time.Second
	// instanceFaulty is the part of requests, in thousands, with which an
	// instance goes wrong, instanceRejects that which it rejects.
	instanceFaulty  = 150
	instanceRejects = 600
	storeSlow       = 300 * time.Millisecond
	storeLate       = 2 * time.Second
	linkDelay       = 120 * time.Millisecond
	leaveTime       = 2500 * time.Millisecond
	portPause       = 300 * time.Millisecond
	// rewriteDelay is how long the operator takes to write again what was lost.
	rewriteDelay = time.Second
	stormChanges = 4
	stormPause   = 250 * time.Millisecond
)

// event is one fault of a schedule.
type event struct {
	kind  string
	at    time.Duration
	lasts time.Duration
	node  int
	way   faultproxy.Direction
}

func (e event) String() string {
	return fmt.Sprintf("%s at %s for %s on node %d way %d", e.kind, e.at.Round(time.Millisecond), e.lasts.Round(time.Millisecond), e.node, e.way)
}

// firstKinds are the faults that the regressions were drawn from, kinds all.
var (
	firstKinds = []string{
		"kill", "kill-all", "pause", "stop", "stop", "store-down", "store-silent", "store-slow", "store-lose", "store-late",
		"store-cut", "store-silence", "compact", "rebalance", "link-delay", "link-cut", "link-silence", "link-reset",
		"answers-lost", "answers-short", "answers-extra", "rejects", "leave", "change", "storm", "withdraw", "withdraw",
	}
	kinds = append(slices.Clone(firstKinds), "answers-early", "silence", "answers-endless", "store-endless", "store-restored")
)

// schedule draws the events of a run.
func schedule(rng *rand.Rand, kinds []string, count int, length time.Duration) []event {
	var events []event
	for range count {
		events = append(events, event{
			kind:  kinds[rng.IntN(len(kinds))],
			at:    time.Duration(rng.Int64N(int64(length))),
			lasts: faultLeast + time.Duration(rng.Int64N(int64(faultMost-faultLeast))),
			node:  rng.IntN(len(places)),
			way:   faultproxy.Direction(rng.IntN(2)),
		})
	}
	return events
}

// faults plays events; each node takes one fault of its process at a time.
type faults struct {
	f       *fleet
	process []sync.Mutex // by node
	storeMu sync.Mutex
	store   standin.Faults
	config  sync.Mutex
}

func newFaults(f *fleet) *faults { return &faults{f: f, process: make([]sync.Mutex, len(f.nodes))} }

// play runs all events and returns when the last one is over.
func (x *faults) play(events []event) {
	began := time.Now()
	var running sync.WaitGroup
	for _, e := range events {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(e.at)))
			x.inject(e)
		})
	}
	running.Wait()
}

func (x *faults) inject(e event) {
	n := x.f.nodes[e.node]
	switch e.kind {
	case "kill", "pause", "stop":
		x.process[e.node].Lock()
		defer x.process[e.node].Unlock()
		x.onProcess(e, n)
	case "kill-all":
		var running sync.WaitGroup
		for i, n := range x.f.nodes {
			running.Go(func() { x.inject(event{kind: "kill", lasts: e.lasts / 4, node: i}); _ = n })
		}
		running.Wait()
	case "store-down", "store-silent", "store-slow", "store-lose", "store-late", "store-endless":
		x.onStore(e)
	case "store-cut":
		x.onProxy(e, n.toStore, faultproxy.Faults{Cut: true}, faultproxy.ToTarget, faultproxy.ToClient)
	case "store-silence":
		x.onProxy(e, n.toStore, faultproxy.Faults{Freeze: true}, e.way)
	case "link-delay":
		x.onProxy(e, n.toNode, faultproxy.Faults{Delay: linkDelay, Jitter: linkDelay}, faultproxy.ToTarget, faultproxy.ToClient)
	case "link-cut":
		x.onProxy(e, n.toNode, faultproxy.Faults{Cut: true}, faultproxy.ToTarget, faultproxy.ToClient)
	case "link-silence":
		x.onProxy(e, n.toNode, faultproxy.Faults{Freeze: true}, e.way)
	case "link-reset":
		x.note(-1, time.Now(), time.Now())
		n.toNode.Reset()
		n.toStore.Reset()
	case "store-restored":
		x.onRestore(e)
	case "compact":
		x.f.store.Compact()
	case "rebalance":
		x.f.store.Rebalance()
	case "answers-lost":
		x.onInstance(e, n, standin.FaultDropResponse)
	case "answers-short":
		x.onInstance(e, n, standin.FaultTruncate)
	case "answers-extra":
		x.onInstance(e, n, standin.FaultExtraResponse)
	case "rejects":
		x.onInstance(e, n, standin.FaultReject)
	case "answers-early":
		x.onInstance(e, n, standin.FaultRejectEarly)
	case "silence":
		x.onInstance(e, n, standin.FaultHang)
	case "answers-endless":
		x.onInstance(e, n, standin.FaultEndless)
	case "leave":
		x.leave(n)
	default:
		x.onConfig(e)
	}
}

// note records a fault of one node, or of all with a negative number.
func (x *faults) note(node int, from, to time.Time) {
	l := x.f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if node < 0 {
		l.faults = append(l.faults, span{from, to})
		return
	}
	l.hurt[node] = append(l.hurt[node], span{from, to})
}

func (x *faults) onProcess(e event, n *node) {
	from := time.Now()
	switch e.kind {
	case "pause":
		if n.Signal(syscall.SIGSTOP) {
			time.Sleep(e.lasts)
			n.Signal(syscall.SIGCONT)
		}
		x.note(e.node, from, time.Now())
	case "stop":
		x.plannedStop(e, n, from)
	default:
		n.Kill()
		time.Sleep(e.lasts / 4)
		x.start(n)
		x.note(e.node, from, time.Now())
	}
}

// start starts a process again. While it was down the kernel may have given one of
// its ports to a connection of another process of the test.
func (x *faults) start(n *node) {
	err := n.Start()
	for try := 1; err != nil && strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) && try < startTries; try++ {
		time.Sleep(portPause)
		err = n.Start()
	}
	if err != nil {
		x.f.t.Errorf("%s does not start again: %v", n.name, err)
	}
}

// plannedStop stops a process, with a kill after the stop timeout, and starts
// it again.
func (x *faults) plannedStop(e event, n *node, from time.Time) {
	l := x.f.ledger
	l.mu.Lock()
	at := len(l.stops[e.node])
	l.stops[e.node] = append(l.stops[e.node], span{from, from.Add(stopLimit)})
	l.mu.Unlock()
	how := syscall.SIGTERM
	if x.f.options.killToStop {
		how = syscall.SIGKILL
	}
	if n.Signal(how) {
		select {
		case <-n.Exited():
		case <-time.After(stopLimit):
			x.f.t.Errorf("%s was still there %s after SIGTERM", n.name, stopLimit)
			n.Kill()
		}
	}
	x.start(n)
	l.mu.Lock()
	l.stops[e.node][at].to = time.Now()
	l.mu.Unlock()
}

func (x *faults) onStore(e event) {
	change := func(on bool) {
		x.setStore(func(f *standin.Faults) {
			switch e.kind {
			case "store-down":
				f.Down = on
			case "store-silent":
				f.Hang = on
			case "store-slow":
				f.Delay = map[bool]time.Duration{true: storeSlow}[on]
			case "store-endless":
				f.Endless = on
			case "store-lose":
				f.DropWriteResponses = on
			case "store-late":
				f.WriteDelay = map[bool]time.Duration{true: storeLate}[on]
			}
		})
	}
	from := time.Now()
	change(true)
	time.Sleep(e.lasts)
	change(false)
	x.note(-1, from, time.Now())
}

// onRestore takes the store away for a moment and brings it back from a copy as
// old as the event lasts. The operator then writes its newest version again.
func (x *faults) onRestore(e event) {
	x.config.Lock()
	defer x.config.Unlock()
	from := time.Now()
	x.setStore(func(f *standin.Faults) { f.Down = true })
	time.Sleep(e.lasts / 4)
	x.f.store.RestoreBackup(e.lasts)
	x.setStore(func(f *standin.Faults) { f.Down = false })
	time.Sleep(rewriteDelay)
	x.f.write(int(x.f.version.Load()))
	x.note(-1, from, time.Now())
}

func (x *faults) setStore(change func(*standin.Faults)) {
	x.storeMu.Lock()
	defer x.storeMu.Unlock()
	change(&x.store)
	x.f.store.SetFaults(x.store)
}

func (x *faults) onProxy(e event, p *faultproxy.Proxy, f faultproxy.Faults, ways ...faultproxy.Direction) {
	from := time.Now()
	p.SetFaults(f, ways...)
	time.Sleep(e.lasts)
	p.SetFaults(faultproxy.Faults{}, ways...)
	x.note(-1, from, time.Now())
}

func (x *faults) onInstance(e event, n *node, f standin.Fault) {
	from := time.Now()
	part := int64(instanceFaulty)
	if f == standin.FaultReject {
		part = instanceRejects
	}
	n.faulty[f].Store(part)
	time.Sleep(e.lasts)
	n.faulty[f].Store(0)
	x.note(-1, from, time.Now())
}

// leave has the instance drain, serve on for a while and make room for another
// one at its address.
func (x *faults) leave(n *node) {
	x.process[n.index].Lock()
	defer x.process[n.index].Unlock()
	n.instance.Drain()
	acknowledged := n.beat()
	l := x.f.ledger
	l.mu.Lock()
	at := -1
	if acknowledged {
		at = len(l.leaves)
		l.leaves = append(l.leaves, leave{node: n.index, at: time.Now()})
	}
	l.mu.Unlock()
	time.Sleep(leaveTime)
	n.instance.Deregister()
	n.replace(fmt.Sprintf("i-%s-%d", n.name, time.Now().UnixMilli()))
	if at >= 0 {
		l.mu.Lock()
		l.leaves[at].replaced = time.Now()
		l.mu.Unlock()
	}
}

func (x *faults) onConfig(e event) {
	x.config.Lock()
	defer x.config.Unlock()
	changes := 1
	if e.kind == "storm" {
		changes = stormChanges
	}
	if e.kind == "withdraw" {
		for key, customer := range x.f.keys {
			delete(x.f.keys, key)
			x.f.addKey(customer)
			break
		}
	}
	for i := range changes {
		if i > 0 {
			time.Sleep(stormPause)
		}
		x.f.configure()
	}
}
