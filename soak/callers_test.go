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
	callerPause    = 60 * time.Millisecond
	callerTime     = 2500 * time.Millisecond
	// clientTimeout is beyond callerTime, so that the node is the one to answer.
	clientTimeout = 4 * time.Second
)

// callers sends requests at every node until it is stopped.
type callers struct {
	f       *fleet
	number  atomic.Int64
	stopped atomic.Bool
	running sync.WaitGroup
	// served and asked count since the last reset.
	served, asked atomic.Int64
}

func (f *fleet) startCallers(seed uint64) *callers {
	c := &callers{f: f}
	for i, n := range f.nodes {
		for k := range callersPerNode {
			rng := rand.New(rand.NewPCG(seed, uint64(1000+i*callersPerNode+k)))
			c.running.Go(func() { c.loop(n, rng) })
		}
		rng := rand.New(rand.NewPCG(seed, uint64(2000+i)))
		c.running.Go(func() { c.pipeline(n, rng) })
	}
	return c
}

func (c *callers) stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

func (c *callers) loop(n *node, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	for !c.stopped.Load() {
		c.send(client, n, rng)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * callerPause))))
	}
}

// draw chooses a request.
func (c *callers) draw(n *node, rng *rand.Rand) (s *sent, method, path, body string) {
	number := c.number.Add(1)
	s = &sent{ID: fmt.Sprintf("r%d", number), Node: n.index, Key: c.key(rng), Service: "maps"}
	method, path = http.MethodGet, fmt.Sprintf("/maps/%d?q=%d", number, rng.IntN(100))
	switch draw := rng.IntN(100); {
	case draw < 25:
		s.Once = true
		method, path, body = http.MethodPost, fmt.Sprintf("/book/%d", number), fmt.Sprintf("slot %d", number)
	case draw < 45:
		s.Service = "status"
		path = fmt.Sprintf("/look/%d", number)
	case draw < 60:
		s.Service = "status"
		s.Version = max(int(c.f.version.Load())-rng.IntN(2), 1)
		path = fmt.Sprintf("/v%d/%d", s.Version, number)
	}
	s.Want = fmt.Sprintf("%s %s %s", method, path, strings.ToUpper(body))
	return s, method, path, body
}

// key draws a key that is, or was, in force.
func (c *callers) key(rng *rand.Rand) string {
	c.f.ledger.mu.Lock()
	defer c.f.ledger.mu.Unlock()
	change := c.f.ledger.changes[max(0, len(c.f.ledger.changes)-1-rng.IntN(3))]
	at := rng.IntN(len(change.keys))
	for key := range change.keys {
		if at == 0 {
			return key
		}
		at--
	}
	return ""
}

func (c *callers) send(client *http.Client, n *node, rng *rand.Rand) {
	s, method, path, body := c.draw(n, rng)
	s.Boot = n.Boot()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { s.Kept = info.Reused },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	// The client must not send a request again on its own.
	req.GetBody = nil
	req.Host = "app.example"
	standin.SetCallerHeaders(req, s.ID, callerTime, s.Key)
	s.At = time.Now()
	c.f.ledger.begin(s)
	c.asked.Add(1)
	resp, err := client.Do(req)
	if err != nil {
		c.f.ledger.end(s, func() { s.Err = err })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	c.f.ledger.end(s, func() {
		s.Status, s.ResponseMeta, s.Body, s.Err = resp.StatusCode, standin.ReadResponseMeta(resp.Header), string(data), err
	})
	if err == nil && resp.StatusCode == http.StatusOK {
		c.served.Add(1)
	}
}
