package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/daemontest"
	"github.com/gooseberryflow/gooseberryflow/internal/faultproxy"
	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

const (
	startTimeout      = 20 * time.Second
	maxStartAttempts  = 5
	pollInterval      = 20 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	stopTimeout       = 6 * time.Second
	partitions        = 8
	// parallelStarts bounds the nodes of a fleet that start at the same time.
	parallelStarts = 6
	// slots is the concurrency limit of each instance.
	slots = 24
	// ratePerCopy is a customer's rate for each node at a place.
	ratePerCopy = 120
)

var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(daemontest.Run("../cmd/gooseberryflowd", func(path string) int {
		daemonPath = path
		return m.Run()
	}))
}

// options adjust the daemons and instances, so that tests can make checks fail.
type options struct {
	plugins           string // list of plug-ins as in the settings; empty for all
	keyWithdrawal     time.Duration
	retryRatio        float64
	retrySlack        float64
	rate              int
	killInsteadOfStop bool // planned stops use SIGKILL
	serviceTime       time.Duration
	callers           int // sequential callers of each node
	uploadBytes       int // size of the bodies that a further caller of each node sends; zero means no such caller
	// received changes what callers record of a response; nil changes nothing.
	received  func(*sentRequest)
	resenders int // those of them that send a failed safe request again under its ID
}

func defaultOptions() options {
	return options{keyWithdrawal: keyWithdrawal, retryRatio: retryRatio, retrySlack: retrySlack, rate: ratePerCopy * *copies, serviceTime: 4 * time.Millisecond, callers: callersPerNode, resenders: *resenders}
}

// fleet is a set of daemons with their instances, proxies and store.
type fleet struct {
	t       *testing.T
	options options
	rng     *rand.Rand
	history *history
	store   *standin.Store
	server  *httptest.Server
	nodes   []*node

	version    atomic.Int64
	issuedKeys int
	keys       map[string]string // key -> customer, in the latest configuration
}

// placement is the failure domain and the service of a node.
type placement struct{ domain, service string }

var placements = []placement{
	{"a", "maps"}, {"a", "status"}, {"b", "maps"}, {"b", "status"}, {"c", "maps"}, {"c", "status"},
}

// node is one daemon, its instance and its proxies.
type node struct {
	placement
	f           *fleet
	index       int
	name        string
	instance    *standin.Instance
	storeProxy  *faultproxy.Proxy
	callProxy   *faultproxy.Proxy
	callerAddr  string
	healthAddr  string
	controlAddr string
	metricsAddr string
	callAddr    string
	daemontest.Daemon

	// faultPermille is the probability of each instance fault.
	faultPermille [standin.FaultReset + 1]atomic.Int64
	faultMu       sync.Mutex
	faultRNG      *rand.Rand
	stutter       *stutter

	mu              sync.Mutex
	currentID       string // of the instance
	instanceStarted time.Time
	heartbeatSeq    int
}

func newFleet(t *testing.T, seed uint64, o options) *fleet {
	var places []placement
	for range *copies {
		places = append(places, placements...)
	}
	services := make([]string, len(places))
	domains := make([]string, len(places))
	for i, p := range places {
		services[i], domains[i] = p.service, p.domain
	}
	f := &fleet{
		t: t, options: o, rng: rand.New(rand.NewPCG(seed, 0)), history: newHistory(services),
		store: standin.NewStore(partitions), keys: map[string]string{},
	}
	f.history.domains = domains
	f.history.rate, f.history.burst = float64(o.rate), float64(o.rate)
	f.server = httptest.NewServer(f.store)
	t.Cleanup(f.close)
	f.addKey("farm")
	f.addKey("club")
	f.writeNextConfig()
	f.nodes = make([]*node, len(places))
	var starts sync.WaitGroup
	slots := make(chan struct{}, parallelStarts)
	for i, p := range places {
		starts.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var err error
			if f.nodes[i], err = f.newNode(i, p, seed); err != nil {
				t.Error(err)
			}
		})
	}
	starts.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return f
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		if n == nil { // it did not start
			continue
		}
		n.Kill()
		n.instance.Stop()
		n.storeProxy.Close()
		n.callProxy.Close()
	}
	f.server.CloseClientConnections()
	f.server.Close()
}

func (f *fleet) newNode(index int, p placement, seed uint64) (*node, error) {
	n := &node{
		placement: p, f: f, index: index, name: fmt.Sprintf("%s-%s-%d", p.service, p.domain, index/len(placements)), instanceStarted: time.Now(),
		faultRNG: rand.New(rand.NewPCG(seed, uint64(index)+1)), stutter: newStutter(seed, index),
	}
	n.currentID = "i-" + n.name
	n.instance = &standin.Instance{
		ID: n.currentID, Service: p.service, Slots: slots, Work: f.options.serviceTime, Faults: n.drawFault,
		LongPath: longPath, LongWork: longWork,
		ColdPerS: coldPerS, ColdFor: coldFor,
		Fails: n.drawFail, Seconds: n.drawSecond, UniqueCallIDs: true,
		OnArrival:  func(id, service string) { f.history.recordArrival(id, service, n.instanceID(), index) },
		OnOverload: func(arrivals int) { f.history.recordOverload(overload{index, arrivals, time.Now()}) },
		OnRun: func(r standin.Run) {
			f.history.recordRun(run{
				ID: r.ID, At: r.At, Node: index, Instance: r.Instance, Number: r.Number, Service: r.Service, Customer: r.Customer,
				Origin: r.Origin, Key: r.Key,
			})
		},
		OnResponse: f.history.recordResponse,
	}
	if p.service == "maps" {
		n.instance.NestedCalls = []string{"in.example/status/1", "in.example/status/2"}
	}
	if _, err := n.instance.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	var err error
	if n.storeProxy, err = faultproxy.ListenTCP(f.server.Listener.Addr().String(), seed); err != nil {
		return nil, err
	}
	for attempt := 0; ; attempt++ {
		if err = n.choosePorts(seed); err == nil {
			if err = n.Start(); err == nil {
				return n, nil
			}
			n.callProxy.Close()
		}
		if attempt == maxStartAttempts {
			return nil, fmt.Errorf("%s does not start: %w; its log:\n%s", n.name, err, n.Log())
		}
	}
}

func (n *node) choosePorts(seed uint64) (err error) {
	for _, address := range []*string{&n.callerAddr, &n.healthAddr, &n.controlAddr, &n.metricsAddr, &n.callAddr} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	n.instance.CallerAddr, n.instance.HeartbeatAddr = n.callerAddr, n.controlAddr
	if n.callProxy, err = faultproxy.ListenTCP(n.callAddr, seed); err != nil {
		return err
	}
	n.Executable, n.SettingsPath = daemonPath, filepath.Join(n.f.t.TempDir(), n.name+".toml")
	return os.WriteFile(n.SettingsPath, []byte(n.settingsText()), 0o600)
}

func (n *node) settingsText() string {
	o := n.f.options
	return daemontest.SidecarSettings{
		Name: n.name, Service: n.service, FailureDomain: n.domain,
		CallerAddr: n.callerAddr, HealthAddr: n.healthAddr, HeartbeatAddr: n.controlAddr, MetricsAddr: n.metricsAddr, CallAddr: n.callAddr,
		AdvertisedAddr: n.callProxy.Addr(), UpstreamAddr: n.instance.Address(),
		Plugins: o.plugins, StopTimeout: stopTimeout, StoreAddr: n.storeProxy.Addr(), Partitions: partitions,
		KeyWithdrawal: o.keyWithdrawal, RetryRatio: o.retryRatio, RetrySlack: o.retrySlack,
	}.TOML()
}

func (n *node) drawFault() standin.Fault {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	draw := n.faultRNG.Int64N(1000)
	for fault := standin.FaultReject; fault <= standin.FaultReset; fault++ {
		if draw -= n.faultPermille[fault].Load(); draw < 0 {
			return fault
		}
	}
	return standin.FaultNone
}

// sendHeartbeat sends one heartbeat of the instance and reports whether the node
// acknowledged it.
func (n *node) sendHeartbeat() bool {
	n.mu.Lock()
	n.heartbeatSeq++
	heartbeatSeq, instanceStarted := n.heartbeatSeq, n.instanceStarted
	n.mu.Unlock()
	return n.instance.SendHeartbeat(heartbeatSeq, instanceStarted)
}

// replaceInstance starts a new instance, which is cold, at the address of the previous
// one.
func (n *node) replaceInstance(id string) {
	n.instance.BecomeCold(coldFor)
	n.mu.Lock()
	n.currentID, n.instanceStarted, n.heartbeatSeq = id, time.Now(), 0
	n.mu.Unlock()
	n.instance.Replace(id)
}

func (n *node) instanceID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentID
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.healthAddr + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) addKey(customer string) {
	f.issuedKeys++
	f.keys[fmt.Sprintf("key-%s-%d", customer, f.issuedKeys)] = customer
}

// writeNextConfig writes the next configuration version and records it in the
// history.
func (f *fleet) writeNextConfig() {
	version := int(f.version.Load()) + 1
	written, ok := f.writeConfig(version)
	if !ok {
		return
	}
	f.version.Store(int64(version))
	f.history.mu.Lock()
	f.history.changes = append(f.history.changes, configChange{version: version, at: time.Now(), keys: written})
	f.history.mu.Unlock()
}

// writeConfig writes a configuration version, which has the lasting routes and
// one route of its own, and returns the customer of each of its keys.
func (f *fleet) writeConfig(version int) (written map[string]string, ok bool) {
	keysByCustomer := map[string][]string{}
	written = map[string]string{}
	for key, customer := range f.keys {
		keysByCustomer[customer] = append(keysByCustomer[customer], key)
		written[key] = customer
	}
	var customers []standin.Customer
	for name, keys := range keysByCustomer {
		customers = append(customers, standin.Customer{Name: name, Keys: keys, Rate: f.options.rate})
	}
	rules := []standin.Rule{{Name: "maps", Host: "app.example", Prefix: "/maps/", Service: "maps", Kind: "safe"},
		{Name: "book", Host: "app.example", Prefix: "/book/", Service: "maps", Kind: "non_idempotent"},
		{Name: "look", Host: "app.example", Prefix: "/look/", Service: "status", Kind: "safe"},
		{Name: fmt.Sprint("v", version), Host: "app.example", Prefix: fmt.Sprintf("/v%d/", version), Service: "status", Kind: "safe"},
		{Name: "status", Host: "in.example", Prefix: "/status/", Service: "status", Kind: "safe", Public: true},
	}
	for i := range rules {
		rules[i].ColdFor, rules[i].ColdPerS = coldFor, coldPerS
	}
	if err := f.store.PutConfig(version, customers, rules); err != nil {
		f.t.Error(err)
		return nil, false
	}
	return written, true
}

// saveLogs writes the daemons' logs to the folder named by SOAK_LOGS, if set.
func (f *fleet) saveLogs() {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, n := range f.nodes {
		path := filepath.Join(dir, strings.ReplaceAll(f.t.Name(), "/", "-")+"-"+n.name+".log")
		if err := os.WriteFile(path, []byte(n.Log()), 0o600); err != nil {
			f.t.Logf("can't save a log: %v", err)
		}
	}
}
