package quarantine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// deathHeader carries the name of a death from the owner node to the entry
// node, which removes it.
const deathHeader = "Gooseberry-Internal-Death"

// WrapOwner refuses quarantined calls, keeps suspects apart and records the
// loss of the instance.
func (p *Plugin) WrapOwner(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if r := p.refuse(c); r != nil {
			return r
		}
		if rec := p.table.get(c.Fingerprint, p.host.Now()); rec.suspect() {
			return p.serveAlone(ctx, c, next)
		}
		return p.run(ctx, c, next)
	})
}

// serveAlone runs a suspect while no other suspect runs.
func (p *Plugin) serveAlone(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	if !p.isolation.enter(ctx) {
		if ctx.Err() != nil {
			return kernel.Refuse(kernel.ReasonCancelled, "cancelled while waiting to run alone", 0)
		}
		return kernel.Refuse(kernel.ReasonOverload, "waited too long to run alone", isolationWait)
	}
	defer p.isolation.leave()
	// Things may have changed while it waited.
	if r := p.refuse(c); r != nil {
		return r
	}
	if p.suspectInFlight() {
		return kernel.Refuse(kernel.ReasonOverload, "another suspect request runs", isolationWait)
	}
	before := p.table.get(c.Fingerprint, p.host.Now())
	r := p.run(ctx, c, next)
	if r.Outcome == kernel.OutcomeAnswered && before.suspect() {
		rec := p.table.pardon(c.Fingerprint, before.Deaths, p.host.Now())
		p.enqueue(c.Service, []record{rec})
	}
	return r
}

// suspectInFlight reports whether a call runs that has become a suspect after
// it began.
func (p *Plugin) suspectInFlight() bool {
	now := p.host.Now()
	for _, fingerprint := range p.flights.upTo(p.flights.epoch.Load()) {
		if rec := p.table.get(fingerprint, now); rec.counted() > 0 {
			return true
		}
	}
	return false
}

func (p *Plugin) run(ctx context.Context, c *kernel.Call, next kernel.Handler) *kernel.Result {
	f := p.flights.begin(c.Fingerprint)
	r := next.Serve(ctx, c)
	if r.InstanceLost {
		p.instanceLost(c, f, r)
	}
	p.flights.end(f)
	return r
}

// instanceLost makes every call in flight a suspect and tells the service.
func (p *Plugin) instanceLost(c *kernel.Call, f *flight, r *kernel.Result) {
	d := deathID(p.host.Self.ID) + "/" + deathID(strconv.FormatUint(f.epoch, 10))
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set(deathHeader, string(d))
	now := p.host.Now()
	var records []record
	for _, fingerprint := range p.flights.died(f) {
		records = append(records, p.table.death(fingerprint, d, now))
	}
	p.tell(c.Service, records)
}
