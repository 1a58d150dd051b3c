package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadHost, uploadPath = "hulo84.example", "/cufi502/2f"
	// uploadBytes is the size of a body, a sixth of max_body_bytes.
	uploadBytes     = 11_500_000
	uploadMemoryMB  = 284
	uploadWork      = 260 * time.Millisecond
	uploadDeadline  = 3 * time.Second
	uploadMachines  = 16
	uploadInstances = 3
	// usualClients and burstClients are the clients of each machine: a burst of 1.5.
	usualClients, burstClients = 2, 3
	burstTime                  = 20 * time.Second
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// lostAllowed is how many requests may be lost (LOST).
	lostAllowed = 3
)

// residentMB returns the anonymous memory that the node's process holds now.
func (n *node) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// uploadClient sends uploads one after the other on a connection that it keeps.
type uploadClient struct {
	node      *node
	transport *http.Transport
	lost      *atomic.Int64 // requests on a kept connection without an answer
	ran       func(id string) bool
}

// upload sends one upload and reports whether it was served.
func (c *uploadClient) upload(body string) bool {
	number := lastRequest.Add(1)
	id := fmt.Sprintf("r%06d", number)
	kept := false
	ctx, cancel := context.WithTimeout(context.Background(), uploadDeadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node.caller+uploadPath, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = uploadHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(uploadDeadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey(int(number)))
	status := 0
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	c.node.fleet.record.add("client %s at %s, kept connection %v: status %d, error %v", id, c.node.name, kept, status, err)
	if err != nil && ctx.Err() == nil && kept && c.ran(id) {
		c.node.fleet.record.add("no answer to %s, which was passed on to a worker", id)
		c.lost.Add(1)
	}
	return status == http.StatusOK
}

// uploads: many clients upload at once while one worker is down. The platform kills a
// process that exceeds memory_mb and starts it again.
func uploads(f *fleet, trouble bool) verdict {
	f.store.putConfig(5, pageLimits, route{name: "r-upload", host: uploadHost, prefix: "/cufi502/", kind: "upload", service: "kafi81c", timeoutS: uploadDeadline.Seconds()})
	zones := []string{"evora-a", "evora-b", "beja-a"}
	var workers []*worker
	for i := range uploadMachines {
		service := "huvo11a"
		if i < uploadInstances {
			service = "kafi81c"
		}
		n, err := f.addNode(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), service, zones[i%3], uploadMemoryMB)
		if err != nil {
			return verdict{err: err}
		}
		if err := n.start(); err != nil {
			return verdict{err: err}
		}
		if i < uploadInstances {
			w, err := startWorker(n, fmt.Sprintf("i-7f3a91c%d", i), uploadWork)
			if err != nil {
				return verdict{err: err}
			}
			w.slots = 65
			workers = append(workers, w)
		}
	}
	var lost atomic.Int64
	ran := func(id string) bool {
		for _, w := range workers[1:] { // the first one isn't sound, it crashes
			for _, r := range w.allRuns() {
				if r.id == id {
					return true
				}
			}
		}
		return false
	}
	body := strings.Repeat("x", uploadBytes)
	client := func(n *node) *uploadClient {
		return &uploadClient{node: n, transport: &http.Transport{MaxIdleConnsPerHost: 1}, lost: &lost, ran: ran}
	}
	if !eventually(20*time.Second, func() bool {
		for _, n := range f.nodes {
			if !client(n).upload(body) {
				return false
			}
		}
		return true
	}) {
		return verdict{err: errNotServing}
	}
	clients := usualClients
	if trouble {
		clients = burstClients
		time.AfterFunc(time.Second, workers[0].exit)
	}
	end := time.Now().Add(burstTime)
	ends, peaks := make([]int, len(f.nodes)), make([]int, len(f.nodes))
	var running sync.WaitGroup
	for i, n := range f.nodes {
		running.Go(func() { ends[i], peaks[i] = n.limitMemory(end) })
		for range clients {
			c := client(n)
			if i == 0 {
				c.lost = new(atomic.Int64) // the disruption is on this machine
			}
			running.Go(func() {
				for time.Now().Before(end) {
					if !c.upload(body) {
						time.Sleep(500 * time.Millisecond)
					}
				}
			})
		}
	}
	running.Wait()
	peak := 0
	for _, p := range peaks {
		peak = max(peak, p)
	}
	return verdict{
		broken: lost.Load() > lostAllowed,
		text: fmt.Sprintf("requests on kept connections that were passed on to a sound worker and got no answer: %d; "+
			"processes ended for memory over the limit, by machine: %v; peak %d of %d MB", lost.Load(), ends, peak, uploadMemoryMB),
	}
}

// limitMemory kills the node's process when it exceeds its memory, as the platform does,
// and starts it again, until end. It returns how often, and the peak in MB.
func (n *node) limitMemory(end time.Time) (ends, peak int) {
	for time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		mb := n.residentMB()
		peak = max(peak, mb)
		if mb <= uploadMemoryMB {
			continue
		}
		ends++
		n.fleet.record.add("node %s holds %d MB, the platform kills it", n.name, mb)
		n.kill()
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			return ends, peak
		}
	}
	return ends, peak
}
