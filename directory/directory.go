package directory

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const (
	// configWaitMin and configWaitMax bound how long a poll for configurations
	// waits, which is what the time in which they have to be in force leaves after
	// configSlack: the pull that finds the reader silent, pullSilence beyond the
	// wait, and a read. It bounds the age of what the leading node of a failure
	// domain tells.
	configWaitMin = 700 * time.Millisecond
	configWaitMax = 1200 * time.Millisecond
	configSlack   = 1300 * time.Millisecond
	// membersWait is how long a poll for members waits, storeSilence the time
	// without word of the store after which only its configuration is asked for.
	membersWait  = 25 * time.Second
	storeSilence = 3 * time.Second
	gatherDelay  = 700 * time.Millisecond
	// settleDelay and configSettle are above the time within which the processes
	// of a fleet start and announce themselves.
	settleDelay  = 600 * time.Millisecond
	configSettle = 1200 * time.Millisecond
	// outageRetry is the least pause between calls to a lost store for nodes
	// behind the first pullPeers of their failure domain; up to a half more is
	// drawn.
	outageRetry = 2 * time.Second
	// writeDelay gathers changes of the own record; writeRetryMax is the longest
	// pause before a write is tried again, while peers pass the record on.
	writeDelay    = 100 * time.Millisecond
	writeRetryMax = 3 * time.Second
	// askAfter is the age of the own contact from which on peers are asked.
	askAfter    = 2300 * time.Millisecond
	askInterval = 400 * time.Millisecond
	askPeers    = 2
	// Ages beyond it are not told apart.
	maxAge = time.Hour
)

// Decode reads a configuration document and returns its version.
type Decode func(document []byte) (*config.Config, uint64, error)

// Options configure a Directory.
type Options struct {
	Store  Store
	Topics Topics
	Decode Decode
	Log    *slog.Logger
	Rand   func() uint64
	// Name is the key of the node's own record.
	Name string
	// OnPreviousInstance is told of the instance that an earlier process of the same name has
	// left in its record; it may be nil.
	OnPreviousInstance func(Instance)
	// ConfigApply is the time within which a configuration has to be in force
	// everywhere; zero stands for the shortest that is served.
	ConfigApply time.Duration
}

// configWait returns how long a poll for configurations waits.
func (o *Options) configWait() time.Duration {
	return min(max(o.ConfigApply-configSlack, configWaitMin), configWaitMax)
}

// Directory publishes snapshots. It is safe for concurrent use.
type Directory struct {
	options  Options
	peers    kernel.Peers
	snapshot atomic.Pointer[state.Snapshot]
	// contact is when the read was sent that vouched last for the configuration.
	contact atomic.Int64
	// heard is when the store's latest word on the configuration arrived, here
	// or at the peer that passed it on.
	heard atomic.Int64

	// leading is set while this node reads the store for its failure domain, not
	// before it has looked for others that do;
	// configNext is the end of the configuration's topic as known.
	leading    atomic.Bool
	configNext atomic.Uint64

	mu       sync.Mutex // guards what follows and the making of snapshots
	document []byte
	rejected uint64 // version of a document that could not be decoded
	records  map[string]stored
	// membersNext is the end of the members' topic as far as records reflect it.
	membersNext uint64
	avoid       map[string]time.Time // peers that did not answer, until when
	own         *Record
	ownPlace    stored // of the own name's record in the store
	previous    Record // the own name's record by an earlier process
	written     bool   // the own record is in the store as it should be
	writtenIn   uint64 // the incarnation of the store then
	wake        chan struct{}
	restored

	// membersRead is closed once the members have been read.
	membersRead chan struct{}
	membersOnce sync.Once
}

// New returns a directory without knowledge.
func New(o Options) *Directory {
	d := &Directory{
		options: o, records: map[string]stored{}, avoid: map[string]time.Time{}, wake: make(chan struct{}, 1),
		membersRead: make(chan struct{}),
	}
	d.snapshot.Store((&state.Snapshot{Members: map[state.MemberID]state.Member{}}).Index())
	return d
}

// RegisterPeers sets the way to the peers and registers the handler for their
// questions. Call it before Run.
func (d *Directory) RegisterPeers(p kernel.Peers) {
	d.peers = p
	kernel.HandleRequest(p, kindState, d.onAsk)
}

// Snapshot returns the current state; never nil.
func (d *Directory) Snapshot() *state.Snapshot { return d.snapshot.Load() }

// ConfigAge returns how long ago the configuration was vouched for.
func (d *Directory) ConfigAge() time.Duration { return since(&d.contact) }

// silence returns how long ago the store was heard of.
func (d *Directory) silence() time.Duration { return since(&d.heard) }

// since returns the time since an instant, or maxAge if there is none.
func since(at *atomic.Int64) time.Duration {
	instant := at.Load()
	if instant == 0 {
		return maxAge
	}
	return min(boottime.Now().Sub(boottime.Instant(instant)), maxAge)
}

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	topics := d.options.Topics
	follow := func(f *follower) func() {
		f.store, f.log = d.options.Store, d.options.Log
		return func() { f.run(ctx) }
	}
	var running sync.WaitGroup
	running.Go(follow(&follower{
		topic: topics.Config, wait: d.options.configWait(), settle: configSettle, backoff: d.backoff,
		first: d.consult, apply: d.applyConfig, resume: d.resumeConfig,
	}))
	running.Go(follow(&follower{
		topic: topics.Members, wait: membersWait, gather: gatherDelay, settle: settleDelay, backoff: d.backoff,
		apply: d.applyMembers, resume: d.resumeMembers,
	}))
	running.Go(func() { d.pull(ctx) })
	running.Go(func() { d.write(ctx) })
	running.Go(func() { d.ask(ctx) })
	running.Wait()
}

// advance moves an instant forward, never back.
func advance(instant *atomic.Int64, to boottime.Instant) {
	for {
		old := instant.Load()
		if int64(to) <= old || instant.CompareAndSwap(old, int64(to)) {
			return
		}
	}
}

// applyConfig takes in a page of the configuration's topic.
func (d *Directory) applyConfig(page Page, whole bool, sent boottime.Instant) {
	d.mu.Lock()
	d.meet(page.Incarnation, "store")
	late := page.Incarnation < d.incarnation
	vouches := !late && d.vouches(page, whole, sent)
	d.mu.Unlock()
	if late {
		return
	}
	for old := d.configNext.Load(); page.End > old && !d.configNext.CompareAndSwap(old, page.End); {
		old = d.configNext.Load()
	}
	taken := true
	for _, i := range page.Items {
		if i.Key == d.options.Topics.ConfigKey && len(i.Value) > 0 {
			taken = d.take(i.Value, "store")
		}
	}
	// A document that can't be read may withdraw keys, so nothing vouches for
	// the ones at hand.
	if !taken {
		return
	}
	advance(&d.heard, boottime.Now())
	if vouches && d.Snapshot().Config != nil {
		advance(&d.contact, sent)
	}
}

// resumeConfig lets the follower of the configuration run while this node leads.
func (d *Directory) resumeConfig() (resumption, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return resumption{next: d.configNext.Load(), incarnation: d.incarnation}, d.leading.Load()
}

// take puts a document in force unless it is older than the one at hand. It
// reports whether the configuration in force is at least as new as the document.
func (d *Directory) take(document []byte, from string) bool {
	c, version, err := d.options.Decode(document)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.options.Log.Error("configuration not understood, the last good one stays",
			"version", version, "in_force", d.Snapshot().Version, "from", from, "error", err)
		d.rejected = max(d.rejected, version)
		return false
	}
	if version <= d.Snapshot().Version {
		d.doubt(version, from)
		return d.rejected <= d.Snapshot().Version
	}
	d.document = document
	d.publish(func(s *state.Snapshot) {
		s.Version = version
		s.Config = c
	})
	d.options.Log.Info("configuration in force", "version", version, "from", from,
		"customers", len(c.Customers), "routes", len(c.Hosts.Routes()))
	return true
}

// resumeMembers lets the follower of the members run while this node leads and
// the store answers.
func (d *Directory) resumeMembers() (resumption, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answers := d.silence() < storeSilence || d.Snapshot().Config == nil
	return resumption{next: d.membersNext, incarnation: d.incarnation}, d.leading.Load() && answers
}

// backoff lengthens the pause between calls to a lost store for nodes that
// learn from those before them when it is back.
func (d *Directory) backoff(pause time.Duration) time.Duration {
	if len(d.ahead()) < pullPeers || d.Snapshot().Config == nil {
		return pause
	}
	return max(pause, outageRetry+time.Duration(d.options.Rand()%uint64(outageRetry/2)))
}

// Announce changes the node's own record and has it written.
func (d *Directory) Announce(change func(*Record)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own == nil {
		d.own = &Record{}
		delete(d.records, d.options.Name)
	}
	next := *d.own
	change(&next)
	next.Member.AnnouncedMS = max(next.Member.AnnouncedMS, d.own.Member.AnnouncedMS)
	if sameRecord(next, *d.own) {
		return
	}
	next.Revision++
	d.own = &next
	d.succeed()
	d.written = false
	d.publishMembers()
	d.signal()
}

// PreviousSlots returns the slots that an earlier process of the same name
// has told of its instance; zero if there are none.
func (d *Directory) PreviousSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.previous.Member.Slots
}

func (d *Directory) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// write keeps the own record in the store as it should be.
func (d *Directory) write(ctx context.Context) {
	delay := retryMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		wait.For(ctx, writeDelay+d.rewriteDelay())
		for !d.writeOnce(ctx) && ctx.Err() == nil {
			wait.For(ctx, delay)
			delay = min(2*delay, writeRetryMax)
		}
		delay = retryMin
	}
}

func (d *Directory) writeOnce(ctx context.Context) bool {
	d.mu.Lock()
	done := d.written || d.own == nil
	var value []byte
	if !done {
		value, _ = recordMode.Marshal(*d.own)
	}
	d.mu.Unlock()
	if done {
		return true
	}
	call, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	incarnation := d.options.Store.Incarnation()
	if err := d.options.Store.Put(call, d.options.Topics.Members, d.options.Name, value); err != nil {
		d.options.Log.Warn("own record not written", "error", err)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, _ := recordMode.Marshal(*d.own)
	d.written = string(now) == string(value)
	d.writtenIn = incarnation
	return d.written
}

// rewriteDelay spreads the writes of all nodes after the store has come back.
func (d *Directory) rewriteDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pruneAt == 0 && !d.untrusted {
		return 0
	}
	spread := min(time.Duration(len(d.records))*rewriteSpread, rewriteSpreadMax)
	return time.Duration(d.options.Rand() % uint64(spread+1))
}
