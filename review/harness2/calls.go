package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	callHost, shortCall, longCall = "jepu9.example", "/puka111/short", "/puka111/long"
	parentHost, parentPath        = "hulo84.example", "/leny950/2f"
	shortWork, longWork           = 20 * time.Millisecond, 2600 * time.Millisecond
	parentWait                    = 6 * time.Second
	// The requests that make the long calls are sent parentsBefore the SIGTERM, their long
	// calls callsAt after it. Calls sent later than 3 s after it count in any case.
	parentsBefore, callsAt = 100 * time.Millisecond, 3200 * time.Millisecond
	longCalls              = 5
)

// lateCalls: the node beside a worker is stopped as planned while the worker goes on
// running requests and makes calls. Most calls of the route are short, some are long.
func lateCalls(f *fleet, trouble bool) verdict {
	f.store.putConfig(5, pageLimits,
		route{name: "r-parent", host: parentHost, prefix: "/leny950/", kind: "non_idempotent", service: "wuno96b", timeoutS: 6},
		route{name: "r-call", host: callHost, prefix: "/puka111/", kind: "non_idempotent", service: "huvo11a", timeoutS: 5, public: true})
	zones := []string{"evora-a", "evora-b", "beja-a"}
	var workers []*worker
	for i, zone := range zones {
		service := "huvo11a"
		if i == 0 {
			service = "wuno96b"
		}
		n, err := f.addNode("sidecar-"+zone+"-1", service, zone, 284)
		if err != nil {
			return verdict{err: err}
		}
		if err := n.start(); err != nil {
			return verdict{err: err}
		}
		w, err := startWorker(n, fmt.Sprintf("i-7f3a91c%d", i), shortWork)
		if err != nil {
			return verdict{err: err}
		}
		w.workOf = func(path string) time.Duration {
			if path == longCall {
				return longWork
			}
			return shortWork
		}
		workers = append(workers, w)
	}
	stopping, parents, calledWorkers := f.nodes[0], workers[0], workers[1:]
	var calls sync.Map // request ID -> answer
	var callsDone sync.WaitGroup
	var stopAt time.Time // of the SIGTERM
	parents.onRun = func(ctx context.Context, r *http.Request) bool {
		if r.Header.Get("X-Long") == "" {
			return stopping.callFrom(ctx, r, shortCall, &calls, &callsDone)
		}
		for time.Since(stopAt) < callsAt {
			if !stopping.callFrom(ctx, r, shortCall, &calls, &callsDone) {
				return false
			}
		}
		return stopping.callFrom(ctx, r, longCall, &calls, &callsDone)
	}
	if !eventually(20*time.Second, func() bool { return askParent(stopping, "").status == http.StatusOK }) {
		return verdict{err: errNotServing}
	}
	load := startTraffic(f.nodes[:1], 25*time.Millisecond, func(n *node) answer { return askParent(n, "") })
	time.Sleep(4 * time.Second)
	stopAt = time.Now().Add(parentsBefore)
	var asking sync.WaitGroup
	for range longCalls {
		asking.Go(func() { askParent(stopping, "1") })
	}
	time.Sleep(parentsBefore)
	if trouble {
		stopping.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopAt.Add(2 * time.Second)))
	load.stop()
	asking.Wait()
	callsDone.Wait()
	if trouble && !eventually(5*time.Second, stopping.hasExited) {
		return verdict{err: fmt.Errorf("%s did not end", stopping.name)}
	}
	// The platform would kill the process at the end of grace_period_s.
	lost, sent := 0, 0
	calls.Range(func(_, value any) bool {
		a := value.(callAnswer)
		if a.path != longCall || a.sent.Before(stopAt.Add(3*time.Second)) {
			return true
		}
		sent++
		ran := false
		for _, w := range calledWorkers {
			for _, r := range w.allRuns() {
				ran = ran || r.id == a.id && a.ended.Before(r.at.Add(longWork))
			}
		}
		if ran && a.stamp == "" && a.ended.Before(a.deadline) {
			lost++
			f.record.add("broken: call %s, sent %.2f s after the SIGTERM, ended after %.2f s of its %.2f s with status %d of the node's own, its worker is at work",
				a.id, a.sent.Sub(stopAt).Seconds(), a.ended.Sub(a.sent).Seconds(), a.deadline.Sub(a.sent).Seconds(), a.status)
		}
		return true
	})
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d of %d long calls, sent later than 3 s after the SIGTERM, were broken off while their worker was at work", lost, sent)}
}

// callAnswer is what a worker saw of a call that it made.
type callAnswer struct {
	answer
	path     string
	deadline time.Time
}

// askParent sends a request whose run makes calls, a long one if long is set.
func askParent(n *node, long string) answer {
	return askWith(n, http.MethodPost, parentHost, parentPath, "x", parentWait, func(h http.Header) {
		if long != "" {
			h.Set("X-Long", long)
		}
	})
}

// callFrom makes a call for a run of request r through the node, as the worker beside it does.
func (n *node) callFrom(ctx context.Context, r *http.Request, path string, all *sync.Map, done *sync.WaitGroup) bool {
	done.Add(1)
	defer done.Done()
	a := callAnswer{answer: answer{id: newID() + "c", node: n, sent: time.Now()}, path: path}
	var left int64
	if _, err := fmt.Sscan(r.Header.Get("X-Deadline-Ms"), &left); err != nil {
		return false
	}
	a.deadline = receivedAt(ctx).Add(time.Duration(left) * time.Millisecond)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.caller+path, strings.NewReader("x"))
	if err != nil {
		return false
	}
	req.Host = callHost
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(a.deadline).Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	}
	a.ended, a.err = time.Now(), err
	all.Store(a.id, a)
	if path == longCall {
		n.fleet.record.add("call %s of request %s at %s sent %.3f: status %d, stamp %q, error %v",
			a.id, r.Header.Get("X-Request-Id"), n.name, a.sent.Sub(n.fleet.record.began).Seconds(), a.status, a.stamp, err)
	}
	return err == nil && a.status == http.StatusOK
}

type receivedKey struct{}

// receivedAt returns when the request of a run was received.
func receivedAt(ctx context.Context) time.Time {
	at, ok := ctx.Value(receivedKey{}).(time.Time)
	if !ok {
		return time.Now()
	}
	return at
}
