package main

import (
	"fmt"
	"net/http"
	"time"
)

// deniedAllowed is the number of such answers that DENIED allows, of few requests.
const deniedAllowed = 5

// playTenants changes to a config without tenants; requests then carry no key.
func playTenants(dir string, rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(dir, []string{"vitrina", "vitrina", "vitrina"}, 284, rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	routes := []route{{host: "first.example", prefix: "/catalog/", service: "vitrina", kind: "safe", timeout: 4}}
	f.putConfig(1, routes, []string{"key-1"})
	for _, m := range f.machines {
		m.worker = &worker{id: "i-" + m.name, service: m.service, zone: m.zone, address: m.at(f.ports.app), control: m.at(f.ports.control),
			slots: 36, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }, onArrival: func(a arrival) { rec.printAt(a.at, "worker %s runs %s", a.worker, a.id) }}
		if err := m.worker.start(); err != nil {
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
	key := "key-1"
	if trouble {
		f.putConfig(2, routes, nil)
		rec.printf("config 2 is confirmed: it contains no tenants")
		key = ""
	}
	time.Sleep(3 * time.Second)
	counts := map[int]int{}
	for _, m := range f.machines {
		c := &client{address: m.outbound, host: "first.example", key: key}
		for range 20 {
			r := c.do(http.MethodGet, "/catalog/2f", nil, 5*time.Second)
			rec.noteReply(m, "read", r)
			counts[r.status]++
		}
		c.close()
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	denied := counts[http.StatusUnauthorized]
	return verdict{denied > deniedAllowed, fmt.Sprintf("%d of %d proper requests were ended with 401 (%d are allowed)", denied, total, deniedAllowed)}, nil
}
