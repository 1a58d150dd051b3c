package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeatInterval = 1500 * time.Millisecond

// arrival is a request that has reached a worker.
type arrival struct {
	at     time.Time
	id     string
	worker string
	ran    bool
	tenant string
	caller string
}

// worker is the stand-in of one boot of an application worker.
type worker struct {
	id, service, zone, address, control string
	slots                               int
	born                                int64
	ahead                               time.Duration // of the machine's time of day at the start
	work                                func(r *http.Request) time.Duration
	onArrival                           func(arrival)
	// spoil returns the pieces of what is sent in place of an answer with the given stamp and
	// body, or nil; the connection then ends.
	spoil func(id, stamp, body string) []string

	server   *http.Server
	listener net.Listener
	state    atomic.Value // "ready" or "draining"
	leaving  atomic.Bool  // health answers 503
	running  atomic.Int64
	seq      atomic.Int64
	runs     atomic.Int64
	stopBeat context.CancelFunc
	beats    sync.WaitGroup
}

// start opens the worker's address and begins to send heartbeats.
func (w *worker) start() error {
	w.born = time.Now().Add(w.ahead).UnixMilli()
	w.state.Store("ready")
	listener, err := net.Listen("tcp", w.address)
	for tries := 0; err != nil && tries < 40; tries++ {
		time.Sleep(50 * time.Millisecond)
		listener, err = net.Listen("tcp", w.address)
	}
	if err != nil {
		return err
	}
	w.listener = listener
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	var ctx context.Context
	ctx, w.stopBeat = context.WithCancel(context.Background())
	w.beats.Go(func() {
		for {
			_, _ = w.beat(ctx)
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatInterval):
			}
		}
	})
	return nil
}

// crash ends the worker at once: it says nothing.
func (w *worker) crash() {
	w.stopBeat()
	_ = w.server.Close()
	w.beats.Wait()
}

// message returns a check-in with the next number.
func (w *worker) message() []byte {
	body, _ := json.Marshal(map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": map[string]any{"state": w.state.Load(), "seq": w.seq.Add(1), "cold_remaining_s": 0},
	})
	return body
}

// beat sends one check-in and returns the status of its answer.
func (w *worker) beat(ctx context.Context) (int, error) {
	return w.send(ctx, "heartbeat", w.message())
}

// send sends a call to the node on the worker's machine.
func (w *worker) send(ctx context.Context, call string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/-/instances/%s/%s", w.control, w.id, call)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10))
	return resp.StatusCode, err
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", w.id)
		out.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
		if w.leaving.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	a := arrival{at: time.Now(), id: id, worker: w.id, tenant: r.Header.Get("X-Tenant"), caller: r.Header.Get("X-Caller-Service")}
	out.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.ran = true
	w.running.Add(1)
	defer w.running.Add(-1)
	w.onArrival(a)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(w.work(r)):
	case <-r.Context().Done():
		return
	}
	stamp := fmt.Sprintf("%s.%d", w.id, w.runs.Add(1))
	body := fmt.Sprintf("%s read %d bytes of %s\n", w.id, n, id)
	if w.spoil != nil {
		if pieces := w.spoil(id, stamp, body); pieces != nil {
			writePieces(out, pieces)
			return
		}
	}
	out.Header().Set("X-Server-Stamp", stamp)
	out.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	_, _ = io.WriteString(out, body)
}

// pieceGap is the time between two pieces, so that they arrive one by one.
const pieceGap = 30 * time.Millisecond

// writePieces writes bytes in place of a response and closes the connection.
func writePieces(out http.ResponseWriter, pieces []string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, piece := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(pieceGap)
	}
}
