package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/standin"
	"github.com/gooseberryflow/gooseberryflow/internal/wait"
)

// Phase is a part of a run with constant conditions.
type Phase struct {
	Name   string
	Length time.Duration
	// DemandFactor multiplies every customer's demand.
	DemandFactor float64
	// Slowdown multiplies the service time of the bottleneck.
	Slowdown float64
}

// arrival is one root request of the schedule.
type arrival struct {
	at       time.Duration
	customer string
	request  Request
	id       string
	key      string
	entry    int
	phase    int
}

// sample is the result of one root request.
type sample struct {
	arrival
	priority  config.Priority
	succeeded bool
	latency   time.Duration
	attempts  int
	// rateRefusals counts attempts refused for the rate limit; wrongfulRefusals
	// counts those of them that an ideal central token bucket would have admitted.
	rateRefusals     int
	wrongfulRefusals int
	// lastReason is the reason why the last attempt failed.
	lastReason string
	// refusedWithinRate is set if the last attempt was refused as not run although
	// all attempts were within the customer's rate.
	refusedWithinRate bool
}

// schedule draws all arrivals in advance, so that both chains get the same load.
func schedule(d Deployment, phases []Phase, instances int, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 2))
	var list []arrival
	start := time.Duration(0)
	for i, p := range phases {
		for _, c := range d.Customers {
			list = append(list, arrivalsOf(d, c, p, i, start, instances, rng)...)
		}
		start += p.Length
	}
	sort.Slice(list, func(a, b int) bool { return list[a].at < list[b].at })
	return list
}

func arrivalsOf(d Deployment, c Customer, p Phase, phase int, start time.Duration, instances int, rng *rand.Rand) []arrival {
	var list []arrival
	rate := c.Demand * p.DemandFactor
	for at := exponential(rng, rate); at < p.Length; at += exponential(rng, rate) {
		list = append(list, arrival{
			at:       start + at,
			customer: c.Name,
			request:  pickRequest(d.Requests, rng.Float64()),
			id:       strconv.FormatUint(rng.Uint64(), 36),
			entry:    rng.IntN(instances),
			phase:    phase,
		})
	}
	return list
}

func exponential(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) / rate * float64(time.Second))
}

func pickRequest(requests []Request, x float64) Request {
	for _, r := range requests {
		if x < r.Share {
			return r
		}
		x -= r.Share
	}
	return requests[len(requests)-1]
}

// tokenBucket is an ideal central token bucket, the reference for rate refusals.
type tokenBucket struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.After(b.last) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// clients send the requests of all customers to a fleet.
type clients struct {
	fleet   *Fleet
	client  *http.Client
	buckets map[string]*tokenBucket
	// maxAttempts bounds the attempts for one request; backoff is the mean time
	// between them, and timeout bounds the whole request. The clients ignore
	// Retry-After.
	maxAttempts int
	backoff     time.Duration
	timeout     time.Duration
}

const (
	defaultMaxAttempts  = 10
	defaultMeanBackoff  = 50 * time.Millisecond
	maxIdleConnsPerHost = 512
	timeoutFactor       = 2
)

func newClients(f *Fleet) *clients {
	c := &clients{
		fleet:       f,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}},
		buckets:     make(map[string]*tokenBucket),
		maxAttempts: defaultMaxAttempts,
		backoff:     defaultMeanBackoff,
		timeout:     timeoutFactor * f.Deployment.Deadline,
	}
	now := time.Now()
	for _, customer := range f.Deployment.Customers {
		c.buckets[customer.Name] = &tokenBucket{
			rate: customer.Rate, burst: customer.Burst, tokens: customer.Burst, last: now,
		}
	}
	return c
}

// run sends all arrivals at their times and waits for the last response.
func (c *clients) run(ctx context.Context, arrivals []arrival, started time.Time) []sample {
	samples := make([]sample, len(arrivals))
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !wait.For(ctx, time.Until(started.Add(a.at))) {
			samples = samples[:i]
			break
		}
		wg.Go(func() { samples[i] = c.send(ctx, a) })
	}
	wg.Wait()
	return samples
}

// send makes up to maxAttempts attempts for one request.
func (c *clients) send(ctx context.Context, a arrival) sample {
	route := c.fleet.Deployment.route(a.request.Route)
	s := sample{arrival: a, priority: route.Priority}
	a.key = newKey()
	started := time.Now()
	withinRate := true
	for s.attempts < c.maxAttempts && time.Since(started) < c.timeout {
		s.attempts++
		withinCentralRate := c.buckets[a.customer].take(time.Now())
		withinRate = withinRate && withinCentralRate
		result := c.attempt(ctx, a, route)
		if result.complete {
			s.succeeded = time.Since(started) <= c.timeout
			break
		}
		s.recordFailure(result, withinCentralRate, withinRate)
		backoff := time.Duration(rand.Int64N(int64(2 * c.backoff)))
		if !wait.For(ctx, backoff) {
			break
		}
	}
	s.latency = time.Since(started)
	return s
}

// newKey returns a new idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (s *sample) recordFailure(result attemptResult, withinCentralRate, withinRate bool) {
	s.refusedWithinRate = result.notRun && withinRate
	s.lastReason = cmp.Or(result.reason, "upstream-answer")
	if result.reason != "rate" {
		return
	}
	s.rateRefusals++
	if withinCentralRate {
		s.wrongfulRefusals++
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	complete bool
	notRun   bool
	reason   string
}

// attempt sends the request once, to a random node.
func (c *clients) attempt(ctx context.Context, a arrival, route Route) attemptResult {
	n := len(c.fleet.Instances)
	return c.attemptAt(ctx, (a.entry+rand.IntN(n))%n, a, route)
}

func (c *clients) attemptAt(ctx context.Context, instance int, a arrival, route Route) attemptResult {
	ctx, stop := context.WithTimeout(ctx, c.fleet.Deployment.Deadline)
	defer stop()
	entry := c.fleet.Instances[instance]
	path := "/" + route.Service + strings.ReplaceAll(route.Path, "{id}", a.id)
	req, err := http.NewRequestWithContext(ctx, route.Method, "http://"+entry.Node.Member().CallerAddr+path, nil)
	if err != nil {
		return attemptResult{}
	}
	req.Header.Set("Authorization", "Bearer "+c.fleet.Keys[a.customer])
	if !route.Idempotent {
		req.Header.Set("Idempotency-Key", a.key)
		req.Body = io.NopCloser(strings.NewReader("{}"))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return attemptResult{reason: "caller-timeout"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return attemptResult{
		complete: err == nil && resp.StatusCode == http.StatusOK && isComplete(body, a),
		notRun:   resp.Header.Get("Gooseberry-Outcome") == "not-run",
		reason:   resp.Header.Get("Gooseberry-Reason"),
	}
}

// isComplete reports whether the response belongs to the request and contains the
// responses of all nested calls.
func isComplete(body []byte, a arrival) bool {
	var response standin.Response
	if json.Unmarshal(body, &response) != nil {
		return false
	}
	return countResponses(response, a.id) == a.request.TreeSize
}

// countResponses counts the responses in the call tree that belong to the request.
func countResponses(a standin.Response, id string) int {
	if !strings.HasSuffix(a.Path, "/"+id) {
		return 0
	}
	n := 1
	for _, nested := range a.NestedResponses {
		n += countResponses(nested, id)
	}
	return n
}
