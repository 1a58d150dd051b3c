// Package standin simulates an upstream instance for the demo and for tests:
// concurrency slots with a bounded queue, service times, nested calls, a cold
// start, a load endpoint whose response can be faked, and a crash on a chosen
// request.
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

// Headers that the stand-in reads and sets.
const (
	headerToken       = "Gooseberry-Call-Token"
	headerOutcome     = "Gooseberry-Outcome"
	headerIdempotency = "Idempotency-Key"
	// HeaderPoison makes the instance crash if it is not empty.
	HeaderPoison = "X-Poison"
)

// serviceTimeSpread is the largest deviation of a service time from its mean,
// as a fraction of the mean.
const serviceTimeSpread = 0.5

// Operation is what the upstream does for one kind of request.
type Operation struct {
	// Prefix selects requests by the start of their path.
	Prefix string
	// MeanServiceTime is the mean service time while a slot is held.
	MeanServiceTime time.Duration
	// NestedCalls are made one after the other while the slot is held. The
	// format is METHOD /SERVICE/PATH; {id} is replaced by the last path segment
	// of the request.
	NestedCalls []string
}

// Options describe an upstream.
type Options struct {
	Service string
	Slots   int
	// QueueLimit is the number of requests that may wait for a slot. Further
	// requests are shed.
	QueueLimit int
	// ColdStartDuration is the time after a start in which service times triple.
	ColdStartDuration time.Duration
	Operations        []Operation
	Seed              uint64
	// RecordHeaders enables RequestHeaders.
	RecordHeaders bool
}

// Upstream is one running instance.
type Upstream struct {
	options Options
	started time.Time
	slots   chan struct{}
	queued  atomic.Int64
	// slowdownPercent is the factor of the service time, in hundredths.
	slowdownPercent atomic.Int64
	loadResponse    atomic.Pointer[string]
	crashed         atomic.Bool
	callerAddr      atomic.Pointer[string]
	client          *http.Client

	mu             sync.Mutex
	rng            *rand.Rand
	runsByKey      map[string]int
	requestHeaders []http.Header

	server   *http.Server
	listener net.Listener
	// OnCrash, if set, is called when a poison request crashes the instance.
	OnCrash func()
}

// Response is the body of a successful response.
type Response struct {
	Service         string     `json:"service"`
	Path            string     `json:"path"`
	NestedResponses []Response `json:"children,omitempty"`
}

// Start starts an instance on a free loopback port.
func Start(o Options) (*Upstream, error) { return StartAt(o, "127.0.0.1:0") }

// StartAt starts an instance on a given address, for example for a restart.
func StartAt(o Options, address string) (*Upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		options:   o,
		started:   time.Now(),
		slots:     make(chan struct{}, o.Slots),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		rng:       rand.New(rand.NewPCG(o.Seed, 1)),
		runsByKey: make(map[string]int),
		listener:  listener,
	}
	u.slowdownPercent.Store(100)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// Addr returns the bound address.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// SetCallerAddr sets the address of the node to which nested calls are sent.
func (u *Upstream) SetCallerAddr(address string) { u.callerAddr.Store(&address) }

// SetSlowdown multiplies all service times by factor.
func (u *Upstream) SetSlowdown(factor float64) { u.slowdownPercent.Store(int64(factor * 100)) }

// SetLoadResponse makes the load endpoint return a fixed text.
func (u *Upstream) SetLoadResponse(text string) { u.loadResponse.Store(&text) }

// RunsByKey returns the number of requests received with each idempotency key.
func (u *Upstream) RunsByKey() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runsByKey))
	for k, n := range u.runsByKey {
		out[k] = n
	}
	return out
}

// RequestHeaders returns the headers of all requests received, except those to
// the load endpoint. It needs Options.RecordHeaders.
func (u *Upstream) RequestHeaders() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]http.Header(nil), u.requestHeaders...)
}

// Close stops the instance immediately and closes its connections.
func (u *Upstream) Close() { _ = u.server.Close() }

// ServeHTTP serves one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		u.serveLoad(w)
		return
	}
	u.record(r)
	if r.Header.Get(HeaderPoison) != "" {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	if !u.acquireSlot(r.Context(), w) {
		return
	}
	defer func() { <-u.slots }()
	u.execute(w, r, u.operationFor(r.URL.Path))
}

// execute waits for the service time, makes the nested calls and responds.
func (u *Upstream) execute(w http.ResponseWriter, r *http.Request, operation Operation) {
	if !wait.For(r.Context(), u.serviceTime(operation.MeanServiceTime)) {
		return
	}
	nestedResponses, ok := u.makeNestedCalls(r, operation)
	if !ok {
		http.Error(w, "a nested call failed", http.StatusBadGateway)
		return
	}
	body, _ := json.Marshal(Response{Service: u.options.Service, Path: r.URL.Path, NestedResponses: nestedResponses})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	if loadResponse := u.loadResponse.Load(); loadResponse != nil {
		_, _ = io.WriteString(w, *loadResponse)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"busy": len(u.slots), "slots": cap(u.slots)})
}

func (u *Upstream) record(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if key := r.Header.Get(headerIdempotency); key != "" {
		u.runsByKey[key]++
	}
	if u.options.RecordHeaders {
		u.requestHeaders = append(u.requestHeaders, r.Header.Clone())
	}
}

func (u *Upstream) crash() {
	u.crashed.Store(true)
	go u.Close()
	if u.OnCrash != nil {
		u.OnCrash()
	}
}

func (u *Upstream) operationFor(path string) Operation {
	for _, w := range u.options.Operations {
		if strings.HasPrefix(path, w.Prefix) {
			return w
		}
	}
	return Operation{}
}

// acquireSlot waits for a slot, which the caller must free. It sheds the request
// if the queue is full.
func (u *Upstream) acquireSlot(ctx context.Context, w http.ResponseWriter) bool {
	if u.queued.Add(1) > int64(u.options.QueueLimit) {
		u.queued.Add(-1)
		w.Header().Set(headerOutcome, "not-run")
		http.Error(w, "the queue is full", http.StatusServiceUnavailable)
		return false
	}
	defer u.queued.Add(-1)
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
	factor := spread * float64(u.slowdownPercent.Load()) / 100
	if time.Since(u.started) < u.options.ColdStartDuration {
		factor *= 3
	}
	return time.Duration(float64(mean) * factor)
}

// makeNestedCalls makes the nested calls through the node beside the instance.
func (u *Upstream) makeNestedCalls(r *http.Request, operation Operation) ([]Response, bool) {
	var responses []Response
	for _, call := range operation.NestedCalls {
		a, ok := u.makeNestedCall(r, call)
		if !ok {
			return nil, false
		}
		responses = append(responses, a)
	}
	return responses, true
}

func (u *Upstream) makeNestedCall(r *http.Request, call string) (Response, bool) {
	method, path, _ := strings.Cut(call, " ")
	id := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	path = strings.ReplaceAll(path, "{id}", id)
	req, err := http.NewRequestWithContext(r.Context(), method, "http://"+*u.callerAddr.Load()+path, nil)
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
