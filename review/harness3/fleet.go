package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of every machine, each of which has a loopback address of its own.
type ports struct{ outbound, readiness, control, app, call int }

// machine is one machine of the fleet with its node and its worker.
type machine struct {
	fleet               *fleet
	name, ip, zone      string
	service             string
	memoryMB            int
	worker              *worker
	settings            string
	mu                  sync.Mutex
	node                *exec.Cmd
	ended               chan struct{}
	expected            bool // the end of the process is the script's own doing
	ownEnds             int  // ends of the process by itself, or for its memory
	log                 *os.File
	outbound, readiness string
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir      string
	ports    ports
	storeAt  string
	store    *store
	machines []*machine
	rec      *recorder
	program  string
	// template is the text of the deploy file's template.
	template string
	stop     chan struct{}
	// headerTimeoutS is header_timeout_s of the configs.
	headerTimeoutS int
	// rate is the tenant's rate_per_s and burst; zero: no limit.
	rate    int
	closing sync.Once
}

// freePort returns a port that is free on all given addresses.
func freePort(ips []string, used map[int]bool) (int, error) {
	for port := 21000 + os.Getpid()%3000; port < 32000; port++ {
		if used[port] {
			continue
		}
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			used[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// newFleet lays out machines: services[i] is the service of machine i, which is in zone
// i mod 3.
func newFleet(dir string, services []string, memoryMB int, rec *recorder) (*fleet, error) {
	f := &fleet{dir: dir, rec: rec, program: filepath.Join("target", "gooseberryflowd"), stop: make(chan struct{}), headerTimeoutS: 3}
	started.Store(f)
	template, err := os.ReadFile(filepath.Join("deploy", "node.toml.tmpl"))
	if err != nil {
		return nil, err
	}
	f.template = string(template)
	// The port of the metrics is fixed by the deploy file, so two fleets need addresses of
	// their own.
	network := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250)
	storeIP := network + ".250"
	var ips []string
	for i := range services {
		ips = append(ips, fmt.Sprintf("%s.%d", network, i+1))
	}
	used := map[int]bool{9090: true}
	for _, p := range []*int{&f.ports.outbound, &f.ports.readiness, &f.ports.control, &f.ports.app, &f.ports.call} {
		if *p, err = freePort(ips, used); err != nil {
			return nil, err
		}
	}
	storePort, err := freePort([]string{storeIP}, used)
	if err != nil {
		return nil, err
	}
	f.storeAt = fmt.Sprintf("%s:%d", storeIP, storePort)
	if f.store, err = startStore(f.storeAt, 8); err != nil {
		return nil, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, service := range services {
		m := &machine{fleet: f, ip: ips[i], zone: zones[i%len(zones)], service: service, memoryMB: memoryMB, name: fmt.Sprintf("sidecar-%d", i+1)}
		m.outbound, m.readiness = m.at(f.ports.outbound), m.at(f.ports.readiness)
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// render fills in the template of the deploy file.
func (m *machine) render() string {
	p := m.fleet.ports
	text := m.fleet.template
	before, rest, _ := strings.Cut(text, "{{#zones}}")
	_, after, _ := strings.Cut(rest, "{{/zones}}")
	text = before + "\"zone-a\" = \"region-1\"\n\"zone-b\" = \"region-1\"\n\"zone-c\" = \"region-1\"\n" + after
	return strings.NewReplacer(
		"{{node}}", m.name, "{{service}}", m.service, "{{zone}}", m.zone,
		"{{listen.outbound}}", m.at(p.outbound), "{{listen.readiness}}", m.at(p.readiness), "{{listen.control}}", m.at(p.control),
		"{{ip}}", m.ip, "{{port_range.0}}", fmt.Sprint(p.call), "{{app}}", m.at(p.app),
		"{{limits.memory_mb}}", fmt.Sprint(m.memoryMB), "{{platform.address}}", m.fleet.storeAt, "{{platform.parts}}", "8",
		"{{bounds.grace_period_s}}", "6", "{{bounds.config_apply_s}}", "2", "{{bounds.revoke_s}}", "5",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "48", "{{bounds.retry_window_s}}", "10",
	).Replace(text)
}

// startNode starts the node's process with the command of the deploy file. A process that
// ends by itself is started again after a short delay.
func (m *machine) startNode() error {
	m.settings = filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(m.render()), 0o600); err != nil {
		return err
	}
	if m.log == nil {
		log, err := os.Create(filepath.Join(m.fleet.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = log
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = exec.Command(m.fleet.program, "-settings", m.settings)
	m.node.Stdout, m.node.Stderr = m.log, m.log
	m.node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.expected, m.ended = false, make(chan struct{})
	if err := m.node.Start(); err != nil {
		return err
	}
	go m.watch(m.node, m.ended)
	return nil
}

const restartDelay = 500 * time.Millisecond

func (m *machine) watch(node *exec.Cmd, ended chan struct{}) {
	err := node.Wait()
	close(ended)
	m.mu.Lock()
	expected := m.expected
	if !expected {
		m.ownEnds++
	}
	m.mu.Unlock()
	if expected {
		return
	}
	m.fleet.rec.printf("node %s ended by itself: %v", m.name, err)
	select {
	case <-m.fleet.stop:
		return
	case <-time.After(restartDelay):
	}
	if err := m.startNode(); err != nil {
		m.fleet.rec.printf("node %s not started again: %v", m.name, err)
	}
}

// signal sends a signal to the node's process. end says that it is meant to end the process.
func (m *machine) signal(s syscall.Signal, end bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected = m.expected || end
	_ = m.node.Process.Signal(s)
}

// stopNode stops the node as planned and starts it again once it has ended.
func (m *machine) stopNode(grace time.Duration) {
	m.signal(syscall.SIGTERM, true)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	go func() {
		select {
		case <-ended:
		case <-time.After(grace):
			m.signal(syscall.SIGKILL, true)
			<-ended
		}
		select {
		case <-m.fleet.stop:
			return
		case <-time.After(restartDelay):
		}
		if err := m.startNode(); err != nil {
			m.fleet.rec.printf("node %s not started again: %v", m.name, err)
		}
	}()
}

// started is the fleet of the process.
var started atomic.Pointer[fleet]

// close ends all processes that the script has started.
func (f *fleet) close() { f.closing.Do(f.closeOnce) }

func (f *fleet) closeOnce() {
	close(f.stop)
	for _, m := range f.machines {
		m.mu.Lock()
		node, ended := m.node, m.ended
		m.expected = true
		m.mu.Unlock()
		if node != nil && node.Process != nil {
			_ = node.Process.Kill()
			<-ended
		}
		if m.worker != nil {
			m.worker.crash()
		}
	}
	if f.store != nil {
		_ = f.store.server.Close()
	}
}
