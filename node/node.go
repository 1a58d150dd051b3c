// Package node wires a node: the front end for callers, the entry and owner
// chains, the dispatch of calls to the upstream beside the node, the transport to
// other nodes and the membership service.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/membership"
	"github.com/gooseberryflow/gooseberryflow/peer"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/selfreport"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// Defaults and fixed limits.
const (
	DefaultBodyLimitBytes = 1 << 20
	DefaultStopTimeout    = 30 * time.Second
	readHeaderTimeout     = 5 * time.Second
	readTimeout           = 30 * time.Second // of a whole request
	idleTimeout           = 2 * time.Minute
	idlePollInterval      = 10 * time.Millisecond
	// stopNoticePeriod is how long a stopping node still accepts calls from nodes that
	// have not yet learnt that it is draining.
	stopNoticePeriod = 200 * time.Millisecond
	resignTimeout    = 3 * time.Second
	// answerMargin is the part of the stop timeout in which the calls still in flight are
	// ended and answered, but at most a quarter of it.
	answerMargin = 500 * time.Millisecond
)

// ErrIncarnationEnded reports that the fleet has recorded the end of this
// incarnation, for example after a long pause. The caller starts a new Node.
var ErrIncarnationEnded = errors.New("this incarnation has been ended by the fleet")

// Settings configure a node.
type Settings struct {
	Service       string
	FailureDomain string
	// Addresses are IP:port; with port 0 the operating system picks a port.
	CallerAddr  string
	ControlAddr string
	CallAddr    string
	AdminAddr   string
	// Announced addresses are the ones that other nodes connect to. An empty one
	// defaults to the bound address.
	AnnouncedControlAddr string
	AnnouncedCallAddr    string
	UpstreamAddr         string
	Identity             peer.Identity
	Transport            peer.Transport
	Plugins              []string
	SeedPeers            []string
	OperatorTokens       []string
	// BodyLimitBytes bounds the body of a request and of a response, StopTimeout
	// the duration of a planned stop. Zero means the default.
	BodyLimitBytes int64
	StopTimeout    time.Duration
	// Intervals of the membership service; zero fields take the defaults.
	Intervals membership.Intervals
}

// Node is one running node.
type Node struct {
	settings   Settings
	self       state.Member
	host       *kernel.Host
	plugins    *kernel.PluginSet
	entry      kernel.Handler
	owner      kernel.Handler
	network    *peer.Network
	membership *membership.Service
	upstream   *upstream
	selfReport *selfreport.Tracker
	reportLog  *selfreport.Log
	metrics    *metrics
	recorder   *report.Recorder
	log        *slog.Logger

	callerListener       net.Listener
	adminListener        net.Listener
	callerServer         *http.Server
	adminServer          *http.Server
	stopping             atomic.Bool
	announceLeaving      sync.Once
	inFlight             atomic.Int64
	incarnationEnded     chan struct{}
	incarnationEndedOnce sync.Once
	background           sync.WaitGroup
	cancelBackground     context.CancelFunc

	// callersContext is the parent of the contexts of all requests of callers;
	// cancelCallers ends it.
	callersContext context.Context
	cancelCallers  context.CancelCauseFunc
}

// New opens the node's listeners and builds its chains; Run makes it serve.
func New(s Settings, platformLog streamlog.Log, logger *slog.Logger) (*Node, error) {
	if s.BodyLimitBytes == 0 {
		s.BodyLimitBytes = DefaultBodyLimitBytes
	}
	if s.StopTimeout == 0 {
		s.StopTimeout = DefaultStopTimeout
	}
	n := &Node{
		settings:         s,
		metrics:          newMetrics(),
		recorder:         report.NewRecorder(),
		log:              logger,
		incarnationEnded: make(chan struct{}),
		selfReport:       selfreport.NewTracker(),
		reportLog:        selfreport.NewLog(logger),
	}
	n.self = state.Member{
		ID:      state.MemberID(uuid.NewString()),
		Service: s.Service,
		Domain:  s.FailureDomain,

		AnnouncedMS: time.Now().UnixMilli(),
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	if err := n.build(platformLog); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	var err error
	s := n.settings
	n.network, err = peer.Listen(peer.Options{
		Self:        n.self.ID,
		Identity:    s.Identity,
		ControlAddr: s.ControlAddr,
		CallAddr:    s.CallAddr,
		Transport:   s.Transport,
	})
	if err != nil {
		return err
	}
	if n.callerListener, err = net.Listen("tcp", s.CallerAddr); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if n.adminListener, err = net.Listen("tcp", s.AdminAddr); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	n.self.ControlAddr = cmp.Or(s.AnnouncedControlAddr, n.network.ControlAddr())
	n.self.CallAddr = cmp.Or(s.AnnouncedCallAddr, n.network.CallAddr())
	n.self.CallerAddr = n.callerListener.Addr().String()
	return nil
}

// build creates the membership service, the plug-in host and the chains.
func (n *Node) build(platformLog streamlog.Log) error {
	var err error
	n.membership, err = membership.New(membership.Options{
		Self:      n.self,
		Log:       platformLog,
		Peers:     n.network,
		SeedPeers: n.settings.SeedPeers,
		Parse:     config.Parse,
		Now:       time.Now,
		Rand:      rand.Uint64,
		Logger:    n.log,
		Intervals: n.settings.Intervals,
		OnEnded:   n.markIncarnationEnded,
	})
	if err != nil {
		return err
	}
	n.selfReport.SetInstance(n.incarnation(), false, time.Now())
	n.host = &kernel.Host{
		Self:      n.self,
		Now:       time.Now,
		Rand:      rand.Uint64,
		Snapshot:  n.membership.Snapshot,
		RateLimit: n.selfReport.RateLimit,
		Peers:     n.network,
		Log:       n.log,
		Forward:   n.forward,
		Go:        n.background.Go,
	}
	n.upstream = newUpstream(n.settings.UpstreamAddr, n.settings.BodyLimitBytes, n.host.Now, n.metrics)
	n.upstream.observe = n.observeResponse
	if n.plugins, err = kernel.NewPluginSet(n.host, n.settings.Plugins); err != nil {
		return err
	}
	n.entry = n.plugins.Entry(kernel.HandlerFunc(noRouting))
	n.owner = n.plugins.Owner(n.upstream)
	n.network.Handle(kindCall, n.receiveCall)
	n.metrics.addTraffic("control", &n.network.ControlTraffic)
	n.metrics.addTraffic("call", &n.network.CallTraffic)
	n.callersContext, n.cancelCallers = context.WithCancelCause(context.Background())
	n.callerServer = n.newServer(n)
	n.callerServer.BaseContext = func(net.Listener) context.Context { return n.callersContext }
	n.adminServer = n.newServer(n.adminHandler())
	return nil
}

// noRouting ends an entry chain without a routing plug-in.
func noRouting(context.Context, *kernel.Call) *kernel.Result {
	return kernel.Refuse(kernel.ReasonNoUpstream, "no routing plug-in is configured", 0)
}

func (n *Node) newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           n.recoverPanics(h),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Member returns the node's identity and addresses as announced to other nodes.
func (n *Node) Member() state.Member { return n.self }

// AdminAddr returns the bound address for operators.
func (n *Node) AdminAddr() string { return n.adminListener.Addr().String() }

// Snapshot returns the current state.
func (n *Node) Snapshot() *state.Snapshot { return n.membership.Snapshot() }

// Apply submits an operators' file to replace the version in force. It returns an
// error unless the file is accepted.
func (n *Node) Apply(ctx context.Context, file []byte) error {
	r := n.membership.Submit(ctx, file, n.Snapshot().Version, uuid.NewString())
	if r.Outcome != membership.SubmitAccepted {
		return fmt.Errorf("configuration was not accepted: %s", r.Reason)
	}
	return nil
}

// Run serves until ctx ends and then performs a planned stop: it refuses new
// work, waits for the calls in flight and hands over state. It returns nil after
// a complete stop, ErrIncarnationEnded if the fleet has ended the incarnation, or
// another error.
func (n *Node) Run(ctx context.Context) error {
	backgroundCtx, stop := context.WithCancel(context.Background())
	n.cancelBackground = stop
	defer stop()
	n.background.Go(func() { n.runMembership(backgroundCtx) })
	n.background.Go(func() { n.tickPlugins(backgroundCtx) })
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- n.callerServer.Serve(n.callerListener) }()
	go func() { serveErrors <- n.adminServer.Serve(n.adminListener) }()
	n.log.Info("node serves", "member", n.self.ID, "service", n.self.Service,
		"failure_domain", n.self.Domain, "callers", n.self.CallerAddr,
		"control", n.self.ControlAddr, "calls", n.self.CallAddr, "admin", n.AdminAddr())
	select {
	case <-ctx.Done():
		return n.stop()
	case <-n.incarnationEnded:
		n.Kill()
		return ErrIncarnationEnded
	case err := <-serveErrors:
		n.Kill()
		return fmt.Errorf("serve: %w", err)
	}
}

func (n *Node) runMembership(ctx context.Context) {
	if err := n.membership.Run(ctx); err != nil && ctx.Err() == nil {
		n.log.Error("membership stopped", "error", err)
	}
}

func (n *Node) tickPlugins(ctx context.Context) {
	t := time.NewTicker(kernel.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.plugins.Tick(n.host.Now())
		}
	}
}

func (n *Node) markIncarnationEnded() {
	n.incarnationEndedOnce.Do(func() { close(n.incarnationEnded) })
}

// stop performs a planned stop. Calls that are in flight shortly before the stop timeout
// are ended, and answered by the node.
func (n *Node) stop() error {
	n.log.Info("planned stop begins", "in_flight", n.inFlight.Load())
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	cutOff, cancelCutOff := context.WithTimeout(ctx, n.settings.StopTimeout-min(answerMargin, n.settings.StopTimeout/4))
	defer cancelCutOff()
	if err := n.membership.SetDraining(cutOff, n.self.ID, true); err != nil {
		n.log.Warn("draining could not be announced", "error", err)
	}
	wait.For(cutOff, stopNoticePeriod)
	n.stopping.Store(true)
	left := n.awaitIdle(cutOff)
	err := n.callerServer.Shutdown(cutOff)
	if left > 0 || err != nil {
		n.answerRemaining(ctx)
	}
	n.handOverState()
	n.Kill()
	if left > 0 || err != nil {
		return fmt.Errorf("stop timeout passed with %d calls in flight: %w", left, context.DeadlineExceeded)
	}
	n.log.Info("planned stop is complete")
	return nil
}

// answerRemaining ends the calls in flight and waits until they are answered, or until ctx
// ends.
func (n *Node) answerRemaining(ctx context.Context) {
	n.network.CancelRequests(kernel.ErrNodeStopping)
	n.cancelCallers(kernel.ErrNodeStopping)
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Warn("requests without a response at the end of the planned stop", "error", err)
	}
	n.awaitIdle(ctx)
	wait.For(ctx, idlePollInterval) // a call counts as ended before its result is written
}

// awaitIdle waits until no call is in flight or ctx ends. It returns the number
// of calls still in flight.
func (n *Node) awaitIdle(ctx context.Context) int64 {
	for n.inFlight.Load() > 0 && ctx.Err() == nil {
		wait.For(ctx, idlePollInterval)
	}
	return n.inFlight.Load()
}

// handOverState hands over what the plug-ins own on behalf of the fleet and
// records the end of this incarnation.
func (n *Node) handOverState() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	n.plugins.Resign(ctx)
	if err := n.membership.Resign(ctx); err != nil {
		n.log.Warn("resignation was not recorded", "error", err)
	}
}

// Kill stops the node at once, as a crash would: calls in flight are aborted.
func (n *Node) Kill() {
	if n.cancelBackground != nil {
		n.cancelBackground()
	}
	n.closeListeners()
	if n.plugins != nil {
		_ = n.plugins.Cleanup()
	}
	n.background.Wait()
}

func (n *Node) closeListeners() {
	if n.callerServer != nil {
		_ = n.callerServer.Close()
	}
	if n.adminServer != nil {
		_ = n.adminServer.Close()
	}
	for _, l := range []net.Listener{n.callerListener, n.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	if n.network != nil {
		n.network.Close()
	}
}

// recoverPanics answers a request whose handler panicked and lets the node go on
// serving.
func (n *Node) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil || cause == http.ErrAbortHandler {
				return
			}
			n.metrics.panics.Add(1)
			n.log.Error("request handling panicked", "cause", fmt.Sprint(cause))
			n.writeResult(w, &kernel.Call{Method: r.Method}, kernel.Unknown(kernel.ReasonInternal, "internal error"))
		}()
		next.ServeHTTP(w, r)
	})
}

// observe updates the counters. Only root requests count towards the
// service-level report, so that a failure of a nested call spends the error
// budget once.
func (n *Node) observe(c *kernel.Call, r *kernel.Result, took time.Duration) {
	n.metrics.count(r)
	if counted(c, r) {
		n.recorder.Observe(c.Customer, c.RouteName, metObjective(r), took, n.host.Now())
	}
}
