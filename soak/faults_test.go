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
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// During an instance fault, the instance applies it to this share of its
	// requests.
	instanceFaultPermille  = 150
	instanceRejectPermille = 600
	storeDelay             = 300 * time.Millisecond
	storeWriteDelay        = 2 * time.Second
	linkDelay              = 120 * time.Millisecond
	drainTime              = 2500 * time.Millisecond
	portRetryPause         = 300 * time.Millisecond
	// rewriteDelay is the time from the restore of the store until the operator
	// rewrites the latest configuration.
	rewriteDelay = time.Second
	stormChanges = 4
	// limitPerSecond is the rate limit that instances name; callers ask for more.
	limitPerSecond = 12.0
	restartCount   = 3
	stormInterval  = 250 * time.Millisecond
	// signalInterval is the time between two signals of a series.
	signalInterval = 130 * time.Millisecond
)

// event is one fault of a schedule.
type event struct {
	kind      string
	start     time.Duration
	duration  time.Duration
	node      int
	direction faultproxy.Direction
}

func (e event) String() string {
	return fmt.Sprintf("%s at %s for %s on node %d in direction %d", e.kind, e.start.Round(time.Millisecond), e.duration.Round(time.Millisecond), e.node, e.direction)
}

// originalKinds are the kinds from which the schedules of regressionSeeds were
// drawn. Their order and number determine what a seed yields, so later kinds are
// in allKinds only. A kind listed twice is drawn twice as often.
var (
	originalKinds = []string{
		"kill", "kill-all", "pause", "stop", "stop", "store-down", "store-silent", "store-slow", "store-lose", "store-late",
		"store-cut", "store-silence", "compact", "rebalance", "link-delay", "link-cut", "link-silence", "link-reset",
		"answers-lost", "answers-short", "answers-extra", "rejects", "leave", "change", "storm", "withdraw", "withdraw",
	}
	allKinds = append(slices.Clone(originalKinds), "answers-early", "silence", "answers-endless", "store-endless", "store-restored",
		"limit", "limit-restarts", "limit-odd", "leave-in-answers", "cold-return", "cold-return", "evacuate", "stop-signals", "answers-twice", "answers-cut",
		"fails", "second-other", "second-late", "second-elsewhere", "second-closing", "stutter-all", "answers-garbage", "answers-trailing", "second-cut")
)

// drawSchedule draws the events of a run.
func drawSchedule(rng *rand.Rand, kinds []string, nodes, count int, length time.Duration) []event {
	var events []event
	for range count {
		events = append(events, event{
			kind:      kinds[rng.IntN(len(kinds))],
			start:     time.Duration(rng.Int64N(int64(length))),
			duration:  minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
			node:      rng.IntN(nodes),
			direction: faultproxy.Direction(rng.IntN(2)),
		})
	}
	return events
}

// faultInjector injects the faults of a schedule. Faults of one node's process
// don't overlap.
type faultInjector struct {
	f           *fleet
	processMu   []sync.Mutex // by node
	limitMu     []sync.Mutex // by node
	storeMu     sync.Mutex
	storeFaults standin.Faults
	configMu    sync.Mutex
	evacuateMu  map[string]*sync.Mutex // by failure domain
	evacuated   map[string]bool        // by failure domain, guarded by configMu
}

func newFaultInjector(f *fleet) *faultInjector {
	x := &faultInjector{
		f: f, processMu: make([]sync.Mutex, len(f.nodes)), limitMu: make([]sync.Mutex, len(f.nodes)),
		evacuateMu: map[string]*sync.Mutex{}, evacuated: map[string]bool{},
	}
	for _, n := range f.nodes {
		x.evacuateMu[n.domain] = &sync.Mutex{}
	}
	return x
}

// runSchedule injects all events and returns when the last one is over.
func (x *faultInjector) runSchedule(events []event) {
	began := time.Now()
	var injections sync.WaitGroup
	for _, e := range events {
		injections.Go(func() {
			time.Sleep(time.Until(began.Add(e.start)))
			x.inject(e)
		})
	}
	injections.Wait()
}

// inject injects one fault and returns when it is over.
func (x *faultInjector) inject(e event) {
	n := x.f.nodes[e.node]
	switch e.kind {
	case "kill", "pause", "stop", "stop-signals":
		x.processMu[e.node].Lock()
		defer x.processMu[e.node].Unlock()
		x.injectProcessFault(e, n)
	case "kill-all":
		var kills sync.WaitGroup
		for i, n := range x.f.nodes {
			kills.Go(func() { x.inject(event{kind: "kill", duration: e.duration / 4, node: i}); _ = n })
		}
		kills.Wait()
	case "store-down", "store-silent", "store-slow", "store-lose", "store-late", "store-endless":
		x.injectStoreFault(e)
	case "store-cut":
		x.injectProxyFault(e, n.storeProxy, faultproxy.Faults{Cut: true}, faultproxy.ToTarget, faultproxy.ToClient)
	case "store-silence":
		x.injectProxyFault(e, n.storeProxy, faultproxy.Faults{Freeze: true}, e.direction)
	case "link-delay":
		x.injectProxyFault(e, n.callProxy, faultproxy.Faults{Delay: linkDelay, Jitter: linkDelay}, faultproxy.ToTarget, faultproxy.ToClient)
	case "link-cut":
		x.injectProxyFault(e, n.callProxy, faultproxy.Faults{Cut: true}, faultproxy.ToTarget, faultproxy.ToClient)
	case "link-silence":
		x.injectProxyFault(e, n.callProxy, faultproxy.Faults{Freeze: true}, e.direction)
	case "link-reset":
		x.recordFault(-1, time.Now(), time.Now())
		n.callProxy.Reset()
		n.storeProxy.Reset()
	case "store-restored":
		x.restoreStore(e)
	case "compact":
		x.f.store.Compact()
	case "rebalance":
		x.f.store.Rebalance()
	case "answers-lost":
		x.injectInstanceFault(e, n, standin.FaultDropResponse)
	case "answers-short":
		x.injectInstanceFault(e, n, standin.FaultTruncate)
	case "answers-extra":
		x.injectInstanceFault(e, n, standin.FaultExtraResponse)
	case "answers-cut":
		x.injectInstanceFault(e, n, standin.FaultCutHead)
	case "answers-garbage":
		x.injectInstanceFault(e, n, standin.FaultGarbage)
	case "answers-trailing":
		x.injectInstanceFault(e, n, standin.FaultTrailing)
	case "answers-invalid-status":
		x.injectInstanceFault(e, n, standin.FaultInvalidStatus)
	case "answers-invalid-name":
		x.injectInstanceFault(e, n, standin.FaultInvalidName)
	case "answers-reset":
		x.injectInstanceFault(e, n, standin.FaultReset)
	case "answers-twice":
		x.injectInstanceFault(e, n, standin.FaultTwice)
	case "fails", "second-other", "second-late", "second-elsewhere", "second-closing", "second-cut", "second-ahead":
		x.injectStutter(e, n)
	case "stutter-all":
		x.stutterAll(e)
	case "second-cut-all":
		x.cutSecondsOfAll(e)
	case "rejects":
		x.injectInstanceFault(e, n, standin.FaultReject)
	case "answers-early":
		x.injectInstanceFault(e, n, standin.FaultRejectEarly)
	case "silence":
		x.injectInstanceFault(e, n, standin.FaultHang)
	case "answers-endless":
		x.injectInstanceFault(e, n, standin.FaultEndless)
	case "leave":
		x.drainAndReplace(n)
	case "limit":
		x.nameLimit(e, n, func() { time.Sleep(e.duration) })
	case "limit-restarts":
		x.nameLimit(e, n, func() { x.restartRepeatedly(e, n) })
	case "limit-odd":
		x.nameOddLimits(e, n)
	case "leave-in-answers":
		x.leaveInAnswers(e, n)
	case "cold-return":
		x.restartInstance(e, n)
	case "evacuate":
		x.evacuate(e, n)
	default:
		x.changeConfig(e)
	}
}

// recordFault records a fault of one node's process or, for a negative node, a
// fault that counts for all nodes.
func (x *faultInjector) recordFault(node int, from, to time.Time) {
	h := x.f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if node < 0 {
		h.fleetFaults = append(h.fleetFaults, interval{from, to})
		return
	}
	h.nodeFaults[node] = append(h.nodeFaults[node], interval{from, to})
}

func (x *faultInjector) injectProcessFault(e event, n *node) {
	from := time.Now()
	switch e.kind {
	case "pause":
		if n.Signal(syscall.SIGSTOP) {
			time.Sleep(e.duration)
			n.Signal(syscall.SIGCONT)
		}
		x.recordOutage(e.node, from, time.Now())
	case "stop":
		x.plannedStop(e, n, from)
	case "stop-signals":
		go n.sendSignals()
		x.plannedStop(e, n, from)
	default:
		n.Kill()
		time.Sleep(e.duration / 4)
		x.restart(n)
		x.recordFault(e.node, from, time.Now())
	}
}

// restart starts a node's process again. It retries if a port is taken: while the
// process was down, another process may have got the port.
func (x *faultInjector) restart(n *node) {
	err := n.Start()
	for attempt := 1; err != nil && strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) && attempt < maxStartAttempts; attempt++ {
		time.Sleep(portRetryPause)
		err = n.Start()
	}
	if err != nil {
		x.f.t.Errorf("%s does not restart: %v", n.name, err)
	}
}

// plannedStop sends SIGTERM to a process, kills it after the stop timeout, and
// restarts it.
func (x *faultInjector) plannedStop(e event, n *node, from time.Time) {
	h := x.f.history
	h.mu.Lock()
	index := len(h.plannedStops[e.node])
	h.plannedStops[e.node] = append(h.plannedStops[e.node], interval{from, from.Add(stopTimeout)})
	h.mu.Unlock()
	signal := syscall.SIGTERM
	if x.f.options.killInsteadOfStop {
		signal = syscall.SIGKILL
	}
	if n.Signal(signal) {
		select {
		case <-n.Exited():
		case <-time.After(stopTimeout):
			x.f.t.Errorf("%s was still running %s after SIGTERM", n.name, stopTimeout)
			n.Kill()
		}
	}
	x.restart(n)
	h.mu.Lock()
	h.plannedStops[e.node][index].to = time.Now()
	h.mu.Unlock()
}

// sendSignals sends signals in series to the node's present process until it exits. None of
// them may end it sooner than its planned stop does.
func (n *node) sendSignals() {
	exited := n.Exited()
	for i := 0; ; i++ {
		time.Sleep(signalInterval)
		select {
		case <-exited: // the next process must not get the signal
			return
		default:
		}
		// Begins with a reload, so that the planned stop may begin during one.
		n.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGPIPE}[i%4])
	}
}

func (x *faultInjector) injectStoreFault(e event) {
	toggle := func(on bool) {
		x.updateStoreFaults(func(f *standin.Faults) {
			switch e.kind {
			case "store-down":
				f.Down = on
			case "store-silent":
				f.Hang = on
			case "store-slow":
				f.Delay = map[bool]time.Duration{true: storeDelay}[on]
			case "store-endless":
				f.Endless = on
			case "store-lose":
				f.DropWriteResponses = on
			case "store-late":
				f.WriteDelay = map[bool]time.Duration{true: storeWriteDelay}[on]
			}
		})
	}
	from := time.Now()
	toggle(true)
	time.Sleep(e.duration)
	toggle(false)
	x.recordOutage(-1, from, time.Now())
}

// restoreStore takes the store down for a moment and restores it from a backup
// whose age is the event's duration. The operator then rewrites the latest
// configuration version and the evacuations.
func (x *faultInjector) restoreStore(e event) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
	from := time.Now()
	x.updateStoreFaults(func(f *standin.Faults) { f.Down = true })
	time.Sleep(e.duration / 4)
	x.f.store.RestoreBackup(e.duration)
	x.updateStoreFaults(func(f *standin.Faults) { f.Down = false })
	time.Sleep(rewriteDelay)
	x.f.writeConfig(int(x.f.version.Load()))
	x.writeEvacuations()
	x.recordOutage(-1, from, time.Now())
}

func (x *faultInjector) updateStoreFaults(update func(*standin.Faults)) {
	x.storeMu.Lock()
	defer x.storeMu.Unlock()
	update(&x.storeFaults)
	x.f.store.SetFaults(x.storeFaults)
}

func (x *faultInjector) injectProxyFault(e event, p *faultproxy.Proxy, f faultproxy.Faults, directions ...faultproxy.Direction) {
	from := time.Now()
	p.SetFaults(f, directions...)
	time.Sleep(e.duration)
	p.SetFaults(faultproxy.Faults{}, directions...)
	x.recordOutage(-1, from, time.Now())
}

func (x *faultInjector) injectInstanceFault(e event, n *node, f standin.Fault) {
	from := time.Now()
	permille := int64(instanceFaultPermille)
	if f == standin.FaultReject {
		permille = instanceRejectPermille
	}
	n.faultPermille[f].Store(permille)
	time.Sleep(e.duration)
	n.faultPermille[f].Store(0)
	x.recordFault(-1, from, time.Now())
}

// drainAndReplace drains the instance, lets it serve for drainTime more and then
// replaces it by another instance at the same address.
func (x *faultInjector) drainAndReplace(n *node) {
	x.processMu[n.index].Lock()
	defer x.processMu[n.index].Unlock()
	n.instance.Drain()
	acknowledged := n.sendHeartbeat()
	h := x.f.history
	h.mu.Lock()
	index := -1
	if acknowledged {
		index = len(h.drains)
		h.drains = append(h.drains, acknowledgedDrain{node: n.index, at: time.Now()})
	}
	h.mu.Unlock()
	time.Sleep(drainTime)
	n.instance.Deregister()
	n.replaceInstance(fmt.Sprintf("i-%s-%d", n.name, time.Now().UnixMilli()))
	if index >= 0 {
		h.mu.Lock()
		h.drains[index].replacedAt = time.Now()
		h.mu.Unlock()
	}
}

func (x *faultInjector) changeConfig(e event) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
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
			time.Sleep(stormInterval)
		}
		x.f.writeNextConfig()
	}
}
