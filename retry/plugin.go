package retry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/routing"
)

// Order is the place of retry in the entry chain.
const Order = 600

func init() {
	kernel.Register(kernel.Info{Name: "retry", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the retry plug-in of one node.
type Plugin struct {
	host  *kernel.Host
	ratio *ratio
}

// Provision keeps the host.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.ratio = newRatio(h.Now())
	return nil
}

// Validate accepts every configuration.
func (p *Plugin) Validate() error { return nil }

// Cleanup releases nothing.
func (p *Plugin) Cleanup() error { return nil }

// Tick refills the node-wide ratio.
func (p *Plugin) Tick(now time.Time) { p.ratio.tick(now) }

// WrapEntry repeats failed calls of next.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		return p.serve(routing.WithTried(ctx), c, next)
	})
}

func (p *Plugin) serve(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	p.ratio.first()
	r, allowance := attempt(ctx, c, c.ID, c.Allowance, next)
	for p.again(ctx, c, r, allowance) {
		repeat, rest := attempt(ctx, c, p.newID(), allowance-1, next)
		if nowhere(repeat) {
			p.ratio.refund()
			break
		}
		r, allowance = repeat, rest
	}
	r.UnusedAllowance = allowance
	return r
}

// attempt runs one attempt and returns its result with the allowance left.
func attempt(ctx context.Context, c *kernel.Call, id kernel.CallID, allowance int, next kernel.Handler) (*kernel.Result, int) {
	allowance = max(allowance, 0)
	keep := kept(c, allowance)
	try := *c
	try.ID = id
	try.Allowance = allowance - keep
	r := next.Serve(ctx, &try)
	return r, left(r, try.Allowance, keep)
}

func (p *Plugin) again(ctx context.Context, c *kernel.Call, r *kernel.Result, allowance int) bool {
	if allowance < 1 || !retryable(c, r) || nowhere(r) {
		return false
	}
	if ctx.Err() != nil || !inTime(c, p.host.Now()) {
		return false
	}
	return p.ratio.spend()
}

// nowhere reports that the attempt found no owner to go to.
func nowhere(r *kernel.Result) bool {
	return r.Reason == kernel.ReasonNoUpstream && r.Owner == ""
}

// newID returns a UUIDv7 for a further attempt.
func (p *Plugin) newID() kernel.CallID {
	var id kernel.CallID
	ms := uint64(p.host.Now().UnixMilli())
	binary.BigEndian.PutUint64(id[:8], ms<<16|p.host.Rand()&0xffff)
	binary.BigEndian.PutUint64(id[8:], p.host.Rand())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}
