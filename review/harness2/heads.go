package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// slowHead: clients send a further request before the first has been answered, and its
// head takes longer than usual, within the config's header_timeout_s.
func slowHead(f *fleet, trouble bool) verdict {
	workers, err := small(f, 3, 20*time.Millisecond)
	if err != nil {
		return verdict{err: err}
	}
	l := pageLimits
	l.HeaderTimeoutS = 10
	f.store.putConfig(7, l, route{"r-rge9itf", mapHost, "/leny950/", "safe", "huvo11a", 9})
	time.Sleep(4 * time.Second)
	for _, w := range workers {
		w.slowWork.Store(int64(7 * time.Second))
	}
	var lost atomic.Int64
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			if !pipelined(f.nodes[i%len(f.nodes)], trouble) {
				lost.Add(1)
			}
		})
	}
	clients.Wait()
	return verdict{broken: lost.Load() > 3, text: fmt.Sprintf("%d of 6 requests were passed on and got no answer, their connections were closed", lost.Load())}
}

// pipelined sends a request, and a second one behind it whose head takes 8 s if it is
// slow. It reports whether the first one is answered.
func pipelined(n *node, slow bool) bool {
	conn, err := net.Dial("tcp", n.caller)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	first, second := newID(), newID()
	head := func(id string) string {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer %s\r\n\r\n", mapPath, mapHost, id, apiKey(0))
	}
	reader := bufio.NewReader(conn)
	// The connection serves a first request, so that it is a kept one.
	before := newID()
	if _, err := conn.Write([]byte(strings.Replace(head(before), mapPath, mapQuick, 1))); err != nil {
		return false
	}
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusOK {
		return false
	} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	n.fleet.record.add("client sends %s to %s, behind it the head of %s", first, n.name, second)
	if _, err := conn.Write([]byte(head(first))); err != nil {
		return false
	}
	go func() {
		text := head(second)
		if !slow {
			_, _ = conn.Write([]byte(text))
			return
		}
		for i := range 8 {
			part := len(text) / 8
			end := (i + 1) * part
			if i == 7 {
				end = len(text)
			}
			if _, err := conn.Write([]byte(text[i*part : end])); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		n.fleet.record.add("client of %s gets no answer: %v", first, err)
		return false
	}
	_ = resp.Body.Close()
	n.fleet.record.add("client of %s gets %d, request %s", first, resp.StatusCode, resp.Header.Get("X-Request-Id"))
	return true
}

// optionsStar: a client asks for what no route matches.
func optionsStar(f *fleet, trouble bool) verdict {
	if _, err := small(f, 1, 20*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	target := "/never/"
	if trouble {
		target = "*"
	}
	conn, err := net.Dial("tcp", f.nodes[0].caller)
	if err != nil {
		return verdict{err: err}
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", target, mapHost, newID())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return verdict{err: err}
	}
	_ = resp.Body.Close()
	stamp := resp.Header.Get("X-Server-Stamp")
	return verdict{broken: resp.StatusCode/100 == 2 && stamp == "", text: fmt.Sprintf("OPTIONS %s: status %d, stamp %q", target, resp.StatusCode, stamp)}
}
