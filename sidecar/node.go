package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/coldstart"
	"github.com/gooseberryflow/gooseberryflow/directory"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/peer"
	"github.com/gooseberryflow/gooseberryflow/selfreport"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// closeTimeout bounds the wait for messages and store calls that are still
// in progress when the node is closed.
const closeTimeout = 200 * time.Millisecond

// Settings configure a node.
type Settings struct {
	Name    string
	Service string
	Domain  string // failure domain
	// CallAddr is the TCP address to listen on for calls from other nodes.
	CallAddr string
	// AdvertisedAddr is the address for calls that is announced to other nodes.
	AdvertisedAddr string
	Plugins        []string
	Topics         directory.Topics
	// ConfigApply is the time within which a new configuration has to be in force;
	// zero means unset.
	ConfigApply time.Duration
	// Regions maps failure domains to their regions.
	Regions map[string]string
	Limits
	Retries kernel.RetryBounds
	Pools   kernel.PoolSettings
	// OnPreviousInstance is called with the instance that was beside an earlier
	// process of this node.
	OnPreviousInstance func(directory.Instance)
	// OnHealthCheckWanted is called when a health check of the instance is wanted; it
	// must not block. It may be nil.
	OnHealthCheckWanted func()
}

// Limits are the settings that can change while the node runs.
type Limits struct {
	// MaxKeyAge is the age of the configuration above which keys are refused.
	MaxKeyAge time.Duration
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout time.Duration
}

// Node is one running node.
type Node struct {
	settings  Settings
	directory *directory.Directory
	network   *peer.Network
	host      *kernel.Host
	plugins   *kernel.PluginSet
	entry     kernel.Handler
	owner     kernel.Handler
	log       *slog.Logger
	metrics   *metrics

	limits           atomic.Pointer[Limits]
	stop             atomic.Pointer[StopTimes] // nil before a planned stop
	inFlight         atomic.Int64
	latencies        latencies
	instanceMu       sync.Mutex // held while instance is replaced
	instance         atomic.Pointer[Instance]
	selfReport       *selfreport.Tracker
	coldStart        *coldstart.Tracker
	coldPhase        atomic.Uint32 // coldstart.Phase logged last
	wasEvacuated     atomic.Bool   // the failure domain, when followEvacuation ran last
	reportLog        *selfreport.Log
	cancelBackground context.CancelFunc
	background       sync.WaitGroup
}

// New opens the node's listener and builds its chains. exchange is the last
// handler of the owner chain; it sends calls to the instance.
func New(s Settings, store directory.Store, decode directory.Decode, exchange kernel.Handler, log *slog.Logger) (*Node, error) {
	started := time.Now().UnixMilli()
	self := state.Member{
		ID:          state.MemberID(s.Name + "#" + strconv.FormatInt(started, 36)),
		Service:     s.Service,
		Domain:      s.Domain,
		CallAddr:    s.AdvertisedAddr,
		AnnouncedMS: started,
	}
	network, err := peer.Listen(peer.Options{CallAddr: s.CallAddr, Transport: peer.TransportTCP})
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, network: network, log: log, metrics: newMetrics(), selfReport: selfreport.NewTracker(), reportLog: selfreport.NewLog(log),
		coldStart: coldstart.New(time.Now())}
	n.instance.Store(&Instance{})
	n.SetLimits(s.Limits)
	n.directory = directory.New(directory.Options{
		Store: store, Topics: s.Topics, Decode: decode, Log: log, Rand: rand.Uint64, Name: s.Name,
		ConfigApply: s.ConfigApply, OnPreviousInstance: s.OnPreviousInstance, CheckAddress: checkAddress,
	})
	n.directory.RegisterPeers(network)
	n.host = &kernel.Host{
		Self:      self,
		Now:       time.Now,
		Rand:      rand.Uint64,
		Snapshot:  n.directory.Snapshot,
		ConfigAge: n.directory.ConfigAge,
		MaxKeyAge: func() time.Duration { return n.limits.Load().MaxKeyAge },
		Regions:   s.Regions,
		// The platform restarts nodes while their instances keep running.
		InstancesOutliveNodes: true,
		RateLimit:             n.instanceRateLimit,
		Retries:               s.Retries,
		Pools:                 s.Pools,
		AnnounceAssignment:    n.announceAssignment,
		AnnounceFanout:        n.announceFanout,
		Peers:                 network,
		Log:                   log,
		Forward:               n.forward,
		Publish:               n.Publish,
		Go:                    n.background.Go,
	}
	if n.plugins, err = kernel.NewPluginSet(n.host, s.Plugins); err != nil {
		network.Close()
		return nil, err
	}
	n.entry = n.plugins.Entry(kernel.HandlerFunc(noRouting))
	n.owner = n.plugins.Owner(exchange)
	network.Handle(kindCall, n.receiveCall)
	n.metrics.registerGauges(n)
	return n, nil
}

// checkAddress returns an error unless the address is an IP address with a port.
func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err == nil && address.Port() == 0 {
		err = errNoPort
	}
	return err
}

var errNoPort = errors.New("the port is zero")

func noRouting(context.Context, *kernel.Call) *kernel.Result {
	return kernel.Refuse(kernel.ReasonNoUpstream, "no routing plug-in is configured", 0)
}

// Start begins the background work: it announces the node, follows the store and
// ticks the plug-ins.
func (n *Node) Start() {
	ctx, cancelBackground := context.WithCancel(context.Background())
	n.cancelBackground = cancelBackground
	n.directory.Announce(func(r *directory.Record) { r.Member = n.host.Self })
	n.background.Go(func() { n.directory.Run(ctx) })
	n.background.Go(func() { n.tickPlugins(ctx) })
}

func (n *Node) tickPlugins(ctx context.Context) {
	t := time.NewTicker(kernel.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.followColdStart(n.host.Now())
			n.plugins.Tick(n.host.Now())
		}
	}
}

// Serve runs a call through the entry chain.
func (n *Node) Serve(ctx context.Context, c *kernel.Call) *kernel.Result {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	r := n.entry.Serve(ctx, c)
	latency := time.Since(c.Arrived)
	n.metrics.observe(c, r, latency)
	if r.Outcome == kernel.OutcomeAnswered && c.Nested() {
		n.latencies.record(c.RouteName, latency)
	}
	return r
}

// Snapshot returns the current state; never nil.
func (n *Node) Snapshot() *state.Snapshot { return n.directory.Snapshot() }

// ConfigAge returns the age of the configuration.
func (n *Node) ConfigAge() time.Duration { return n.directory.ConfigAge() }

// Ready reports whether the node takes new callers.
func (n *Node) Ready() bool { return !n.Stopping() && n.Snapshot().Config != nil }

// SetLimits changes the limits. A planned stop that has already begun keeps its
// stop timeout.
func (n *Node) SetLimits(l Limits) { n.limits.Store(&l) }

// PreviousSlots returns the number of slots in the record that an earlier
// process of the same node name left in the store; zero if there is none.
func (n *Node) PreviousSlots() int { return n.directory.PreviousSlots() }

func (n *Node) announce() {
	n.directory.Announce(func(r *directory.Record) {
		i := n.instance.Load()
		r.Member = n.host.Self
		r.Member.Slots = i.Slots
		r.Member.Draining = i.Draining || n.Stopping()
		r.Present = i.Present
		if i.ID != "" { // else the record keeps the instance beside an earlier process
			r.Instance = directory.Instance{ID: i.ID, StartedMS: i.StartedMS, Left: i.Draining || !i.Present}
		}
	})
}

func (n *Node) announceAssignment(a kernel.Assignment) {
	n.directory.Announce(func(r *directory.Record) {
		r.Pools, r.PoolGeneration, r.PoolIncarnation = a.Partitions, a.Term.Generation, a.Term.Incarnation
	})
}

func (n *Node) announceFanout(fanout state.Fanout) {
	n.directory.Announce(func(r *directory.Record) { r.Fanout = fanout })
}

// Close stops the node; calls in flight are aborted.
func (n *Node) Close() error {
	if n.cancelBackground != nil {
		n.cancelBackground()
	}
	n.network.Close()
	err := n.plugins.Cleanup()
	if !wait.ForGroup(&n.background, closeTimeout) {
		n.log.Info("background work still running at close")
	}
	return err
}

// errMalformedCall reports a call message that can't be decoded.
var errMalformedCall = errors.New("malformed call message")

// receiveCall serves a call message at the owner node.
func (n *Node) receiveCall(ctx context.Context, _ state.MemberID, data []byte) ([]byte, error) {
	c, remaining, err := decodeCall(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedCall, err)
	}
	deadline := n.host.Now().Add(remaining)
	c.DeadlineMS = deadline.UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return encodeResult(n.serveAsOwner(ctx, c))
}

// serveAsOwner runs the owner chain.
func (n *Node) serveAsOwner(ctx context.Context, c *kernel.Call) *kernel.Result {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if c.Known != nil {
		n.adoptReport(*c.Known)
	}
	r := n.refuseAtOwner(c)
	if r == nil {
		r = n.owner.Serve(ctx, c)
	}
	n.selfReport.Attach(r, n.host.Now())
	r.Owner = n.host.Self.ID
	return r
}

// refuseAtOwner returns a refusal if the call must not be sent to the instance,
// else nil.
func (n *Node) refuseAtOwner(c *kernel.Call) *kernel.Result {
	switch {
	case c.Service != n.settings.Service:
		return kernel.Refuse(kernel.ReasonNoUpstream, "the node is not beside an instance of "+c.Service, 0)
	case n.followEvacuation():
		return n.RefuseNewWork()
	case n.Snapshot().Config == nil && n.coldStart.SaysCold(n.host.Now()):
		// The configuration has the rate that a cold instance bears.
		return kernel.Refuse(kernel.ReasonNotReady, "the instance is cold and no configuration is in force yet", 0)
	}
	return n.RefuseNewWork()
}

// RefuseNewWork returns the refusal of a call that has not been handed over to the
// instance, if that takes no new work, else nil.
func (n *Node) RefuseNewWork() *kernel.Result { return n.host.RefuseNewWork() }
