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

// Phase is a stretch of the run with constant conditions.
type Phase struct {
	Name string
	For  time.Duration
	// Factor multiplies every customer's calm demand.
	Factor float64
	// Slow multiplies the deep service's time.
	Slow float64
}

// arrival is one root request of the schedule.
type arrival struct {
	at       time.Duration
	customer string
	kind     Request
	id       string
	key      string
	entry    int
	phase    int
}

// sample is what became of one root request.
type sample struct {
	arrival
	priority config.Priority
	good     bool
	took     time.Duration
	attempts int
	// rateRefusals counts attempts refused for the rate; wrongful those that
	// a perfect central token bucket would have admitted.
	rateRefusals int
	wrongful     int
	// lastReason is why the last attempt gave no whole answer.
	lastReason string
	// refused is set when the last attempt was refused as not run although
	// every attempt was within the customer's rate.
	refusedWithinRate bool
}

// schedule draws all arrivals in advance, so that both chains get the same.
func schedule(d Deployment, phases []Phase, workers int, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 2))
	var list []arrival
	start := time.Duration(0)
	for i, p := range phases {
		for _, c := range d.Customers {
			list = append(list, arrivalsOf(d, c, p, i, start, workers, rng)...)
		}
		start += p.For
	}
	sort.Slice(list, func(a, b int) bool { return list[a].at < list[b].at })
	return list
}

func arrivalsOf(d Deployment, c Customer, p Phase, phase int, start time.Duration, workers int, rng *rand.Rand) []arrival {
	var list []arrival
	rate := c.Demand * p.Factor
	for at := exponential(rng, rate); at < p.For; at += exponential(rng, rate) {
		list = append(list, arrival{
			at:       start + at,
			customer: c.Name,
			kind:     pick(d.Requests, rng.Float64()),
			id:       strconv.FormatUint(rng.Uint64(), 36),
			entry:    rng.IntN(workers),
			phase:    phase,
		})
	}
	return list
}

func exponential(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) / rate * float64(time.Second))
}

func pick(kinds []Request, x float64) Request {
	for _, k := range kinds {
		if x < k.Share {
			return k
		}
		x -= k.Share
	}
	return kinds[len(kinds)-1]
}

// bucket is the perfect central token bucket to compare with.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func (b *bucket) take(now time.Time) bool {
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

// Callers are the clients of a fleet.
type callers struct {
	fleet   *Fleet
	client  *http.Client
	buckets map[string]*bucket
	// tries bounds the attempts for one request; pause is the mean wait
	// between them. The callers ignore Retry-After.
	tries    int
	pause    time.Duration
	patience time.Duration
}

const (
	callerTries    = 10
	callerPause    = 50 * time.Millisecond
	callerIdle     = 512
	patienceFactor = 2
)

func newCallers(f *Fleet) *callers {
	c := &callers{
		fleet:    f,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerIdle}},
		buckets:  make(map[string]*bucket),
		tries:    callerTries,
		pause:    callerPause,
		patience: patienceFactor * f.Deployment.Deadline,
	}
	now := time.Now()
	for _, customer := range f.Deployment.Customers {
		c.buckets[customer.Name] = &bucket{
			rate: customer.Rate, burst: customer.Burst, tokens: customer.Burst, last: now,
		}
	}
	return c
}

// run sends the whole schedule and waits for the last answer.
func (c *callers) run(ctx context.Context, list []arrival, started time.Time) []sample {
	samples := make([]sample, len(list))
	var wg sync.WaitGroup
	for i, a := range list {
		if !wait.For(ctx, time.Until(started.Add(a.at))) {
			samples = samples[:i]
			break
		}
		wg.Go(func() { samples[i] = c.send(ctx, a) })
	}
	wg.Wait()
	return samples
}

// send makes up to tries attempts for one request.
func (c *callers) send(ctx context.Context, a arrival) sample {
	route := c.fleet.Deployment.route(a.kind.Route)
	s := sample{arrival: a, priority: route.Priority}
	a.key = newKey()
	started := time.Now()
	withinRate := true
	for s.attempts < c.tries && time.Since(started) < c.patience {
		s.attempts++
		central := c.buckets[a.customer].take(time.Now())
		withinRate = withinRate && central
		v := c.attempt(ctx, a, route)
		if v.whole {
			s.good = time.Since(started) <= c.patience
			break
		}
		s.count(v, central, withinRate)
		pause := time.Duration(rand.Int64N(int64(2 * c.pause)))
		if !wait.For(ctx, pause) {
			break
		}
	}
	s.took = time.Since(started)
	return s
}

// newKey returns a fresh idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (s *sample) count(v verdict, central, withinRate bool) {
	s.refusedWithinRate = v.notRun && withinRate
	s.lastReason = cmp.Or(v.reason, "upstream-answer")
	if v.reason != "rate" {
		return
	}
	s.rateRefusals++
	if central {
		s.wrongful++
	}
}

// verdict is the answer to one attempt.
type verdict struct {
	whole  bool
	notRun bool
	reason string
}

// attempt sends the request once, to any node.
func (c *callers) attempt(ctx context.Context, a arrival, route Route) verdict {
	n := len(c.fleet.Workers)
	return c.attemptAt(ctx, (a.entry+rand.IntN(n))%n, a, route)
}

func (c *callers) attemptAt(ctx context.Context, worker int, a arrival, route Route) verdict {
	ctx, stop := context.WithTimeout(ctx, c.fleet.Deployment.Deadline)
	defer stop()
	entry := c.fleet.Workers[worker]
	path := "/" + route.Service + strings.ReplaceAll(route.Path, "{id}", a.id)
	req, err := http.NewRequestWithContext(ctx, route.Method, "http://"+entry.Node.Member().CallerAddr+path, nil)
	if err != nil {
		return verdict{}
	}
	req.Header.Set("Authorization", "Bearer "+c.fleet.Keys[a.customer])
	if !route.Idempotent {
		req.Header.Set("Idempotency-Key", a.key)
		req.Body = io.NopCloser(strings.NewReader("{}"))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return verdict{reason: "caller-timeout"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return verdict{
		whole:  err == nil && resp.StatusCode == http.StatusOK && isWhole(body, a),
		notRun: resp.Header.Get("Gooseberry-Outcome") == "not-run",
		reason: resp.Header.Get("Gooseberry-Reason"),
	}
}

// isWhole checks that the answer belongs to the request and has every part.
func isWhole(body []byte, a arrival) bool {
	var answer standin.Response
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	return partsOf(answer, a.id) == a.kind.Calls
}

// partsOf counts the answers of the tree that belong to the request.
func partsOf(a standin.Response, id string) int {
	if !strings.HasSuffix(a.Path, "/"+id) {
		return 0
	}
	n := 1
	for _, child := range a.NestedResponses {
		n += partsOf(child, id)
	}
	return n
}
