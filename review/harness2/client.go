package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns the ID of the next attempt of a client.
func newID() string { return fmt.Sprintf("r%06d", lastRequest.Add(1)) }

// answer is what a client saw of one attempt.
type answer struct {
	id           string
	node         *node
	sent, ended  time.Time
	status       int // zero if the connection ended without an answer
	stamp, retry string
	body         int64
	err          error
}

// ask sends one attempt on a connection of its own and waits for the answer.
func ask(n *node, method, host, path string, body string, wait time.Duration) answer {
	return askWith(n, method, host, path, body, wait, func(http.Header) {})
}

// askWith is ask with further headers.
func askWith(n *node, method, host, path string, body string, wait time.Duration, change func(http.Header)) answer {
	number := lastRequest.Add(1)
	a := answer{id: fmt.Sprintf("r%06d", number), node: n, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey(int(number)))
	change(req.Header)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		a.body, err = io.Copy(io.Discard, resp.Body)
		a.status, a.stamp, a.retry = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), resp.Header.Get("Retry-After")
	}
	a.ended, a.err = time.Now(), err
	n.fleet.record.add("client %s %s %s%s at %s sent %.3f: status %d, stamp %q, %d bytes, error %v",
		a.id, method, host, path, n.name, a.sent.Sub(n.fleet.record.began).Seconds(), a.status, a.stamp, a.body, err)
	return a
}

// traffic sends requests to nodes in turn at a rate until stop is called.
type traffic struct {
	mu      sync.Mutex
	answers []answer
	stopped chan struct{}
	running sync.WaitGroup
}

func startTraffic(nodes []*node, every time.Duration, send func(*node) answer) *traffic {
	t := &traffic{stopped: make(chan struct{})}
	t.running.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-t.stopped:
				return
			case <-time.After(every):
			}
			t.running.Go(func() {
				a := send(nodes[i%len(nodes)])
				t.mu.Lock()
				t.answers = append(t.answers, a)
				t.mu.Unlock()
			})
		}
	})
	return t
}

// stop ends the traffic and returns all answers.
func (t *traffic) stop() []answer {
	close(t.stopped)
	t.running.Wait()
	return t.answers
}
