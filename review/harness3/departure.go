package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	lateWrite    = 4 * time.Second
	lateCheckIn  = 3500 * time.Millisecond
	stableWindow = 3 * time.Second
	gracePeriod  = 6 * time.Second
)

// playDeparture has the store do a write of a node's record seconds late, after the node has
// acknowledged that its worker has left, and kills the node then.
func playDeparture(dir string, rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(dir, []string{"vitrina", "vitrina", "vitrina", "vitrina", "vitrina", "vitrina"}, 284, rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	f.rate = 2000
	f.putConfig(1, []route{{host: "first.example", prefix: "/catalog/", service: "vitrina", kind: "safe", timeout: 4}}, []string{"key-1"})
	var mu sync.Mutex
	var arrivals []arrival
	for _, m := range f.machines {
		m.worker = &worker{id: "i-" + m.name, service: m.service, zone: m.zone, address: m.at(f.ports.app), control: m.at(f.ports.control),
			slots: 36, work: func(*http.Request) time.Duration { return 60 * time.Millisecond },
			onArrival: func(a arrival) {
				rec.printAt(a.at, "worker %s runs %s", a.worker, a.id)
				mu.Lock()
				arrivals = append(arrivals, a)
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
	time.Sleep(8 * time.Second)
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
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	m, other := f.machines[0], f.machines[2]
	done := make(chan struct{})
	if trouble {
		var lost atomic.Bool
		f.store.mu.Lock()
		f.store.lose = func(key string) time.Duration {
			if key != m.name || !lost.CompareAndSwap(false, true) {
				return 0
			}
			rec.printf("the store answers nothing to a write of %s and does it %s later", m.name, lateWrite)
			return lateWrite
		}
		f.store.onLate = func() { close(done) }
		f.store.mu.Unlock()
	}
	// Planned work at another machine, after which the partitions of the group are dealt anew.
	rec.printf("%s gets SIGTERM", other.name)
	other.stopNode(gracePeriod)
	time.Sleep(3 * time.Second)
	w := m.worker
	w.stopBeat()
	w.beats.Wait()
	late := w.message() // on its way from now on
	time.Sleep(200 * time.Millisecond)
	w.leaving.Store(true)
	var acked time.Time
	for tries := 0; tries < 5 && acked.IsZero(); tries++ {
		status, err := w.send(context.Background(), "deregister", []byte("{}"))
		rec.printf("worker %s deregisters: answer %d %v", w.id, status, err)
		if err == nil && status/100 == 2 {
			acked = time.Now()
		}
	}
	if acked.IsZero() {
		return verdict{}, fmt.Errorf("the leaving was not acknowledged")
	}
	restarted := acked
	if trouble {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			return verdict{}, fmt.Errorf("no write was lost")
		}
		rec.printf("the late write is done %.2f s after the leaving was acknowledged; %s is killed", time.Since(acked).Seconds(), m.name)
		m.signal(syscall.SIGKILL, false)
		restarted = time.Now().Add(restartDelay)
	}
	time.Sleep(max(time.Until(acked.Add(lateCheckIn)), 1200*time.Millisecond))
	status, err := w.send(context.Background(), "heartbeat", late)
	rec.printf("a check-in of %s from before arrives, late: answer %d %v", w.id, status, err)
	time.Sleep(8 * time.Second)
	stop.Store(true)
	wg.Wait()
	from := acked.Add(drainPeriod)
	if calm := restarted.Add(stableWindow); calm.After(from) {
		from = calm
	}
	n := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		if a.worker == w.id && a.at.After(from) {
			n++
		}
	}
	return verdict{n > 0, fmt.Sprintf("%d requests reached the worker later than drain_period_s after its leaving was acknowledged and stable_window_s after the restart", n)}, nil
}
