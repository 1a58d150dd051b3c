package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const settleTime = 3500 * time.Millisecond // until nodes and workers know each other

// hupWhileStopping: a node gets SIGTERM, and, while it serves the requests that it has
// taken, SIGHUP. Rule LOST.
func hupWhileStopping(f *fleet, trouble bool) error {
	const (
		perSecond = 25
		lead      = time.Second
		hupAfter  = time.Second
		// Clients on the machine get no new work after two missed questions, one a second.
		lastRequest = 1900 * time.Millisecond
	)
	err := f.putConfig(1, 15, []tenant{{"golf", "key-golf", 0, 0}}, []route{
		{host: "app.example", prefix: "/subscribe/", service: "avisos", kind: "non_idempotent", targetS: 1.5, timeoutS: 5},
	})
	if err != nil {
		return err
	}
	workers, err := f.startNodes(3, "avisos", 53, 400*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	n := f.nodes[0]
	var (
		mu      sync.Mutex
		results []result
		clients sync.WaitGroup
	)
	began := time.Now()
	time.AfterFunc(lead, func() { n.signal(syscall.SIGTERM) })
	if trouble {
		time.AfterFunc(lead+hupAfter, func() {
			n.logLevel = "warn"
			if err := n.writeSettings(); err == nil {
				n.signal(syscall.SIGHUP)
			}
		})
	}
	for i := 0; time.Since(began) < lead+lastRequest; i++ {
		clients.Go(func() {
			r := f.send(oneShotClient(6*time.Second), n, request{
				method: http.MethodPost, host: "app.example", path: "/subscribe/7", key: "key-golf",
				id: fmt.Sprintf("sub-%03d", i), deadline: 5 * time.Second, body: []byte(`{"warn":"storm"}`),
			})
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	ran := map[string]bool{}
	for _, w := range workers {
		for _, a := range w.runs() {
			ran[a.id] = true
		}
	}
	lost := 0
	for _, r := range results {
		if r.status == 0 && ran[r.id] {
			lost++
			f.record.logf("LOST: %s was read whole and passed on to a worker, and its connection ended without an answer", r.id)
		}
	}
	f.record.logf("%d requests sent, %d lost", len(results), lost)
	if len(results) < perSecond {
		return errCannotRun
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d of %d requests", errBroken, lost, len(results))
	}
	return nil
}

// callsCutAtStop: a node gets SIGTERM while the worker beside it runs requests that make
// calls. Rule LOST.
func callsCutAtStop(f *fleet, trouble bool) error {
	const (
		timeLimit = 6 * time.Second // of requests; as in aareflot-sched
		ownWork   = 100 * time.Millisecond
		calls     = 8 // of a run, one after the other
		callWork  = 700 * time.Millisecond
		callLimit = 3 * time.Second
		perSecond = 20
		lead      = 3 * time.Second
		// A call that was sent later than this after the SIGTERM counts although its
		// worker is still at work in the last sixth of the grace period.
		countsFrom = 3 * time.Second
		lossSlack  = 200 * time.Millisecond
	)
	err := f.putConfig(1, 15, []tenant{{"farm", "key-farm", 0, 0}}, []route{
		{host: "app.example", prefix: "/voyage/", service: "logbook", kind: "non_idempotent", targetS: 2, timeoutS: timeLimit.Seconds()},
		{host: "in.example", prefix: "/roster/", service: "booker", kind: "safe", public: true, targetS: 1.2, timeoutS: callLimit.Seconds(), priority: 2},
	})
	if err != nil {
		return err
	}
	fronts, err := f.startNodes(2, "logbook", 96, ownWork)
	if err != nil {
		return err
	}
	if _, err := f.startNodes(2, "booker", 104, callWork); err != nil {
		return err
	}
	var (
		mu      sync.Mutex
		results []result // of calls made beside the node that stops
	)
	stopping := f.nodes[0]
	for i, w := range fronts {
		n := f.nodes[i]
		w.calls = calls
		w.call = func(id string, remaining time.Duration) bool {
			r := f.send(oneShotClient(callLimit), n, request{
				method: http.MethodGet, host: "in.example", path: "/roster/7", id: id, deadline: min(remaining, callLimit),
			})
			if n == stopping {
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
			return r.status == http.StatusOK
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var (
		clients sync.WaitGroup
		termAt  time.Time
	)
	began := time.Now()
	for i := 0; time.Since(began) < lead; i++ {
		clients.Go(func() {
			f.send(oneShotClient(timeLimit), f.nodes[1+i%3], request{
				method: http.MethodPost, host: "app.example", path: "/voyage/7", key: "key-farm", id: fmt.Sprintf("voyage-%03d", i),
				deadline: timeLimit, body: []byte("{}"),
			})
		})
		time.Sleep(time.Second / perSecond)
	}
	termAt = time.Now()
	if trouble {
		stopping.signal(syscall.SIGTERM)
	}
	clients.Wait()
	lost := 0
	mu.Lock()
	defer mu.Unlock()
	for _, r := range results {
		after := r.sent.Sub(termAt)
		read := r.ended.Sub(r.sent) > lossSlack // the connection was not refused
		if r.status == 0 && read && after > countsFrom && r.ended.Before(termAt.Add(gracePeriod+time.Second)) {
			lost++
			f.record.logf("LOST: %s, sent %.3f s after the SIGTERM, was taken and its connection ended %.3f s later without an answer",
				r.id, after.Seconds(), r.ended.Sub(r.sent).Seconds())
		}
	}
	f.record.logf("%d calls were sent through the node, %d lost", len(results), lost)
	if len(results) == 0 {
		return errCannotRun
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d of %d calls", errBroken, lost, len(results))
	}
	return nil
}

// longWorkGivenUp: a node that has got SIGTERM takes requests whose work takes long while
// workers answer others. Rule LOST.
func longWorkGivenUp(f *fleet, trouble bool) error {
	const (
		slots     = 60
		work      = 50 * time.Millisecond
		perSecond = 400 // short requests, of other machines' clients
		warmUp    = 6 * time.Second
		reports   = 10
		timeLimit = 5 * time.Second
		trafficed = warmUp + 6*time.Second
	)
	err := f.putConfig(1, 15, []tenant{{"fish", "key-fish", 0, 0}}, []route{
		{host: "app.example", prefix: "/slots/", service: "planner", kind: "safe", targetS: 1.5, timeoutS: timeLimit.Seconds()},
	})
	if err != nil {
		return err
	}
	workers, err := f.startNodes(3, "planner", slots, work)
	if err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	ask := func(client *http.Client, n *node, path, id string) result {
		return f.send(client, n, request{method: http.MethodGet, host: "app.example", path: path, key: "key-fish", id: id, deadline: timeLimit})
	}
	var (
		mu      sync.Mutex
		results []result
		clients sync.WaitGroup
	)
	stopping := f.nodes[0]
	client := &http.Client{Timeout: timeLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	began := time.Now()
	time.AfterFunc(warmUp, func() {
		if trouble {
			stopping.signal(syscall.SIGTERM)
		}
	})
	clients.Go(func() {
		time.Sleep(warmUp + 200*time.Millisecond)
		for i := range reports {
			clients.Go(func() {
				r := ask(oneShotClient(timeLimit), stopping, "/slots/report/"+fmt.Sprint(i), fmt.Sprintf("report-%02d", i))
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			})
			time.Sleep(150 * time.Millisecond) // the last one before the second missed question
		}
	})
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for i := 0; time.Since(began) < trafficed; i++ {
		<-ticker.C
		clients.Go(func() { ask(client, f.nodes[1+i%2], "/slots/7/"+fmt.Sprint(i), fmt.Sprintf("slot-%05d", i)) })
	}
	clients.Wait()
	ran := map[string]bool{}
	for _, w := range workers {
		for _, a := range w.runs() {
			ran[a.id] = true
		}
	}
	brokenOff := 0
	for _, r := range results {
		if ran[r.id] && !r.stamped && r.ended.Sub(r.sent) < timeLimit {
			brokenOff++
			f.record.logf("%s: its worker was at work; the client got %d of the node's own after %.3f s of %s", r.id, r.status,
				r.ended.Sub(r.sent).Seconds(), timeLimit)
		}
	}
	f.record.logf("%d reports were sent, %d broken off", len(results), brokenOff)
	switch {
	case len(results) < reports:
		return errCannotRun
	case trouble && brokenOff > 0: // the rule speaks of the time after a SIGTERM only
		return fmt.Errorf("%w: LOST: %d of %d requests", errBroken, brokenOff, len(results))
	}
	return nil
}

// queueAfterLeaving: many calls wait at the node of a worker that deregisters. Rule
// DRAIN.
func queueAfterLeaving(f *fleet, trouble bool) error {
	const (
		slots    = 8
		work     = 200 * time.Millisecond
		calls    = 220
		deadline = 3 * time.Second
		// The worker exits a little later than drain_period_s after the confirmation.
		exitAfter = drainPeriod + 300*time.Millisecond
	)
	err := f.putConfig(1, 15, []tenant{{"farm", "key-farm", 0, 0}}, []route{
		{host: "in.example", prefix: "/roster/", service: "booker", kind: "safe", public: true, targetS: 1.2, timeoutS: deadline.Seconds(), priority: 2},
	})
	if err != nil {
		return err
	}
	workers, err := f.startNodes(2, "booker", slots, work)
	if err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var clients sync.WaitGroup
	send := func(prefix string, n int) {
		for i := range n {
			clients.Go(func() {
				f.send(oneShotClient(4*time.Second), f.nodes[i%2], request{
					method: http.MethodGet, host: "in.example", path: "/roster/7", id: fmt.Sprintf("%s-%03d", prefix, i), deadline: deadline,
				})
			})
		}
	}
	for i := range 8 { // the nodes learn how long the work takes
		send(fmt.Sprintf("warm%d", i), 2*slots)
		clients.Wait()
	}
	send("call", calls)
	time.Sleep(150 * time.Millisecond) // until all of them have got to the queues
	leaver := workers[0]
	var confirmed time.Time
	if trouble {
		if !leaver.deregister() {
			return errCannotRun
		}
		confirmed = time.Now()
		time.AfterFunc(exitAfter, leaver.exit)
	}
	clients.Wait()
	if !trouble {
		return nil
	}
	late := 0
	for _, a := range leaver.runs() {
		if a.at.Sub(confirmed) > drainPeriod {
			late++
			f.record.logf("DRAIN: %s reached worker %s %.3f s after the confirmation", a.id, leaver.id, a.at.Sub(confirmed).Seconds())
		}
	}
	f.record.logf("%d calls sent, %d reached the worker later than %s after the confirmation", calls, late, drainPeriod)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests", errBroken, late)
	}
	return nil
}

// quotaAfterLowering: the operator lowers a tenant's allotment; seconds later the store is
// down for a while. Rule QUOTA.
func quotaAfterLowering(f *fleet, trouble bool) error {
	const (
		before     = 240 // requests a second that the tenant may send at first, and their burst
		after      = 4
		perSecond  = 210
		trafficLen = 36 * time.Second
		lowerAt    = 14 * time.Second
		bindsAt    = lowerAt + configApply + quotaWindow
		downAt     = bindsAt + 200*time.Millisecond
		downFor    = 4500 * time.Millisecond
	)
	routes := []route{{host: "app.example", prefix: "/map/", service: "mapas", kind: "safe", targetS: 1.5, timeoutS: 5, priority: 2}}
	if err := f.putConfig(1, 15, []tenant{{"golf", "key-golf", before, before}}, routes); err != nil {
		return err
	}
	workers, err := f.startNodes(3, "mapas", 40, 10*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		sent    = map[string]time.Time{}
	)
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	began := time.Now()
	time.AfterFunc(lowerAt, func() { _ = f.putConfig(2, 15, []tenant{{"golf", "key-golf", after, after}}, routes) })
	if trouble {
		time.AfterFunc(downAt, func() {
			f.record.logf("platform: the store answers nothing")
			f.store.hang(true)
		})
		time.AfterFunc(downAt+downFor, func() {
			f.store.hang(false)
			f.record.logf("platform: the store answers again")
		})
	}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for i := 0; time.Since(began) < trafficLen; i++ {
		<-ticker.C
		clients.Go(func() {
			id := fmt.Sprintf("map-%05d", i)
			r := f.send(client, f.nodes[i%len(f.nodes)], request{
				method: http.MethodGet, host: "app.example", path: "/map/7", key: "key-golf", id: id, deadline: 5 * time.Second,
			})
			mu.Lock()
			sent[id] = r.sent
			mu.Unlock()
		})
	}
	clients.Wait()
	var runs []arrival
	for _, w := range workers {
		for _, a := range w.runs() {
			if sent[a.id].Sub(began) >= bindsAt { // both sent and arrived in the window
				runs = append(runs, a)
			}
		}
	}
	slices.SortFunc(runs, func(a, b arrival) int { return a.at.Compare(b.at) })
	allowed := (after*quotaWindow.Seconds()+after)*(1+quotaOver) + quotaSlack
	most, mostAt := 0, time.Time{}
	for i, first := range runs {
		n := 0
		for _, a := range runs[i:] {
			if a.at.Sub(first.at) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, mostAt = n, first.at
		}
	}
	f.record.logf("at most %d requests in %s, from %.3f s after the start of traffic; allowed: %.1f", most, quotaWindow, mostAt.Sub(began).Seconds(), allowed)
	if float64(most) > allowed {
		return fmt.Errorf("%w: QUOTA: %d requests in %s, allowed are %.1f", errBroken, most, quotaWindow, allowed)
	}
	return nil
}
