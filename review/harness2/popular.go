package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// crashTime is how long crashed workers are down, crashDelay how long after the end of
	// the final fault they crash.
	crashTime, crashDelay = 4 * time.Second, 4 * time.Second
	mapWork               = 160 * time.Millisecond
)

// popular: all clients ask for the same map. After the final fault the workers of one
// zone crash once and come back.
func popular(f *fleet, trouble bool) verdict {
	f.store.putConfig(5, pageLimits, route{name: "r-rge9itf", host: mapHost, prefix: "/leny950/", kind: "safe", service: "huvo11a", timeoutS: 5})
	workers := make([]*worker, 4)
	for i, zone := range []string{"evora-a", "evora-a", "evora-b", "beja-a"} {
		n, err := f.addNode(fmt.Sprintf("sidecar-%s-%d", zone, i+1), "huvo11a", zone, 284)
		if err != nil {
			return verdict{err: err}
		}
		if err := n.start(); err != nil {
			return verdict{err: err}
		}
		if workers[i], err = startWorker(n, fmt.Sprintf("i-7f3a91c%d", i), mapWork); err != nil {
			return verdict{err: err}
		}
	}
	if !eventually(20*time.Second, f.serving) {
		return verdict{err: errNotServing}
	}
	load := startTraffic(f.nodes, 12500*time.Microsecond, get)
	time.Sleep(5 * time.Second)
	final := time.Now()
	if err := killAll(f, 700*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	back := time.Now()
	time.Sleep(crashDelay)
	if trouble {
		for _, w := range workers[:2] {
			w.exit()
		}
	}
	time.Sleep(crashTime)
	if trouble {
		for i := range 2 {
			var err error
			if workers[i], err = startWorker(f.nodes[i], fmt.Sprintf("i-02d9e6b%d", i), mapWork); err != nil {
				return verdict{err: err}
			}
		}
	}
	// Judged once recovery_s is over for the crashed workers, too.
	workersBack := time.Now()
	f.record.add("all workers are back, %.1f s after the nodes", workersBack.Sub(back).Seconds())
	time.Sleep(recovery + 10*time.Second)
	answers := load.stop()
	for _, w := range workers {
		w.exit()
	}
	return recovered(answers, final, workersBack)
}

// serving reports whether all nodes serve.
func (f *fleet) serving() bool {
	for _, n := range f.nodes {
		if !n.ready() || ask(n, http.MethodGet, mapHost, mapPath, "", time.Second).status != http.StatusOK {
			return false
		}
	}
	return true
}

// recovered judges RECOVER: the final fault was at one moment, the machines were back at
// another.
func recovered(answers []answer, final, back time.Time) verdict {
	before, servedBefore, after, served := 0, 0, 0, 0
	for _, a := range answers {
		ok := a.status == http.StatusOK && a.stamp != ""
		switch {
		case a.sent.Before(final):
			before++
			if ok {
				servedBefore++
			}
		case a.sent.After(back.Add(recovery)):
			after++
			if ok {
				served++
			}
		}
	}
	return verdict{
		broken: 4*served < after && 4*servedBefore >= before,
		text: fmt.Sprintf("served before the final fault: %d of %d; later than recovery_s after the machines are back: %d of %d",
			servedBefore, before, served, after),
	}
}
