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
	// Seconds is the length of the load for each chain.
	Seconds int
	Seed    uint64
	// DemandFactor multiplies the demand and Slowdown the deep service's time during
	// the surge.
	DemandFactor float64
	Slowdown     float64
	// Progress receives one line now and then; nil for none.
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
	warmUpPause   = 20 * time.Millisecond
)

// The surge of the stated target.
const (
	DefaultDemandFactor = 3
	DefaultSlowdown     = 5
)

// Phases returns calm, surge and recovery for a total length.
func Phases(seconds int, factor, slow float64) []Phase {
	total := time.Duration(seconds) * time.Second
	calm := total / 5
	surge := total * 2 / 5
	return []Phase{
		{Name: "calm", For: calm, Factor: 1, Slow: 1},
		{Name: "surge", For: surge, Factor: factor, Slow: slow},
		{Name: "recovery", For: total - calm - surge, Factor: 1, Slow: 1},
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
	list := schedule(o.Deployment, phases, len(fleet.Workers), o.Seed)
	started := time.Now()
	conditions, stop := context.WithCancel(ctx)
	defer stop()
	go fleet.play(conditions, phases, started, o.Progress, name)
	samples := newCallers(fleet).run(ctx, list, started)
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r := summarize(o.Deployment, phases, samples)
	r.Chain = name
	r.Duplicates = fleet.Duplicates()
	return r, nil
}

// warmUp sends a light load until every customer is served at every node and
// every kind of request is. A fresh fleet first waits out what an earlier one
// might have granted.
func (f *Fleet) warmUp(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, warmUpTimeout)
	defer stop()
	c := newCallers(f)
	for entry := range f.Workers {
		for _, customer := range f.Deployment.Customers {
			if err := c.untilServed(ctx, entry, customer.Name, f.Deployment.Requests[0]); err != nil {
				return err
			}
		}
		for _, kind := range f.Deployment.Requests[1:] {
			if err := c.untilServed(ctx, entry, f.Deployment.Customers[0].Name, kind); err != nil {
				return err
			}
		}
	}
	return nil
}

// untilServed repeats a request, with a fresh key each time, until it is served.
func (c *callers) untilServed(ctx context.Context, entry int, customer string, kind Request) error {
	route := c.fleet.Deployment.route(kind.Route)
	for {
		a := arrival{customer: customer, kind: kind, id: "warm", key: newKey()}
		if c.attemptAt(ctx, entry, a, route).whole {
			return nil
		}
		if !wait.For(ctx, warmUpPause) {
			return fmt.Errorf("%s is not served for %s in time", kind.Route, customer)
		}
	}
}

// play sets the conditions of each phase at its time.
func (f *Fleet) play(ctx context.Context, phases []Phase, started time.Time, progress io.Writer, name string) {
	at := time.Duration(0)
	for _, p := range phases {
		if !wait.For(ctx, time.Until(started.Add(at))) {
			return
		}
		for _, w := range f.Of(f.Deployment.Deep) {
			w.Upstream.SetSlowdown(p.Slow)
		}
		if progress != nil {
			_, _ = fmt.Fprintf(progress, "%-15s %-9s %4.0f s: demand x%g, %s x%g slower\n",
				name, p.Name, p.For.Seconds(), p.Factor, f.Deployment.Deep, p.Slow)
		}
		at += p.For
	}
}
