package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/daemontest"
	"github.com/gooseberryflow/gooseberryflow/internal/faultproxy"
	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

const (
	daemonPath   = "target/gooseberryflowd"
	templatePath = "deploy/node.toml.tmpl"
	partitions   = 8
	// These are the bounds of the site raiosul-alertas.
	drainPeriod   = 2 * time.Second
	gracePeriod   = 6 * time.Second
	configApply   = 2 * time.Second
	quotaWindow   = 5 * time.Second
	quotaOver     = 0.1
	quotaSlack    = 20
	heartbeatTime = 1500 * time.Millisecond
	readyTimeout  = 20 * time.Second
)

// errCannotRun means that a case could not be played.
var errCannotRun = errors.New("the case can't run")

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment: the platform's store, and nodes beside workers.
type fleet struct {
	record *record
	dir    string
	store  *storeServer
	nodes  []*node
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStoreServer()
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, dir: dir, store: s}, nil
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.kill()
		n.storeProxy.Close()
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// storeServer is the project's stand-in of the platform's store, without the header that
// the users' pages don't have.
type storeServer struct {
	*standin.Store
	server   *http.Server
	listener net.Listener
}

func newStoreServer() (*storeServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeServer{Store: standin.NewStore(partitions), listener: l}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ServeHTTP(&withoutEra{ResponseWriter: w}, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *storeServer) close() { _ = s.server.Close() }

// withoutEra drops the header Store-Era from a response.
type withoutEra struct{ http.ResponseWriter }

func (w *withoutEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w *withoutEra) Write(p []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

// tenant, route and limits are parts of the operator's config.
type tenant struct {
	name, key   string
	rate, burst int
}

type route struct {
	host, prefix, service, kind string
	public                      bool
	targetS, timeoutS           float64
	priority                    int
}

// putConfig writes a config; the time of its return is its confirmation.
func (f *fleet) putConfig(version int, idleTimeoutS float64, tenants []tenant, routes []route) error {
	type object = map[string]any
	var ts, listeners, clusters []object
	for _, t := range tenants {
		ts = append(ts, object{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "rate_per_s": t.rate, "burst": t.burst})
	}
	seen := map[string]bool{}
	for i, r := range routes {
		if !seen[r.service] {
			clusters = append(clusters, object{"name": r.service, "health_path": "/health", "max_connections": 400, "protocol": "h1", "tls": false})
		}
		seen[r.service] = true
		listeners = append(listeners, object{"host": r.host, "rules": []object{{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "target_latency_s": r.targetS, "priority": r.priority, "public": r.public,
			"match":  object{"path_prefix": r.prefix},
			"action": object{"service": r.service, "timeout_s": r.timeoutS, "max_attempts": 2},
		}}})
	}
	document, err := json.Marshal(object{
		"version":   version,
		"limits":    object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": idleTimeoutS},
		"tenants":   ts,
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		return err
	}
	f.store.Put("keyed.op", "config", document)
	f.record.logf("operator: config %d is confirmed", version)
	return nil
}

// node is one daemon and the addresses that its settings name.
type node struct {
	f                                                *fleet
	name, service, zone                              string
	outbound, readiness, control, metrics, call, app string
	settingsPath                                     string
	// storeProxy stands between the node and the store.
	storeProxy *faultproxy.Proxy
	logLevel   string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// addNode prepares a node beside the worker at address app.
func (f *fleet) addNode(name, service, zone, app string) (*node, error) {
	n := &node{f: f, name: name, service: service, zone: zone, app: app, settingsPath: filepath.Join(f.dir, name+".toml"), logLevel: "info"}
	for _, a := range []*string{&n.outbound, &n.readiness, &n.control, &n.metrics, &n.call} {
		var err error
		if *a, err = daemontest.FreeTCPAddress(); err != nil {
			return nil, err
		}
	}
	var err error
	if n.storeProxy, err = faultproxy.ListenTCP(f.store.listener.Addr().String(), 1); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, n.writeSettings()
}

// writeSettings renders the deploy file's template as the platform does.
func (n *node) writeSettings() error {
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	zones := ""
	for _, z := range []string{"evora-a", "evora-b", "beja-a"} {
		zones += fmt.Sprintf("%q = %q\n", z, "pt-sul")
	}
	rendered := strings.NewReplacer(
		`{{ip}}:9090`, n.metrics, `{{ip}}:{{port_range.0}}`, n.call,
		`{{node}}`, n.name, `{{service}}`, n.service, `{{zone}}`, n.zone,
		`{{listen.outbound}}`, n.outbound, `{{listen.readiness}}`, n.readiness, `{{listen.control}}`, n.control, `{{app}}`, n.app,
		`{{limits.memory_mb}}`, "284", `{{bounds.grace_period_s}}`, "6",
		`{{platform.address}}`, n.storeProxy.Addr(), `{{platform.parts}}`, fmt.Sprint(partitions),
		`{{bounds.config_apply_s}}`, "2", `{{bounds.revoke_s}}`, "5", `{{bounds.retry_budget_ratio}}`, "0.2",
		`{{bounds.budget_slack}}`, "48", `{{bounds.retry_window_s}}`, "10",
		"{{#zones}}\"{{@}}\" = \"{{.}}\"\n{{/zones}}", zones,
		`log_level = "info"`, `log_level = "`+n.logLevel+`"`,
	).Replace(string(text))
	if strings.Contains(rendered, "{{") {
		return fmt.Errorf("%w: the template has an unknown placeholder: %s", errCannotRun, rendered)
	}
	return os.WriteFile(n.settingsPath, []byte(rendered), 0o600)
}

// start starts the daemon with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(daemonPath, "-settings", n.settingsPath)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		n.f.record.logf("platform: the process of %s has ended: %v", n.name, endOf(err))
		close(exited)
	}()
	return nil
}

func endOf(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	n.f.record.logf("platform: %s gets signal %s", n.name, s)
	_ = n.command.Process.Signal(s)
}

func (n *node) kill() {
	n.mu.Lock()
	command, exited := n.command, n.exited
	n.mu.Unlock()
	if command == nil {
		return
	}
	select {
	case <-exited:
	default:
		_ = command.Process.Kill()
		<-exited
	}
}

// running reports whether the process runs.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(deadline) || !n.running() {
				return fmt.Errorf("%w: %s isn't ready", errCannotRun, n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// result is the outcome of one client attempt.
type result struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int // zero: the connection ended without a complete answer
	stamped  bool
	failure  string
	nodeName string
}

// request is what a client sends.
type request struct {
	method, host, path, key, id string
	deadline                    time.Duration
	body                        []byte
}

// send sends one request to the node on a client of its own and records it.
func (f *fleet) send(client *http.Client, n *node, q request) result {
	r := result{id: q.id, sent: time.Now(), nodeName: n.name}
	req, err := http.NewRequest(q.method, "http://"+n.outbound+q.path, bytes.NewReader(q.body))
	if err != nil {
		r.failure = err.Error()
		return r
	}
	req.Host = q.host
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	f.record.logf("client: %s %s sent to %s", q.id, q.method, n.name)
	resp, err := client.Do(req)
	if err == nil {
		var body bytes.Buffer
		_, err = body.ReadFrom(resp.Body)
		_ = resp.Body.Close()
		r.status, r.stamped = resp.StatusCode, resp.Header.Get("X-Server-Stamp") != ""
	}
	r.ended = time.Now()
	if err != nil {
		r.status, r.failure = 0, err.Error()
		f.record.logf("client: %s no complete answer: %s", q.id, r.failure)
		return r
	}
	f.record.logf("client: %s is answered %d, signature %v", q.id, r.status, r.stamped)
	return r
}

// oneShotClient returns a client that opens a connection for every request and repeats
// nothing.
func oneShotClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// hang makes the store leave all calls unanswered, or ends that.
func (s *storeServer) hang(hangs bool) { s.SetFaults(standin.Faults{Hang: hangs}) }
