package claims

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// order places this plug-in after the rate limit and outside the retries, so that
// one claim covers all retries of a call.
const order = 500

// Messages are sent a few times and then dropped; a lost release only makes the key
// unusable.
const (
	maxSendAttempts = 4
	sendTimeout     = 300 * time.Millisecond
	sendRetryDelay  = 200 * time.Millisecond
)

var errNoticeNotApplicable = errors.New("notice can't be applied yet")

func init() {
	kernel.Register(kernel.PluginInfo{
		Name:  "claims",
		Order: order,
		New:   func() kernel.Plugin { return &Plugin{Settings: DefaultSettings()} },
	})
}

// Plugin claims idempotency keys for the calls that enter at a node and serves the
// claims of other nodes. It does the I/O for Table and resolver.
type Plugin struct {
	// Settings may be changed before Provision.
	Settings Settings

	host  *kernel.Host
	table *Table
	// lastSnapshot is the snapshot last passed to the table; only Tick uses it.
	lastSnapshot *state.Snapshot
}

// Provision creates the table and registers the message handlers.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.table = NewTable(h.Self, p.Settings)
	kernel.HandleRequest(h.Peers, kindClaim, p.handleClaim)
	kernel.HandleRequest(h.Peers, kindRelease, p.handleRelease)
	kernel.HandleRequest(h.Peers, kindTenureEnd, p.handleTenureEnd)
	kernel.HandleRequest(h.Peers, kindHandover, p.handleHandover)
	kernel.HandleRequest(h.Peers, kindOffset, p.handleOffset)
	return nil
}

// Validate checks the settings.
func (p *Plugin) Validate() error { return p.Settings.Validate() }

// Cleanup does nothing: the table is garbage collected with the plug-in.
func (p *Plugin) Cleanup() error { return nil }

// WrapEntry claims the key of each call that is not idempotent before it runs.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Idempotent {
			return next.Serve(ctx, c)
		}
		return p.serve(ctx, c, next)
	})
}

// Tick updates the table to the current snapshot, prunes it and starts a due round.
func (p *Plugin) Tick(now time.Time) {
	if snap := p.host.Snapshot(); snap != p.lastSnapshot {
		p.lastSnapshot = snap
		p.sendNotices(p.table.Update(snap, now))
	}
	p.table.Prune(now)
	if r := p.table.NextRound(now, p.shuffle); r != nil {
		p.host.Go(func() { p.runRound(r) })
	}
}

func (p *Plugin) shuffle(n int, swap func(i, j int)) {
	rand.New(rand.NewPCG(p.host.Rand(), 0)).Shuffle(n, swap)
}

// runRound requests the offsets of all members of a round concurrently and waits for
// the responses.
func (p *Plugin) runRound(r *Round) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	responses := make(chan OffsetResponse, len(r.Members))
	for _, m := range r.Members {
		go func() {
			resp, err := kernel.SendRequest[OffsetRequest, OffsetResponse](ctx, p.host.Peers, m, kindOffset, OffsetRequest{})
			if err != nil || resp.Member != m.ID {
				resp = OffsetResponse{}
			}
			responses <- resp
		}()
	}
	for range r.Members {
		if resp := <-responses; resp.Member != "" {
			r.RecordOffset(resp.Member, resp.Offset)
		}
	}
	p.sendNotices(p.table.FinishRound(r, p.host.Now()))
}

// Resign hands all shards over to their next owners. A shard whose handover fails
// is abandoned; it is never offered to a second member.
func (p *Plugin) Resign(ctx context.Context) {
	unreachable := make(map[state.MemberID]bool)
	for _, successor := range p.table.Resign() {
		messages := p.table.Drain(successor)
		if !unreachable[successor.To.ID] {
			unreachable[successor.To.ID] = !p.handOver(ctx, successor, messages)
		}
		p.table.FinishHandover(successor)
	}
}

func (p *Plugin) handOver(ctx context.Context, successor Successor, messages []Handover) bool {
	for _, m := range messages {
		if err := p.send(ctx, successor.To, kindHandover, m); err != nil {
			p.host.Log.Warn("claims handover failed", "shard", m.Shard, "to", successor.To.ID, "error", err)
			return false
		}
	}
	return true
}

func (p *Plugin) serve(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	key, refusal := p.key(c)
	if refusal != nil {
		return refusal
	}
	req := ClaimRequest{Key: key, Attempt: p.newAttempt(), Content: contentHash(c)}
	holders, refusal := p.claim(ctx, req)
	if refusal != nil {
		p.release(req, holders)
		return refusal
	}
	res := next.Serve(ctx, c)
	if res.Outcome == kernel.OutcomeNotRun {
		p.release(req, holders)
	}
	return res
}

// key parses the call's key and checks its minting time.
func (p *Plugin) key(c *kernel.Call) (Key, *kernel.Result) {
	if c.IdempotencyKey == "" {
		return Key{}, kernel.Refuse(kernel.ReasonKeyMissing, "the request needs an Idempotency-Key (UUIDv7)", 0)
	}
	key, err := ParseKey(c.IdempotencyKey)
	if err != nil {
		return Key{}, kernel.Refuse(kernel.ReasonBadRequest, err.Error(), 0)
	}
	latest := p.host.Now().Add(p.Settings.MaxAhead).UnixMilli()
	if key.MintedMS() > latest {
		return Key{}, kernel.Refuse(kernel.ReasonBadRequest, "the idempotency key's time lies in the future", 0)
	}
	return key, nil
}

// contentHash returns the hash of a call's customer and fingerprint, to which its key
// is bound.
func contentHash(c *kernel.Call) uint64 {
	b := binary.BigEndian.AppendUint64(nil, c.Fingerprint)
	return xxhash.Sum64(append(b, c.Customer...))
}

func (p *Plugin) newAttempt() Attempt {
	var a Attempt
	binary.BigEndian.PutUint64(a[:8], p.host.Rand())
	binary.BigEndian.PutUint64(a[8:], p.host.Rand())
	return a
}

// claim sends the claim to owners until it is decided. It returns the members that
// have or may have granted it; a nil result means that the call may run.
func (p *Plugin) claim(ctx context.Context, req ClaimRequest) ([]state.Member, *kernel.Result) {
	ctx, cancel := context.WithTimeout(ctx, p.Settings.ClaimTimeout)
	defer cancel()
	r, s := newResolver(p.host.Snapshot(), req)
	for s.request {
		if s.wait {
			wait.For(ctx, claimRetryDelay)
		}
		resp, err := p.request(ctx, s.to, r.req)
		switch {
		case err == nil:
			s = r.answered(resp)
		case ctx.Err() != nil:
			s = r.timedOut()
		default:
			s = r.failed()
		}
	}
	return r.holders, s.result
}

// request sends a claim to a member; a claim on the local table needs no message.
func (p *Plugin) request(ctx context.Context, to state.Member, req ClaimRequest) (ClaimResponse, error) {
	if to.ID == p.host.Self.ID {
		return p.table.Claim(req), nil
	}
	return kernel.SendRequest[ClaimRequest, ClaimResponse](ctx, p.host.Peers, to, kindClaim, req)
}

// release releases a claim at every member that may have granted it. A claim that
// arrives after its release is not granted.
func (p *Plugin) release(req ClaimRequest, holders []state.Member) {
	rel := ReleaseRequest{Key: req.Key, Attempt: req.Attempt, Content: req.Content}
	for _, to := range holders {
		if to.ID == p.host.Self.ID {
			p.table.Release(rel)
			continue
		}
		p.sendInBackground(to, kindRelease, rel)
	}
}

func (p *Plugin) sendNotices(notices []OutgoingNotice) {
	for _, out := range notices {
		p.sendInBackground(out.To, kindTenureEnd, out.Notice)
	}
}

func (p *Plugin) sendInBackground(to state.Member, kind string, message any) {
	p.host.Go(func() {
		if err := p.send(context.Background(), to, kind, message); err != nil {
			p.host.Log.Debug("claims message not delivered", "kind", kind, "to", to.ID, "error", err)
		}
	})
}

// send repeats a message until it is acknowledged, at most maxSendAttempts times.
// All messages sent this way are idempotent.
func (p *Plugin) send(ctx context.Context, to state.Member, kind string, message any) error {
	var err error
	for attempt := range maxSendAttempts {
		if attempt > 0 {
			wait.For(ctx, sendRetryDelay)
		}
		if err = p.sendOnce(ctx, to, kind, message); err == nil {
			return nil
		}
	}
	return err
}

func (p *Plugin) sendOnce(ctx context.Context, to state.Member, kind string, message any) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := kernel.SendRequest[any, Ack](ctx, p.host.Peers, to, kind, message)
	return err
}

func (p *Plugin) handleClaim(_ context.Context, _ state.MemberID, req ClaimRequest) (ClaimResponse, error) {
	return p.table.Claim(req), nil
}

func (p *Plugin) handleRelease(_ context.Context, _ state.MemberID, req ReleaseRequest) (Ack, error) {
	p.table.Release(req)
	return Ack{}, nil
}

func (p *Plugin) handleTenureEnd(_ context.Context, _ state.MemberID, n TenureEndNotice) (Ack, error) {
	followUps, ok := p.table.ApplyNotice(n)
	if !ok {
		return Ack{}, errNoticeNotApplicable
	}
	p.sendNotices(followUps)
	return Ack{}, nil
}

func (p *Plugin) handleOffset(context.Context, state.MemberID, OffsetRequest) (OffsetResponse, error) {
	return OffsetResponse{Member: p.host.Self.ID, Offset: p.table.Offset()}, nil
}

func (p *Plugin) handleHandover(_ context.Context, from state.MemberID, h Handover) (Ack, error) {
	if h.From != from {
		return Ack{}, errors.New("handover is not from the member that resigns")
	}
	p.table.AcceptHandover(h)
	return Ack{}, nil
}
