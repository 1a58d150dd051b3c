// Package standin holds a stand-in for an upstream instance, for the demo and
// for tests: slots, service time, nested calls, cold start, shedding, a load
// endpoint that may lie, and a crash on a chosen request.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/wait"
)

// Headers that the stand-in passes along its call tree.
const (
	headerToken       = "Gooseberry-Call-Token"
	headerOutcome     = "Gooseberry-Outcome"
	headerIdempotency = "Idempotency-Key"
	// HeaderPoison makes the instance crash when it names PoisonMark.
	HeaderPoison = "X-Poison"
)

// serviceTimeSpread is the range of the service time around its mean.
const serviceTimeSpread = 0.5

// Operation is what the upstream does for one kind of request.
type Operation struct {
	// Prefix selects requests by the start of their path.
	Prefix string
	// MeanServiceTime is the mean service time while a slot is held.
	MeanServiceTime time.Duration
	// NestedCalls are nested calls, made one after the other while the slot is
	// held: METHOD /SERVICE/PATH; {id} is replaced by the request's last
	// path segment.
	NestedCalls []string
}

// Options describe an upstream.
type Options struct {
	Service string
	Slots   int
	// QueueLimit bounds the requests that wait for a slot; more are shed.
	QueueLimit int
	// ColdStartDuration is how long after a start the service time is tripled.
	ColdStartDuration time.Duration
	Operations        []Operation
	Seed              uint64
	// RecordHeaders keeps the headers of every request for RequestHeaders.
	RecordHeaders bool
}

// Upstream is one running instance.
type Upstream struct {
	options Options
	started time.Time
	slots   chan struct{}
	waiting atomic.Int64
	// slowBy multiplies the service time, in hundredths.
	slowBy  atomic.Int64
	lie     atomic.Pointer[string]
	crashed atomic.Bool
	node    atomic.Pointer[string]
	client  *http.Client

	mu   sync.Mutex
	rng  *rand.Rand
	runs map[string]int
	seen []http.Header

	server   *http.Server
	listener net.Listener
	// OnCrash is called when a poison request takes the instance down.
	OnCrash func()
}

// Response is the body of a whole answer.
type Response struct {
	Service         string     `json:"service"`
	Path            string     `json:"path"`
	NestedResponses []Response `json:"children,omitempty"`
}

// Start opens a listener on loopback and serves.
func Start(o Options) (*Upstream, error) { return StartAt(o, "127.0.0.1:0") }

// StartAt serves on a given address, for an instance that comes back.
func StartAt(o Options, address string) (*Upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		options:  o,
		started:  time.Now(),
		slots:    make(chan struct{}, o.Slots),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		runs:     make(map[string]int),
		listener: listener,
	}
	u.slowBy.Store(100)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// Addr returns the bound address.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// SetCallerAddr tells the upstream the caller address of the node beside it.
func (u *Upstream) SetCallerAddr(address string) { u.node.Store(&address) }

// SetSlowdown multiplies the service time by factor.
func (u *Upstream) SetSlowdown(factor float64) { u.slowBy.Store(int64(factor * 100)) }

// SetLoadResponse makes the load endpoint answer with a fixed text.
func (u *Upstream) SetLoadResponse(text string) { u.lie.Store(&text) }

// RunsByKey returns how often each idempotency key ran.
func (u *Upstream) RunsByKey() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for k, n := range u.runs {
		out[k] = n
	}
	return out
}

// RequestHeaders returns the headers of all requests that reached the upstream.
func (u *Upstream) RequestHeaders() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]http.Header(nil), u.seen...)
}

// Close ends the instance at once.
func (u *Upstream) Close() { _ = u.server.Close() }

// ServeHTTP runs one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		u.serveLoad(w)
		return
	}
	u.note(r)
	if r.Header.Get(HeaderPoison) != "" {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	if !u.takeSlot(r.Context(), w) {
		return
	}
	defer func() { <-u.slots }()
	u.run(w, r, u.work(r.URL.Path))
}

// run spends the service time, makes the nested calls and answers.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, work Operation) {
	if !wait.For(r.Context(), u.serviceTime(work.MeanServiceTime)) {
		return
	}
	children, ok := u.callChildren(r, work)
	if !ok {
		http.Error(w, "a nested call failed", http.StatusBadGateway)
		return
	}
	body, _ := json.Marshal(Response{Service: u.options.Service, Path: r.URL.Path, NestedResponses: children})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	if lie := u.lie.Load(); lie != nil {
		_, _ = io.WriteString(w, *lie)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"busy": len(u.slots), "slots": cap(u.slots)})
}

func (u *Upstream) note(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if key := r.Header.Get(headerIdempotency); key != "" {
		u.runs[key]++
	}
	if u.options.RecordHeaders {
		u.seen = append(u.seen, r.Header.Clone())
	}
}

func (u *Upstream) crash() {
	u.crashed.Store(true)
	go u.Close()
	if u.OnCrash != nil {
		u.OnCrash()
	}
}

func (u *Upstream) work(path string) Operation {
	for _, w := range u.options.Operations {
		if strings.HasPrefix(path, w.Prefix) {
			return w
		}
	}
	return Operation{}
}

// takeSlot waits for a slot; the caller frees it.
func (u *Upstream) takeSlot(ctx context.Context, w http.ResponseWriter) bool {
	if u.waiting.Add(1) > int64(u.options.QueueLimit) {
		u.waiting.Add(-1)
		w.Header().Set(headerOutcome, "not-run")
		http.Error(w, "the queue is full", http.StatusServiceUnavailable)
		return false
	}
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) serviceTime(mean time.Duration) time.Duration {
	u.mu.Lock()
	spread := 1 - serviceTimeSpread + 2*serviceTimeSpread*u.rng.Float64()
	u.mu.Unlock()
	factor := spread * float64(u.slowBy.Load()) / 100
	if time.Since(u.started) < u.options.ColdStartDuration {
		factor *= 3
	}
	return time.Duration(float64(mean) * factor)
}

// callChildren makes the nested calls through the node beside the instance.
func (u *Upstream) callChildren(r *http.Request, work Operation) ([]Response, bool) {
	var answers []Response
	for _, child := range work.NestedCalls {
		a, ok := u.callChild(r, child)
		if !ok {
			return nil, false
		}
		answers = append(answers, a)
	}
	return answers, true
}

func (u *Upstream) callChild(r *http.Request, child string) (Response, bool) {
	method, path, _ := strings.Cut(child, " ")
	id := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	path = strings.ReplaceAll(path, "{id}", id)
	req, err := http.NewRequestWithContext(r.Context(), method, "http://"+*u.node.Load()+path, nil)
	if err != nil {
		return Response{}, false
	}
	req.Header.Set(headerToken, r.Header.Get(headerToken))
	resp, err := u.client.Do(req)
	if err != nil {
		return Response{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	var a Response
	err = json.NewDecoder(resp.Body).Decode(&a)
	return a, err == nil && resp.StatusCode == http.StatusOK
}
