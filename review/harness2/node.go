package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	partitions = 8
	// daemon is what the build of the deploy file makes.
	daemon = "target/gooseberryflowd"
)

// node is one process of the system beside a worker.
type node struct {
	fleet                                                 *fleet
	name, service, zone                                   string
	caller, health, heartbeat, metrics, call, upstreamApp string
	settings, log                                         string
	command                                               *exec.Cmd
	startedAt                                             time.Time
	exited                                                chan struct{}
}

// fleet is a small deployment: a store, nodes and their workers.
type fleet struct {
	dir    string
	record *record
	store  *store
	nodes  []*node
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, record: r, store: s}, nil
}

// close ends all processes that the script has started and removes its folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.kill()
	}
	_ = f.store.server.Close()
	_ = os.RemoveAll(f.dir)
}

// Ports are taken from below the range from which the system takes those of outgoing
// connections, so that a node finds its ports free when it starts again.
const lowestPort, portCount = 12000, 16000

var nextPort = rand.IntN(portCount)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+nextPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	panic("no free port")
}

// addNode writes the settings of a node as the deploy file's template has them.
func (f *fleet) addNode(name, service, zone string, memoryMB int) (*node, error) {
	n := &node{
		fleet: f, name: name, service: service, zone: zone, caller: freeAddress(), health: freeAddress(), heartbeat: freeAddress(),
		metrics: freeAddress(), call: freeAddress(), upstreamApp: freeAddress(),
		settings: filepath.Join(f.dir, name+".toml"), log: filepath.Join(f.dir, name+".log"),
	}
	text := fmt.Sprintf(`[sidecar]
name = %q
service = %q
failure_domain = %q
caller_address = %q
health_address = %q
heartbeat_address = %q
metrics_address = %q
call_address = %q
upstream_address = %q
memory_mb = %d
log_level = "info"
stop_timeout = "6s"

[store]
address = %q
partitions = %d

[bounds]
config_apply = "2s"
key_withdrawal = "5s"
retry_ratio = 0.2
retry_slack = 48
retry_window = "10s"

[regions]
"evora-a" = "pt-sul"
"evora-b" = "pt-sul"
"beja-a" = "pt-sul"
`, name, service, zone, n.caller, n.health, n.heartbeat, n.metrics, n.call, n.upstreamApp, memoryMB, f.store.address, partitions)
	f.nodes = append(f.nodes, n)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(daemon, "-settings", n.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.startedAt, n.exited = command, time.Now(), exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	n.fleet.record.add("node %s starts", n.name)
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.fleet.record.add("node %s gets %s", n.name, s)
	_ = n.command.Process.Signal(s)
}

// kill kills the node's process and waits for its end.
func (n *node) kill() {
	if n.command == nil || n.hasExited() {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// ready asks the node as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.health + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until a condition holds.
func eventually(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
