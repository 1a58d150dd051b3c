package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// tally counts the requests of one route in a span of time.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) share() float64 {
	if t.sent.Load() == 0 {
		return 0
	}
	return float64(t.served.Load()) / float64(t.sent.Load())
}

// playPopular crashes the two workers that one zone has of a service, while many clients
// read the same page there, and starts them again. Once all has been calm for longer than
// stable_window_s, the page's route, which was added later, must be served as the first one.
func playPopular(dir string, rec *recorder, trouble bool) (verdict, error) {
	var services []string
	for i := range 12 {
		services = append(services, []string{"vitrina", "comenzi"}[i/6])
	}
	f, err := newFleet(dir, services, 284, rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	routes := []route{{host: "first.example", prefix: "/catalog/", service: "vitrina", kind: "safe", timeout: 4}}
	f.putConfig(1, routes, []string{"key-1"})
	start := func(m *machine, boot int) error {
		m.worker = &worker{
			id: fmt.Sprintf("i-%s-%d", m.name, boot), service: m.service, zone: m.zone, address: m.at(f.ports.app), control: m.at(f.ports.control),
			slots: 36, work: func(*http.Request) time.Duration { return 160 * time.Millisecond },
			onArrival: func(a arrival) { rec.printAt(a.at, "worker %s runs %s", a.worker, a.id) },
		}
		return m.worker.start()
	}
	for _, m := range f.machines {
		if err := start(m, 1); err != nil {
			return verdict{}, err
		}
		if err := m.startNode(); err != nil {
			return verdict{}, err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	routes = append(routes, route{host: "later.example", prefix: "/top/", service: "vitrina", kind: "safe", timeout: 4})
	f.putConfig(4, routes, []string{"key-1"})
	rec.printf("config 4 is confirmed: it adds the route later.example/top/")
	time.Sleep(3 * time.Second)

	var stop atomic.Bool
	var calm atomic.Bool // steady state
	var first, later tally
	var wg sync.WaitGroup
	read := func(m *machine, host string, path func(n int) string, t *tally) {
		c := &client{address: m.outbound, host: host, key: "key-1"}
		defer c.close()
		for n := 0; !stop.Load(); n++ {
			counted := calm.Load()
			r := c.do("GET", path(n), nil, 5*time.Second)
			rec.noteReply(m, host+path(n), r)
			if counted {
				t.sent.Add(1)
				if r.status == http.StatusOK && r.stamp != "" {
					t.served.Add(1)
				}
			}
			if r.status != http.StatusOK {
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	for i, m := range f.machines {
		for k := range 2 {
			wg.Go(func() {
				read(m, "first.example", func(n int) string { return fmt.Sprintf("/catalog/%d-%d-%d", i, k, n) }, &first)
			})
			wg.Go(func() { read(m, "later.example", func(int) string { return "/top/today" }, &later) })
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		var down []*machine
		for _, m := range f.machines {
			if m.service == "vitrina" && m.zone == "zone-a" {
				down = append(down, m)
			}
		}
		for _, m := range down {
			rec.printf("worker %s crashes", m.worker.id)
		}
		var crashes sync.WaitGroup
		for _, m := range down {
			crashes.Go(m.worker.crash)
		}
		crashes.Wait()
		time.Sleep(3 * time.Second)
		for _, m := range down {
			if err := start(m, 2); err != nil {
				return verdict{}, err
			}
			rec.printf("worker %s starts", m.worker.id)
		}
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(5 * time.Second)
	calm.Store(true)
	rec.printf("steady state from here on")
	time.Sleep(30 * time.Second)
	stop.Store(true)
	wg.Wait()
	what := fmt.Sprintf("in steady state the first route served %d of %d requests (%.2f), the route that was added later %d of %d (%.2f)",
		first.served.Load(), first.sent.Load(), first.share(), later.served.Load(), later.sent.Load(), later.share())
	return verdict{later.sent.Load() >= 20 && later.share() < first.share()/4, what}, nil
}
