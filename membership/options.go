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
	// a node that reads the log itself. A node that uses a relay reads less often.
	DefaultPollInterval = time.Second
	// DefaultGossipInterval is the mean time between gossip exchanges.
	DefaultGossipInterval = time.Second
	// DefaultMaintenanceInterval is the mean time between checks for records to
	// append: announcements, refreshes, withdrawals, removals.
	DefaultMaintenanceInterval = time.Second
	// DefaultRefreshInterval is the time after which announcements and the
	// configuration are appended again. It must be at most a quarter of the
	// log's retention.
	DefaultRefreshInterval = 10 * time.Minute
	// DefaultRankDelay is how long a node waits per member that ranks before it,
	// so that usually a single node appends on behalf of all.
	DefaultRankDelay = 3 * time.Second
	// DefaultSuspectAfter is how long a peer must fail every probe before it is
	// suspected.
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
	Maintenance  time.Duration
	Refresh      time.Duration
	RankDelay    time.Duration
	SuspectAfter time.Duration
	Probe        time.Duration
	LogTimeout   time.Duration
	PeerTimeout  time.Duration
}

func (i Intervals) withDefaults() Intervals {
	setDefault := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	setDefault(&i.Poll, DefaultPollInterval)
	setDefault(&i.Gossip, DefaultGossipInterval)
	setDefault(&i.Maintenance, DefaultMaintenanceInterval)
	setDefault(&i.Refresh, DefaultRefreshInterval)
	setDefault(&i.RankDelay, DefaultRankDelay)
	setDefault(&i.SuspectAfter, DefaultSuspectAfter)
	setDefault(&i.Probe, DefaultProbeInterval)
	setDefault(&i.LogTimeout, DefaultLogTimeout)
	setDefault(&i.PeerTimeout, DefaultPeerTimeout)
	return i
}

// Options configures a Service. Self, Log, Peers and Parse are required.
type Options struct {
	Self  state.Member
	Log   streamlog.Log
	Peers kernel.Peers
	// SeedPeers lists the control addresses of the peers to contact while the
	// roster is unknown.
	SeedPeers []string
	// Parse parses an operators' file; it must be a pure function.
	Parse state.Parse
	// Now and Rand must be safe for concurrent use.
	Now       func() time.Time
	Rand      func() uint64
	Logger    *slog.Logger
	Intervals Intervals
	// OnEnded is called once, on its own goroutine, when the node finds that its
	// incarnation has ended, or that the record of its end may have expired
	// unread. The node must give up its roles and start again with a new Self.
	OnEnded func()
}

func (o Options) withDefaults() (Options, error) {
	if o.Log == nil || o.Peers == nil || o.Parse == nil {
		return o, errors.New("membership: Log, Peers and Parse are required")
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

// jitter returns a random duration between 3/4 d and 5/4 d.
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
