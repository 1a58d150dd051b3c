package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	mapHost, mapPath = "hulo84.example", "/leny950/2f"
	// Bounds of the small deployments.
	drainPeriod  = 2 * time.Second
	stableWindow = 3 * time.Second
	recovery     = 15 * time.Second
)

var errNotServing = errors.New("the deployment did not begin to serve")

// small starts a deployment of one service in three zones, with a worker beside each of n
// nodes, and waits until it serves.
func small(f *fleet, n int, work time.Duration) ([]*worker, error) {
	f.store.putConfig(5, pageLimits, route{name: "r-rge9itf", host: mapHost, prefix: "/leny950/", kind: "safe", service: "huvo11a", timeoutS: 5})
	zones := []string{"evora-a", "evora-b", "beja-a"}
	var workers []*worker
	for i := range n {
		node, err := f.addNode(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), "huvo11a", zones[i%3], 284)
		if err != nil {
			return nil, err
		}
		if err := node.start(); err != nil {
			return nil, err
		}
		w, err := startWorker(node, fmt.Sprintf("i-7f3a91c%d", i), work)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if !eventually(20*time.Second, f.serving) {
		return nil, errNotServing
	}
	return workers, nil
}

func get(n *node) answer { return ask(n, http.MethodGet, mapHost, mapPath, "", 5*time.Second) }

// killAll kills the processes of all nodes at one moment and starts them again.
func killAll(f *fleet, down time.Duration) error {
	done := make(chan struct{})
	for _, n := range f.nodes {
		go func() {
			n.kill()
			done <- struct{}{}
		}()
	}
	for range f.nodes {
		<-done
	}
	time.Sleep(down)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// forgottenLeave: a worker deregisters and gets its confirmation; right after it the
// processes of all nodes are killed. A check-in that the worker had sent before arrives
// late.
func forgottenLeave(f *fleet, trouble bool) verdict {
	workers, err := small(f, 3, 20*time.Millisecond)
	if err != nil {
		return verdict{err: err}
	}
	load := startTraffic(f.nodes, 25*time.Millisecond, get)
	time.Sleep(4 * time.Second)
	leaving := workers[0]
	leaving.silent.Store(true)
	late := leaving.heartbeatBody() // sent now, it arrives later
	f.record.add("worker %s sends a check-in that is late", leaving.id)
	time.Sleep(200 * time.Millisecond)
	leaving.leaving.Store(true)
	if !leaving.send("deregister", fmt.Sprintf(`{"born":%d}`, leaving.born.UnixMilli())) {
		return verdict{err: errors.New("the deregistration was not confirmed")}
	}
	confirmed := time.Now()
	f.record.add("worker %s has deregistered, confirmed by %s", leaving.id, leaving.node.name)
	restarted := confirmed
	if trouble {
		if err := killAll(f, 700*time.Millisecond); err != nil {
			return verdict{err: err}
		}
		restarted = time.Now()
	}
	time.Sleep(time.Until(confirmed.Add(3 * time.Second)))
	f.record.add("the late check-in of %s arrives, acknowledged: %v", leaving.id, leaving.send("heartbeat", late))
	time.Sleep(10 * time.Second)
	leaving.exit()
	time.Sleep(time.Second)
	sent := map[string]time.Time{}
	for _, a := range load.stop() {
		sent[a.id] = a.sent
	}
	// Machines are in touch once their processes have run for stable_window_s.
	from := restarted.Add(stableWindow)
	if end := confirmed.Add(drainPeriod); end.After(from) {
		from = end
	}
	broken := 0
	for _, r := range leaving.allRuns() {
		if at, known := sent[r.id]; known && at.After(from) {
			broken++
			f.record.add("broken: %s, sent %.3f s after the confirmation", r.id, at.Sub(confirmed).Seconds())
		}
	}
	return verdict{broken: broken > 0, text: fmt.Sprintf("%d requests ran at the worker that had left, sent on by machines in touch later than drain_period_s after the confirmation", broken)}
}

// lateLeave: a worker restarts under its ID as planned. Its deregistration is late and
// arrives when the next boot has registered.
func lateLeave(f *fleet, trouble bool) verdict {
	workers, err := small(f, 1, 20*time.Millisecond)
	if err != nil {
		return verdict{err: err}
	}
	load := startTraffic(f.nodes, 25*time.Millisecond, get)
	time.Sleep(4 * time.Second)
	first := workers[0]
	first.silent.Store(true)
	leave := fmt.Sprintf(`{"born":%d}`, first.born.UnixMilli())
	if trouble {
		f.record.add("worker %s, born %d, sends its deregistration, which is late", first.id, first.born.UnixMilli())
	} else {
		f.record.add("worker %s, born %d, sends its deregistration, confirmed: %v", first.id, first.born.UnixMilli(), first.send("deregister", leave))
	}
	sent := time.Now()
	first.leaving.Store(true)
	time.Sleep(3 * time.Second) // without a confirmation it exits some seconds later
	first.exit()
	time.Sleep(300 * time.Millisecond)
	next, err := startWorker(first.node, first.id, first.work)
	if err != nil {
		return verdict{err: err}
	}
	final := time.Now()
	if err := killAll(f, 700*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	time.Sleep(time.Until(sent.Add(5500 * time.Millisecond)))
	if trouble {
		f.record.add("the late deregistration of %s, born %d, arrives, acknowledged: %v", first.id, first.born.UnixMilli(), first.send("deregister", leave))
	}
	back := time.Now()
	time.Sleep(recovery + 10*time.Second)
	answers := load.stop()
	next.exit()
	return recovered(answers, final, back)
}
