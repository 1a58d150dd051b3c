package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

const (
	callersPerNode = 4
	// resendersPerNode is the number of these callers that send a safe request that failed
	// again under its ID, at most maxResends times.
	resendersPerNode = 2
	maxResends       = 2
	maxResendPause   = 100 * time.Millisecond
	meanCallerPause  = 60 * time.Millisecond
	meanUploadPause  = 100 * time.Millisecond
	callTimeout      = 2500 * time.Millisecond
	// clientTimeout exceeds callTimeout, so that the node answers before the
	// client gives up.
	clientTimeout = 4 * time.Second
	// One caller of each node sends requests whose paths begin with longPath. Their work
	// takes longWork, many times that of the others.
	longPath = "/maps/report/"
	longWork = 500 * time.Millisecond
)

// loadGenerator sends requests to every node until it is stopped.
type loadGenerator struct {
	f          *fleet
	lastNumber atomic.Int64
	stopped    atomic.Bool
	workers    sync.WaitGroup
	// served and requested count responses with status 200 and requests sent
	// since the last reset.
	served, requested atomic.Int64
}

func (f *fleet) startLoad(seed uint64) *loadGenerator {
	g := &loadGenerator{f: f}
	for i, n := range f.nodes {
		for k := range f.options.callers {
			rng := rand.New(rand.NewPCG(seed, uint64(1000+i*f.options.callers+k)))
			var resends *rand.Rand
			if k < f.options.resenders {
				resends = rand.New(rand.NewPCG(seed, uint64(4000+i*f.options.callers+k)))
			}
			g.workers.Go(func() { g.runSequential(n, rng, resends) })
		}
		rng := rand.New(rand.NewPCG(seed, uint64(2000+i)))
		g.workers.Go(func() { g.runPipelined(n, rng) })
		longRNG := rand.New(rand.NewPCG(seed, uint64(3000+i)))
		g.workers.Go(func() { g.runLong(n, longRNG) })
		if size := f.options.uploadBytes; size > 0 {
			uploadRNG := rand.New(rand.NewPCG(seed, uint64(7000+i)))
			g.workers.Go(func() { g.runUploads(n, uploadRNG, size) })
		}
	}
	return g
}

func (g *loadGenerator) stop() {
	g.stopped.Store(true)
	g.workers.Wait()
}

// runSequential sends one request after the other. With a source of randomness for it, it
// sends failed safe requests again.
func (g *loadGenerator) runSequential(n *node, rng, resends *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	for !g.stopped.Load() {
		s, method, path, body := g.drawRequest(n, rng)
		g.send(client, n, s, method, path, body)
		if resends != nil {
			g.resend(client, n, s, resends, method, path, body)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanCallerPause))))
	}
}

// resend sends a request again while it is safe and fails, at once or after a pause.
func (g *loadGenerator) resend(client *http.Client, n *node, s *sentRequest, rng *rand.Rand, method, path, body string) {
	pause := time.Duration(rng.IntN(2)) * time.Duration(rng.Int64N(int64(maxResendPause)))
	for range 1 + rng.IntN(maxResends) {
		if s.NonIdempotent || s.Err == nil && s.Status < http.StatusInternalServerError || g.stopped.Load() {
			return
		}
		time.Sleep(pause)
		s = &sentRequest{ID: s.ID, Node: s.Node, Key: s.Key, Service: s.Service, Version: s.Version, WantBody: s.WantBody}
		g.send(client, n, s, method, path, body)
	}
}

// runLong sends requests that take long, one after the other.
func (g *loadGenerator) runLong(n *node, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	for !g.stopped.Load() {
		number := g.lastNumber.Add(1)
		path := longPath + fmt.Sprint(number)
		s := &sentRequest{ID: fmt.Sprintf("r%d", number), Node: n.index, Key: g.drawKey(rng), Service: "maps", WantBody: "GET " + path + " "}
		g.send(client, n, s, http.MethodGet, path, "")
		time.Sleep(longWork)
	}
}

// runUploads sends safe requests with a long body, one after the other.
func (g *loadGenerator) runUploads(n *node, rng *rand.Rand, size int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	body := strings.Repeat("X", size) // in capitals, as the instance returns it
	for !g.stopped.Load() {
		number := g.lastNumber.Add(1)
		path := fmt.Sprintf("/maps/%d", number)
		s := &sentRequest{ID: fmt.Sprintf("r%d", number), Node: n.index, Key: g.drawKey(rng), Service: "maps", WantBody: shortBody("PUT " + path + " " + body)}
		g.send(client, n, s, http.MethodPut, path, body)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanUploadPause))))
	}
}

// drawRequest draws the next request.
func (g *loadGenerator) drawRequest(n *node, rng *rand.Rand) (s *sentRequest, method, path, body string) {
	number := g.lastNumber.Add(1)
	s = &sentRequest{ID: fmt.Sprintf("r%d", number), Node: n.index, Key: g.drawKey(rng), Service: "maps"}
	method, path = http.MethodGet, fmt.Sprintf("/maps/%d?q=%d", number, rng.IntN(100))
	switch percent := rng.IntN(100); {
	case percent < 25:
		s.NonIdempotent = true
		method, path, body = http.MethodPost, fmt.Sprintf("/book/%d", number), fmt.Sprintf("slot %d", number)
	case percent < 45:
		s.Service = "status"
		path = fmt.Sprintf("/look/%d", number)
	case percent < 60:
		s.Service = "status"
		s.Version = max(int(g.f.version.Load())-rng.IntN(2), 1)
		path = fmt.Sprintf("/v%d/%d", s.Version, number)
	}
	s.WantBody = fmt.Sprintf("%s %s %s", method, path, strings.ToUpper(body))
	return s, method, path, body
}

// drawKey draws a key from one of the three latest versions.
func (g *loadGenerator) drawKey(rng *rand.Rand) string {
	g.f.history.mu.Lock()
	defer g.f.history.mu.Unlock()
	change := g.f.history.changes[max(0, len(g.f.history.changes)-1-rng.IntN(3))]
	remaining := rng.IntN(len(change.keys))
	for key := range change.keys {
		if remaining == 0 {
			return key
		}
		remaining--
	}
	return ""
}

func (g *loadGenerator) send(client *http.Client, n *node, s *sentRequest, method, path, body string) {
	s.Boot = n.Boot()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.ConnReused = info.Reused
			s.connections++
		},
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddr+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	// Without GetBody net/http does not resend a request with a body by itself. It may
	// resend one without a body if a connection that it has used before ends.
	req.GetBody = nil
	req.Host = "app.example"
	standin.SetCallerHeaders(req, s.ID, callTimeout, s.Key)
	s.At = time.Now()
	g.f.history.recordSent(s)
	g.requested.Add(1)
	resp, err := client.Do(req)
	if err != nil {
		g.f.history.recordEnd(s, func() { s.Err = err })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	g.f.history.recordEnd(s, func() {
		s.Status, s.ResponseMeta, s.Body, s.Err = resp.StatusCode, standin.ReadResponseMeta(resp.Header), shortBody(string(data)), err
		if g.f.options.received != nil {
			g.f.options.received(s)
		}
	})
	if err == nil && resp.StatusCode == http.StatusOK {
		g.served.Add(1)
	}
}
