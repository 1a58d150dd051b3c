package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/devcert"
	"github.com/gooseberryflow/gooseberryflow/internal/standin"
	"github.com/gooseberryflow/gooseberryflow/node"
	"github.com/gooseberryflow/gooseberryflow/peer"
	logstandin "github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// The plug-ins of the two chains that are compared.
var (
	FullChain  = []string{"auth", "quarantine", "admission", "ratelimit", "claims", "retry", "routing"}
	NaiveChain = []string{"auth", "naive-rate", "naive-retry", "naive-routing"}
)

const (
	logStream    = "gooseberryflow"
	startTimeout = 20 * time.Second
	startPoll    = 10 * time.Millisecond
)

// Worker is an upstream stand-in and the node beside it.
type Worker struct {
	Service  string
	Domain   string
	Upstream *standin.Upstream
	Node     *node.Node
	stop     context.CancelFunc
	stopped  chan error
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Log        *logstandin.Service
	Workers    []*Worker
	// Keys holds each customer's key text.
	Keys map[string]string
}

// FleetOptions configure a fleet.
type FleetOptions struct {
	Deployment Deployment
	// Chain names the plug-ins of every node.
	Chain     []string
	Transport peer.Transport
	Seed      uint64
	Logger    *slog.Logger
}

// Start brings up the log stand-in, all workers and the configuration.
func Start(ctx context.Context, o FleetOptions) (*Fleet, error) {
	d := o.Deployment
	f := &Fleet{Deployment: d, Log: logstandin.New(), Keys: make(map[string]string)}
	authority, err := devcert.New()
	if err != nil {
		return nil, err
	}
	cert, key, err := authority.IssueNode(net.IPv4(127, 0, 0, 1))
	if err != nil {
		return nil, err
	}
	identity := peer.Identity{CA: string(authority.CA()), Certificate: string(cert), Key: string(key)}
	for _, s := range d.Services {
		for i := range s.Instances {
			domain := d.Domains[i%len(d.Domains)]
			if err := f.addWorker(o, s, domain, identity); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	if err := f.configure(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) addWorker(o FleetOptions, s Service, domain string, identity peer.Identity) error {
	up, err := standin.Start(standin.Options{
		Service:    s.Name,
		Slots:      s.Slots,
		QueueLimit: s.QueueLimit,
		Operations: s.Operations,
		Seed:       o.Seed + uint64(len(f.Workers)),
	})
	if err != nil {
		return fmt.Errorf("start upstream of %s: %w", s.Name, err)
	}
	n, err := node.New(node.Settings{
		Service:       s.Name,
		FailureDomain: domain,
		CallerAddr:    "127.0.0.1:0",
		ControlAddr:   "127.0.0.1:0",
		CallAddr:      "127.0.0.1:0",
		AdminAddr:     "127.0.0.1:0",
		UpstreamAddr:  up.Addr(),
		Identity:      identity,
		Transport:     o.Transport,
		Plugins:       o.Chain,
		SeedPeers:     f.firstPeers(),
	}, f.Log.Stream(logStream), o.Logger)
	if err != nil {
		up.Close()
		return fmt.Errorf("start node of %s: %w", s.Name, err)
	}
	up.SetCallerAddr(n.Member().CallerAddr)
	ctx, stop := context.WithCancel(context.Background())
	w := &Worker{Service: s.Name, Domain: domain, Upstream: up, Node: n, stop: stop, stopped: make(chan error, 1)}
	go func() { w.stopped <- n.Run(ctx) }()
	f.Workers = append(f.Workers, w)
	return nil
}

func (f *Fleet) firstPeers() []string {
	if len(f.Workers) == 0 {
		return nil
	}
	return []string{f.Workers[0].Node.Member().ControlAddr}
}

// configure submits the operators' file and waits until it is in force and all
// members are known everywhere.
func (f *Fleet) configure(ctx context.Context) error {
	var keys []config.Key
	for _, c := range f.Deployment.Customers {
		k, secret, err := config.NewKey(c.Name)
		if err != nil {
			return err
		}
		keys = append(keys, k)
		f.Keys[c.Name] = config.KeyText(k.ID, secret)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Workers[0].Node.Apply(ctx, f.Deployment.file(keys)); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if f.settled() {
			return nil
		}
		time.Sleep(startPoll)
	}
	return errors.New("the fleet did not settle in time")
}

// settled reports whether every node knows the configuration and all members.
func (f *Fleet) settled() bool {
	for _, w := range f.Workers {
		s := w.Node.Snapshot()
		if s.Config == nil || len(s.Members) != len(f.Workers) {
			return false
		}
	}
	return true
}

// Of returns the workers of a service.
func (f *Fleet) Of(service string) []*Worker {
	var list []*Worker
	for _, w := range f.Workers {
		if w.Service == service {
			list = append(list, w)
		}
	}
	return list
}

// Stop ends all workers at once.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, w := range f.Workers {
		wg.Go(func() {
			w.Node.Kill()
			w.stop()
			w.Upstream.Close()
			<-w.stopped
		})
	}
	wg.Wait()
}

// Duplicates returns how many runs of non-idempotent work were repeats.
func (f *Fleet) Duplicates() int {
	total := make(map[string]int)
	for _, w := range f.Workers {
		for key, n := range w.Upstream.RunsByKey() {
			total[w.Service+" "+key] += n
		}
	}
	repeats := 0
	for _, n := range total {
		repeats += n - 1
	}
	return repeats
}
