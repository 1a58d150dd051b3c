package ratelimit

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// maxIdleArrivals bounds the estimate to this number of arrivals over the
	// time since the last one, so that it drops soon after arrivals stop.
	maxIdleArrivals = 3
	// burstWindow is the length of demand that a lease should buffer.
	burstWindow = 200 * time.Millisecond
	// minDemandRate is the demand, in requests per second, below which a lease is
	// returned.
	minDemandRate = 0.05
)

// demand estimates the arrival rate by an exponentially decayed count.
type demand struct {
	count     float64
	updatedAt time.Time
}

func (d *demand) add(now time.Time) {
	d.count = d.decayedCount(now) + 1
	if now.After(d.updatedAt) {
		d.updatedAt = now
	}
}

func (d *demand) decayedCount(now time.Time) float64 {
	if !now.After(d.updatedAt) {
		return d.count
	}
	return d.count * math.Exp(-float64(now.Sub(d.updatedAt))/float64(demandWindow))
}

// rate returns the estimated demand in requests per second.
func (d *demand) rate(now time.Time) float64 {
	rate := d.decayedCount(now) / demandWindow.Seconds()
	if idle := now.Sub(d.updatedAt).Seconds(); idle > 0 {
		rate = min(rate, maxIdleArrivals/idle)
	}
	return rate
}
