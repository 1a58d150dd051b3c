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

// order places claims after the rate limit and outside the retries, so that
// one claim covers all retries of a call.
const order = 500

// Background messages are tried a few times and then given up; a release that
// is lost only makes the key unusable.
const (
	sendTries   = 4
	sendTimeout = 300 * time.Millisecond
	sendPause   = 200 * time.Millisecond
)

var errNotYet = errors.New("notice is ahead of this node's state")

func init() {
	kernel.Register(kernel.Info{
		Name:  "claims",
		Order: order,
		New:   func() kernel.Plugin { return &Plugin{Settings: DefaultSettings()} },
	})
}

// Plugin connects the pure parts to a node.
type Plugin struct {
	// Settings may be changed before Provision.
	Settings Settings

	host  *kernel.Host
	table *Table
	// seen is the snapshot last given to the table; Tick alone uses it.
	seen *state.Snapshot
}

// Provision keeps the host and registers the message handlers.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.table = NewTable(h.Self, p.Settings)
	kernel.HandleRequest(h.Peers, kindClaim, p.onClaim)
	kernel.HandleRequest(h.Peers, kindRelease, p.onRelease)
	kernel.HandleRequest(h.Peers, kindClosed, p.onClosed)
	kernel.HandleRequest(h.Peers, kindHandover, p.onHandover)
	kernel.HandleRequest(h.Peers, kindOffset, p.onOffset)
	return nil
}

// Validate checks the settings.
func (p *Plugin) Validate() error { return p.Settings.Validate() }

// Cleanup does nothing: the table is garbage collected with the plug-in.
func (p *Plugin) Cleanup() error { return nil }

// WrapEntry takes a claim for each call that is not idempotent.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Idempotent {
			return next.Serve(ctx, c)
		}
		return p.serve(ctx, c, next)
	})
}

// Tick follows the state and prunes the table.
func (p *Plugin) Tick(now time.Time) {
	if snap := p.host.Snapshot(); snap != p.seen {
		p.seen = snap
		p.notify(p.table.Update(snap, now))
	}
	p.table.Prune(now)
	if r := p.table.NextRound(now, p.shuffle); r != nil {
		p.host.Go(func() { p.round(r) })
	}
}

func (p *Plugin) shuffle(n int, swap func(i, j int)) {
	rand.New(rand.NewPCG(p.host.Rand(), 0)).Shuffle(n, swap)
}

// round asks all members of a round at once and waits for their answers.
func (p *Plugin) round(r *Round) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	answers := make(chan OffsetAnswer, len(r.Ask))
	for _, m := range r.Ask {
		go func() {
			ans, err := kernel.SendRequest[OffsetRequest, OffsetAnswer](ctx, p.host.Peers, m, kindOffset, OffsetRequest{})
			if err != nil || ans.Member != m.ID {
				ans = OffsetAnswer{}
			}
			answers <- ans
		}()
	}
	for range r.Ask {
		if ans := <-answers; ans.Member != "" {
			r.Answer(ans.Member, ans.Offset)
		}
	}
	p.notify(p.table.Finish(r, p.host.Now()))
}

// Resign hands all shards to their next owners. A shard whose handover fails
// midway is given up; it is never offered to a second member.
func (p *Plugin) Resign(ctx context.Context) {
	lost := make(map[state.MemberID]bool)
	for _, heir := range p.table.Resign() {
		messages := p.table.Drain(heir)
		if !lost[heir.To.ID] {
			lost[heir.To.ID] = !p.handOver(ctx, heir, messages)
		}
		p.table.Moved(heir)
	}
}

func (p *Plugin) handOver(ctx context.Context, heir Heir, messages []Handover) bool {
	for _, m := range messages {
		if err := p.send(ctx, heir.To, kindHandover, m); err != nil {
			p.host.Log.Warn("claims handover failed", "shard", m.Shard, "to", heir.To.ID, "error", err)
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
	req := ClaimRequest{Key: key, Attempt: p.newAttempt(), Content: content(c)}
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

// key parses the call's key and checks its time of minting.
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

// content is what a key is bound to.
func content(c *kernel.Call) uint64 {
	b := binary.BigEndian.AppendUint64(nil, c.Fingerprint)
	return xxhash.Sum64(append(b, c.Customer...))
}

func (p *Plugin) newAttempt() Attempt {
	var a Attempt
	binary.BigEndian.PutUint64(a[:8], p.host.Rand())
	binary.BigEndian.PutUint64(a[8:], p.host.Rand())
	return a
}

// claim asks owners until the claim is decided. It returns the members that
// may have granted it; a nil result means that the call may run.
func (p *Plugin) claim(ctx context.Context, req ClaimRequest) ([]state.Member, *kernel.Result) {
	ctx, cancel := context.WithTimeout(ctx, p.Settings.ClaimTimeout)
	defer cancel()
	a, s := begin(p.host.Snapshot(), req)
	for s.ask {
		if s.wait {
			wait.For(ctx, retryPause)
		}
		ans, err := p.ask(ctx, s.to, a.req)
		switch {
		case err == nil:
			s = a.answered(ans)
		case ctx.Err() != nil:
			s = a.timedOut()
		default:
			s = a.failed()
		}
	}
	return a.holders, s.result
}

// ask sends a claim; the local table needs no message.
func (p *Plugin) ask(ctx context.Context, to state.Member, req ClaimRequest) (ClaimAnswer, error) {
	if to.ID == p.host.Self.ID {
		return p.table.Claim(req), nil
	}
	return kernel.SendRequest[ClaimRequest, ClaimAnswer](ctx, p.host.Peers, to, kindClaim, req)
}

// release gives a claim back to every member that may have granted it. A
// grant that is still on its way is thereby dropped.
func (p *Plugin) release(req ClaimRequest, holders []state.Member) {
	rel := ReleaseRequest{Key: req.Key, Attempt: req.Attempt, Content: req.Content}
	for _, to := range holders {
		if to.ID == p.host.Self.ID {
			p.table.Release(rel)
			continue
		}
		p.background(to, kindRelease, rel)
	}
}

func (p *Plugin) notify(notices []Outgoing) {
	for _, out := range notices {
		p.background(out.To, kindClosed, out.Notice)
	}
}

func (p *Plugin) background(to state.Member, kind string, message any) {
	p.host.Go(func() {
		if err := p.send(context.Background(), to, kind, message); err != nil {
			p.host.Log.Debug("claims message given up", "kind", kind, "to", to.ID, "error", err)
		}
	})
}

// send repeats a message until it is acknowledged or the tries are used up.
// All messages sent this way are idempotent.
func (p *Plugin) send(ctx context.Context, to state.Member, kind string, message any) error {
	var err error
	for try := range sendTries {
		if try > 0 {
			wait.For(ctx, sendPause)
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

func (p *Plugin) onClaim(_ context.Context, _ state.MemberID, req ClaimRequest) (ClaimAnswer, error) {
	return p.table.Claim(req), nil
}

func (p *Plugin) onRelease(_ context.Context, _ state.MemberID, req ReleaseRequest) (Ack, error) {
	p.table.Release(req)
	return Ack{}, nil
}

func (p *Plugin) onClosed(_ context.Context, _ state.MemberID, n ClosedNotice) (Ack, error) {
	next, ok := p.table.Closed(n)
	if !ok {
		return Ack{}, errNotYet
	}
	p.notify(next)
	return Ack{}, nil
}

func (p *Plugin) onOffset(context.Context, state.MemberID, OffsetRequest) (OffsetAnswer, error) {
	return OffsetAnswer{Member: p.host.Self.ID, Offset: p.table.Offset()}, nil
}

func (p *Plugin) onHandover(_ context.Context, from state.MemberID, h Handover) (Ack, error) {
	if h.From != from {
		return Ack{}, errors.New("handover of another member's shard")
	}
	p.table.Adopt(h)
	return Ack{}, nil
}
