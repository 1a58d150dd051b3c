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
	// minConfigPollWait and maxConfigPollWait bound how long a poll for
	// configurations waits. The wait is Options.ConfigApply less configApplySlack,
	// which covers peerContactSlack, the pull that finds that the reader has lost
	// the store, and a read. The wait bounds the age of the configuration that the
	// reader of a failure domain reports.
	minConfigPollWait = 700 * time.Millisecond
	maxConfigPollWait = 1200 * time.Millisecond
	configApplySlack  = 1300 * time.Millisecond
	// membersPollWait is how long a poll for members waits. After
	// storeUnreachableAfter without contact with the store only the configuration
	// is polled. membersBatchDelay is the pause after a poll that returned records.
	membersPollWait       = 25 * time.Second
	storeUnreachableAfter = 3 * time.Second
	membersBatchDelay     = 700 * time.Millisecond
	// membersSettleDelay and configSettleDelay are the pauses after the first read.
	// They exceed the time within which the processes of a fleet start and announce
	// themselves.
	membersSettleDelay = 600 * time.Millisecond
	configSettleDelay  = 1200 * time.Millisecond
	// outageRetryDelay is the least pause between calls to an unreachable store for
	// nodes preceded by maxPullPeers others in their failure domain; a random
	// jitter of up to half of it is added.
	outageRetryDelay = 2 * time.Second
	// writeBatchDelay batches changes of the node's own record. maxWriteRetryDelay
	// is the longest pause before a write is retried; meanwhile peers relay the
	// record.
	writeBatchDelay    = 100 * time.Millisecond
	maxWriteRetryDelay = 3 * time.Second
	// From the age peerRefreshAge of the configuration on, the state is requested
	// from peerRefreshPeers random nodes of any failure domain every
	// peerRefreshInterval.
	peerRefreshAge      = 2300 * time.Millisecond
	peerRefreshInterval = 400 * time.Millisecond
	peerRefreshPeers    = 2
	// maxAge caps reported ages; it also stands for "never".
	maxAge = time.Hour
)

// Decode parses a configuration document. It returns the document's version also
// with an error, as far as the version could be read.
type Decode func(document []byte) (*config.Config, uint64, error)

// Options configure a Directory.
type Options struct {
	Store  Store
	Topics Topics
	Decode Decode
	Log    *slog.Logger
	Rand   func() uint64
	// Name is the node's name, the key of its record.
	Name string
	// CheckAddress returns an error for an address at which no node can be called; nil
	// means that all are accepted.
	CheckAddress func(string) error
	// OnPreviousInstance is called with the instance recorded by an earlier process
	// of the same node; it may be nil.
	OnPreviousInstance func(Instance)
	// ConfigApply is the time within which a configuration must be in force on all
	// nodes; zero means the shortest supported time.
	ConfigApply time.Duration
}

// configPollWait returns how long a poll for configurations waits.
func (o *Options) configPollWait() time.Duration {
	return min(max(o.ConfigApply-configApplySlack, minConfigPollWait), maxConfigPollWait)
}

// Directory follows the topics of the store and publishes snapshots of the fleet's
// state. It is safe for concurrent use.
type Directory struct {
	options  Options
	peers    kernel.Peers
	snapshot atomic.Pointer[state.Snapshot]
	// configConfirmedAt is when the read that last confirmed the configuration was
	// sent.
	configConfirmedAt atomic.Int64
	// storeContactAt is when the store's latest response about the configuration
	// arrived, here or at the peer that relayed it.
	storeContactAt atomic.Int64

	// isReader is set while this node reads the store for its failure domain; it is
	// unset until the node has looked for another reader. configOffset is the known
	// end of the configuration topic.
	isReader     atomic.Bool
	configOffset atomic.Uint64

	// InvalidRecords counts the member records that were left out.
	InvalidRecords atomic.Int64

	mu              sync.Mutex // guards the following fields and the creation of snapshots
	document        []byte
	rejectedVersion uint64 // version of a document that could not be decoded
	records         map[string]storedRecord
	// membersOffset is the offset in the members topic up to which records are applied.
	membersOffset         uint64
	unreachableUntil      map[string]time.Time // peers that did not respond, until when they are skipped
	own                   *Record
	ownStored             storedRecord // offset and incarnation of the node's record in the store
	previousRecord        Record       // record of an earlier process of this node
	ownWritten            bool         // the store holds the current own record
	held                  heldRecord   // the store's record under this node's name
	ownWrittenIncarnation uint64       // the store's incarnation when own was written
	writeSignal           chan struct{}
	incarnationState
	evacuations evacuations

	// membersLoaded is closed once the members have been read.
	membersLoaded     chan struct{}
	membersLoadedOnce sync.Once
}

// New returns a directory with an empty snapshot.
func New(o Options) *Directory {
	d := &Directory{
		options: o, records: map[string]storedRecord{}, unreachableUntil: map[string]time.Time{}, writeSignal: make(chan struct{}, 1),
		membersLoaded: make(chan struct{}), held: heldRecord{replaced: make(chan struct{})},
	}
	d.snapshot.Store((&state.Snapshot{Members: map[state.MemberID]state.Member{}}).Index())
	return d
}

// RegisterPeers sets the client for requests to peers and registers the handler
// for theirs. Call it before Run.
func (d *Directory) RegisterPeers(p kernel.Peers) {
	d.peers = p
	kernel.HandleRequest(p, kindState, d.handleStateRequest)
}

// Snapshot returns the current state; never nil.
func (d *Directory) Snapshot() *state.Snapshot { return d.snapshot.Load() }

// ConfigAge returns the time since the read that last confirmed the configuration
// was sent.
func (d *Directory) ConfigAge() time.Duration { return since(&d.configConfirmedAt) }

// storeContactAge returns the time since the store's latest known response.
func (d *Directory) storeContactAge() time.Duration { return since(&d.storeContactAt) }

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
		topic: topics.Config, wait: d.options.configPollWait(), settleDelay: configSettleDelay, backoff: d.backoff,
		beforeFirstApply: d.fetchConfigFromPeers, apply: d.applyConfig, resume: d.resumeConfig,
	}))
	running.Go(follow(&follower{
		topic: topics.Members, wait: membersPollWait, batchDelay: membersBatchDelay, settleDelay: membersSettleDelay, backoff: d.backoff,
		apply: d.applyMembers, resume: d.resumeMembers,
	}))
	running.Go(func() { d.pullLoop(ctx) })
	running.Go(func() { d.writeLoop(ctx) })
	running.Go(func() { d.refreshFromPeers(ctx) })
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

// applyConfig applies a page of the configuration topic. whole is set if the page
// holds all latest records, and unset for a page of the tail.
func (d *Directory) applyConfig(page Page, whole bool, sent boottime.Instant) {
	d.mu.Lock()
	d.observeIncarnation(page.Incarnation, "store")
	late := page.Incarnation < d.incarnation
	confirmsConfig := !late && d.confirmsConfig(page, whole, sent)
	d.mu.Unlock()
	if late {
		return
	}
	for old := d.configOffset.Load(); page.End > old && !d.configOffset.CompareAndSwap(old, page.End); {
		old = d.configOffset.Load()
	}
	d.applyEvacuations(page, whole)
	upToDate := true
	for _, i := range page.Items {
		if i.Key == d.options.Topics.ConfigKey && len(i.Value) > 0 {
			upToDate = d.applyDocument(i.Value, "store")
		}
	}
	// An undecodable document may withdraw API keys, so the read does not confirm
	// the configuration in force.
	if !upToDate {
		return
	}
	advance(&d.storeContactAt, boottime.Now())
	if confirmsConfig && d.Snapshot().Config != nil {
		advance(&d.configConfirmedAt, sent)
	}
}

// resumeConfig lets the follower of the configuration run while this node is the
// reader of its failure domain.
func (d *Directory) resumeConfig() (position, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return position{offset: d.configOffset.Load(), incarnation: d.incarnation}, d.isReader.Load()
}

// applyDocument puts a document in force unless the configuration in force is as
// new. It reports whether the configuration in force is then at least as new as
// the document; for a document that is not newer it also reports false if a newer
// version could not be decoded.
func (d *Directory) applyDocument(document []byte, from string) bool {
	c, version, err := d.options.Decode(document)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.options.Log.Error("configuration not understood, the last good one stays",
			"version", version, "in_force", d.Snapshot().Version, "from", from, "error", err)
		d.rejectedVersion = max(d.rejectedVersion, version)
		return false
	}
	if version <= d.Snapshot().Version {
		d.logOlderConfig(version, from)
		return d.rejectedVersion <= d.Snapshot().Version
	}
	d.document = document
	d.publish(func(s *state.Snapshot) {
		s.Version = version
		s.Config = c
	})
	d.options.Log.Info("configuration in force", "version", version, "from", from,
		"customers", len(c.Customers), "routes", len(c.Hosts.Routes()))
	if n := len(c.Warnings); n > 0 {
		d.options.Log.Warn("configuration partly not understood", "version", version, "parts", n, "first", c.Warnings[0])
	}
	return true
}

// resumeMembers lets the follower of the members run while this node is the reader
// of its failure domain and the store responds.
func (d *Directory) resumeMembers() (position, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	storeResponds := d.storeContactAge() < storeUnreachableAfter || d.Snapshot().Config == nil
	return position{offset: d.membersOffset, incarnation: d.incarnation}, d.isReader.Load() && storeResponds
}

// backoff lengthens the pause between calls to an unreachable store for nodes that
// learn from preceding nodes when the store is back.
func (d *Directory) backoff(pause time.Duration) time.Duration {
	if len(d.precedingPeers()) < maxPullPeers || d.Snapshot().Config == nil {
		return pause
	}
	return max(pause, outageRetryDelay+time.Duration(d.options.Rand()%uint64(outageRetryDelay/2)))
}

// Announce changes the node's own record and schedules its write to the store.
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
	d.supersedePrevious()
	d.ownWritten = false
	d.publishMembers()
	d.signalWrite()
}

// PreviousSlots returns the number of slots that an earlier process of the same
// node reported for its instance; zero if none is known.
func (d *Directory) PreviousSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.previousRecord.Member.Slots
}

func (d *Directory) signalWrite() {
	select {
	case d.writeSignal <- struct{}{}:
	default:
	}
}

// writeLoop writes the node's own record to the store whenever the two differ. It begins
// once the record of the node's earlier process has been read, which it overwrites.
func (d *Directory) writeLoop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.membersLoaded:
	}
	delay := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.writeSignal:
		}
		wait.For(ctx, writeBatchDelay+d.rewriteDelay())
		for !d.writeOnce(ctx) && ctx.Err() == nil {
			wait.For(ctx, delay)
			delay = min(2*delay, maxWriteRetryDelay)
		}
		delay = minRetryDelay
	}
}

// writeOnce writes the node's own record unless the store holds it. It reports
// whether the store then holds the current record.
func (d *Directory) writeOnce(ctx context.Context) bool {
	d.mu.Lock()
	done := d.ownWritten || d.own == nil
	var record Record
	var value []byte
	if !done {
		record = *d.own
		value, _ = recordEncMode.Marshal(record)
	}
	d.mu.Unlock()
	if done {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	incarnation := d.options.Store.Incarnation()
	if err := d.options.Store.Put(callCtx, d.options.Topics.Members, d.options.Name, value); err != nil {
		d.options.Log.Warn("own record not written", "error", err)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held.replace(record)
	current, _ := recordEncMode.Marshal(*d.own)
	d.ownWritten = string(current) == string(value)
	d.ownWrittenIncarnation = incarnation
	return d.ownWritten
}

// rewriteDelay returns a random delay that spreads the writes of all nodes after
// the store was restored.
func (d *Directory) rewriteDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pruneAt == 0 && !d.configUntrusted {
		return 0
	}
	spread := min(time.Duration(len(d.records))*rewriteSpreadPerNode, maxRewriteSpread)
	return time.Duration(d.options.Rand() % uint64(spread+1))
}
