package quarantine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// deathHeader carries a death ID from the owner node to the entry node, which
// removes the header.
const deathHeader = "Gooseberry-Internal-Death"

// WrapOwner refuses quarantined calls, isolates suspects from each other and
// records the loss of the instance.
func (p *Plugin) WrapOwner(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if r := p.refuse(c); r != nil {
			return r
		}
		if rec := p.table.get(c.Fingerprint, p.host.Now()); rec.suspect() {
			return p.serveIsolated(ctx, c, next)
		}
		return p.serveTracked(ctx, c, next)
	})
}

// serveIsolated runs a suspect while no other suspect runs.
func (p *Plugin) serveIsolated(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	if !p.isolation.enter(ctx) {
		if ctx.Err() != nil {
			return kernel.Refuse(kernel.CancelReason(ctx), "cancelled while waiting to run isolated from other suspect requests", 0)
		}
		return kernel.Refuse(kernel.ReasonOverload, "waited too long to run isolated from other suspect requests", isolationWait)
	}
	defer p.isolation.leave()
	// The records may have changed while the call waited.
	if r := p.refuse(c); r != nil {
		return r
	}
	if p.suspectInFlight() {
		return kernel.Refuse(kernel.ReasonOverload, "another suspect request is running", isolationWait)
	}
	before := p.table.get(c.Fingerprint, p.host.Now())
	r := p.serveTracked(ctx, c, next)
	if r.Outcome == kernel.OutcomeAnswered && before.suspect() {
		rec := p.table.clearDeaths(c.Fingerprint, before.Deaths, p.host.Now())
		p.enqueue(c.Service, []record{rec})
	}
	return r
}

// suspectInFlight reports whether a running call became a suspect after it began.
func (p *Plugin) suspectInFlight() bool {
	now := p.host.Now()
	for _, fingerprint := range p.inflightCalls.fingerprintsUpTo(p.inflightCalls.epoch.Load()) {
		if rec := p.table.get(fingerprint, now); rec.unclearedDeaths() > 0 {
			return true
		}
	}
	return false
}

func (p *Plugin) serveTracked(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	f := p.inflightCalls.begin(c.Fingerprint)
	r := next.Serve(ctx, c)
	if r.InstanceLost {
		p.reportInstanceLoss(c, f, r)
	}
	p.inflightCalls.end(f)
	return r
}

// reportInstanceLoss makes every call in flight a suspect and reports this to the
// service's nodes.
func (p *Plugin) reportInstanceLoss(c *kernel.Call, f *inflightCall, r *kernel.Result) {
	d := deathID(p.host.Self.ID) + "/" + deathID(strconv.FormatUint(f.epoch, 10))
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set(deathHeader, string(d))
	now := p.host.Now()
	var records []record
	for _, fingerprint := range p.inflightCalls.recordDeath(f) {
		records = append(records, p.table.addDeath(fingerprint, d, now))
	}
	p.reportAndWait(c.Service, records)
}
