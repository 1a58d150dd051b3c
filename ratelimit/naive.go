package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// NaiveName is the name of the baseline plug-in in the settings.
const NaiveName = "naive-rate"

func init() {
	kernel.Register(kernel.PluginInfo{Name: NaiveName, Order: chainOrder, New: func() kernel.Plugin { return &Naive{} }})
}

// Naive limits each customer at every node to a static 1/n of its rate and burst,
// with a bucket of at least one token. It is the baseline for measurements.
type Naive struct {
	host    *kernel.Host
	buckets sync.Map // customer name to *naiveBucket
}

type naiveBucket struct {
	mu         sync.Mutex
	level      float64
	refilledAt time.Time
}

// Provision stores the host.
func (p *Naive) Provision(h *kernel.Host) error {
	p.host = h
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Naive) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (p *Naive) Cleanup() error { return nil }

// WrapEntry limits root requests of customers.
func (p *Naive) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Customer == "" || c.Nested() || p.admit(c.Customer) {
			return next.Serve(ctx, c)
		}
		return kernel.Refuse(kernel.ReasonRate, "rate limit exceeded for customer "+c.Customer, time.Second)
	})
}

func (p *Naive) admit(customer string) bool {
	snap := p.host.Snapshot()
	limit, ok := snap.Customer(customer)
	if !ok {
		return false
	}
	n := float64(max(1, len(snap.Members)))
	return p.bucket(customer).take(limit.Rate/n, max(1, limit.Burst/n), p.host.Now())
}

func (p *Naive) bucket(customer string) *naiveBucket {
	if b, ok := p.buckets.Load(customer); ok {
		return b.(*naiveBucket)
	}
	b, _ := p.buckets.LoadOrStore(customer, &naiveBucket{})
	return b.(*naiveBucket)
}

// take spends a token. The bucket starts full.
func (b *naiveBucket) take(rate, burst float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilledAt.IsZero() {
		b.level = burst
		b.refilledAt = now
	}
	if now.After(b.refilledAt) {
		b.level = min(burst, b.level+rate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
