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

// FullChain and NaiveChain are the plug-ins of the two chains that are compared.
var (
	FullChain  = []string{"auth", "quarantine", "admission", "ratelimit", "claims", "retry", "routing"}
	NaiveChain = []string{"auth", "naive-rate", "naive-retry", "naive-routing"}
)

const (
	logStream         = "gooseberryflow"
	startTimeout      = 20 * time.Second
	startPollInterval = 10 * time.Millisecond
)

// Instance is a simulated upstream instance and the node beside it.
type Instance struct {
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
	Instances  []*Instance
	// Keys holds the text of each customer's key.
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

// Start starts the simulated log and all instances, and puts the configuration in
// force.
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
			if err := f.addInstance(o, s, domain, identity); err != nil {
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

func (f *Fleet) addInstance(o FleetOptions, s Service, domain string, identity peer.Identity) error {
	up, err := standin.Start(standin.Options{
		Service:    s.Name,
		Slots:      s.Slots,
		QueueLimit: s.QueueLimit,
		Operations: s.Operations,
		Seed:       o.Seed + uint64(len(f.Instances)),
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
		SeedPeers:     f.seedPeers(),
	}, f.Log.Stream(logStream), o.Logger)
	if err != nil {
		up.Close()
		return fmt.Errorf("start node of %s: %w", s.Name, err)
	}
	up.SetCallerAddr(n.Member().CallerAddr)
	ctx, stop := context.WithCancel(context.Background())
	w := &Instance{Service: s.Name, Domain: domain, Upstream: up, Node: n, stop: stop, stopped: make(chan error, 1)}
	go func() { w.stopped <- n.Run(ctx) }()
	f.Instances = append(f.Instances, w)
	return nil
}

func (f *Fleet) seedPeers() []string {
	if len(f.Instances) == 0 {
		return nil
	}
	return []string{f.Instances[0].Node.Member().ControlAddr}
}

// configure submits the operators' file and waits until every node has applied it
// and knows all members.
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
	if err := f.Instances[0].Node.Apply(ctx, f.Deployment.operatorsFile(keys)); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if f.converged() {
			return nil
		}
		time.Sleep(startPollInterval)
	}
	return errors.New("the fleet did not converge in time")
}

// converged reports whether every node has a configuration and knows all members.
func (f *Fleet) converged() bool {
	for _, w := range f.Instances {
		s := w.Node.Snapshot()
		if s.Config == nil || len(s.Members) != len(f.Instances) {
			return false
		}
	}
	return true
}

// InstancesOf returns the instances of a service.
func (f *Fleet) InstancesOf(service string) []*Instance {
	var list []*Instance
	for _, w := range f.Instances {
		if w.Service == service {
			list = append(list, w)
		}
	}
	return list
}

// Stop stops all instances abruptly.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, w := range f.Instances {
		wg.Go(func() {
			w.Node.Kill()
			w.stop()
			w.Upstream.Close()
			<-w.stopped
		})
	}
	wg.Wait()
}

// Duplicates returns the number of repeated executions of non-idempotent requests.
func (f *Fleet) Duplicates() int {
	total := make(map[string]int)
	for _, w := range f.Instances {
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
