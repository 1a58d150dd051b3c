package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// spoiledShare is the share of its answers that a faulty worker spoils.
const spoiledShare = 0.3

// playHTTP10 has one of three workers spoil a part of its answers: the bytes are an HTTP/1.0
// head with a chunked body, which is no response of HTTP/1.1, and come in two pieces.
func playHTTP10(dir string, rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(dir, []string{"vitrina", "vitrina", "vitrina"}, 284, rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	f.putConfig(1, []route{{host: "first.example", prefix: "/catalog/", service: "vitrina", kind: "safe", timeout: 4}}, []string{"key-1"})
	var spoiled atomic.Int64
	for i, m := range f.machines {
		var answers atomic.Int64
		m.worker = &worker{id: "i-" + m.name, service: m.service, zone: m.zone, address: m.at(f.ports.app), control: m.at(f.ports.control),
			slots: 36, work: func(*http.Request) time.Duration { return 30 * time.Millisecond },
			onArrival: func(a arrival) { rec.printAt(a.at, "worker %s runs %s", a.worker, a.id) },
		}
		if i == 0 && trouble {
			m.worker.spoil = func(id, stamp, body string) []string {
				if float64(answers.Add(1)%10) >= 10*spoiledShare {
					return nil
				}
				spoiled.Add(1)
				rec.printf("worker %s spoils its answer to %s", m.worker.id, id)
				return []string{"HTTP/1.0", fmt.Sprintf(" 200 OK\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
					id, stamp, len(body), body)}
			}
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
	var wg sync.WaitGroup
	var sent, wrong atomic.Int64
	end := time.Now().Add(8 * time.Second)
	for _, m := range f.machines {
		for range 3 {
			wg.Go(func() {
				c := &client{address: m.outbound, host: "first.example", key: "key-1"}
				defer c.close()
				for time.Now().Before(end) {
					r := c.do(http.MethodGet, "/catalog/2f", nil, 5*time.Second)
					rec.noteReply(m, "read", r)
					sent.Add(1)
					if r.status == http.StatusOK && !strings.HasSuffix(r.server, " read 0 bytes of "+r.id+"\n") || r.status == http.StatusOK && !strings.HasPrefix(r.server, "i-") {
						wrong.Add(1)
						rec.printf("MIXED: the answer to %s is a success with the body %q", r.id, r.server)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return verdict{wrong.Load() > 0, fmt.Sprintf("%d of %d requests got a success with a body that isn't the worker's; %d answers were spoiled",
		wrong.Load(), sent.Load(), spoiled.Load())}, nil
}
