package membership

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// Default intervals.
const (
	// DefaultPollInterval is the mean time between reads of the log's head by
	// a node that reads the log itself; see relays.
	DefaultPollInterval = time.Second
	// DefaultGossipInterval is the mean time between exchanges with a peer.
	DefaultGossipInterval = time.Second
	// DefaultUpkeepInterval is the time between checks of what must be
	// appended: announcements, refreshes, withdrawals, removals.
	DefaultUpkeepInterval = time.Second
	// DefaultRefreshInterval is the time after which announcements and the
	// configuration are appended again. It must be at most a quarter of the
	// log's retention.
	DefaultRefreshInterval = 10 * time.Minute
	// DefaultRankDelay is how long a node waits for each member that ranks
	// before it, so that one node usually appends on behalf of all.
	DefaultRankDelay = 3 * time.Second
	// DefaultSuspectAfter is how long a peer must fail every probe before the
	// node suspects it.
	DefaultSuspectAfter = 30 * time.Second
	// DefaultProbeInterval is the time between probes of a failing peer.
	DefaultProbeInterval = 5 * time.Second
	// DefaultLogTimeout bounds one request to the log.
	DefaultLogTimeout = 3 * time.Second
	// DefaultPeerTimeout bounds one message to a peer.
	DefaultPeerTimeout = time.Second
)

// Intervals overrides the defaults; a zero field keeps its default.
type Intervals struct {
	Poll         time.Duration
	Gossip       time.Duration
	Upkeep       time.Duration
	Refresh      time.Duration
	RankDelay    time.Duration
	SuspectAfter time.Duration
	Probe        time.Duration
	LogTimeout   time.Duration
	PeerTimeout  time.Duration
}

func (i Intervals) withDefaults() Intervals {
	set := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	set(&i.Poll, DefaultPollInterval)
	set(&i.Gossip, DefaultGossipInterval)
	set(&i.Upkeep, DefaultUpkeepInterval)
	set(&i.Refresh, DefaultRefreshInterval)
	set(&i.RankDelay, DefaultRankDelay)
	set(&i.SuspectAfter, DefaultSuspectAfter)
	set(&i.Probe, DefaultProbeInterval)
	set(&i.LogTimeout, DefaultLogTimeout)
	set(&i.PeerTimeout, DefaultPeerTimeout)
	return i
}

// Options is what a Service works with. Self, Log, Peers and Parse are needed.
type Options struct {
	Self  state.Member
	Log   streamlog.Log
	Peers kernel.Peers
	// SeedPeers lists control addresses of peers to ask before the roster is known.
	SeedPeers []string
	// Parse parses an operators' file; it must be a pure function.
	Parse state.Parse
	// Now and Rand must be safe for concurrent use.
	Now       func() time.Time
	Rand      func() uint64
	Logger    *slog.Logger
	Intervals Intervals
	// OnEnded is called once, on its own goroutine, when the node finds that
	// its incarnation has ended or may have ended unseen. The node must stop
	// its roles and start again with a fresh Self.
	OnEnded func()
}

func (o Options) withDefaults() (Options, error) {
	if o.Log == nil || o.Peers == nil || o.Parse == nil {
		return o, errors.New("membership: Log, Peers and Parse are needed")
	}
	if _, err := state.Encode(state.AnnounceRecord{Member: o.Self}); err != nil {
		return o, err
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Uint64
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.OnEnded == nil {
		o.OnEnded = func() {}
	}
	o.Intervals = o.Intervals.withDefaults()
	return o, nil
}

// jitter returns a duration within a quarter of d around d.
func (o Options) jitter(d time.Duration) time.Duration {
	const steps = 1024
	return d*3/4 + d/2*time.Duration(o.Rand()%steps)/steps
}

func (o Options) logContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, o.Intervals.LogTimeout)
}

func (o Options) peerContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, o.Intervals.PeerTimeout)
}
