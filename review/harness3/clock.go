package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const drainPeriod = 2 * time.Second

// playClock steps the time of day of one machine back while its worker crashes twice, and
// has that worker leave later, in calm.
func playClock(dir string, rec *recorder, trouble bool) (verdict, error) {
	var services []string
	for range 10 {
		services = append(services, "vitrina")
	}
	f, err := newFleet(dir, services, 284, rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	f.putConfig(1, []route{{host: "first.example", prefix: "/catalog/", service: "vitrina", kind: "safe", timeout: 4}}, []string{"key-1"})
	var mu sync.Mutex
	var arrivals []arrival
	start := func(m *machine, boot int, ahead time.Duration) error {
		w := &worker{
			id: fmt.Sprintf("i-%s-%d", m.name, boot), service: m.service, zone: m.zone, address: m.at(f.ports.app), control: m.at(f.ports.control),
			slots: 36, ahead: ahead, work: func(*http.Request) time.Duration { return 100 * time.Millisecond },
			onArrival: func(a arrival) {
				rec.printAt(a.at, "worker %s runs %s", a.worker, a.id)
				mu.Lock()
				arrivals = append(arrivals, a)
				mu.Unlock()
			},
		}
		m.worker = w
		return w.start()
	}
	for _, m := range f.machines {
		if err := start(m, 1, 0); err != nil {
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
	defer wg.Wait()
	defer stop.Store(true)
	for i, m := range f.machines {
		for k := range 3 {
			wg.Go(func() {
				c := &client{address: m.outbound, host: "first.example", key: "key-1"}
				defer c.close()
				for n := 0; !stop.Load(); n++ {
					r := c.do(http.MethodGet, fmt.Sprintf("/catalog/%d-%d-%d", i, k, n), nil, 5*time.Second)
					rec.noteReply(m, "read", r)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	m := f.machines[0]
	restart := func(boot int, ahead time.Duration) error {
		m.worker.crash()
		rec.printf("worker %s is down", m.worker.id)
		time.Sleep(300 * time.Millisecond)
		if err := start(m, boot, ahead); err != nil {
			return err
		}
		rec.printf("worker %s starts, born %d", m.worker.id, m.worker.born)
		return nil
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = 2 * time.Second
		rec.printf("the time of day of %s jumps ahead by 2 s", m.name)
	}
	if err := restart(2, ahead); err != nil {
		return verdict{}, err
	}
	time.Sleep(900 * time.Millisecond)
	rec.printf("the time of day of %s is right", m.name)
	if err := restart(3, 0); err != nil {
		return verdict{}, err
	}
	time.Sleep(12 * time.Second)
	m.worker.state.Store("draining")
	m.worker.leaving.Store(true)
	var acked time.Time
	for tries := 0; tries < 5 && acked.IsZero(); tries++ {
		status, err := m.worker.beat(context.Background())
		rec.printf("worker %s says that it drains: answer %d %v", m.worker.id, status, err)
		if err == nil && status/100 == 2 {
			acked = time.Now()
		}
	}
	if acked.IsZero() {
		return verdict{}, fmt.Errorf("the leaving was not acknowledged")
	}
	time.Sleep(drainPeriod + 6*time.Second)
	stop.Store(true)
	wg.Wait()
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		if a.worker == m.worker.id && a.at.After(acked.Add(drainPeriod)) {
			late++
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached the worker later than drain_period_s after its leaving was acknowledged", late)}, nil
}
