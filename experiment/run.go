package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/wait"
	"github.com/gooseberryflow/gooseberryflow/peer"
)

// Options configure a comparison of the chains.
type Options struct {
	Deployment Deployment
	// Seconds is the duration of the load for each chain.
	Seconds int
	Seed    uint64
	// DemandFactor multiplies the demand during the surge; Slowdown multiplies the
	// service time of the bottleneck.
	DemandFactor float64
	Slowdown     float64
	// Progress receives a line at the start of each phase; nil for none.
	Progress io.Writer
	Logger   *slog.Logger
}

// Comparison holds both chains' reports on the same arrivals.
type Comparison struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Naive      Report `json:"naive"`
	Full       Report `json:"gooseberryflow"`
}

const (
	warmUpTimeout = time.Minute
	warmUpBackoff = 20 * time.Millisecond
)

// Defaults for the surge: three times the demand, and a bottleneck that is five
// times as slow.
const (
	DefaultDemandFactor = 3
	DefaultSlowdown     = 5
)

// Phases divides a run into the phases calm, surge and recovery.
func Phases(seconds int, factor, slow float64) []Phase {
	total := time.Duration(seconds) * time.Second
	calm := total / 5
	surge := total * 2 / 5
	return []Phase{
		{Name: "calm", Length: calm, DemandFactor: 1, Slowdown: 1},
		{Name: "surge", Length: surge, DemandFactor: factor, Slowdown: slow},
		{Name: "recovery", Length: total - calm - surge, DemandFactor: 1, Slowdown: 1},
	}
}

// Compare runs the naive chain and the full chain one after the other.
func Compare(ctx context.Context, o Options) (Comparison, error) {
	out := Comparison{Deployment: o.Deployment.Name, Seed: o.Seed}
	var err error
	if out.Naive, err = Measure(ctx, o, "naive", NaiveChain); err != nil {
		return out, err
	}
	out.Full, err = Measure(ctx, o, "gooseberryflow", FullChain)
	return out, err
}

// Measure runs one chain through all phases.
func Measure(ctx context.Context, o Options, name string, chain []string) (Report, error) {
	fleet, err := Start(ctx, FleetOptions{
		Deployment: o.Deployment,
		Chain:      chain,
		Transport:  peer.TransportTLS,
		Seed:       o.Seed,
		Logger:     o.Logger,
	})
	if err != nil {
		return Report{}, fmt.Errorf("start the %s fleet: %w", name, err)
	}
	defer fleet.Stop()
	if err := fleet.warmUp(ctx); err != nil {
		return Report{}, fmt.Errorf("warm up the %s fleet: %w", name, err)
	}
	phases := Phases(o.Seconds, o.DemandFactor, o.Slowdown)
	arrivals := schedule(o.Deployment, phases, len(fleet.Instances), o.Seed)
	started := time.Now()
	phasesCtx, stopPhases := context.WithCancel(ctx)
	defer stopPhases()
	go fleet.applyPhases(phasesCtx, phases, started, o.Progress, name)
	samples := newClients(fleet).run(ctx, arrivals, started)
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r := summarize(o.Deployment, phases, samples)
	r.Chain = name
	r.Duplicates = fleet.Duplicates()
	return r, nil
}

// warmUp sends requests until each node has served every customer and every kind
// of request. A new fleet serves only after a while: it first waits until leases
// that an earlier fleet may have granted have expired.
func (f *Fleet) warmUp(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, warmUpTimeout)
	defer stop()
	c := newClients(f)
	for entry := range f.Instances {
		for _, customer := range f.Deployment.Customers {
			if err := c.sendUntilServed(ctx, entry, customer.Name, f.Deployment.Requests[0]); err != nil {
				return err
			}
		}
		for _, request := range f.Deployment.Requests[1:] {
			if err := c.sendUntilServed(ctx, entry, f.Deployment.Customers[0].Name, request); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendUntilServed repeats a request, each time with a new idempotency key, until
// it succeeds.
func (c *clients) sendUntilServed(ctx context.Context, entry int, customer string, request Request) error {
	route := c.fleet.Deployment.route(request.Route)
	for {
		a := arrival{customer: customer, request: request, id: "warm", key: newKey()}
		if c.attemptAt(ctx, entry, a, route).complete {
			return nil
		}
		if !wait.For(ctx, warmUpBackoff) {
			return fmt.Errorf("%s is not served for %s in time", request.Route, customer)
		}
	}
}

// applyPhases slows the bottleneck as each phase requires, from the start of the
// phase on.
func (f *Fleet) applyPhases(ctx context.Context, phases []Phase, started time.Time, progress io.Writer, name string) {
	offset := time.Duration(0)
	for _, p := range phases {
		if !wait.For(ctx, time.Until(started.Add(offset))) {
			return
		}
		for _, w := range f.InstancesOf(f.Deployment.Bottleneck) {
			w.Upstream.SetSlowdown(p.Slowdown)
		}
		if progress != nil {
			_, _ = fmt.Fprintf(progress, "%-15s %-9s %4.0f s: demand x%g, %s x%g slower\n",
				name, p.Name, p.Length.Seconds(), p.DemandFactor, f.Deployment.Bottleneck, p.Slowdown)
		}
		offset += p.Length
	}
}
