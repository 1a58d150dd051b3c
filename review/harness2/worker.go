package main

import (
	"context"
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

// heartbeatEvery is the platform's heartbeat_s.
const heartbeatEvery = 1500 * time.Millisecond

// run is one run of a request at a worker.
type run struct {
	id, worker string
	at         time.Time
}

// worker is the stand-in of an application worker beside a node. One worker is one boot.
type worker struct {
	node    *node
	id      string
	born    time.Time
	slots   int
	work    time.Duration
	body    []byte // of its answers
	server  *http.Server
	leaving atomic.Bool
	// silent ends the check-ins.
	silent atomic.Bool
	ended  atomic.Bool
	seq    atomic.Int64
	// workOf returns the time that a path takes; nil means work for all. onRun is called
	// by each run, which fails if it returns false; it may be nil.
	workOf func(path string) time.Duration
	onRun  func(ctx context.Context, r *http.Request) bool

	mu   sync.Mutex
	runs []run
}

// startWorker starts a boot of the worker beside a node.
func startWorker(n *node, id string, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", n.upstreamApp)
	if err != nil {
		return nil, err
	}
	w := &worker{node: n, id: id, born: time.Now(), slots: 40, work: work, body: []byte("done")}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.heartbeats()
	n.fleet.record.add("worker %s starts beside %s, born %d", id, n.name, w.born.UnixMilli())
	return w, nil
}

// exit ends the boot.
func (w *worker) exit() {
	w.ended.Store(true)
	_ = w.server.Close()
	w.node.fleet.record.add("worker %s beside %s exits", w.id, w.node.name)
}

func (w *worker) heartbeats() {
	for !w.ended.Load() {
		if !w.silent.Load() {
			w.send("heartbeat", w.heartbeatBody())
		}
		time.Sleep(heartbeatEvery)
	}
}

// heartbeatBody returns the body of the next check-in.
func (w *worker) heartbeatBody() string {
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"cold_remaining_s":0}}`,
		w.node.upstreamApp, w.born.UnixMilli(), w.node.service, w.node.zone, w.slots, state, w.seq.Add(1))
}

// send sends a check-in and reports whether it was acknowledged within a second.
func (w *worker) send(what, body string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+w.node.heartbeat+"/-/instances/"+w.id+"/"+what, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", w.id)
		if w.leaving.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	at := time.Now()
	w.mu.Lock()
	w.runs = append(w.runs, run{id, w.id, at})
	number := len(w.runs)
	w.mu.Unlock()
	w.node.fleet.record.add("worker %s runs %s %s %s (%d bytes)", w.id, id, r.Method, r.RequestURI, size)
	work := w.work
	if w.workOf != nil {
		work = w.workOf(r.URL.Path)
	}
	waitFor(r.Context(), work)
	if w.onRun != nil && !w.onRun(context.WithValue(r.Context(), receivedKey{}, at), r) {
		out.Header().Set("X-Server-Stamp", w.id+"."+strconv.Itoa(number))
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header().Set("X-Server-Stamp", w.id+"."+strconv.Itoa(number))
	out.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	_, _ = out.Write(w.body)
}

func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// allRuns returns the runs so far.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}
