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
	startLimit = 20 * time.Second
	startTries = 5
	pollEvery  = 20 * time.Millisecond
	beatEvery  = 300 * time.Millisecond
	stopLimit  = 6 * time.Second
	partitions = 8
	// slots are those of an instance of either service.
	slots = 24
)

var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(daemontest.Run("../cmd/gooseberryflowd", func(path string) int {
		daemonPath = path
		return m.Run()
	}))
}

// options change what the daemons do, to see checks fail.
type options struct {
	plugins       string // the list of plug-ins, as in the settings; empty for all
	keyWithdrawal time.Duration
	retryRatio    float64
	retrySlack    float64
	rate          int
	killToStop    bool // a planned stop is a kill
	work          time.Duration
}

func defaultOptions() options {
	return options{keyWithdrawal: keyWithdrawal, retryRatio: retryRatio, retrySlack: retrySlack, rate: 120, work: 4 * time.Millisecond}
}

// fleet is the daemons with all around them.
type fleet struct {
	t       *testing.T
	options options
	rng     *rand.Rand
	ledger  *ledger
	store   *standin.Store
	server  *httptest.Server
	nodes   []*node

	version atomic.Int64
	keyNo   int
	keys    map[string]string // key -> customer, in the newest configuration
}

// place is where a node stands.
type place struct{ domain, service string }

var places = []place{
	{"a", "maps"}, {"a", "status"}, {"b", "maps"}, {"b", "status"}, {"c", "maps"}, {"c", "status"},
}

// node is one daemon, its instance and its proxies.
type node struct {
	place
	f        *fleet
	index    int
	name     string
	instance *standin.Instance
	toStore  *faultproxy.Proxy
	toNode   *faultproxy.Proxy
	callers  string
	health   string
	control  string
	metrics  string
	calls    string
	daemontest.Daemon

	// faulty is the probability in thousands of a fault at the instance.
	faulty   [standin.FaultEndless + 1]atomic.Int64
	faultMu  sync.Mutex
	faultRNG *rand.Rand

	mu   sync.Mutex
	born time.Time
	seq  int
}

func newFleet(t *testing.T, seed uint64, o options) *fleet {
	services := make([]string, len(places))
	for i, p := range places {
		services[i] = p.service
	}
	f := &fleet{
		t: t, options: o, rng: rand.New(rand.NewPCG(seed, 0)), ledger: newLedger(services),
		store: standin.NewStore(partitions), keys: map[string]string{},
	}
	f.ledger.rate, f.ledger.burst = float64(o.rate), float64(o.rate)
	f.server = httptest.NewServer(f.store)
	t.Cleanup(f.close)
	f.addKey("farm")
	f.addKey("club")
	f.configure()
	for i, p := range places {
		f.nodes = append(f.nodes, f.newNode(i, p, seed))
	}
	return f
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.Kill()
		n.instance.Stop()
		n.toStore.Close()
		n.toNode.Close()
	}
	f.server.CloseClientConnections()
	f.server.Close()
}

func (f *fleet) newNode(index int, p place, seed uint64) *node {
	n := &node{
		place: p, f: f, index: index, name: fmt.Sprintf("%s-%s", p.service, p.domain), born: time.Now(),
		faultRNG: rand.New(rand.NewPCG(seed, uint64(index)+1)),
	}
	n.instance = &standin.Instance{
		ID: "i-" + n.name, Service: p.service, Slots: slots, Work: f.options.work, Faults: n.drawFault,
		OnArrival: f.ledger.arrive,
		OnRun: func(r standin.Run) {
			f.ledger.ran(run{
				ID: r.ID, At: r.At, Node: index, Service: r.Service, Customer: r.Customer,
				Origin: r.Origin, Key: r.Key,
			})
		},
	}
	if p.service == "maps" {
		n.instance.NestedCalls = []string{"in.example/status/1", "in.example/status/2"}
	}
	if _, err := n.instance.Start("127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
	var err error
	if n.toStore, err = faultproxy.ListenTCP(f.server.Listener.Addr().String(), seed); err != nil {
		f.t.Fatal(err)
	}
	for try := 0; ; try++ {
		n.choosePorts(seed)
		if err = n.Start(); err == nil {
			return n
		}
		n.toNode.Close()
		if try == startTries {
			f.t.Fatalf("%s does not start: %v\n%s", n.name, err, n.Log())
		}
	}
}

func (n *node) choosePorts(seed uint64) {
	address := func() string {
		free, err := daemontest.FreeTCPAddress()
		if err != nil {
			n.f.t.Fatal(err)
		}
		return free
	}
	n.callers, n.health, n.control, n.metrics, n.calls = address(), address(), address(), address(), address()
	n.instance.CallerAddr, n.instance.HeartbeatAddr = n.callers, n.control
	var err error
	if n.toNode, err = faultproxy.ListenTCP(n.calls, seed); err != nil {
		n.f.t.Fatal(err)
	}
	n.Executable, n.SettingsPath = daemonPath, filepath.Join(n.f.t.TempDir(), n.name+".toml")
	if err := os.WriteFile(n.SettingsPath, []byte(n.settingsText()), 0o600); err != nil {
		n.f.t.Fatal(err)
	}
}

func (n *node) settingsText() string {
	o := n.f.options
	return daemontest.SidecarSettings{
		Name: n.name, Service: n.service, FailureDomain: n.domain,
		CallerAddr: n.callers, HealthAddr: n.health, HeartbeatAddr: n.control, MetricsAddr: n.metrics, CallAddr: n.calls,
		AdvertisedAddr: n.toNode.Addr(), UpstreamAddr: n.instance.Address(),
		Plugins: o.plugins, StopTimeout: stopLimit, StoreAddr: n.toStore.Addr(), Partitions: partitions,
		KeyWithdrawal: o.keyWithdrawal, RetryRatio: o.retryRatio, RetrySlack: o.retrySlack,
	}.TOML()
}

func (n *node) drawFault() standin.Fault {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	draw := n.faultRNG.Int64N(1000)
	for fault := standin.FaultReject; fault <= standin.FaultEndless; fault++ {
		if draw -= n.faulty[fault].Load(); draw < 0 {
			return fault
		}
	}
	return standin.FaultNone
}

// beat sends one heartbeat.
func (n *node) beat() bool {
	n.mu.Lock()
	n.seq++
	seq, born := n.seq, n.born
	n.mu.Unlock()
	return n.instance.SendHeartbeat(seq, born)
}

// replace puts a new instance in the place of the one that has left.
func (n *node) replace(id string) {
	n.mu.Lock()
	n.born, n.seq = time.Now(), 0
	n.mu.Unlock()
	n.instance.Replace(id)
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.health + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) addKey(customer string) {
	f.keyNo++
	f.keys[fmt.Sprintf("key-%s-%d", customer, f.keyNo)] = customer
}

// configure writes the next version: the lasting routes and one that only this
// version has.
func (f *fleet) configure() {
	version := int(f.version.Load()) + 1
	held, ok := f.write(version)
	if !ok {
		return
	}
	f.version.Store(int64(version))
	f.ledger.mu.Lock()
	f.ledger.changes = append(f.ledger.changes, change{version: version, at: time.Now(), keys: held})
	f.ledger.mu.Unlock()
}

// write writes a version and returns the holders of its keys.
func (f *fleet) write(version int) (held map[string]string, ok bool) {
	holders := map[string][]string{}
	held = map[string]string{}
	for key, customer := range f.keys {
		holders[customer] = append(holders[customer], key)
		held[key] = customer
	}
	var customers []standin.Customer
	for name, keys := range holders {
		customers = append(customers, standin.Customer{Name: name, Keys: keys, Rate: f.options.rate})
	}
	rules := []standin.Rule{
		{Name: "maps", Host: "app.example", Prefix: "/maps/", Service: "maps", Kind: "safe"},
		{Name: "book", Host: "app.example", Prefix: "/book/", Service: "maps", Kind: "non_idempotent"},
		{Name: "look", Host: "app.example", Prefix: "/look/", Service: "status", Kind: "safe"},
		{Name: fmt.Sprint("v", version), Host: "app.example", Prefix: fmt.Sprintf("/v%d/", version), Service: "status", Kind: "safe"},
		{Name: "status", Host: "in.example", Prefix: "/status/", Service: "status", Kind: "safe", Public: true},
	}
	if err := f.store.PutConfig(version, customers, rules); err != nil {
		f.t.Error(err)
		return nil, false
	}
	return held, true
}

// keepLogs writes what the daemons logged beside the test's temporary files.
func (f *fleet) keepLogs() {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, n := range f.nodes {
		path := filepath.Join(dir, strings.ReplaceAll(f.t.Name(), "/", "-")+"-"+n.name+".log")
		if err := os.WriteFile(path, []byte(n.Log()), 0o600); err != nil {
			f.t.Logf("logs not kept: %v", err)
		}
	}
}
