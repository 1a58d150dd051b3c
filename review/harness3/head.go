package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headTimeoutS = 8 // header_timeout_s of the config in force
	headTakes    = 7 * time.Second
	longWork     = 6500 * time.Millisecond
)

// playHead raises header_timeout_s and has clients take long, within it, to send the head of a
// further safe request, while a worker is at work on the one before.
func playHead(dir string, rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(dir, []string{"vitrina", "vitrina", "vitrina"}, 284, rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	routes := []route{{host: "first.example", prefix: "/catalog/", service: "vitrina", kind: "safe", timeout: 9}}
	f.headerTimeoutS = headTimeoutS
	f.putConfig(1, routes, []string{"key-1"})
	var mu sync.Mutex
	arrived := map[string]string{}
	for _, m := range f.machines {
		m.worker = &worker{id: "i-" + m.name, service: m.service, zone: m.zone, address: m.at(f.ports.app), control: m.at(f.ports.control),
			slots: 36, work: func(r *http.Request) time.Duration {
				if r.URL.Path == "/catalog/long" {
					return longWork
				}
				return 30 * time.Millisecond
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
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var lost, answered, requests atomic.Int64
	for _, m := range f.machines {
		for range 4 {
			wg.Go(func() {
				conn, err := net.Dial("tcp", m.outbound)
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				in := bufio.NewReader(conn)
				id := func() string { return "p" + strconv.FormatInt(nextRequest.Add(1), 16) }
				head := func(id, path string) string {
					return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: first.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer key-1\r\n\r\n", path, id)
				}
				read := func(id string) bool {
					requests.Add(1)
					resp, err := http.ReadResponse(in, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					mu.Lock()
					worker, passed := arrived[id]
					mu.Unlock()
					if err != nil {
						rec.printf("client at %s: %s got no whole answer: %v", m.name, id, err)
						if passed {
							lost.Add(1)
							rec.printf("LOST: %s was passed on to %s, and its kept connection ended without an answer", id, worker)
						}
						return false
					}
					answered.Add(1)
					rec.printf("client at %s: %s answered %d", m.name, id, resp.StatusCode)
					return true
				}
				first, long, next := id(), id(), id()
				_, _ = io.WriteString(conn, head(first, "/catalog/short"))
				if !read(first) {
					return
				}
				rec.printf("client at %s sends %s", m.name, long)
				_, _ = io.WriteString(conn, head(long, "/catalog/long"))
				text := head(next, "/catalog/short")
				time.Sleep(200 * time.Millisecond)
				rec.printf("client at %s begins to send the head of %s", m.name, next)
				wg.Go(func() {
					pieces := 1
					if trouble {
						pieces = 10
					}
					for i := range pieces {
						if i > 0 {
							time.Sleep(headTakes / time.Duration(pieces))
						}
						if _, err := io.WriteString(conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
							return
						}
					}
					rec.printf("client at %s has sent the head of %s", m.name, next)
				})
				if read(long) {
					read(next)
				}
			})
		}
	}
	wg.Wait()
	return verdict{lost.Load() > lostAllowed, fmt.Sprintf("%d of %d requests were passed on and lost with their kept connection (%d are allowed), %d answered",
		lost.Load(), requests.Load(), lostAllowed, answered.Load())}, nil
}

// lostAllowed is the number of such requests that LOST allows.
const lostAllowed = 3
