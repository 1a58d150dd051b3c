package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	uploadMachines = 30
	uploadOwners   = 3
	uploadMemoryMB = 284
	uploadBytes    = 4 << 20
	uploadGap      = 400 * time.Millisecond // between two uploads of one machine's clients
	uploadWork     = 260 * time.Millisecond
	slowFactor     = 12
	slowFor        = 9 * time.Second
	// lostAllowed is the number that LOST allows of requests lost on kept connections.
	lostAllowed = 3
)

// playUploads has clients on all machines upload bodies to a service of which one worker
// turns slow for some seconds. The platform kills a process that holds more than its machine's memory.
func playUploads(dir string, rec *recorder, trouble bool) (verdict, error) {
	var services []string
	for i := range uploadMachines {
		service := "vitrina"
		if i < uploadOwners {
			service = "grafica"
		}
		services = append(services, service)
	}
	f, err := newFleet(dir, services, uploadMemoryMB, rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	f.putConfig(1, []route{
		{host: "up.example", prefix: "/artwork/", service: "grafica", kind: "upload", timeout: 4},
		{host: "read.example", prefix: "/catalog/", service: "vitrina", kind: "safe", timeout: 4},
	}, []string{"key-1"})
	var mu sync.Mutex
	arrived := map[string]string{}
	var slow atomic.Bool
	for _, m := range f.machines {
		m.worker = &worker{
			id: "i-" + m.name, service: m.service, zone: m.zone, address: m.at(f.ports.app), control: m.at(f.ports.control), slots: 65,
			work: func(r *http.Request) time.Duration {
				if m == f.machines[0] && slow.Load() {
					return slowFactor * uploadWork
				}
				return uploadWork
			},
			onArrival: func(a arrival) {
				rec.printAt(a.at, "worker %s runs %s", a.worker, a.id)
				mu.Lock()
				arrived[a.id] = a.worker
				mu.Unlock()
			},
		}
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

	var stop atomic.Bool
	var wg sync.WaitGroup
	var lost atomic.Int64
	answers := map[string]int{}
	note := func(m *machine, kind string, r reply) {
		mu.Lock()
		answers[kind+" "+strconv.Itoa(r.status)]++
		worker, passed := arrived[r.id]
		mu.Unlock()
		if r.connected {
			rec.noteReply(m, kind, r)
		}
		if r.status == 0 && r.kept && r.whole && passed {
			lost.Add(1)
			rec.printf("LOST: %s of a client at %s was passed on to %s, and its kept connection ended without an answer: %v", r.id, m.name, worker, r.err)
		}
	}
	body := make([]byte, uploadBytes)
	for _, m := range f.machines {
		for range 6 {
			wg.Go(func() {
				c := &client{address: m.outbound, host: "read.example", key: "key-1"}
				defer c.close()
				for !stop.Load() {
					r := c.do(http.MethodGet, "/catalog/2f", nil, 5*time.Second)
					note(m, "read", r)
					if r.status != http.StatusOK {
						time.Sleep(500 * time.Millisecond)
					}
				}
			})
		}
		wg.Go(func() {
			for !stop.Load() {
				wg.Go(func() {
					c := &client{address: m.outbound, host: "up.example", key: "key-1"}
					defer c.close()
					note(m, "upload", c.do(http.MethodPost, "/artwork/2f", body, 4*time.Second))
				})
				time.Sleep(uploadGap)
			}
		})
	}
	go func() {
		time.Sleep(6 * time.Second)
		if trouble {
			rec.printf("the worker of grafica beside %s, one of %d, turns slow, %d times", f.machines[0].name, uploadOwners, slowFactor)
			slow.Store(true)
			time.Sleep(slowFor)
			slow.Store(false)
			rec.printf("it is as fast as before")
		}
	}()
	peak, kills := map[string]float64{}, map[string]int{}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range f.machines {
			mb := m.anonMB()
			peak[m.name] = max(peak[m.name], mb)
			if mb > uploadMemoryMB {
				kills[m.name]++
				rec.printf("node %s holds %.0f MiB of %d, the platform kills it", m.name, mb, uploadMemoryMB)
				m.signal(syscall.SIGKILL, false)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	stop.Store(true)
	wg.Wait()
	killed, most := 0, 0.0
	for _, m := range f.machines {
		rec.printf("node %s held at most %.0f MiB and was killed %d times", m.name, peak[m.name], kills[m.name])
		killed += kills[m.name]
		most = max(most, peak[m.name])
	}
	for what, n := range answers {
		rec.printf("answers to %s: %d", what, n)
	}
	what := fmt.Sprintf("a node held up to %.0f of %d MiB, %d kills for memory, %d requests lost on kept connections (%d are allowed)",
		most, uploadMemoryMB, killed, lost.Load(), lostAllowed)
	return verdict{lost.Load() > lostAllowed, what}, nil
}
