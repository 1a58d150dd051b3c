package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// longWork is how long the work of a report takes.
const longWork = 700 * time.Millisecond

// worker is a stand-in of an application worker that does what the users' pages say.
type worker struct {
	f            *fleet
	id, service  string
	zone         string
	slots        int
	work         time.Duration
	control      string // where it sends its check-ins
	born         int64
	listener     net.Listener
	server       *http.Server
	running      atomic.Int64
	leaving      atomic.Bool
	seq          atomic.Int64
	stopBeats    chan struct{}
	stopBeatOnce sync.Once
	// calls is the number of calls that a run makes, one after the other, after its own
	// work; call makes one of them and reports whether it was answered with success.
	calls int
	call  func(id string, remaining time.Duration) bool

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that a worker has begun to run.
type arrival struct {
	id string
	at time.Time
}

func (f *fleet) addWorker(id, service, zone string, slots int, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		f: f, id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), listener: l,
		stopBeats: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// checkIn sends heartbeats until the worker leaves.
func (w *worker) checkIn(n *node) {
	w.control = n.control
	go func() {
		for {
			w.heartbeat("ready")
			select {
			case <-w.stopBeats:
				return
			case <-time.After(heartbeatTime):
			}
		}
	}()
}

func (w *worker) heartbeat(state string) bool {
	body, _ := json.Marshal(map[string]any{ // a map of plain values can always be encoded
		"address": w.address(), "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": map[string]any{"state": state, "seq": w.seq.Add(1), "cold_remaining_s": 0},
	})
	return w.post("/heartbeat", string(body))
}

// deregister sends the worker's deregistration. It reports whether it was confirmed.
func (w *worker) deregister() bool {
	w.leaving.Store(true)
	w.stopBeatOnce.Do(func() { close(w.stopBeats) })
	ok := w.post("/deregister", fmt.Sprintf(`{"born":%d}`, w.born))
	w.f.record.logf("worker %s: deregistration confirmed: %v", w.id, ok)
	return ok
}

// exit ends the worker; its connections are closed.
func (w *worker) exit() {
	w.f.record.logf("worker %s: exits", w.id)
	_ = w.server.Close()
}

func (w *worker) post(action, body string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+w.control+"/-/instances/"+w.id+action, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// workOf returns how long the work of a request takes: the paths under /slots/report take
// long.
func (w *worker) workOf(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/slots/report") {
		return longWork
	}
	return w.work
}

// runs returns what the worker has begun to run so far.
func (w *worker) runs() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// ServeHTTP serves the health path and runs requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		if w.leaving.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	rw.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, w.slots))
	if running > int64(w.slots) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, time.Now()})
	w.mu.Unlock()
	w.f.record.logf("worker %s: runs %s", w.id, id)
	select {
	case <-time.After(w.workOf(r)):
	case <-r.Context().Done():
		w.f.record.logf("worker %s: the connection of %s was closed, the run is cut", w.id, id)
		return
	}
	rw.Header().Set("X-Server-Stamp", "stamp."+w.id+"."+id)
	for n := range w.calls {
		if r.Context().Err() != nil {
			w.f.record.logf("worker %s: the connection of %s was closed, the run is cut", w.id, id)
			return
		}
		if !w.call(fmt.Sprintf("%s.call%d", id, n+1), time.Until(deadline)) {
			w.f.record.logf("worker %s: a call of %s has failed", w.id, id)
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	_, _ = fmt.Fprintf(rw, "%s %s %d", r.Method, r.RequestURI, len(body))
}

// startNodes starts n nodes of a service, each beside its own worker, in the zones in
// turn.
func (f *fleet) startNodes(n int, service string, slots int, work time.Duration) ([]*worker, error) {
	zones := []string{"evora-a", "evora-b", "beja-a"}
	var all []*worker
	for i := range n {
		zone := zones[i%len(zones)]
		w, err := f.addWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, zone, slots, work)
		if err != nil {
			return nil, err
		}
		nd, err := f.addNode(fmt.Sprintf("sidecar-%s-%d", service, i+1), service, zone, w.address())
		if err != nil {
			return nil, err
		}
		if err := nd.start(); err != nil {
			return nil, err
		}
		w.checkIn(nd)
		all = append(all, w)
	}
	return all, nil
}
